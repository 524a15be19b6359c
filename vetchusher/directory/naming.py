"""The directory's choice: which ingresses are named to a client of one region and zone.

Safety: a request of a route with homes may not be led to an ingress outside these homes and the client's own
region.  So the own region is left only for regions that are homes of every route of the host, and while it
has an ingress that takes clients at all, for no other.  Only where nobody else is left are others named.

Requests are led to few ingresses only while few are there: where less than a quarter of a region's ingresses
serve, others that are allowed are named beside them, as many as the quarter lacks.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from hashlib import blake2b
from math import ceil

from .homes import NO_HOMES, HostHomes

MOST_NAMED = 64  # addresses in one answer
FEWEST_NAMED = 2  # with fewer a client would have nowhere to go when one dies
LEAST_SERVING_RATIO = 0.25  # of a region's ingresses: fewer would be overrun by all of its clients


class IngressState(IntEnum):
    """Whether clients may be sent to an ingress."""

    ABSENT = 0  # it is not ready, or silent
    SERVING = 1
    LEAVING = 2  # it is shutting down in order, and takes clients for a while yet


class Scope(StrEnum):
    """Where the ingresses of an answer stand; the value is what log and metrics say."""

    OWN_REGION = "own_region"
    HOME_REGIONS = "home_regions"  # others too: homes of every route of the host that has homes
    LEAVING = "leaving"  # of the own region, about to end
    ANY_REGION = "any_region"  # also where the host's routes have no home
    NOBODY = "nobody"


@dataclass(slots=True, frozen=True)
class ListedIngress:
    """An ingress as the directory knows it.

    :param address: `host:port` for clients
    """

    node: str
    zone: str
    region: str
    address: str
    state: IngressState = IngressState.SERVING


@dataclass(slots=True, frozen=True)
class Resolution:
    """The answer to a client.

    :param serving: ingresses of the client's region that serve
    :param leaving: those that are about to end
    """

    addresses: tuple[str, ...]
    scope: Scope
    serving: int
    leaving: int


@dataclass(slots=True, frozen=True)
class Client:
    """Where a client is, and which regions its host's routes allow."""

    region: str
    zone: str
    homes: HostHomes = NO_HOMES


def choose_ingresses(ingresses: Iterable[ListedIngress], client: Client) -> Resolution:
    """Return ingresses for a client."""
    listed = list(ingresses)
    own = [one for one in listed if one.region == client.region]
    near = [one for one in own if one.state is IngressState.SERVING]
    leaving = [one for one in own if one.state is IngressState.LEAVING]
    far = [one for one in listed if one.region != client.region and one.state is IngressState.SERVING]
    allowed = [one for one in far if not client.homes.conflicts(one.region)]
    wanted = max(FEWEST_NAMED, ceil(LEAST_SERVING_RATIO * len(own)))
    chosen, scope = near, Scope.OWN_REGION
    if len(near) < wanted and allowed:
        chosen = near + (spread(allowed, client.zone, wanted - len(near)) if near else allowed)
        scope = Scope.HOME_REGIONS
    elif not near and leaving:
        chosen, scope = leaving, Scope.LEAVING
    elif not near:
        chosen, scope = least_conflicting(far, client.homes), Scope.ANY_REGION
    if not chosen:
        scope = Scope.NOBODY
    ordered = sorted(chosen, key=lambda one: (one.region != client.region, one.zone != client.zone, one.node))
    addresses = tuple(one.address for one in ordered[:MOST_NAMED])
    return Resolution(addresses, scope, len(near), len(leaving))


def spread(ingresses: Sequence[ListedIngress], zone: str, count: int) -> list[ListedIngress]:
    """Return some of the ingresses, others for the clients of each zone."""

    def rank(one: ListedIngress) -> bytes:
        return blake2b(f"{zone}\n{one.node}".encode(), digest_size=8).digest()

    return sorted(ingresses, key=rank)[:count]


def least_conflicting(ingresses: Sequence[ListedIngress], homes: HostHomes) -> list[ListedIngress]:
    """Return those in the regions that are homes of the most routes."""
    conflicts = {one.region: homes.conflicts(one.region) for one in ingresses}
    fewest = min(conflicts.values(), default=0)
    return [one for one in ingresses if conflicts[one.region] == fewest]


def encode_ingress(ip: str, ingress: ListedIngress) -> bytes:
    """Encode an ingress as a row of the source `directory`.

    One that is leaving has a sixth field: an earlier release skips its row, and so names it to nobody.
    """
    serving = int(ingress.state is IngressState.SERVING)
    fields = [ip, ingress.zone, ingress.region, ingress.address, serving]
    if ingress.state is IngressState.LEAVING:
        fields.append(1)
    return json.dumps(fields, separators=(",", ":")).encode()


def listed_ingresses(rows: Mapping[str, bytes]) -> list[ListedIngress]:
    """Return the ingresses that rows of the source `directory` name, if clients can reach them."""
    found = []
    for node, value in rows.items():
        try:
            _, zone, region, front, serving, *leaving = json.loads(value)
        except (ValueError, TypeError):
            continue
        if front:
            state = IngressState.SERVING if serving else IngressState.ABSENT
            if leaving and leaving[0]:
                state = IngressState.LEAVING
            found.append(ListedIngress(node, str(zone), str(region), str(front), state))
    return found
