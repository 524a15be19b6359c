"""Which route and which tenant a request belongs to, by one configuration."""

from __future__ import annotations

import random

from vetchusher.settings.configuration import Configuration, Route, Service, Tenant


class RouteTable:
    """Look-ups in one configuration; as immutable as that."""

    def __init__(self, configuration: Configuration) -> None:
        """Index the routes by host and the tenants by key."""
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._keys = {key: tenant for tenant in configuration.tenants.values() for key in tenant.credentials}

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path; None: there is none.

        The host's port and its case do not count.
        """
        routes = self._hosts.get(host.partition(":")[0].rstrip(".").lower())
        path = target.partition("?")[0]
        while routes and (end := path.rfind("/") + 1):  # every prefix ends with a slash
            if (route := routes.get(path[:end])) is not None:
                return route
            path = path[: end - 1]
        return None

    def tenant(self, key: str) -> Tenant | None:
        """Return the tenant of a key; None: no tenant has it."""
        return self._keys.get(key)

    def service(self, name: str) -> Service | None:
        """Return a service by its name."""
        return self.configuration.services.get(name)


def draw_services(route: Route, rng: random.Random) -> list[str]:
    """Return the services of a route: first the one drawn by weight, then the others that have any weight."""
    live = [(name, weight) for name, weight in route.targets if weight > 0]
    if len(live) < 2:
        return [name for name, _ in live]
    names = [name for name, _ in live]
    first = rng.choices(names, [weight for _, weight in live])[0]
    return [first, *(name for name in names if name != first)]


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """Return the regions in which a request may be served; None: in every region.

    Homes of route and tenant both bind.
    """
    homes = [some for some in (route.home_regions, tenant.home_regions if tenant else None) if some]
    return frozenset.intersection(*homes) if homes else None
