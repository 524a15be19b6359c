"""Indexes the home regions of routes by host, which is what the directory needs of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import orjson

from vetchusher.distribution.rows import ROUTE, rows_with_prefix
from vetchusher.distribution.source import Source
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple

EMPTY_HOMES = b'"home_regions":[]'  # as `distribution.rows.encode_part` writes it into the row of a route


@dataclass(slots=True, frozen=True)
class HostHomes:
    """The home regions of the routes of one host or of several; routes without homes are left out.

    :param routes: the different sets of home regions
    """

    routes: tuple[frozenset[str], ...] = ()

    def conflicts(self, region: str) -> int:
        """Return how many of the sets of homes do not contain a region."""
        return sum(region not in homes for homes in self.routes)


NO_HOMES = HostHomes()


class HomeIndex:
    """Homes by host, from the rows of the source `control`; rebuilt when their stamp has changed."""

    def __init__(self, control: Source) -> None:
        """Begin with an empty index.

        :param control: source of the configuration's rows
        """
        self.control = control
        self.stamp: StampTuple = ZERO_STAMP
        self.hosts: dict[str, HostHomes] = {}
        self.all_hosts = NO_HOMES

    def homes_of(self, host: str) -> HostHomes:
        """Return the homes of a host's routes, or of all routes if the host is unknown.

        :param host: compared without its port, a dot at its end and its case
        """
        if self.stamp != self.control.stamp:
            self.index()
        return self.hosts.get(host.partition(":")[0].rstrip(".").lower(), self.all_hosts)

    def index(self) -> None:
        """Rebuild the index from the current rows."""
        self.stamp = self.control.stamp
        by_host = homes_by_host(self.control.values())
        self.hosts = {host: HostHomes(tuple(homes)) for host, homes in by_host.items()}
        self.all_hosts = HostHomes(tuple({homes for routes in by_host.values() for homes in routes}))


def homes_by_host(rows: Mapping[str, bytes]) -> dict[str, set[frozenset[str]]]:
    """Return the different sets of homes of each host's routes; the set is empty if no route has homes."""
    found: dict[str, set[frozenset[str]]] = {}
    for key, value in rows_with_prefix(rows, ROUTE):
        homes = found.setdefault(key.partition("/")[0], set())
        if EMPTY_HOMES not in value:
            homes.add(frozenset(route_homes(value)))
    return found


def route_homes(row: bytes) -> Iterable[str]:
    """Return the home regions in a route's row."""
    tree = orjson.loads(row)
    return [str(region) for region in tree.get("home_regions") or ()]
