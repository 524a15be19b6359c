"""From the platform's list to rows: what is gone, whose a cold server is; and back at an ingress.

The one reader of the list is whoever holds the duty; it is made anew with each holding.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind

from .server import Server

ABSENT_READS = 2  # whole reads in a row without it: pages shift while they are read
KEPT_WAIT_US = 3_000_000  # before a keeper named anew may send
# How long a keeper may send after the beat that the primary last answered.  Danger: cut off, it does not hear
# that another is named; a primary that is new may name one at once, so this is no longer than the wait.
KEPT_LEASE_US = KEPT_WAIT_US
MOST_SERVERS = 16_384


@dataclass(slots=True, frozen=True)
class Listed:
    """One entry of the list."""

    instance: str
    service: str
    address: str
    zone: str
    version: str
    capacity: int
    draining: bool
    cold_left_ms: int


@dataclass(slots=True, frozen=True)
class Page:
    entries: list[Listed]
    next_token: str | None


def bad(text: str) -> Result[Page, Fault]:
    return Failure(Fault(Kind.BAD_MESSAGE, text))


def read_page(raw: bytes) -> Result[Page, Fault]:
    """One page of `GET /instances`.  A page of which any entry cannot be read is not used: what is missing
    from a list counts as gone."""
    try:
        tree = json.loads(raw)
        columns, rows = tree["instances"]["columns"], tree["instances"]["rows"]
        token = tree.get("next_token")
        if not isinstance(columns, list) or not isinstance(rows, list) or len(rows) > MOST_SERVERS:
            return bad("instances: columns or rows are no lists")
        entries = [_entry(dict(zip(columns, row, strict=True))) for row in rows]
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        return bad(f"instances: {type(err).__name__}: {err}")
    if token is not None and not isinstance(token, str):
        return bad("next_token is no text")
    return Success(Page(entries, token or None))


def _entry(row: Mapping[str, Any]) -> Listed:
    instance, address, state = row["instance_id"], row["address"], row["state"]
    host, _, port = str(address).rpartition(":")
    if not isinstance(instance, str) or not instance or not host or not 0 < int(port) < 65_536:
        raise ValueError(f"instance {instance!r} at {address!r}")
    if state not in ("available", "draining"):
        raise ValueError(f"state {state!r}")
    return Listed(
        instance,
        str(row["service"]),
        str(address),
        str(row["zone"]),
        str(row.get("version") or ""),
        max(1, int(row.get("capacity") or 1)),
        state == "draining",
        max(0, int(row.get("cold_left_ms") or 0)),
    )


def rank(node: str, instance: str) -> bytes:
    """Rendezvous hashing: of several nodes the one with the highest rank keeps the instance."""
    return blake2b(f"{node}\n{instance}".encode(), digest_size=8).digest()


@dataclass(slots=True)
class Known:
    listed: Listed
    keeper: str
    kept_wait_ms: int
    cold_ms: int  # as first told of this coldness: rows do not change while it runs down
    absent: int = 0


class Reader:
    """Owner of what the list said: an entry goes when ABSENT_READS whole reads lack it."""

    def __init__(self, zones: Mapping[str, str], kept: Mapping[str, bytes]) -> None:
        """:param kept: rows of the reader before: keepers of the cold stay who they are"""
        self.zones = zones
        self.known: dict[str, Known] = {}
        for key, value in kept.items():
            match read_row(key, value, 0):
                case Success(server):
                    self.known[key] = Known(_listed(server), server.keeper, 0, server.cold_until // 1000)
                case _:
                    continue

    def read(self, entries: Sequence[Listed], ingresses: Iterable[tuple[str, str]]) -> dict[str, bytes]:
        """Rows after a whole read.

        :param ingresses: node name and region of those that serve
        """
        nodes = list(ingresses)
        named = {entry.instance: entry for entry in entries[:MOST_SERVERS]}
        for instance, known in list(self.known.items()):
            known.absent = 0 if instance in named else known.absent + 1
            if known.absent >= ABSENT_READS:
                del self.known[instance]
        for instance, entry in named.items():
            known = self.known.setdefault(instance, Known(entry, "", 0, 0))
            if not entry.cold_left_ms or entry.cold_left_ms > known.cold_ms:
                known.cold_ms = entry.cold_left_ms
            known.listed = entry
            self._keep(known, nodes)
        return {instance: write_row(known) for instance, known in self.known.items()}

    def _keep(self, known: Known, nodes: list[tuple[str, str]]) -> None:
        if any(node == known.keeper for node, _ in nodes):
            return
        region = self.zones.get(known.listed.zone, "")
        near = [node for node, place in nodes if place == region] or [node for node, _ in nodes]
        if near:
            # Danger: the one before may live, unheard, and still send to it.
            known.kept_wait_ms = KEPT_WAIT_US // 1000 if known.keeper else 0
            known.keeper = max(near, key=lambda node: rank(node, known.listed.instance))


def _listed(server: Server) -> Listed:
    return Listed(
        server.instance,
        server.service,
        server.address,
        server.zone,
        server.version,
        server.capacity,
        server.draining,
        server.cold_until // 1000,
    )


def write_row(known: Known) -> bytes:
    one = known.listed
    told = [one.service, one.address, one.zone, one.version, one.capacity, int(one.draining)]
    return json.dumps(
        [*told, known.cold_ms, known.keeper, known.kept_wait_ms], separators=(",", ":")
    ).encode()


def read_row(instance: str, value: bytes, now: int) -> Result[Server, Fault]:
    """A row as a server, its spans counted from `now` (us): later than they began, so never too short."""
    try:
        service, address, zone, version, capacity, draining, cold_ms, keeper, wait_ms = json.loads(value)
        cold_until = now + 1000 * int(cold_ms) if cold_ms else 0
        kept_from = now + 1000 * int(wait_ms)
        return Success(
            Server(
                instance,
                str(service),
                str(address),
                str(zone),
                str(version),
                int(capacity),
                bool(draining),
                cold_until,
                str(keeper),
                kept_from,
            )
        )
    except (ValueError, TypeError) as err:
        return Failure(Fault(Kind.BAD_MESSAGE, f"row of server {instance}: {err}"))
