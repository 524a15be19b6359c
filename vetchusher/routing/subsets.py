"""Subsetting: the servers of a service to which one ingress prefers to send.

Many ingresses share many servers.  If each sent to all, its requests to one server would be so rare that idle
connections expire in between and its own answers say nothing of that server's health.  So each server is
preferred by a few ingresses, the same number for each, named by rendezvous hashing: an ingress or a server
more or less changes only the subsets that it is in.  Ingresses of the server's own zone are named first.

Source: deterministic subsetting (Google's SRE book, chapter 20; Twitter's aperture).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

SUBSET_SIZE = 8  # servers that an ingress prefers, on average: it can lose a few and still choose
SPARE_FACTOR = 2  # times its even part of the servers, at the least
MAX_CHANGED = 0.25  # of the ingresses: where more change at once, all ranks are computed anew when needed


def ingresses_per_server(ingresses: int, servers: int) -> int:
    """Return how many ingresses prefer each server."""
    if ingresses <= 0 or servers <= 0:
        return 0
    subset = max(SUBSET_SIZE, ceil(SPARE_FACTOR * servers / ingresses))
    return min(ingresses, ceil(ingresses * subset / servers))


def rank(ingress: str, instance: str) -> bytes:
    """Return the rank of an ingress for a server; the highest ranks prefer it."""
    return blake2b(f"{ingress}\n{instance}".encode(), digest_size=8, person=b"patch").digest()


@dataclass(slots=True)
class Place:
    """Where this ingress stands among those that share one server.

    :param zone: the server's
    :param rank: of this ingress for that server
    :param before: how many ingresses come before it
    """

    zone: str
    rank: bytes
    before: int = 0


class Subsets:
    """Owner of this ingress's place at each server; dropped with the server, or when many ingresses change.

    :param me: node name of this ingress
    """

    def __init__(self, me: str) -> None:
        """Begin with this ingress alone."""
        self.me = me
        self.zones: Mapping[str, str] = {}  # by node name: its zone; of the ingresses that share
        self.places: dict[str, Place] = {}  # by instance

    def ingresses(self, zones: Mapping[str, str]) -> bool:
        """Take the ingresses of this region that may be serving, itself included; return whether they
        changed.
        """
        if zones == self.zones:
            return False
        old, self.zones = self.zones, dict(zones)
        changed = [name for name in old.keys() | zones.keys() if old.get(name) != zones.get(name)]
        if self.me in changed or len(changed) > len(zones) * MAX_CHANGED:
            self.places = {}
        else:
            self._change(old, changed)
        return True

    def _change(self, old: Mapping[str, str], changed: Iterable[str]) -> None:
        """Safety: to rank all ingresses anew for each server takes half a second of 160 and 2,600."""
        for instance, place in self.places.items():
            for name in changed:
                if name in old:
                    place.before -= self._is_before(name, old, instance, place)
                if name in self.zones:
                    place.before += self._is_before(name, self.zones, instance, place)

    def keep(self, instances: Mapping[str, object]) -> None:
        """Forget the servers that are gone."""
        self.places = {name: place for name, place in self.places.items() if name in instances}

    def contains(self, instance: str, zone: str, servers: int) -> bool:
        """Return whether this ingress prefers a server.

        :param servers: of its service and region, as many as there are
        """
        number = ingresses_per_server(len(self.zones), servers)
        if self.me not in self.zones or number >= len(self.zones):
            return True
        place = self.places.get(instance)
        if place is None:
            place = self.places[instance] = self._place(instance, zone)
        return place.before < number

    def _place(self, instance: str, zone: str) -> Place:
        place = Place(zone, rank(self.me, instance))
        others = (name for name in self.zones if name != self.me)
        place.before = sum(self._is_before(name, self.zones, instance, place) for name in others)
        return place

    def _is_before(self, name: str, zones: Mapping[str, str], instance: str, place: Place) -> bool:
        """Those of the server's own zone come first, then those of higher rank."""
        mine = (self.zones[self.me] == place.zone, place.rank)
        return (zones[name] == place.zone, rank(name, instance)) > mine
