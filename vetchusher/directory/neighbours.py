"""Chooses the few other ingresses that one sends heartbeats to, by rendezvous hashing.

See Thaler, Ravishankar 1998. Each ingress computes its own set from the same rows; adding or removing an
ingress changes only the sets that it belongs to.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

# Neighbours of the own region, and of others. The former are reachable if the region is partitioned from all
# others; the latter may have updates that no ingress of the own region has received.
OWN_REGION_COUNT, OTHER_REGION_COUNT = (
    2,
    1,
)


@dataclass(slots=True, frozen=True)
class IngressLocation:
    """An ingress's address, zone and region."""

    ip: str
    zone: str
    region: str


def decode_locations(rows: Mapping[str, bytes]) -> dict[str, IngressLocation]:
    """Return the locations of ingresses by node name, from the rows of the source `directory`.

    Ingresses without an address, and rows that cannot be read, are left out.
    """
    found = {}
    for node, value in rows.items():
        try:
            ip, zone, region, *_ = json.loads(value)
        except (ValueError, TypeError):
            continue
        if ip:
            found[node] = IngressLocation(str(ip), str(zone), str(region))
    return found


def rank(watcher: str, watched: str) -> bytes:
    """Return the rank of one ingress among the neighbours of another."""
    return blake2b(f"{watcher}\n{watched}".encode(), digest_size=8).digest()


def choose_neighbours(own_name: str, region: str, places: Mapping[str, IngressLocation]) -> list[str]:
    """Return the addresses of an ingress's neighbours: those with the highest ranks, most in its region.

    If its region or the others have too few, the remaining ones of either fill up.
    """
    others = sorted(
        (node for node in places if node != own_name), key=lambda node: rank(own_name, node), reverse=True
    )
    near = [node for node in others if places[node].region == region]
    far = [node for node in others if places[node].region != region]
    chosen = near[:OWN_REGION_COUNT] + far[:OTHER_REGION_COUNT]
    remaining = near[OWN_REGION_COUNT:] + far[OTHER_REGION_COUNT:]
    return [places[node].ip for node in (chosen + remaining)[: OWN_REGION_COUNT + OTHER_REGION_COUNT]]
