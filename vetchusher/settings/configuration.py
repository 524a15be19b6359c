"""What an operator's configuration says.  Immutable: a request is judged by one of them.

Read by `fields.Fields`: one of 400 routes and 100 tenants takes 17 ms, and 240 with the schema library.
`configuration.schema.json` says the same of the form; a test holds the two together.
"""

from __future__ import annotations

import json
import pathlib
import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from returns.result import Failure, Result, Success

from vetchusher.fields import FieldError, Fields, shown
from vetchusher.kinds import Fault, Kind

SCHEMA = pathlib.Path(__file__).parent / "configuration.schema.json"
VERSION = re.compile(r"r([0-9]{1,18})")  # any such number fits into 64 bits
CONTROL = re.compile(r"[\x00-\x1f\x7f]")
LONE_HALF = re.compile(rb"\\u[dD][89a-fA-F]")  # where one of a pair of surrogates may stand alone
MOST_TEXT = 300  # characters of a message: it quotes what the body says


class RouteType(StrEnum):
    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        return self is not RouteType.UNSAFE


@dataclass(slots=True, frozen=True)
class Route:
    """:param targets: services with their weights; a single service has weight 1
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
    name: str
    health_path: str
    connection_cap: int
    cold_s: float
    cold_rate_s: float


@dataclass(slots=True, frozen=True)
class ClientLimits:
    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_ms: int = 3_000
    idle_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class Tenant:
    """:param rate_per_s: 0: no quota"""

    name: str
    credentials: tuple[str, ...]
    priority: int | None
    rate_per_s: float
    burst_size: float
    home_regions: frozenset[str]


@dataclass(slots=True, frozen=True)
class Configuration:
    """:param version: its number, without the letter
    :param keyed: tenants are named, so that requests need a key
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    tenants: dict[str, Tenant]
    keyed: bool


def read_configuration(raw: bytes) -> Result[Configuration, Fault]:
    """The configuration in a body of JSON, checked whole, or `INVALID` with one line that names the place.

    What is not known is ignored; what is missing or null has its default, where the program can do without.
    Hosts are in lower case, routes in the order of host and prefix.
    """
    try:
        return Success(configuration_in(Fields(tree_of(raw), "configuration")))
    except (ValueError, RecursionError) as err:
        return Failure(Fault(Kind.INVALID, " ".join(str(err).split())[:MOST_TEXT]))


def tree_of(raw: bytes) -> Any:
    """:raises ValueError: where it is not whole JSON in UTF-8"""
    tree = json.loads(raw.decode(), object_pairs_hook=of_pairs, parse_constant=no_constant)
    if LONE_HALF.search(raw):  # Danger: half a pair can be read, and never be written again
        json.dumps(tree, ensure_ascii=False).encode()
    return tree


