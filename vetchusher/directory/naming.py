"""Whom the directory names to a client, by what is known of who serves."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MOST_NAMED = 64  # addresses in one answer
FEWEST_NAMED = 2  # with fewer in its region a client would have nowhere to go when one dies


@dataclass(slots=True, frozen=True)
class Entrance:
    """An ingress that serves.

    :param front: `host:port` for clients
    """

    node: str
    zone: str
    region: str
    front: str


def named(entrances: Iterable[Entrance], region: str, zone: str) -> list[str]:
    """Fronts for a client of that place: its region's; with fewer than two there, all."""
    serving = list(entrances)
    near = [one for one in serving if one.region == region]
    chosen = near if len(near) >= FEWEST_NAMED else serving
    chosen.sort(key=lambda one: (one.region != region, one.zone != zone, one.node))
    return [one.front for one in chosen[:MOST_NAMED]]


def row_of(ip: str, entrance: Entrance, serving: bool) -> bytes:
    told = [ip, entrance.zone, entrance.region, entrance.front, int(serving)]
    return json.dumps(told, separators=(",", ":")).encode()


def entrances_of(rows: Mapping[str, bytes]) -> list[Entrance]:
    """Those that the entrance's rows say serve."""
    found = []
    for node, value in rows.items():
        try:
            _, zone, region, front, serving = json.loads(value)
        except (ValueError, TypeError):
            continue
        if serving and front:
            found.append(Entrance(node, str(zone), str(region), str(front)))
    return found
