"""Subsetting: selects the servers of a service to which one ingress prefers to send.

If each of many ingresses sent to each of many servers, its requests to one server would be so rare that idle
connections expire in between, and that it could not measure the server's health. So each server is preferred
by a few ingresses, the same number for every server, selected by rendezvous hashing: an ingress or a server
that is added or removed changes only the subsets that it is in. Ingresses in the server's own zone are
selected first.

Source: deterministic subsetting (Google's SRE book, chapter 20; Twitter's aperture).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

# Minimum mean size of a subset: a few of its servers may fail, and there is still a choice.
MEAN_SUBSET_SERVERS = 8
MIN_EVEN_SHARES = 2  # a subset has at least this many times the ingress's even share of the servers
# If a larger ratio of the ingresses changes at once, all positions are dropped and recomputed when needed.
MAX_CHANGED_RATIO = 0.25


def ingresses_per_server(ingresses: int, servers: int) -> int:
    """Return how many ingresses prefer each server."""
    if ingresses <= 0 or servers <= 0:
        return 0
    subset_size = max(MEAN_SUBSET_SERVERS, ceil(MIN_EVEN_SHARES * servers / ingresses))
    return min(ingresses, ceil(ingresses * subset_size / servers))


def rank(ingress: str, instance: str) -> bytes:
    """Return the rank of an ingress for a server; the ingresses with the highest ranks prefer the server."""
    return blake2b(f"{ingress}\n{instance}".encode(), digest_size=8, person=b"patch").digest()


@dataclass(slots=True)
class Position:
    """Position of this ingress among all ingresses that could prefer one server.

    :param zone: zone of the server
    :param rank: rank of this ingress for the server
    :param ingresses_before: number of ingresses that come before this one
    """

    zone: str
    rank: bytes
    ingresses_before: int = 0


class Subsets:
    """Owner of this ingress's position at each server.

    A position is dropped with its server, or when many ingresses change at once.
    """

    def __init__(self, node: str) -> None:
        """Start without other ingresses.

        :param node: node name of this ingress
        """
        self.node = node
        self.zones: Mapping[str, str] = {}  # zone by node name, of the ingresses that share the servers
        self.positions: dict[str, Position] = {}  # by instance

    def set_ingresses(self, zones: Mapping[str, str]) -> bool:
        """Update the ingresses of this region that may be serving, including this one.

        :param zones: zone by node name
        :returns: whether they changed
        """
        if zones == self.zones:
            return False
        previous, self.zones = self.zones, dict(zones)
        changed = [name for name in previous.keys() | zones.keys() if previous.get(name) != zones.get(name)]
        if self.node in changed or len(changed) > len(zones) * MAX_CHANGED_RATIO:
            self.positions = {}
        else:
            self._update_positions(previous, changed)
        return True

    def _update_positions(self, previous: Mapping[str, str], changed: Iterable[str]) -> None:
        """Update all positions for the ingresses that changed.

        Safety: recomputing every rank would take half a second with 160 ingresses and 2,600 servers.
        """
        for instance, position in self.positions.items():
            for name in changed:
                if name in previous:
                    position.ingresses_before -= self._is_before(name, previous, instance, position)
                if name in self.zones:
                    position.ingresses_before += self._is_before(name, self.zones, instance, position)

    def retain_servers(self, instances: Mapping[str, object]) -> None:
        """Drop the positions at servers that are no longer listed."""
        self.positions = {name: position for name, position in self.positions.items() if name in instances}

    def contains(self, instance: str, zone: str, servers: int) -> bool:
        """Return whether this ingress prefers a server.

        :param instance: the server
        :param zone: zone of the server
        :param servers: number of servers of its service and region
        """
        preferring_ingresses = ingresses_per_server(len(self.zones), servers)
        if self.node not in self.zones or preferring_ingresses >= len(self.zones):
            return True
        position = self.positions.get(instance)
        if position is None:
            position = self.positions[instance] = self._compute_position(instance, zone)
        return position.ingresses_before < preferring_ingresses

    def _compute_position(self, instance: str, zone: str) -> Position:
        """Return this ingress's position at a server, computed from the ranks of all ingresses."""
        position = Position(zone, rank(self.node, instance))
        others = (name for name in self.zones if name != self.node)
        position.ingresses_before = sum(
            self._is_before(name, self.zones, instance, position) for name in others
        )
        return position

    def _is_before(self, name: str, zones: Mapping[str, str], instance: str, position: Position) -> bool:
        """Return whether an ingress comes before this one at a server.

        Ingresses in the server's zone come first, then those of higher rank.
        """
        own_order = (self.zones[self.node] == position.zone, position.rank)
        return (zones[name] == position.zone, rank(name, instance)) > own_order
