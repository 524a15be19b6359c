"""The few other ingresses that one watches, by rendezvous hashing (Thaler, Ravishankar 1998).

Each ingress computes its own set from the same rows; adding or removing one changes only the sets it is in.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

NEAR, FAR = 2, 1  # of the own region, and of others: a region that is cut off has itself, and not only itself


@dataclass(slots=True, frozen=True)
class IngressLocation:
    """Where an ingress is."""

    ip: str
    zone: str
    region: str


def decode_locations(rows: Mapping[str, bytes]) -> dict[str, IngressLocation]:
    """Return the ingresses by name, from the rows of the source `directory`; those without an address are
    left out.
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
    """Return the rank of one ingress for another that watches it."""
    return blake2b(f"{watcher}\n{watched}".encode(), digest_size=8).digest()


def choose_neighbours(own_name: str, region: str, places: Mapping[str, IngressLocation]) -> list[str]:
    """Return the addresses of those that an ingress watches: the highest ranks, most in its region."""
    others = sorted(
        (node for node in places if node != own_name), key=lambda node: rank(own_name, node), reverse=True
    )
    near = [node for node in others if places[node].region == region]
    far = [node for node in others if places[node].region != region]
    chosen = near[:NEAR] + far[:FAR]
    rest = near[NEAR:] + far[FAR:]
    return [places[node].ip for node in (chosen + rest)[: NEAR + FAR]]
