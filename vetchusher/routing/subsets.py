"""Subsetting: the servers of a service to which one ingress prefers to send.

Many ingresses share many servers.  If each sent to all, its requests to one server would be so rare that idle
connections expire in between and its own answers say nothing of that server's health.  So each server is
preferred by a few ingresses, the same number for each, named by rendezvous hashing: an ingress or a server
more or less changes only the subsets that it is in.  Ingresses of the server's own zone are named first.

Source: deterministic subsetting (Google's SRE book, chapter 20; Twitter's aperture).
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from math import ceil

SUBSET_SIZE = 8  # servers that an ingress prefers, on average: it can lose a few and still choose
SPARE_FACTOR = 2  # times its even part of the servers, at the least


def ingresses_per_server(ingresses: int, servers: int) -> int:
    """How many ingresses prefer each server.

    Subsets hold SUBSET_SIZE servers on average, or SPARE_FACTOR times an even part if that is more.
    """
    if ingresses <= 0 or servers <= 0:
        return 0
    subset = max(SUBSET_SIZE, ceil(SPARE_FACTOR * servers / ingresses))
    return min(ingresses, ceil(ingresses * subset / servers))


def rank(ingress: str, instance: str) -> bytes:
    return blake2b(f"{ingress}\n{instance}".encode(), digest_size=8, person=b"patch").digest()


class Subsets:
    """Owner of this ingress's rank at each server; dropped with the server or with a change of the ingresses.

    :param me: node name of this ingress
    """

    def __init__(self, me: str) -> None:
        self.me = me
        self.zones: Mapping[str, str] = {}  # by node name: its zone; of the ingresses that share
        self.ranked_before: dict[str, int] = {}  # by instance: how many ingresses come before this one

    def ingresses(self, zones: Mapping[str, str]) -> bool:
        """Take the ingresses of this region that may be serving, itself included; whether they changed."""
        if zones == self.zones:
            return False
        self.zones = dict(zones)
        self.ranked_before = {}
        return True

    def keep(self, instances: Mapping[str, object]) -> None:
        """Forget the servers that are gone."""
        self.ranked_before = {name: at for name, at in self.ranked_before.items() if name in instances}

    def holds(self, instance: str, zone: str, servers: int) -> bool:
        """Whether this ingress prefers that server, one of so many of its service and region.

        An ingress that no row names yet prefers all.
        """
        number = ingresses_per_server(len(self.zones), servers)
        if self.me not in self.zones or number >= len(self.zones):
            return True
        at = self.ranked_before.get(instance)
        if at is None:
            at = self.ranked_before[instance] = self._before(instance, zone)
        return at < number

    def _before(self, instance: str, zone: str) -> int:
        mine = (self.zones[self.me] == zone, rank(self.me, instance))
        others = (name for name in self.zones if name != self.me)
        return sum(1 for name in others if (self.zones[name] == zone, rank(name, instance)) > mine)
