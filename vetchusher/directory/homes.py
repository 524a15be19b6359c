"""Which regions a host's routes allow for its requests: what the directory has to know of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import orjson

from vetchusher.distribution.rows import ROUTE, under
from vetchusher.distribution.source import Source
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple

EMPTY_HOMES = b'"home_regions":[]'  # as rows of routes spell it (`distribution.rows.encoded`)


@dataclass(slots=True, frozen=True)
class HostHomes:
    """The homes of the routes of one host, or of several, that have any.

    :param routes: one set of regions for each of these routes
    """

    routes: tuple[frozenset[str], ...] = ()

    def conflicts(self, region: str) -> int:
        """Return how many routes do not have a region as their home."""
        return sum(region not in homes for homes in self.routes)


NO_HOMES = HostHomes()


class HomeIndex:
    """Homes by host, from the rows of the source `control`; indexed again once those have changed."""

    def __init__(self, control: Source) -> None:
        """Begin with an empty index.

        :param control: source of the configuration's rows
        """
        self.control = control
        self.stamp: StampTuple = ZERO_STAMP
        self.hosts: dict[str, HostHomes] = {}
        self.all_hosts = NO_HOMES

    def homes_of(self, host: str) -> HostHomes:
        """Return the homes of a host's routes, of all routes where the host is unknown.

        :param host: its port and its case do not count
        """
        if self.stamp != self.control.stamp:
            self.index()
        return self.hosts.get(host.partition(":")[0].rstrip(".").lower(), self.all_hosts)

    def index(self) -> None:
        """Index the rows as they stand now."""
        self.stamp = self.control.stamp
        by_host = homes_by_host(self.control.values())
        self.hosts = {host: HostHomes(tuple(homes)) for host, homes in by_host.items()}
        self.all_hosts = HostHomes(tuple({homes for routes in by_host.values() for homes in routes}))


def homes_by_host(rows: Mapping[str, bytes]) -> dict[str, set[frozenset[str]]]:
    """Return the different homes of each host's routes; a host without any is there, too."""
    found: dict[str, set[frozenset[str]]] = {}
    for key, value in under(rows, ROUTE):
        homes = found.setdefault(key.partition("/")[0], set())
        if EMPTY_HOMES not in value:
            homes.add(frozenset(route_homes(value)))
    return found


def route_homes(row: bytes) -> Iterable[str]:
    """Return the home regions in the row of a route."""
    tree = orjson.loads(row)
    return [str(region) for region in tree.get("home_regions") or ()]
