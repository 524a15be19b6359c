"""Lookup of a request's route and tenant in one configuration."""

from __future__ import annotations

import random

from vetchusher.settings.configuration import Configuration, Route, Service, Tenant


class RouteTable:
    """Indexes over one configuration; immutable, like the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes by host and the tenants by API key."""
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._keys = {key: tenant for tenant in configuration.tenants.values() for key in tenant.credentials}

    def find(self, host: str, target: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None.

        :param host: the Host header; its case, a port and a trailing dot are ignored
        :param target: path and query string; the query string is ignored
        """
        routes = self._hosts.get(host.partition(":")[0].rstrip(".").lower())
        path = target.partition("?")[0]
        while routes and (end := path.rfind("/") + 1):  # every prefix ends with a slash
            if (route := routes.get(path[:end])) is not None:
                return route
            path = path[: end - 1]
        return None

    def tenant(self, key: str) -> Tenant | None:
        """Return the tenant that owns an API key, or None."""
        return self._keys.get(key)

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return self.configuration.services.get(name)


def draw_services(route: Route, rng: random.Random) -> list[str]:
    """Return a route's services: first one drawn by weight, then all others whose weight is above 0."""
    weighted = [(name, weight) for name, weight in route.targets if weight > 0]
    if len(weighted) < 2:
        return [name for name, _ in weighted]
    names = [name for name, _ in weighted]
    first = rng.choices(names, [weight for _, weight in weighted])[0]
    return [first, *(name for name in names if name != first)]


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions in which a request may be served, or None if every region is allowed.

    If both route and tenant have home regions, only regions in both are allowed, possibly none.
    """
    restrictions = [
        regions for regions in (route.home_regions, tenant.home_regions if tenant else None) if regions
    ]
    return frozenset.intersection(*restrictions) if restrictions else None