def of_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Danger: of two unlike values under one name, one is meant and the other would be taken."""
    found = dict(pairs)
    if len(found) < len(pairs):
        for name, value in pairs:
            if name in KNOWN and found[name] != value:
                raise FieldError(f"configuration: {shown(name)} stands twice in one object")
    return found


def no_constant(name: str) -> None:
    raise FieldError(f"configuration: {name} is no number of JSON's")


def configuration_in(fields: Fields) -> Configuration:
    """:raises FieldError: with the place"""
    services = tuple(service_in(each) for each in fields.objects("services", needed=True))
    no_twins("services", (s.name for s in services))
    known = {s.name: s for s in services}
    routes = tuple(route_in(each, known) for each in fields.objects("routes", needed=True))
    no_twins("routes", (r.host + r.path_prefix for r in routes))
    tenants = tuple(tenant_in(each) for each in fields.objects("subscribers"))
    no_twins("subscribers", (t.name for t in tenants))
    holders = Counter(c for t in tenants for c in t.credentials)
    if any(times > 1 for times in holders.values()):
        both = next(t.name for t in tenants if any(holders[c] > 1 for c in t.credentials))
        raise FieldError(f"configuration.subscribers: a credential of {shown(both)} is another's as well")
    return Configuration(
        version_in(fields),
        tuple(sorted(routes, key=lambda r: (r.host, r.path_prefix))),
        known,
        limits_in(fields.object("limits")),
        {t.name: t for t in tenants},
        # An empty list names nobody, as an absent one: nobody could be let in by it.
        bool(tenants),
    )


def version_in(fields: Fields) -> int:
    found = VERSION.fullmatch(fields.text("version"))
    if found is None:
        raise fields.fault("version", f"{shown(fields.value('version'))} is not r and a number")
    return int(found[1])


def route_in(fields: Fields, services: dict[str, Service]) -> Route:
    prefix = name_in(fields, "path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.fault("path_prefix", f"{shown(prefix)} does not begin and end with a slash")
    host = name_in(fields, "host").lower()
    if "/" in host:
        raise fields.fault("host", f"{shown(host)} has a slash")
    timeout = fields.number("timeout_ms", above=True)
    return Route(
        fields.text("name"),
        host,
        prefix,
        fields.choice("route_type", TYPES),
        max(1, int(timeout)),
        fields.positive("target_ms", int(timeout)) or 1,
        fields.whole("priority", 1),
        targets_in(fields, services),
        fields.whole("max_attempts", least=1),
        fields.flag("public"),
        regions_in(fields),
    )


def targets_in(fields: Fields, services: dict[str, Service]) -> tuple[tuple[str, float], ...]:
    """The services that get requests; those of weight 0 have to be known and get none."""
    single, parts = fields.text("service"), list(fields.objects("distribution"))
    if bool(single) == bool(parts):
        raise fields.fault("service", "either this or a distribution has to be there")
    weighed = [(single, 1.0)] if single else [(name_in(p, "service"), p.number("weight")) for p in parts]
    for name, _ in weighed:
        if name not in services:
            raise fields.fault("service", f"{shown(name)} is none of the services")
    if not sum(weight for _, weight in weighed) > 0:
        raise fields.fault("distribution", "the weights sum to 0")
    return tuple((name, weight) for name, weight in weighed if weight > 0)


def service_in(fields: Fields) -> Service:
    return Service(
        name_in(fields, "name"),
        fields.text("health_path") or "/health",
        fields.positive("connection_cap", 1024),
        fields.number("cold_s", 0.0),
        fields.number("cold_rate_s", 1.0),
    )


def limits_in(fields: Fields) -> ClientLimits:
    return ClientLimits(**{f: fields.positive(f, value) for f, value in LIMITS.items()})


def tenant_in(fields: Fields) -> Tenant:
    credentials = fields.texts("credentials")
    if not all(credentials):
        raise fields.fault("credentials", "one of them is empty")
    priority = fields.value("priority")
    return Tenant(
        name_in(fields, "name"),
        tuple(dict.fromkeys(credentials)),
        None if priority is None else fields.whole("priority"),
        fields.number("rate_per_s", 0.0),
        fields.number("burst_size", 0.0),
        regions_in(fields),
    )


def regions_in(fields: Fields) -> frozenset[str]:
    return frozenset(fields.texts("home_regions"))


def name_in(fields: Fields, name: str) -> str:
    """Danger: a tenant's name goes into a header; one with a line's end would write more of them."""
    text = fields.text(name)
    if not text:
        raise fields.fault(name, "is missing")
    if CONTROL.search(text):
        raise fields.fault(name, f"{shown(text)} has control characters")
    return text


def no_twins(place: str, names: Iterable[str]) -> None:
    """Danger: of two entries of one name, machines could hold to different ones."""
    for name, times in Counter(names).items():
        if times > 1:
            raise FieldError(f"configuration.{place}: {shown(name)} stands there {times} times")


# Names of the form; of others nothing is read.
KNOWN = frozenset(
    "version routes services limits subscribers name host path_prefix route_type timeout_ms target_ms"
    " priority service distribution weight max_attempts public home_regions health_path connection_cap cold_s"
    " cold_rate_s header_bytes body_bytes header_ms idle_ms credentials rate_per_s burst_size".split()
)
TYPES = {str(each): each for each in RouteType}
LIMITS = {"header_bytes": 16_384, "body_bytes": 67_108_864, "header_ms": 3_000, "idle_ms": 15_000}
