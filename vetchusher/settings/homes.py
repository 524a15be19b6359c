"""Routes and tenants of a configuration that have no home region in common: their requests run nowhere."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from .configuration import Configuration, Route, Tenant

T = TypeVar("T", Route, Tenant)

MAX_NAMED = 3  # of the tenants and routes that a line names


@dataclass(slots=True, frozen=True)
class DisjointHomes:
    """Tenants whose requests on some routes no region may serve.

    :param routes: by host and path prefix
    """

    tenants: tuple[str, ...]
    routes: tuple[str, ...]

    def describe(self) -> str:
        """Return a line of bounded length."""
        return f"{shortened(self.tenants)} on {shortened(self.routes)}"


def shortened(names: tuple[str, ...]) -> str:
    """Return the first few names, and how many there are more."""
    more = f" and {len(names) - MAX_NAMED} more" if len(names) > MAX_NAMED else ""
    return ", ".join(names[:MAX_NAMED]) + more


def disjoint_homes(configuration: Configuration) -> list[DisjointHomes]:
    """Return which tenants and routes exclude one another, those of the same homes together."""
    found = []
    for tenant_homes, tenants in by_homes(configuration.tenants.values()).items():
        routes = [
            route
            for route_homes, group in by_homes(configuration.routes).items()
            if tenant_homes.isdisjoint(route_homes)
            for route in group
            if not route.public
        ]
        if routes:
            names = tuple(f"{route.host}{route.path_prefix}" for route in routes)
            found.append(DisjointHomes(tuple(tenant.name for tenant in tenants), names))
    return found


def by_homes(parts: Iterable[T]) -> dict[frozenset[str], list[T]]:
    """Return those that have homes, by these."""
    found: dict[frozenset[str], list[T]] = {}
    for part in parts:
        if part.home_regions:
            found.setdefault(part.home_regions, []).append(part)
    return found
