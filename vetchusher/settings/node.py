"""What the platform tells a process: its settings file, read into one immutable value.

What it has to be like stands in `node.schema.json`; here is what no schema can say, and the defaults.
"""

from __future__ import annotations

import dataclasses
import math
import pathlib
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar, cast

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode
from vetchusher.fields import FieldError, shown

from .compiled import form

Address = tuple[str, int]  # an IP number or name, and a port
T = TypeVar("T")
MOST_BYTES = 1 << 20
MOST_TEXT = 300  # characters of a message: it quotes what the file says


@dataclass(frozen=True)
class Listen:
    """Where the process is called from outside; None: it does not serve that."""

    front: Address | None = None
    ready: Address | None = None
    control: Address | None = None
    directory: Address | None = None


@dataclass(frozen=True)
class MachineLimits:
    """:param cpu_share: of one core, which runs `core_count` times as fast
    :param disk_mb: 0: there is no disk
    """

    cpu_share: float = 1.0
    core_count: int = 1
    memory_mb: int = 300
    file_descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: int = 0


@dataclass(frozen=True)
class Tolerance:
    """What may be lost at one time while all promises hold."""

    machine_losses: int = 1
    zones: int = 0
    region_losses: int = 0


@dataclass(frozen=True)
class Bounds:
    """The figures of the promises, in the units of their names; ratios and counts have none."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: int = 5_000
    ack_ms: int = 8_000
    catch_up_s: float = 4.0
    drain_ms: int = 4_000
    grace_s: float = 6.0
    loss_slack_ms: int = 200
    config_apply_ms: int = 4_000
    revert_slack_ms: int = 250
    stretch_max_ms: int = 10_000
    revocation_closed: bool = False
    revoke_ms: int = 5_000
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    budget_slack: float = 10.0
    quota_window_s: float = 5.0
    quota_overrun: float = 0.05
    quota_slack: float = 5.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_ms: int = 5_000
    cold_overrun: float = 1.0
    cold_slack: float = 1.0
    evacuation_ms: int = 5_000
    recovery_s: float = 15.0
    ttl_max_s: float = 5.0


@dataclass(frozen=True)
class CloudApi:
    """Where the platform's list of servers is read.

    :param rate_per_s: calls a second that it takes from all processes together
    :param lag_ms: by which the list is behind
    """

    address: Address
    rate_per_s: float = 10.0
    lag_ms: int = 1_000
    functions: tuple[str, ...] = ()


@dataclass(frozen=True)
class NodeSettings:
    """:param internal_ports: first and last of those free for what processes say to one another
    :param seed_nodes: control doors of some machines, perhaps old
    :param first_start: the system's very first, with empty disks
    :param counted: of the machines whose losses the tolerance counts
    :param contracts: the parts of the rules that are in force
    :param zones: the region of each zone
    :param data_directory: empty: this machine keeps nothing
    :param cloud_api: None: there is no list to read
    """

    node_name: str
    ip_address: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    seed_nodes: tuple[Address, ...]
    role: str = ""
    machine_class: str = ""
    serves: frozenset[str] = frozenset()
    first_start: bool = False
    counted: bool = False
    discovery: str = ""
    entry: str = ""
    beat_interval_ms: int = 1_500
    contracts: frozenset[str] = frozenset()
    config_mode: str = "highest"
    data_directory: str = ""
    zones: dict[str, str] = dataclasses.field(default_factory=dict)
    listen: Listen = Listen()
    limits: MachineLimits = MachineLimits()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    cloud_api: CloudApi | None = None

    @property
    def memory_mb(self) -> int:
        return self.limits.memory_mb

    @property
    def file_descriptors(self) -> int:
        return self.limits.file_descriptors


def read_node(path: str) -> Result[NodeSettings, Error]:
    """The settings in the file, or `BAD_SETTINGS` with one line that names the file and the place."""
    return read_tree(path).bind(lambda tree: node_of(tree, path))


def read_tree(path: str) -> Result[dict[str, Any], Error]:
    """The file's TOML, unchecked."""
    try:
        with pathlib.Path(path).open("rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as err:
        return bad(path, getattr(err, "strerror", None) or str(err))
    if len(raw) > MOST_BYTES:
        return bad(path, f"more than {MOST_BYTES} bytes")
    try:
        return Success(tomllib.loads(raw.decode(), parse_float=figure))
    except (ValueError, RecursionError) as err:
        return bad(path, str(err))


def figure(text: str) -> float | bytes:
    """Danger: nan is neither above nor below any bound. As bytes it is no number, and the schema says so."""
    value = float(text)
    return text.encode() if math.isnan(value) else value


def node_of(tree: dict[str, Any], path: str = "settings") -> Result[NodeSettings, Error]:
    """:param path: named in a failure's text"""
    try:
        form("node").check(tree, "settings")
        return Success(node(tree))
    except FieldError as err:
        return bad(path, str(err))


def bad(path: str, text: str) -> Failure[Error]:
    return Failure(Error(ErrorCode.INVALID_SETTINGS, f"{path}: {' '.join(text.split())[:MOST_TEXT]}"))


def node(tree: dict[str, Any]) -> NodeSettings:
    """:param tree: one that the schema allows
    :raises FieldError: for what no schema can say
    """
    first, last = map(int, tree["internal_ports"])
    if first > last:
        raise FieldError(f"settings.internal_ports: {shown([first, last])} is no first and last port")
    listen = tree.get("listen", {})
    given = {f.name: tree[f.name] for f in dataclasses.fields(NodeSettings) if f.name in tree}
    given |= {
        "internal_ports": (first, last),
        "seed_nodes": tuple(map(address, tree.get("seed_nodes", ()))),
        "serves": frozenset(tree.get("serves", ())),
        # Danger: a disk that is wrongly taken for a new one has forgotten what it promised, and votes.
        "first_start": bool(tree.get("first_start", False)),
        "counted": bool(tree.get("counted", False)),
        "beat_interval_ms": int(tree.get("beat_interval_ms", 0)) or NodeSettings.beat_interval_ms,
        "contracts": frozenset(tree.get("contracts", ())),
        "listen": Listen(**{f.name: place(listen, f.name) for f in dataclasses.fields(Listen)}),
        "limits": figures(MachineLimits, tree.get("limits", {})),
        "tolerance": figures(Tolerance, tree.get("tolerance", {})),
        "bounds": figures(Bounds, tree.get("bounds", {})),
        "cloud_api": cloud_api(tree["cloud_api"]) if "cloud_api" in tree else None,
    }
    return NodeSettings(**given)


def cloud_api(tree: dict[str, Any]) -> CloudApi:
    return CloudApi(
        address(tree["address"]),
        float(tree.get("rate_per_s", CloudApi.rate_per_s)),
        int(tree.get("lag_ms", CloudApi.lag_ms)),
        tuple(tree.get("functions", ())),
    )


def figures(kind: type[T], tree: dict[str, Any]) -> T:
    """A record of numbers and flags, each absent one by its default, and cut to whole where it has to be."""
    as_is: dict[str, Callable[[Any], Any]] = {"int": int, "float": float, "bool": bool}
    known = dataclasses.fields(cast(Any, kind))
    return kind(**{f.name: as_is[str(f.type)](tree.get(f.name, f.default)) for f in known})


def place(listen: dict[str, str], name: str) -> Address | None:
    text = listen.get(name, "")
    return address(text) if text else None


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
