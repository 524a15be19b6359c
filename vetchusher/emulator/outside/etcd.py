"""A stand-in of etcd's v3 API by its JSON gateway: leases, keys that live as long as theirs, transactions.

The model is free of I/O; faults are set by a script.  Only what duties use is there.
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
    value: str
    lease: int
    created: int


@dataclass(slots=True)
class Etcd:
    """A lease is in `leases` until it runs out or is revoked; a key in `keys` while its lease is.

    `stalls`, `failing`: calls are not answered, or answered with an error.
    """

    revision: int = 1
    leases: dict[int, int] = field(default_factory=dict)  # by id: us of its end
    spans: dict[int, int] = field(default_factory=dict)  # by id: its seconds
    keys: dict[str, Key] = field(default_factory=dict)
    next_lease: int = 7_587_000_001
    stalls: bool = False
    failing: bool = False

    def call(self, now: int, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        """The answer; None where there is none.  What a stalled call asks for is done all the same."""
        self.sweep(now)
        if self.failing:
            return {"error": "etcdserver: no leader", "code": 14}
        done = {
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep,
            "/v3/lease/revoke": self.revoke,
            "/v3/kv/txn": self.txn,
        }[path](now, body)
        return None if self.stalls else done

    def sweep(self, now: int) -> None:
        for lease in [n for n, end in self.leases.items() if now >= end]:
            self.drop(lease)

    def drop(self, lease: int) -> None:
        self.leases.pop(lease, None)
        self.spans.pop(lease, None)
        gone = [k for k, key in self.keys.items() if key.lease == lease]
        for name in gone:
            del self.keys[name]
        self.revision += bool(gone)

    def lose_leases(self) -> None:
        """All leases end early, as after a restore of an old copy."""
        for lease in list(self.leases):
            self.drop(lease)

    def fail_over(self, now: int) -> None:
        """A new leader counts every lease anew."""
        for lease, seconds in self.spans.items():
            self.leases[lease] = now + seconds * SECOND

    def compact(self) -> None:
        """Old revisions go; the present ones stay as they are."""
        self.revision += 1_000

    def head(self) -> dict[str, str]:
        return {"revision": str(self.revision)}

    def grant(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        lease, self.next_lease = self.next_lease, self.next_lease + 1
        seconds = int(body["TTL"])
        self.leases[lease], self.spans[lease] = now + seconds * SECOND, seconds
        return {"header": self.head(), "ID": str(lease), "TTL": str(seconds)}

    def keep(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        lease = int(body["ID"])
        if lease not in self.leases:
            return {"result": {"header": self.head(), "ID": str(lease)}}  # no TTL: it is gone
        self.leases[lease] = now + self.spans[lease] * SECOND
        return {"result": {"header": self.head(), "ID": str(lease), "TTL": str(self.spans[lease])}}

    def revoke(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        self.drop(int(body["ID"]))
        return {"header": self.head()}

    def txn(self, now: int, body: dict[str, Any]) -> dict[str, Any]:
        compare = body["compare"][0]
        name = compare["key"]
        if name in self.keys:
            key = self.keys[name]
            entry = {
                "key": name,
                "value": key.value,
                "lease": str(key.lease),
                "create_revision": str(key.created),
            }
            return {"header": self.head(), "responses": [{"response_range": {"kvs": [entry]}}]}
        put = body["success"][0]["request_put"]
        lease = int(put["lease"])
        if lease not in self.leases:
            return {"error": "etcdserver: requested lease not found", "code": 5}
        self.revision += 1
        self.keys[name] = Key(put["value"], lease, self.revision)
        return {"header": self.head(), "succeeded": True, "responses": [{"response_put": {}}]}


class EtcdServer:
    """The model behind a listener; `late_s` is how long after a call its answer is sent."""

    def __init__(self, model: Etcd) -> None:
        self.model, self.timeline = model, Timeline()
        self.late_s = 0.0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, _, body = await read_message(reader)
                answer = self.model.call(self.timeline.now(), first.split(" ")[1], json.loads(body))
                if answer is None:
                    await reader.read()  # until the caller gives up
                    break
                await asyncio.sleep(self.late_s)
                status = "500 Internal Server Error" if "error" in answer else "200 OK"
                writer.write(write_answer(status, json.dumps(answer).encode() + b"\n"))
        writer.close()
