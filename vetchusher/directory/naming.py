"""Chooses the ingresses whose addresses the directory returns to a client of one region and zone.

Safety: requests of a route with home regions must not be sent to an ingress outside these homes and the
client's own region. So ingresses of another region are returned only if it is a home of every route of the
host that has homes. Any other region is used only if the client's own region has no ingress that accepts
clients, not even one that is shutting down.

A few ingresses must not get the requests of a whole region: if less than `MIN_SERVING_RATIO` of a region's
ingresses serve, allowed ones of other regions are returned too, as many as are missing from that share.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from hashlib import blake2b
from math import ceil

from .homes import NO_HOMES, HostHomes

MAX_ADDRESSES = 64  # addresses in one answer
MIN_ADDRESSES = 2  # with only one, a client could send nothing after that ingress fails
MIN_SERVING_RATIO = 0.25  # a smaller part of a region's ingresses would be overloaded by all of its clients


class IngressState(IntEnum):
    """Whether clients may be sent to an ingress."""

    ABSENT = 0  # not ready, or no recent heartbeat
    SERVING = 1
    LEAVING = 2  # shutting down gracefully; it still accepts clients for a while


class Scope(StrEnum):
    """The regions from which the ingresses of an answer were chosen; the value appears in log and metrics."""

    OWN_REGION = "own_region"  # serving ingresses of the client's region
    HOME_REGIONS = "home_regions"  # also of regions that are homes of every route of the host that has homes
    LEAVING = "leaving"  # ingresses of the client's region that are shutting down
    ANY_REGION = "any_region"  # other regions, even if they are no homes of the host's routes
    NOBODY = "nobody"  # there was no ingress to choose


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

    :param addresses: `host:port` of the ingresses, the nearest first
    :param scope: where they were chosen from
    :param serving: number of ingresses of the client's region that serve
    :param leaving: number of ingresses of the client's region that are shutting down
    """

    addresses: tuple[str, ...]
    scope: Scope
    serving: int
    leaving: int


@dataclass(slots=True, frozen=True)
class Client:
    """A client's region and zone, and the homes of the routes of the host that it asks for."""

    region: str
    zone: str
    homes: HostHomes = NO_HOMES


def choose_ingresses(ingresses: Iterable[ListedIngress], client: Client) -> Resolution:
    """Return the ingresses to which a client may send requests, by the rules at the head of this module."""
    listed = list(ingresses)
    own = [one for one in listed if one.region == client.region]
    near = [one for one in own if one.state is IngressState.SERVING]
    leaving = [one for one in own if one.state is IngressState.LEAVING]
    far = [one for one in listed if one.region != client.region and one.state is IngressState.SERVING]
    allowed = [one for one in far if not client.homes.conflicts(one.region)]
    wanted = max(MIN_ADDRESSES, ceil(MIN_SERVING_RATIO * len(own)))
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
    addresses = tuple(one.address for one in ordered[:MAX_ADDRESSES])
    return Resolution(addresses, scope, len(near), len(leaving))


def spread(ingresses: Sequence[ListedIngress], zone: str, count: int) -> list[ListedIngress]:
    """Return `count` ingresses by rendezvous hashing; clients of different zones get different ones."""

    def rank(one: ListedIngress) -> bytes:
        return blake2b(f"{zone}\n{one.node}".encode(), digest_size=8).digest()

    return sorted(ingresses, key=rank)[:count]


def least_conflicting(ingresses: Sequence[ListedIngress], homes: HostHomes) -> list[ListedIngress]:
    """Return the ingresses in the regions with the fewest conflicts, i.e. homes of the most routes."""
    conflicts = {one.region: homes.conflicts(one.region) for one in ingresses}
    fewest = min(conflicts.values(), default=0)
    return [one for one in ingresses if conflicts[one.region] == fewest]


def encode_ingress(ip: str, ingress: ListedIngress) -> bytes:
    """Encode an ingress as a row of the source `directory`.

    One that is shutting down has a sixth field; earlier releases skip such a row and do not return it to
    clients.
    """
    serving = int(ingress.state is IngressState.SERVING)
    fields = [ip, ingress.zone, ingress.region, ingress.address, serving]
    if ingress.state is IngressState.LEAVING:
        fields.append(1)
    return json.dumps(fields, separators=(",", ":")).encode()


def listed_ingresses(rows: Mapping[str, bytes]) -> list[ListedIngress]:
    """Return the ingresses in rows of the source `directory`; those without an address are left out."""
    found = []
    for node, value in rows.items():
        try:
            _, zone, region, address, serving, *leaving = json.loads(value)
        except (ValueError, TypeError):
            continue
        if address:
            state = IngressState.SERVING if serving else IngressState.ABSENT
            if leaving and leaving[0]:
                state = IngressState.LEAVING
            found.append(ListedIngress(node, str(zone), str(region), str(address), state))
    return found
