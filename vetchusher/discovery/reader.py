"""Parses the platform's list of servers, encodes servers as rows, and decodes the rows at an ingress."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode

from .server import ColdTimeId, Server

# A server is removed when this many complete reads in a row lack it. One is not enough, as entries may move
# between pages while the pages are read.
REMOVE_AFTER_READS = 2
OWNER_WAIT_US = 3_000_000  # the new owner of a cold server may not send to it before this time has passed
# The lease on a cold server: how long its owner may send after the heartbeat that the primary last answered.
# Safety: an owner that is cut off does not learn that another one was assigned, and a new primary may assign
# one at once. So the lease must not be longer than the wait, or both would send to the cold server.
OWNER_LEASE_US = OWNER_WAIT_US
# After a cold time and the list's lag: if no read says within this time that the server is warm, as while the
# platform is down, ingresses take it for warm.
CONFIRMATION_WAIT_MS = 1_500
MAX_SERVERS = 16_384


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One entry of the platform's list."""

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
    """One page of the list.

    :param next_token: identifies the next page; None: this is the last one
    """

    entries: list[ListedServer]
    next_token: str | None


def unreadable_page(text: str) -> Result[Page, Error]:
    """Return the failure of a page that cannot be read."""
    return Failure(Error(ErrorCode.INVALID_MESSAGE, text))


def read_page(raw: bytes) -> Result[Page, Error]:
    """Parse one page of `GET /instances`.

    A page with an entry that cannot be read is rejected as a whole (INVALID_MESSAGE), because a server that
    is missing from the list counts as removed.
    """
    try:
        tree = json.loads(raw)
        columns, rows = tree["instances"]["columns"], tree["instances"]["rows"]
        token = tree.get("next_token")
        if not isinstance(columns, list) or not isinstance(rows, list) or len(rows) > MAX_SERVERS:
            return unreadable_page("instances: columns or rows are no lists")
        entries = [_parse_entry(dict(zip(columns, row, strict=True))) for row in rows]
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        return unreadable_page(f"instances: {type(err).__name__}: {err}")
    if token is not None and not isinstance(token, str):
        return unreadable_page("next_token is no text")
    return Success(Page(entries, token or None))


