"""The patch of an ingress: the servers of a service to which it keeps while they do well.

Many ingresses share many servers.  If each sent to all, it would meet each server so seldom that its idle
connections were forgotten in between, and its own answers told nothing of that server's health.  So each
server is worked by a few ingresses only, as many for each, named by rendezvous hashing: one ingress or one
server more moves only the patches that it is or was in.  Those of the server's own zone are named first.

Kin: deterministic and rendezvous subsetting (Google's SRE book, ch. 20; Twitter's aperture).
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

PATCH = 8  # servers that an ingress works, on average: it can lose a few of them and still choose
SPARE = 2  # and so many times what it would need for its own part of the work at least


def workers(ingresses: int, servers: int) -> int:
    """How many ingresses work each server, where so many share them: patches hold PATCH servers on average,
    or SPARE times one ingress's part of the servers if that is more."""
    if ingresses <= 0 or servers <= 0:
        return 0
    patch = max(PATCH, ceil(SPARE * servers / ingresses))
    return min(ingresses, ceil(ingresses * patch / servers))


def rank(ingress: str, instance: str) -> bytes:
    return blake2b(f"{ingress}\n{instance}".encode(), digest_size=8, person=b"patch").digest()


class Patches:
    """Owner of what was reckoned, by instance; gone with the instance or with a change of the ingresses.

    :param me: node name of this ingress
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.zones: Mapping[str, str] = {}  # by node name: its zone; of the ingresses that share
        self.before: dict[str, int] = {}  # by instance: how many ingresses come before this one

    def ingresses(self, zones: Mapping[str, str]) -> bool:
        """Those of this ingress's region that may be serving, itself among them; whether that is news."""
        if zones == self.zones:
            return False
        self.zones = dict(zones)
        self.before = {}
        return True

    def keep(self, instances: Mapping[str, object]) -> None:
        """Forget the servers that are gone."""
        self.before = {name: at for name, at in self.before.items() if name in instances}

    def holds(self, instance: str, zone: str, servers: int) -> bool:
        """Whether this ingress works that server, one of so many of its service and region.

        An ingress that no news names yet works all.
        """
        number = workers(len(self.zones), servers)
        if self.me not in self.zones or number >= len(self.zones):
            return True
        at = self.before.get(instance)
        if at is None:
            at = self.before[instance] = self._before(instance, zone)
        return at < number

    def _before(self, instance: str, zone: str) -> int:
        mine = (self.zones[self.me] == zone, rank(self.me, instance))
        others = (name for name in self.zones if name != self.me)
        return sum(1 for name in others if (self.zones[name] == zone, rank(name, instance)) > mine)
