"""A stand-in for etcd's v3 API with its JSON gateway: leases, keys attached to leases, transactions.

The model does no I/O; a script sets its faults.  Only what singleton roles use is implemented.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

from .messages import read_message, write_answer
from .sockets import Timeline

SECOND = 1_000_000


@dataclass(slots=True)
class Key:
    """A key's value, its lease and the revision that created it."""

    value: str
    lease: int
    create_revision: int


@dataclass(slots=True)
class Etcd:
    """The model: leases until they expire or are revoked, and keys while their lease exists.

    :param stalls: calls are executed but not answered
    :param failing: calls are answered with an error and not executed
    """

    revision: int = 1
    lease_ends: dict[int, int] = field(default_factory=dict)  # by id: when it expires, in microseconds
    lease_ttls_s: dict[int, int] = field(default_factory=dict)  # by id: its TTL in seconds
    keys: dict[str, Key] = field(default_factory=dict)
    next_lease_id: int = 7_587_000_001
    stalls: bool = False
    failing: bool = False

    def call(self, now: int, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        """Execute one call and return its answer; None while calls are not answered."""
        self.expire_leases(now)
        if self.failing:
            return {"error": "etcdserver: no leader", "code": 14}
        answer = {
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep_alive,
            "/v3/lease/revoke": self.revoke,
            "/v3/kv/txn": self.txn,
        }[path](now, body)
        return None if self.stalls else answer

    def expire_leases(self, now: int) -> None:
        """Drop the leases whose TTL is over."""
        for lease in [n for n, end in self.lease_ends.items() if now >= end]:
            self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """Delete a lease with its keys."""
        self.lease_ends.pop(lease, None)
        self.lease_ttls_s.pop(lease, None)
        attached_keys = [k for k, key in self.keys.items() if key.lease == lease]
        for name in attached_keys:
            del self.keys[name]
        self.revision += bool(attached_keys)

    def lose_leases(self) -> None:
        """End all leases early, as after a restore from an old backup."""
        for lease in list(self.lease_ends):
            self.drop_lease(lease)

    def fail_over(self, now: int) -> None:
        """Restart the TTL of every lease, as a new leader does."""
        for lease, seconds in self.lease_ttls_s.items():
            self.lease_ends[lease] = now + seconds * SECOND

    def compact(self) -> None:
        """Advance the revision as after a compaction; present keys stay as they are."""
        self.revision += 1_000

    def head(self) -> dict[str, str]:
        """Return the header of an answer."""
        return {"revision": str(self.revision)}

    def grant(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a `LeaseGrant`."""
        lease, self.next_lease_id = self.next_lease_id, self.next_lease_id + 1
        seconds = int(body["TTL"])
        self.lease_ends[lease], self.lease_ttls_s[lease] = now + seconds * SECOND, seconds
        return {"header": self.head(), "ID": str(lease), "TTL": str(seconds)}

    def keep_alive(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a `LeaseKeepAlive`."""
        lease = int(body["ID"])
        if lease not in self.lease_ends:
            return {
                "result": {"header": self.head(), "ID": str(lease)}
            }  # an answer without a TTL: the lease has expired
        self.lease_ends[lease] = now + self.lease_ttls_s[lease] * SECOND
        return {"result": {"header": self.head(), "ID": str(lease), "TTL": str(self.lease_ttls_s[lease])}}

    def revoke(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a `LeaseRevoke`."""
        self.drop_lease(int(body["ID"]))
        return {"header": self.head()}

    def txn(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a `Txn` that creates a key, or returns it if it exists."""
        compare = body["compare"][0]
        name = compare["key"]
        if name in self.keys:
            key = self.keys[name]
            entry = {
                "key": name,
                "value": key.value,
                "lease": str(key.lease),
                "create_revision": str(key.create_revision),
            }
            return {"header": self.head(), "responses": [{"response_range": {"kvs": [entry]}}]}
        put = body["success"][0]["request_put"]
        lease = int(put["lease"])
        if lease not in self.lease_ends:
            return {"error": "etcdserver: requested lease not found", "code": 5}
        self.revision += 1
        self.keys[name] = Key(put["value"], lease, self.revision)
        return {"header": self.head(), "succeeded": True, "responses": [{"response_put": {}}]}


class EtcdServer:
    """Serves the model over HTTP; each answer is delayed by `answer_delay_s`."""

    def __init__(self, model: Etcd) -> None:
        """:param model: the model to serve"""
        self.model, self.timeline = model, Timeline()
        self.answer_delay_s = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                start_line, _, body = await read_message(reader)
                answer = self.model.call(self.timeline.now(), start_line.split(" ")[1], json.loads(body))
                if answer is None:
                    await reader.read()  # until the caller closes the connection
                    break
                await asyncio.sleep(self.answer_delay_s)
                status = "500 Internal Server Error" if "error" in answer else "200 OK"
                writer.write(write_answer(status, json.dumps(answer).encode() + b"\n"))
        writer.close()
