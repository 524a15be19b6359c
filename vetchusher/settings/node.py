"""What the platform tells a process: its settings file, read into one immutable value.

Read by `fields.Fields`, not by the schema library: every start pays 50 ms and 3 MB for that one.
`node.schema.json` says the same for people and for `check`; a test holds the two together.
"""

from __future__ import annotations

import dataclasses
import pathlib
import re
import tomllib
from dataclasses import dataclass
from typing import Any, TypeVar, cast

from returns.result import Failure, Result, Success

from vetchusher.fields import FieldError, Fields, shown
from vetchusher.kinds import Fault, Kind

Address = tuple[str, int]  # an IP number or name, and a port
T = TypeVar("T")
ADDRESS = re.compile(r"([0-9A-Za-z._-]+):([0-9]{1,5})")
SCHEMA = pathlib.Path(__file__).parent / "node.schema.json"
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


def read_node(path: str) -> Result[NodeSettings, Fault]:
    """The settings in the file, or `BAD_SETTINGS` with one line that names the file and the place."""
    return read_tree(path).bind(lambda tree: node_of(tree, path))


def read_tree(path: str) -> Result[dict[str, Any], Fault]:
    """The file's TOML, unchecked."""
    try:
        with pathlib.Path(path).open("rb") as file:
            raw = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as err:
        return bad(path, getattr(err, "strerror", None) or str(err))
    if len(raw) > MOST_BYTES:
        return bad(path, f"more than {MOST_BYTES} bytes")
    try:
        return Success(tomllib.loads(raw.decode()))
    except (ValueError, RecursionError) as err:
        return bad(path, str(err))


def node_of(tree: dict[str, Any], path: str = "settings") -> Result[NodeSettings, Fault]:
    """:param path: named in a failure's text"""
    try:
        return Success(node(Fields(tree, "settings")))
    except FieldError as err:
        return bad(path, str(err))


def bad(path: str, text: str) -> Failure[Fault]:
    return Failure(Fault(Kind.BAD_SETTINGS, f"{path}: {' '.join(text.split())[:MOST_TEXT]}"))


def node(fields: Fields) -> NodeSettings:
    """:raises FieldError: with the place"""
    own = {f: needed(fields, f) for f in ("node_name", "ip_address", "zone", "region")}
    plain = {f: fields.text(f) for f in ("role", "machine_class", "discovery", "entry", "data_directory")}
    listen = fields.object("listen")
    return NodeSettings(
        **own,
        **plain,
        internal_ports=ports(fields),
        seed_nodes=tuple(
            address(text, f"{fields.place}.seed_nodes[{number}]")
            for number, text in enumerate(fields.texts("seed_nodes"))
        ),
        serves=frozenset(fields.texts("serves")),
        # Danger: a disk that is wrongly taken for a new one has forgotten what it promised, and votes.
        first_start=fields.flag("first_start"),
        counted=fields.flag("counted"),
        beat_interval_ms=fields.positive("beat_interval_ms", NodeSettings.beat_interval_ms),
        contracts=frozenset(fields.texts("contracts")),
        config_mode=fields.text("config_mode", NodeSettings.config_mode),
        zones={name: fields.object("zones").text(name) for name in fields.object("zones").tree},
        listen=Listen(**{f.name: optional_address(listen, f.name) for f in dataclasses.fields(Listen)}),
        limits=figures(MachineLimits, fields.object("limits")),
        tolerance=figures(Tolerance, fields.object("tolerance")),
        bounds=figures(Bounds, fields.object("bounds")),
        cloud_api=cloud_api(fields.object("cloud_api")) if fields.value("cloud_api") is not None else None,
    )


def cloud_api(fields: Fields) -> CloudApi:
    return CloudApi(
        address(needed(fields, "address"), f"{fields.place}.address"),
        fields.number("rate_per_s", CloudApi.rate_per_s),
        fields.whole("lag_ms", CloudApi.lag_ms),
        fields.texts("functions"),
    )


def figures(kind: type[T], fields: Fields) -> T:
    """A record of numbers and flags, each absent one by its default."""
    read: dict[str, Any] = {"int": fields.whole, "float": fields.number, "bool": fields.flag}
    known = dataclasses.fields(cast(Any, kind))
    return kind(**{f.name: read[str(f.type)](f.name, f.default) for f in known})


def ports(fields: Fields) -> tuple[int, int]:
    given = fields.list("internal_ports", needed=True)
    if len(given) != 2 or not all(type(p) is int and 0 < p < 65_536 for p in given) or given[0] > given[1]:
        raise fields.fault("internal_ports", f"{shown(given)} is no first and last port")
    return given[0], given[1]


def needed(fields: Fields, name: str) -> str:
    text = fields.text(name)
    if not text:
        raise fields.fault(name, "is missing")
    return text


def optional_address(fields: Fields, name: str) -> Address | None:
    text = fields.text(name)
    return address(text, f"{fields.place}.{name}") if text else None


def address(text: str, place: str) -> Address:
    """:raises FieldError: where it is not `host:port`"""
    found = ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[2]) < 65_536:
        raise FieldError(f"{place}: {shown(text)} is no host:port")
    return found[1], int(found[2])
