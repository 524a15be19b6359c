"""The console: an HTTP listener for operators, separate from the clients' listener; one call per connection.

`GET /api/ready`, `GET /api/telemetry`, `PUT /api/exclude` and `PUT /api/include` with `{"name": "ID"}`; where
the load balancers of the site share work, also `GET /api/duties`, `GET /api/members`, `GET /api/report`,
`PUT /api/duties/move` and `PUT /api/duties/free`.
Changes go to the reducer as events; what is shown is read from the reducer's own counters, the gauges and
`SharedServices`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import orjson

from vetchusher import interface as api

from . import effects as fx
from .protocol import server_id
from .reducer import RequestCounts
from .runtime import Runtime

if TYPE_CHECKING:
    from .shared import SharedServices

log = logging.getLogger("vetchusher")

# A caller waits 1 s; a call that is incomplete after this time is closed, so that it does not occupy a
# connection.
CALL_LIMIT_S = 0.8
MAX_CALLERS = 32  # connections at once; beyond that, the oldest is closed
MAX_HEAD_BYTES = 4096  # of a call's head
MAX_BODY_BYTES = 1024  # of a call's body, which holds one small object
METRIC_PREFIX = "edge_node"
METHOD_BY_PATH = {"/api/ready": "GET", "/api/telemetry": "GET", "/api/exclude": "PUT", "/api/include": "PUT"}
# Calls that exist only where the load balancers of the site share work.
SHARED_METHOD_BY_PATH = {
    "/api/duties": "GET",
    "/api/members": "GET",
    "/api/report": "GET",
    "/api/duties/move": "PUT",
    "/api/duties/free": "PUT",
}


class CallError(Exception):
    """A call that fails: its HTTP status and a one-line reason."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status; `reason` becomes the body of the answer."""
        super().__init__(reason)
        self.status = status


def read_call(head: bytes) -> tuple[str, str, int]:
    """Parse the head of a call, up to its blank line, into method, path and length of the body.

    :raises CallError: if it is not a plain HTTP/1.1 call
    """
    try:
        text = head.decode("ascii")
    except UnicodeDecodeError:
        raise CallError(400, "the head is not ASCII") from None
    request_line, *lines = text.split("\r\n")
    parts = request_line.split(" ")
    if len(parts) != 3 or not parts[2].startswith("HTTP/1."):
        raise CallError(400, "the first line is not METHOD PATH HTTP/1.1")
    length = 0
    for line in lines:
        if not line:
            continue
        name, colon, value = line.partition(":")
        if not colon:
            raise CallError(400, f"a header line without a colon: {line[:40]!r}")
        name = name.strip().lower()
        if name == "transfer-encoding":
            raise CallError(411, "send the body with Content-Length")
        if name == "content-length":
            value = value.strip()
            if not (value.isascii() and value.isdigit()):
                raise CallError(400, "Content-Length is not a number")
            length = int(value)
    if length > MAX_BODY_BYTES:
        raise CallError(413, f"a body of more than {MAX_BODY_BYTES} bytes")
    return parts[0], parts[1].partition("?")[0], length


def read_object(body: bytes) -> dict[str, Any]:
    """Parse the JSON object in a body; another JSON value gives an empty one.

    :raises CallError: if the body is not JSON
    """
    try:
        tree = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise CallError(400, 'the body is not JSON: send {"name":"ID"}') from None
    return tree if isinstance(tree, dict) else {}


def read_name(body: bytes) -> str:
    """Return the `name` in `{"name": "ID"}`.

    :raises CallError: if it is missing
    """
    name = read_object(body).get("name")
    if not isinstance(name, str) or not name:
        raise CallError(400, 'the body names no share server: send {"name":"ID"}')
    return name


