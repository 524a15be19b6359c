"""What an operator's configuration says.  Immutable: a request is judged by one of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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
