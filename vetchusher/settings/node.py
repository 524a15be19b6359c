"""A process's settings: their types, and the reader of the TOML file that the platform provides.

The format is defined in `node.schema.json`; this module adds the defaults and the checks that a schema cannot
express.
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
from vetchusher.fields import FieldError, quoted_value

from .compiled import compiled_schema

Address = tuple[str, int]  # IP address or host name, and port
T = TypeVar("T")
MAX_FILE_BYTES = 1 << 20
MAX_MESSAGE_CHARACTERS = 300  # an error message quotes the file's content, which may be long


@dataclass(frozen=True)
class Listen:
    """Addresses at which the process accepts connections from outside; None: that service is not offered."""

    front: Address | None = None
    ready: Address | None = None
    control: Address | None = None
    directory: Address | None = None


@dataclass(frozen=True)
class MachineLimits:
    """Resources of the machine.

    :param cpu_share: usable ratio of one core, which runs `core_count` times as fast
    :param memory_mb: MiB
    :param link_mbps: network bandwidth in megabits per second
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
    """Simultaneous losses under which all service guarantees must hold."""

    machine_losses: int = 1
    zones: int = 0
    region_losses: int = 0


@dataclass(frozen=True)
class Bounds:
    """Numeric bounds of the service guarantees.

    The unit is part of the name; ratios and counts have no unit.
    """

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
    """The platform's API that lists the servers.

    :param rate_per_s: calls per second that it accepts from all processes together
    :param lag_ms: how far the list lags behind the actual state
    """

    address: Address
    rate_per_s: float = 10.0
    lag_ms: int = 1_000
    functions: tuple[str, ...] = ()


@dataclass(frozen=True)
class NodeSettings:
    """The settings of one process.

    :param internal_ports: first and last port available for traffic between processes
    :param seed_nodes: control addresses of some machines, possibly outdated
    :param serves: services that clients may call: `edge`, `control`, `directory`
    :param first_start: whether this is the first start of the whole system, with empty disks
    :param beat_interval_ms: interval between two heartbeats
    :param counted: whether a loss of this machine counts towards `tolerance`
    :param contracts: the parts of the system's rules that are in force
    :param data_directory: empty: this machine stores no data
    :param zones: zone -> its region
    :param cloud_api: None: there is no server list to read
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
        """The memory limit in MiB."""
        return self.limits.memory_mb

    @property
    def file_descriptors(self) -> int:
        """The limit on open file descriptors."""
        return self.limits.file_descriptors


def read_node_settings(path: str) -> Result[NodeSettings, Error]:
    """Return the settings in a file, or `INVALID_SETTINGS` with one line that names file and field."""
    return read_toml(path).bind(lambda tree: settings_from_tree(tree, path))


def read_toml(path: str) -> Result[dict[str, Any], Error]:
    """Parse a TOML file without validating it against the schema."""
    try:
        with pathlib.Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as err:
        return invalid_settings(path, getattr(err, "strerror", None) or str(err))
    if len(raw) > MAX_FILE_BYTES:
        return invalid_settings(path, f"more than {MAX_FILE_BYTES} bytes")
    try:
        return Success(tomllib.loads(raw.decode(), parse_float=parse_float))
    except (ValueError, RecursionError) as err:
        return invalid_settings(path, str(err))


def parse_float(text: str) -> float | bytes:
    """Parse a float, but return NaN as bytes so that the schema rejects it as a value that is not a number.

    As a float, NaN would pass every check of a minimum or maximum: all its comparisons are false.
    """
    value = float(text)
    return text.encode() if math.isnan(value) else value


def settings_from_tree(tree: dict[str, Any], path: str = "settings") -> Result[NodeSettings, Error]:
    """Validate a parsed settings file and return the settings, or `INVALID_SETTINGS`.

    :param path: of the file, for the error message
    """
    try:
        compiled_schema("node").check(tree, "settings")
        return Success(node_settings_from(tree))
    except FieldError as err:
        return invalid_settings(path, str(err))


def invalid_settings(path: str, text: str) -> Failure[Error]:
    """Return an `INVALID_SETTINGS` error whose text is one line that begins with the file's path."""
    return Failure(
        Error(ErrorCode.INVALID_SETTINGS, f"{path}: {' '.join(text.split())[:MAX_MESSAGE_CHARACTERS]}")
    )


def node_settings_from(tree: dict[str, Any]) -> NodeSettings:
    """Build the settings, and check what a schema cannot express.

    :param tree: a parsed file that conforms to the schema
    :raises FieldError: if the first internal port is above the last
    """
    first, last = map(int, tree["internal_ports"])
    if first > last:
        raise FieldError(f"settings.internal_ports: {quoted_value([first, last])} is no first and last port")
    listen = tree.get("listen", {})
    given = {f.name: tree[f.name] for f in dataclasses.fields(NodeSettings) if f.name in tree}
    given |= {
        "internal_ports": (first, last),
        "seed_nodes": tuple(map(parse_address, tree.get("seed_nodes", ()))),
        "serves": frozenset(tree.get("serves", ())),
        # False unless stated: a machine that lost its disk and is started as a new one would vote although
        # it has forgotten its earlier votes.
        "first_start": bool(tree.get("first_start", False)),
        "counted": bool(tree.get("counted", False)),
        "beat_interval_ms": int(tree.get("beat_interval_ms", 0)) or NodeSettings.beat_interval_ms,
        "contracts": frozenset(tree.get("contracts", ())),
        "listen": Listen(**{f.name: listen_address(listen, f.name) for f in dataclasses.fields(Listen)}),
        "limits": record_from(MachineLimits, tree.get("limits", {})),
        "tolerance": record_from(Tolerance, tree.get("tolerance", {})),
        "bounds": record_from(Bounds, tree.get("bounds", {})),
        "cloud_api": cloud_api_from(tree["cloud_api"]) if "cloud_api" in tree else None,
    }
    return NodeSettings(**given)


def cloud_api_from(tree: dict[str, Any]) -> CloudApi:
    """Build the settings of the platform's API."""
    return CloudApi(
        parse_address(tree["address"]),
        float(tree.get("rate_per_s", CloudApi.rate_per_s)),
        int(tree.get("lag_ms", CloudApi.lag_ms)),
        tuple(tree.get("functions", ())),
    )


def record_from(kind: type[T], tree: dict[str, Any]) -> T:
    """Build a dataclass of numbers and flags from a section of the settings.

    An absent field has its default; a number for an integer field loses its decimals.
    """
    converters: dict[str, Callable[[Any], Any]] = {"int": int, "float": float, "bool": bool}
    fields = dataclasses.fields(cast(Any, kind))
    return kind(**{f.name: converters[str(f.type)](tree.get(f.name, f.default)) for f in fields})


def listen_address(listen: dict[str, str], name: str) -> Address | None:
    """Return the address under a name in the `listen` section; None if it is absent or empty."""
    text = listen.get(name, "")
    return parse_address(text) if text else None


def parse_address(text: str) -> Address:
    """Parse HOST:PORT, whose format the schema has checked."""
    host, _, port = text.rpartition(":")
    return host, int(port)
