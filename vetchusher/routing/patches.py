"""The patch of an ingress: the servers of a service to which it keeps while they do well.

Many ingresses share many servers.  If each sent to all, it would meet each server so seldom that its idle
connections were forgotten in between, and its own answers told nothing of that server's health.  So each
server is worked by a few ingresses only, as many for each, named by rendezvous hashing: one ingress or one
server more moves only the patches that it is or was in.  Those of the server's own zone are named first.

Kin: deterministic and rendezvous subsetting (Google's SRE book, ch. 20; Twitter's aperture).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

PATCH = 8  # servers that an ingress works, on average: it can lose a few of them and still choose
SPARE = 2  # and so many times what it would need for its own part of the work at least

MOST_CHANGED = 0.25  # of the ingresses: where more change at once, all is reckoned anew when it is needed


def workers(ingresses: int, servers: int) -> int:
    """How many ingresses work each server, where so many share them: patches hold PATCH servers on average,
    or SPARE times one ingress's part of the servers if that is more."""
    if ingresses <= 0 or servers <= 0:
        return 0
    patch = max(PATCH, ceil(SPARE * servers / ingresses))
    return min(ingresses, ceil(ingresses * patch / servers))


def rank(ingress: str, instance: str) -> bytes:
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


class Patches:
    """Owner of what was reckoned, by instance; gone with the instance, or anew when many ingresses change.

    :param me: node name of this ingress
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.zones: Mapping[str, str] = {}  # by node name: its zone; of the ingresses that share
        self.places: dict[str, Place] = {}  # by instance

    def ingresses(self, zones: Mapping[str, str]) -> bool:
        """Those of this ingress's region that may be serving, itself among them; whether that is news."""
        if zones == self.zones:
            return False
        old, self.zones = self.zones, dict(zones)
        changed = [name for name in old.keys() | zones.keys() if old.get(name) != zones.get(name)]
        if self.me in changed or len(changed) > len(zones) * MOST_CHANGED:
            self.places = {}
        else:
            self._change(old, changed)
        return True

    def _change(self, old: Mapping[str, str], changed: Iterable[str]) -> None:
        """Danger: to rank all ingresses anew for each server takes half a second of 160 and 2,600."""
        for instance, place in self.places.items():
            for name in changed:
                if name in old:
                    place.before -= self._is_before(name, old, instance, place)
                if name in self.zones:
                    place.before += self._is_before(name, self.zones, instance, place)

    def keep(self, instances: Mapping[str, object]) -> None:
        """Forget the servers that are gone."""
        self.places = {name: place for name, place in self.places.items() if name in instances}

    def holds(self, instance: str, zone: str, servers: int) -> bool:
        """Whether this ingress works that server, one of so many of its service and region.

        An ingress that no news names yet works all.
        """
        number = workers(len(self.zones), servers)
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
