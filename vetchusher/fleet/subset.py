"""Which of the ready instances an ingress prefers: an even share of the pairs of ingress and instance.

Danger: where every ingress uses every instance, each pair sees a command once in many seconds.  Each
command then pays for a new connection, instances run short of them, and no ingress has met an instance
often enough to know that it fails or is slow.  An ingress therefore prefers a part of the fleet.  The
parts are cut so that each instance is preferred by about as many ingresses as any other, that all
ingresses compute them alike from the list alone, and that one instance more or less moves little.

Ingresses are taken in rounds.  In each round the instances are put in an order of its own and cut into
as many slices as the round has ingresses, one slice each.  An instance that comes or goes moves the
cuts of a round by one place at most.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil

from vetchusher.state import mix64

LEAST = 10  # instances preferred at least: room for some that drain, fail or are full
WIDER, NARROWER = 0.25, 0.9  # of a slice: how clearly the living must be fewer, or more again
HELD_BY = 8  # ingresses that prefer an instance at least: traffic shifts between ingresses


def slices(instances: int, ingresses: int) -> int:
    """Into how many parts a round cuts the instances."""
    return max(1, min(ingresses // HELD_BY, instances // LEAST))


def holders(instances: int, ingresses: int) -> int:
    """Ingresses that prefer one instance, at most."""
    return -(-ingresses // slices(instances, ingresses))


def turn(index: int, instances: int, ingresses: int) -> int:
    """The round of this ingress: its number among those that prefer an instance."""
    return index // slices(instances, ingresses)


def widen(wide: int, living: int, ingresses: int) -> int:
    """How many slices of its round an ingress prefers where only so many of the ingresses serve.

    Slices are added, never moved, and only when the living are clearly fewer, or clearly more again: a
    member that comes and goes moves nothing.
    """
    need = ingresses / max(1, living)
    if need > wide + WIDER or need < wide - NARROWER:
        return max(1, ceil(need - WIDER))
    return wide


def subset(ids: Iterable[int], index: int, ingresses: int, wide: int = 1) -> frozenset[int]:
    """The instances that the ingress of this index prefers, among those ready.

    :param wide: slices of its round, from its own on
    """
    known = list(ids)
    n = len(known)
    parts = slices(n, ingresses)
    if parts < 2:
        return frozenset(known)
    salt, place = mix64(index // parts + 1), index % parts
    ordered = sorted(known, key=lambda i: mix64(i ^ salt))
    found = ordered[place * n // parts : (place + min(wide, parts)) * n // parts]
    return frozenset(found + ordered[: max(0, place + min(wide, parts) - parts) * n // parts])
