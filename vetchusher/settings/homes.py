"""Finds tenants and routes of a configuration without a common home region.

No region may serve the requests of such a tenant on such a route.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from .configuration import Configuration, Route, Tenant

T = TypeVar("T", Route, Tenant)

MAX_LISTED_NAMES = 3  # tenants or routes that one line lists by name


@dataclass(slots=True, frozen=True)
class DisjointHomes:
    """Tenants, and routes on which no region may serve their requests.

    :param tenants: their names
    :param routes: host and path prefix of each
    """

    tenants: tuple[str, ...]
    routes: tuple[str, ...]

    def describe(self) -> str:
        """Return one line that lists at most `MAX_LISTED_NAMES` tenants and as many routes."""
        return f"{abbreviate(self.tenants)} on {abbreviate(self.routes)}"


def abbreviate(names: tuple[str, ...]) -> str:
    """Return the first `MAX_LISTED_NAMES` names, and the number of the others."""
    more = f" and {len(names) - MAX_LISTED_NAMES} more" if len(names) > MAX_LISTED_NAMES else ""
    return ", ".join(names[:MAX_LISTED_NAMES]) + more


def disjoint_homes(configuration: Configuration) -> list[DisjointHomes]:
    """Return the tenants and routes without a common home region, grouped by the home regions of the tenants.

    Public routes are left out: their requests belong to no tenant.
    """
    conflicts = []
    for tenant_homes, tenants in group_by_home_regions(configuration.tenants.values()).items():
        routes = [
            route
            for route_homes, group in group_by_home_regions(configuration.routes).items()
            if tenant_homes.isdisjoint(route_homes)
            for route in group
            if not route.public
        ]
        if routes:
            names = tuple(f"{route.host}{route.path_prefix}" for route in routes)
            conflicts.append(DisjointHomes(tuple(tenant.name for tenant in tenants), names))
    return conflicts


def group_by_home_regions(parts: Iterable[T]) -> dict[frozenset[str], list[T]]:
    """Group routes or tenants by their home regions; those without home regions are left out."""
    groups: dict[frozenset[str], list[T]] = {}
    for part in parts:
        if part.home_regions:
            groups.setdefault(part.home_regions, []).append(part)
    return groups