def _parse_entry(row: Mapping[str, Any]) -> ListedServer:
    """Parse one entry of the list.

    :raises ValueError, KeyError, TypeError: a field is missing or invalid
    """
    instance, address, state = row["instance_id"], row["address"], row["state"]
    host, _, port = str(address).rpartition(":")
    if not isinstance(instance, str) or not instance or not host or not 0 < int(port) < 65_536:
        raise ValueError(f"instance {instance!r} at {address!r}")
    if state not in ("available", "draining"):
        raise ValueError(f"state {state!r}")
    return ListedServer(
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
    """Return a node's rank for an instance; by rendezvous hashing the highest owns it while it is cold."""
    return blake2b(f"{node}\n{instance}".encode(), digest_size=8).digest()


@dataclass(slots=True, frozen=True)
class ReadTiming:
    """When the list was read, in microseconds of the reader's steady clock.

    :param began_at: before the first page was asked for
    :param ended_at: after the last page was received
    """

    began_at: int
    ended_at: int


@dataclass(slots=True, frozen=True)
class ColdTime:
    """A time for which a server is cold, as its row states it.

    :param length_ms: for how long ingresses take it for cold, from when they receive the row
    :param ends_at: when it ends by the list, in microseconds of the reader's steady clock; never too early
    :param id: None: published by a release without ids
    """

    length_ms: int
    ends_at: int
    id: ColdTimeId | None


@dataclass(slots=True)
class KnownServer:
    """A server in the reader's state.

    :param cold_owner: node name of the ingress that may send to it while it is cold; empty: none
    :param owner_wait_ms: milliseconds for which that ingress has to wait first
    :param cold: None: it is warm. It stays the same while the time passes, so that the row does not change
    :param absent_reads: number of complete reads in a row that lacked it
    """

    listed: ListedServer
    cold_owner: str
    owner_wait_ms: int
    cold: ColdTime | None
    absent_reads: int = 0


class ServerListReader:
    """Owner of the listed servers; one is removed when `REMOVE_AFTER_READS` complete reads lack it."""

    def __init__(
        self,
        zones: Mapping[str, str],
        stored_rows: Mapping[str, bytes],
        epoch: int = 0,
        began_at: int = 0,
        lag_ms: int = 0,
    ) -> None:
        """Begin with the rows of the previous reader, so that cold servers keep their owners.

        :param zones: region by zone
        :param stored_rows: rows by instance; those that cannot be read are skipped
        :param epoch: identifies this reader among all that publish rows
        :param began_at: microseconds of the reader's steady clock
        :param lag_ms: how far the list lags behind the actual state
        """
        self.zones = zones
        self.epoch = epoch
        self.lag_us = 1000 * lag_ms
        self.known: dict[str, KnownServer] = {}
        for key, value in stored_rows.items():
            match decode_row(key, value, 0):
                case Success(server):
                    # The clock of the previous reader is unknown, so the first reading decides how long.
                    length_ms = server.cold_until // 1000
                    cold = ColdTime(length_ms, began_at, server.cold_id) if length_ms else None
                    self.known[key] = KnownServer(_listed_server(server), server.cold_owner, 0, cold)
                case _:
                    continue

    def read(
        self, entries: Sequence[ListedServer], ingresses: Iterable[tuple[str, str]], timing: ReadTiming
    ) -> dict[str, bytes]:
        """Update the servers after a complete read of the list, and return their rows.

        :param entries: of all pages; those beyond `MAX_SERVERS` are ignored
        :param ingresses: node name and region of each ingress that serves
        :param timing: when the list was read
        """
        nodes = list(ingresses)
        named = {entry.instance: entry for entry in entries[:MAX_SERVERS]}
        for instance, known in list(self.known.items()):
            known.absent_reads = 0 if instance in named else known.absent_reads + 1
            if known.absent_reads >= REMOVE_AFTER_READS:
                del self.known[instance]
        for instance, entry in named.items():
            known = self.known.setdefault(instance, KnownServer(entry, "", 0, None))
            known.cold = self._cold_time(known.cold, entry.cold_left_ms, timing)
            known.listed = entry
            self._assign_cold_owner(known, nodes)
        return {instance: encode_row(known) for instance, known in self.known.items()}

    def _cold_time(self, known: ColdTime | None, left_ms: int, timing: ReadTiming) -> ColdTime | None:
        """Return a server's cold time after a read; None if it is warm.

        Safety: a server may become cold again while it is cold. The list shows that only after its lag, so a
        server is warm only once a read that began that much after the end of the cold time says so.

        :param known: the cold time as published; None: the server was warm
        :param left_ms: how much longer it is cold by the list
        """
        if left_ms and (known is None or timing.began_at + 1000 * left_ms > known.ends_at):
            length_ms = left_ms + self.lag_us // 1000 + CONFIRMATION_WAIT_MS
            ends_at = timing.ended_at + 1000 * left_ms
            return ColdTime(length_ms, ends_at, ColdTimeId(self.epoch, ends_at))
        if known is not None and not left_ms and timing.began_at >= known.ends_at + self.lag_us:
            return None
        return known

    def _assign_cold_owner(self, known: KnownServer, nodes: list[tuple[str, str]]) -> None:
        """Assign an owner to a server unless its owner serves: an ingress of its region, or else any."""
        if any(node == known.cold_owner for node, _ in nodes):
            return
        region = self.zones.get(known.listed.zone, "")
        near = [node for node, place in nodes if place == region] or [node for node, _ in nodes]
        if near:
            # Safety: the previous owner may be cut off from here, still run and send to the server.
            known.owner_wait_ms = OWNER_WAIT_US // 1000 if known.cold_owner else 0
            known.cold_owner = max(near, key=lambda node: rank(node, known.listed.instance))


def _listed_server(server: Server) -> ListedServer:
    """Return a decoded server as an entry of the list; its clock began at 0."""
    return ListedServer(
        server.instance,
        server.service,
        server.address,
        server.zone,
        server.version,
        server.capacity,
        server.draining,
        server.cold_until // 1000,
    )


def encode_row(known: KnownServer) -> bytes:
    """Return the value of a server's row.

    Safety: ingresses count a cold time from when they receive the row, and only if its bytes have changed.
    The identity of the cold time keeps two that are equally long apart.
    """
    one, cold = known.listed, known.cold
    fields = [one.service, one.address, one.zone, one.version, one.capacity, int(one.draining)]
    fields += [cold.length_ms if cold else 0, known.cold_owner, known.owner_wait_ms]
    if cold and cold.id:
        fields += [cold.id.epoch, cold.id.ends_at]
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_row(instance: str, value: bytes, now: int) -> Result[Server, Error]:
    """Decode a row; INVALID_MESSAGE if it cannot be read.

    :param now: microseconds of the reader's steady clock. The durations in the row count from it; they began
        earlier, so they end too late rather than too early.
    """
    try:
        service, address, zone, version, capacity, draining, cold_ms, cold_owner, wait_ms, *cold_id = (
            json.loads(value)
        )
        cold_until = now + 1000 * int(cold_ms) if cold_ms else 0
        owned_from = now + 1000 * int(wait_ms)
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
                str(cold_owner),
                owned_from,
                ColdTimeId(*map(int, cold_id)) if cold_id else None,
            )
        )
    except (ValueError, TypeError) as err:
        return Failure(Error(ErrorCode.INVALID_MESSAGE, f"row of server {instance}: {err}"))