def telemetry(
    request_counts: RequestCounts, classes: Sequence[api.RequestClass], gauges: dict[str, int]
) -> bytes:
    """Format the figures as statsd lines: counters since the start (`|c`) and current values (`|g`)."""
    lines = []
    for number, spec in enumerate(classes):
        for outcome, counts in (
            ("passed", request_counts.served),
            ("dropped", request_counts.rejected),
            ("bad_gateway", request_counts.failed),
        ):
            lines.append(f"{METRIC_PREFIX}.handled.{spec.name}.{outcome}:{counts[number]}|c")
    lines.append(f"{METRIC_PREFIX}.upstream_tries:{request_counts.attempts}|c")
    lines += [f"{METRIC_PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
    return ("\n".join(lines) + "\n").encode()


class Console:
    """The console's listener and its callers.

    Holds the callers' tasks (at most `MAX_CALLERS`, each removed when its call ends or its time is over) and
    the answers of the reducer until the call that waits for them has taken them.
    """

    def __init__(self, runtime: Runtime, gauges: Callable[[], dict[str, int]]) -> None:
        """Prepare the listener; `gauges` returns the current values to show."""
        self.runtime = runtime
        self.gauges = gauges
        self.server: asyncio.Server | None = None
        self.callers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.answers: dict[int, fx.OperatorAnswer] = {}
        self.shared: SharedServices | None = None
        self.call_count = 0

    async def open(self, host: str, port: int) -> None:
        """Listen at host and port.

        :raises OSError: if the address cannot be bound
        """
        self.server = await asyncio.start_server(
            self.serve_caller, host, port, limit=MAX_HEAD_BYTES, backlog=64
        )

    def record_answer(self, effect: fx.OperatorAnswer) -> None:
        """Keep the reducer's answer for the call that waits for it."""
        self.answers[effect.call] = effect

    async def serve_caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the one call of a connection and close it."""
        task = asyncio.current_task()
        assert task is not None
        if len(self.callers) >= MAX_CALLERS:
            oldest = next(iter(self.callers))
            self.callers.pop(oldest).close()
            oldest.cancel()
        self.callers[task] = writer
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                status, body = await self.call(reader)
                writer.write(response_bytes(status, body))
                await writer.drain()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # closed in favour of a newer caller
        finally:
            self.callers.pop(task, None)
            writer.close()

    async def call(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        """Read a call and return the status and body of its answer."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.LimitOverrunError:
            return 431, b"the head is too long\n"
        try:
            method, path, length = read_call(head)
            body = await reader.readexactly(length) if length else b""
            return self.answer(method, path, body)
        except CallError as err:
            return err.status, f"{err}\n".encode()

    def answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Carry out a call and return the status and body of its answer.

        :raises CallError: if there is no such call, or its body is invalid
        """
        allowed = (METHOD_BY_PATH if self.shared is None else METHOD_BY_PATH | SHARED_METHOD_BY_PATH).get(
            path
        )
        if allowed is None:
            raise CallError(404, f"no such call: {path[:60]}")
        if method != allowed:
            raise CallError(405, f"{path} is called with {allowed}")
        reducer = self.runtime.reducer
        if path == "/api/ready":
            notes = self.shared.readiness_notes() if self.shared is not None else ""
            answer = f"ready; {notes}\n".encode() if notes else b"ready\n"
            return (200, answer) if reducer.ready else (503, b"not ready\n")
        if path == "/api/telemetry":
            return 200, telemetry(reducer.counts, reducer.settings.classes, self.gauges())
        if self.shared is not None and path in SHARED_METHOD_BY_PATH:
            return self.answer_shared(self.shared, path, body)
        name = read_name(body)
        number = server_id(name)
        if self.ask_reducer(
            lambda call: fx.MaintenanceRequested(call, number, path == "/api/exclude")
        ).accepted:
            log.info("%s %s", path.removeprefix("/api/"), name)
            return 200, b"yes\n"
        return 404, f"no share server {name[:60]!r} is known here\n".encode()

    def ask_reducer(self, event: Callable[[int], fx.Event]) -> fx.OperatorAnswer:
        """Submit an event that carries a new call number, and return the reducer's answer to it.

        The reducer answers while it applies the event.
        """
        self.call_count += 1
        self.runtime.feed(event(self.call_count))
        return self.answers.pop(
            self.call_count, fx.OperatorAnswer(self.call_count, False, "it could not be answered")
        )

    def answer_shared(self, shared: SharedServices, path: str, body: bytes) -> tuple[int, bytes]:
        """Carry out a call that concerns the shared work; the answer is as for `answer`.

        :raises CallError: if its body is invalid
        """
        if path == "/api/duties":
            return 200, orjson.dumps(shared.roles_status()) + b"\n"
        if path == "/api/report":
            record = shared.sink.last_record
            return (200, orjson.dumps(record) + b"\n") if record else (404, b"no report was made here\n")
        if path == "/api/members":
            members = shared.members_status()
            return (
                (200, orjson.dumps(members) + b"\n")
                if members
                else (404, b"membership is switched off here\n")
            )
        tree = read_object(body)
        if path == "/api/duties/move":
            name, to = tree.get("name"), tree.get("to")
            if not isinstance(name, str) or not isinstance(to, int):
                raise CallError(400, 'send {"name":"DUTY","to":NUMBER}')
            answered = self.ask_reducer(lambda call: fx.RoleChangeRequested(call, "move", name, to))
        else:
            free = tree.get("free")
            if not isinstance(free, bool):
                raise CallError(400, 'send {"free":true} or {"free":false}')
            answered = self.ask_reducer(lambda call: fx.RoleChangeRequested(call, "free", free=free))
        log.info("%s %s", path.removeprefix("/api/"), "yes" if answered.accepted else answered.reason)
        return (200, b"yes\n") if answered.accepted else (409, f"{answered.reason}\n".encode())

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for task, writer in list(self.callers.items()):
            writer.close()
            task.cancel()


def response_bytes(status: int, body: bytes) -> bytes:
    """Format an HTTP answer that closes the connection."""
    reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Refused")
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n"
    return (head + "Connection: close\r\n\r\n").encode() + body
