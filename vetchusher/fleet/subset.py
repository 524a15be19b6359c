"""Deterministic subsetting: which of the ready worker instances a gateway prefers.

If every gateway used every instance, each pair would see a command once in many seconds.  Each command would
then pay for a new connection, instances would run out of connections, and no gateway would meet an instance
often enough to detect that it fails or is slow.  A gateway therefore prefers a subset of the fleet.  Each
instance is preferred by about as many gateways as any other, all gateways compute the subsets alike from the
list alone, and adding or removing an instance changes little.

Gateways are divided into rounds.  Each round orders the instances by its own hash and cuts them into as many
slices as the round has gateways, one slice each.  An instance that is added or removed moves the boundaries
of a round's slices by one place at most.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil

from vetchusher.state import mix64

MIN_SUBSET_SIZE = 10  # instances; leaves a choice while some are draining, failing or full
WIDEN_MARGIN_RATIO, NARROW_MARGIN_RATIO = 0.25, 0.9  # hysteresis of the subset width, in slices
MIN_HOLDERS = 8  # gateways that prefer an instance, at least, because traffic shifts between gateways


def slice_count(instances: int, gateways: int) -> int:
    """Return the number of slices into which a round cuts the instances."""
    return max(1, min(gateways // MIN_HOLDERS, instances // MIN_SUBSET_SIZE))


def max_holders(instances: int, gateways: int) -> int:
    """Return the greatest number of gateways that prefer one instance."""
    return -(-gateways // slice_count(instances, gateways))


def round_of(index: int, instances: int, gateways: int) -> int:
    """Return the gateway's round, which is also its number among those that prefer an instance."""
    return index // slice_count(instances, gateways)


def subset_width(width: int, live_gateways: int, gateways: int) -> int:
    """Return how many slices of its round a gateway prefers while only `live_gateways` serve.

    Slices are added or removed, never moved, and only when the live gateways are clearly fewer or clearly
    more again, so that a gateway that leaves and returns changes nothing.

    :param width: the present number of slices
    """
    needed_width = gateways / max(1, live_gateways)
    if needed_width > width + WIDEN_MARGIN_RATIO or needed_width < width - NARROW_MARGIN_RATIO:
        return max(1, ceil(needed_width - WIDEN_MARGIN_RATIO))
    return width


def subset(ids: Iterable[int], index: int, gateways: int, width: int = 1) -> frozenset[int]:
    """Return the ready instances that the gateway with this index prefers.

    :param ids: all ready instances
    :param width: number of slices to prefer, starting with the gateway's own
    """
    instances = list(ids)
    count = len(instances)
    slices = slice_count(count, gateways)
    if slices < 2:
        return frozenset(instances)
    salt, slice_index = mix64(index // slices + 1), index % slices
    ordered = sorted(instances, key=lambda instance: mix64(instance ^ salt))
    preferred = ordered[slice_index * count // slices : (slice_index + min(width, slices)) * count // slices]
    return frozenset(
        preferred + ordered[: max(0, slice_index + min(width, slices) - slices) * count // slices]
    )
