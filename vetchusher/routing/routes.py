"""Which route and which tenant a request belongs to, by one configuration."""

from __future__ import annotations

import random

from vetchusher.settings.configuration import Configuration, Route, Service, Tenant


class RouteTable:
    """Look-ups in one configuration; as immutable as that."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._keys = {key: tenant for tenant in configuration.tenants.values() for key in tenant.credentials}

    def find(self, host: str, target: str) -> Route | None:
        """The route of that host (its port and its case do not count) with the longest prefix of the path.

        :param target: the raw path, with or without its query
        """
        routes = self._hosts.get(host.partition(":")[0].rstrip(".").lower())
        path = target.partition("?")[0]
        while routes and (end := path.rfind("/") + 1):  # every prefix ends with a slash
            if (route := routes.get(path[:end])) is not None:
                return route
            path = path[: end - 1]
        return None

    def tenant(self, key: str) -> Tenant | None:
        return self._keys.get(key)

    def service(self, name: str) -> Service | None:
        return self.configuration.services.get(name)


def draw_services(route: Route, rng: random.Random) -> list[str]:
    """The services of a route: first the one drawn by weight, then the others that have any weight."""
    live = [(name, weight) for name, weight in route.targets if weight > 0]
    if len(live) < 2:
        return [name for name, _ in live]
    names = [name for name, _ in live]
    first = rng.choices(names, [weight for _, weight in live])[0]
    return [first, *(name for name in names if name != first)]


def allowed_regions(route: Route, tenant: Tenant | None) -> frozenset[str] | None:
    """The regions in which it may be served; none named at all: every region.

    Safety: where both have homes each binds; an empty cut allows no region, and must not read as "all".
    """
    homes = [some for some in (route.home_regions, tenant.home_regions if tenant else None) if some]
    return frozenset.intersection(*homes) if homes else None
