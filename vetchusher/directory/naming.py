"""The directory's choice: which ingresses are named to a client of one region and zone."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum

MOST_NAMED = 64  # addresses in one answer
FEWEST_NAMED = 2  # with fewer in its region a client would have nowhere to go when one dies


class IngressState(IntEnum):
    """Whether clients may be sent to an ingress."""

    ABSENT = 0  # it is not ready, or silent
    SERVING = 1
    LEAVING = 2  # it is shutting down in order, and takes clients for a while yet


class Scope(StrEnum):
    """Where the ingresses of an answer stand; the value is what log and metrics say."""

    OWN_REGION = "own_region"
    HOME_REGIONS = "home_regions"  # others too, all of them homes of every route of the host that has homes
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


def choose_ingresses(ingresses: Iterable[ListedIngress], region: str, zone: str) -> Resolution:
    """Return ingresses for a client: those of its region, or all where that has fewer than two."""
    listed = list(ingresses)
    serving = [one for one in listed if one.state is IngressState.SERVING]
    near = [one for one in serving if one.region == region]
    leaving = sum(one.region == region and one.state is IngressState.LEAVING for one in listed)
    is_own = len(near) >= FEWEST_NAMED
    chosen = sorted(
        near if is_own else serving, key=lambda one: (one.region != region, one.zone != zone, one.node)
    )
    scope = Scope.OWN_REGION if is_own else Scope.ANY_REGION if chosen else Scope.NOBODY
    return Resolution(tuple(one.address for one in chosen[:MOST_NAMED]), scope, len(near), leaving)


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
