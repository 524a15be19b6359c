"""An operator's configuration: its types, and the parser that validates it.

A configuration is immutable, so that a request is handled by one version throughout. The format is defined in
`configuration.schema.json`; this module adds the defaults and the checks that a schema cannot express.
"""

from __future__ import annotations

import dataclasses
import json
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode
from vetchusher.fields import FieldError, quoted_value

from .compiled import compiled_schema

SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")  # escape of one UTF-16 surrogate
# An escape sequence of JSON: a surrogate pair, an unpaired surrogate (group 1), or any other.
ESCAPE_SEQUENCE = re.compile(rb"\\(?:u[dD][89abAB]..\\u[dD][c-fC-F]..|(u[dD][89a-fA-F])|.)", re.DOTALL)
MAX_MESSAGE_CHARACTERS = 300  # an error message quotes the body, which may be long


class RouteType(StrEnum):
    """Whether a route's requests may be sent again, and whether their answers are downloads."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Whether a server may execute a request more than once."""
        return self is not RouteType.UNSAFE


@dataclass(slots=True, frozen=True)
class Route:
    """A route: which requests it matches, and where and how they are served.

    :param name: label; it may be empty, and need not be unique
    :param host: in lower case
    :param path_prefix: begins and ends with a slash
    :param targets: services with their weights, all above 0; a single service has weight 1
    :param public: whether requests need no credential
    :param home_regions: regions that may serve it; empty: all
    """

    name: str
    host: str
    path_prefix: str
    route_type: RouteType
    timeout_ms: int
    target_ms: int
    priority: int
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Service:
    """A service: the path of its health check, and the load that its servers can take.

    :param connection_cap: connections that one server accepts from all load balancers together
    :param cold_s: seconds for which a server is cold after it returns
    :param cold_rate_s: requests per second that a cold server may receive
    """

    name: str
    health_path: str
    connection_cap: int
    cold_s: float
    cold_rate_s: float


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the size of a client's request (bytes), and on the time it may take or stay idle (ms)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant: its credentials, priority, quota and home regions.

    :param priority: None: the priority of the route applies
    :param rate_per_s: quota in requests per second; 0: no quota
    :param burst_size: requests that may come at once beyond the rate
    :param home_regions: regions that may serve it; empty: all
    """

    name: str
    credentials: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst_size: float
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operator's configuration.

    :param version: its number, without the letter `r`
    :param routes: sorted by host and path prefix
    :param services: by name
    :param tenants: by name
    :param requires_credentials: whether requests need a credential, which they do if any tenant is configured
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    tenants: dict[str, Tenant]
    requires_credentials: bool


def read_configuration(raw: bytes) -> Result[Configuration, Error]:
    """Parse and validate a configuration in JSON.

    Unknown fields are ignored; an optional field that is absent or null has its default. Hosts are converted
    to lower case, and routes are sorted by host and path prefix.

    :returns: the configuration, or `INVALID_ORDER` with one line that names the first invalid field
    """
    try:
        tree = parse_json(raw)
        compiled_schema("configuration").check(tree, "configuration")
        return Success(configuration_from(tree))
    except (ValueError, RecursionError) as err:
        return Failure(Error(ErrorCode.INVALID_ORDER, " ".join(str(err).split())[:MAX_MESSAGE_CHARACTERS]))


def parse_json(raw: bytes) -> Any:
    """Parse JSON.

    :raises ValueError: if it is not valid JSON in UTF-8, or if an object repeats a known field with another
        value
    """
    known_fields = compiled_schema("configuration").property_names

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Build an object, and reject a known field that is repeated with different values.

        Safety: the parser would silently use the last value, while the operator may have meant the first.
        """
        members = dict(pairs)
        if len(members) < len(pairs):
            for name, value in pairs:
                if name in known_fields and members[name] != value:
                    raise FieldError(f"configuration: {quoted_value(name)} stands twice in one object")
        return members

    tree = json.loads(raw.decode(), object_pairs_hook=build_object, parse_constant=reject_non_finite)
    # Safety: Python decodes the escape of an unpaired surrogate, but cannot encode the result in UTF-8 again.
    if SURROGATE_ESCAPE.search(raw) and any(each[1] for each in ESCAPE_SEQUENCE.finditer(raw)):
        raise FieldError("configuration: half of a pair of surrogates stands alone")
    return tree


def reject_non_finite(name: str) -> None:
    """Reject NaN and the infinities, which Python's parser accepts and JSON does not have.

    :raises FieldError: always
    """
    raise FieldError(f"configuration: {name} is no number of JSON's")


