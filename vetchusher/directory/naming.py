"""The directory's choice: which serving ingresses are named to a client of one region and zone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MOST_NAMED = 64  # addresses in one answer
FEWEST_NAMED = 2  # with fewer in its region a client would have nowhere to go when one dies


@dataclass(slots=True, frozen=True)
class ServingIngress:
    """An ingress that serves.

    :param address: `host:port` for clients
    """

    node: str
    zone: str
    region: str
    address: str


def choose_addresses(ingresses: Iterable[ServingIngress], region: str, zone: str) -> list[str]:
    """Return addresses for a client: those of its region, or all where that has fewer than two."""
    serving = list(ingresses)
    near = [one for one in serving if one.region == region]
    chosen = near if len(near) >= FEWEST_NAMED else serving
    chosen.sort(key=lambda one: (one.region != region, one.zone != zone, one.node))
    return [one.address for one in chosen[:MOST_NAMED]]


def encode_ingress(ip: str, ingress: ServingIngress, *, serving: bool) -> bytes:
    """Encode an ingress as a row of the source `directory`."""
    fields = [ip, ingress.zone, ingress.region, ingress.address, int(serving)]
    return json.dumps(fields, separators=(",", ":")).encode()


def serving_ingresses(rows: Mapping[str, bytes]) -> list[ServingIngress]:
    """Return the ingresses that the rows of the source `directory` say serve."""
    found = []
    for node, value in rows.items():
        try:
            _, zone, region, front, serving = json.loads(value)
        except (ValueError, TypeError):
            continue
        if serving and front:
            found.append(ServingIngress(node, str(zone), str(region), str(front)))
    return found