def configuration_from(tree: dict[str, Any]) -> Configuration:
    """Build a configuration, and check what a schema cannot express.

    :param tree: a document that conforms to the schema
    :raises FieldError: for a repeated name, route or credential, an unknown service, or weights that sum to 0
    """
    services = tuple(service_from(each) for each in tree["services"])
    reject_duplicate_names("services", (s.name for s in services))
    services_by_name = {s.name: s for s in services}
    routes = tuple(route_from(index, each, services_by_name) for index, each in enumerate(tree["routes"]))
    reject_duplicate_names("routes", (r.host + r.path_prefix for r in routes))
    tenants = tuple(tenant_from(each) for each in tree.get("subscribers") or ())
    reject_duplicate_names("subscribers", (t.name for t in tenants))
    owner_counts = Counter(c for t in tenants for c in t.credentials)
    if any(count > 1 for count in owner_counts.values()):
        owner = next(t.name for t in tenants if any(owner_counts[c] > 1 for c in t.credentials))
        raise FieldError(
            f"configuration.subscribers: a credential of {quoted_value(owner)} is another's as well"
        )
    return Configuration(
        int(tree["version"][1:]),
        tuple(sorted(routes, key=lambda r: (r.host, r.path_prefix))),
        services_by_name,
        limits_from(tree.get("limits") or {}),
        {t.name: t for t in tenants},
        # An empty list of tenants counts as an absent one: no request could have a valid credential.
        bool(tenants),
    )


def route_from(index: int, tree: dict[str, Any], services: dict[str, Service]) -> Route:
    """Build a route.

    :param index: its position in the list, for error messages
    :raises FieldError: for an unknown service, or weights that sum to 0
    """
    timeout_ms = int(tree["timeout_ms"])
    return Route(
        tree.get("name") or "",
        tree["host"].lower(),
        tree["path_prefix"],
        RouteType(tree["route_type"]),
        max(1, timeout_ms),
        integer_field(tree, "target_ms", 0) or timeout_ms or 1,
        integer_field(tree, "priority", 1),
        targets_from(f"configuration.routes[{index}]", tree, services),
        int(tree["max_attempts"]),
        bool(tree.get("public")),
        home_regions_from(tree),
    )


def targets_from(
    path: str, tree: dict[str, Any], services: dict[str, Service]
) -> tuple[tuple[str, float], ...]:
    """Return the services of a route with their weights.

    A service of weight 0 gets no requests and is left out, but must exist.

    :param path: of the route, for error messages
    :raises FieldError: for an unknown service, or weights that sum to 0
    """
    parts = tree.get("distribution") or ({"service": tree["service"], "weight": 1},)
    weights = [(part["service"], float(part["weight"])) for part in parts]
    for name, _ in weights:
        if name not in services:
            raise FieldError(f"{path}.service: {quoted_value(name)} is none of the services")
    if not sum(weight for _, weight in weights) > 0:
        raise FieldError(f"{path}.distribution: the weights sum to 0")
    return tuple((name, weight) for name, weight in weights if weight > 0)


def service_from(tree: dict[str, Any]) -> Service:
    """Build a service; an absent field, and a `connection_cap` of 0, has its default."""
    return Service(
        tree["name"],
        tree.get("health_path") or "/health",
        integer_field(tree, "connection_cap", 0) or 1024,
        number_field(tree, "cold_s", 0.0),
        number_field(tree, "cold_rate_s", 1.0),
    )


def limits_from(tree: dict[str, Any]) -> ClientLimits:
    """Build the client limits; an absent limit, and one of 0, has its default."""
    given = {f.name: integer_field(tree, f.name, 0) for f in dataclasses.fields(ClientLimits)}
    return ClientLimits(**{name: value for name, value in given.items() if value})


def tenant_from(tree: dict[str, Any]) -> Tenant:
    """Build a tenant; repeated credentials are merged."""
    return Tenant(
        tree["name"],
        tuple(dict.fromkeys(tree.get("credentials") or ())),
        None if tree.get("priority") is None else int(tree["priority"]),
        number_field(tree, "rate_per_s", 0.0),
        number_field(tree, "burst_size", 0.0),
        home_regions_from(tree),
    )


def home_regions_from(tree: dict[str, Any]) -> frozenset[str]:
    """Return the home regions of a route or tenant; empty: all regions."""
    return frozenset(tree.get("home_regions") or ())


def integer_field(tree: dict[str, Any], name: str, default: int) -> int:
    """Return a field as an integer, decimals cut off, or the default if it is absent or null."""
    value = tree.get(name)
    return default if value is None else int(value)


def number_field(tree: dict[str, Any], name: str, default: float) -> float:
    """Return a field as a float, or the default if it is absent or null."""
    value = tree.get(name)
    return default if value is None else float(value)


def reject_duplicate_names(section: str, names: Iterable[str]) -> None:
    """Reject two entries with one name. Safety: different machines could use different ones.

    :param section: key of the list in the configuration, for the error message
    :raises FieldError: if a name is repeated
    """
    for name, count in Counter(names).items():
        if count > 1:
            raise FieldError(f"configuration.{section}: {quoted_value(name)} stands there {count} times")
