"""The second address: operators' calls, one a connection, apart from the service clients' door.

`GET /api/ready`, `GET /api/telemetry`, `PUT /api/exclude` and `PUT /api/include` with `{"name": "ID"}`.
What is asked goes to the reducer as an event; what is shown is read from the reducer's own counts.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import orjson

from vetchusher import interface as api

from . import effects as fx
from .protocol import instance_number
from .reducer import Tally
from .runtime import Runtime

if TYPE_CHECKING:
    from .shared import Shared

log = logging.getLogger("vetchusher")

CALL_S = 0.8  # a caller waits 1 s: a call not whole by then is closed, so that it holds no place
MOST_CALLERS = 32  # connections at once; beyond them the one that has waited longest is closed
MOST_HEAD = 4096  # bytes of a call's head
MOST_BODY = 1024  # bytes of a call's body: a name and its braces
PREFIX = "edge_node"
CALLS = {"/api/ready": "GET", "/api/telemetry": "GET", "/api/exclude": "PUT", "/api/include": "PUT"}
# Where the ingresses of the tier work together.
SHARED_CALLS = {
    "/api/duties": "GET",
    "/api/members": "GET",
    "/api/report": "GET",
    "/api/duties/move": "PUT",
    "/api/duties/free": "PUT",
}


class CallError(Exception):
    """A call that cannot be answered yes or no: its status and one plain reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def read_call(head: bytes) -> tuple[str, str, int]:
    """Method, path and the length of the body of a call's head (up to its blank line).

    Raises CallError where the head is not a plain HTTP/1.1 call.
    """
    try:
        text = head.decode("ascii")
    except UnicodeDecodeError:
        raise CallError(400, "the head is not ASCII") from None
    first, *lines = text.split("\r\n")
    parts = first.split(" ")
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
    if length > MOST_BODY:
        raise CallError(413, f"a body of more than {MOST_BODY} bytes")
    return parts[0], parts[1].partition("?")[0], length


def read_object(body: bytes) -> dict[str, Any]:
    """The object that a body holds; raises CallError where it is none."""
    try:
        tree = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise CallError(400, 'the body is not JSON: send {"name":"ID"}') from None
    return tree if isinstance(tree, dict) else {}


def read_name(body: bytes) -> str:
    """The `name` of `{"name": "ID"}`; raises CallError where it is not there."""
    name = read_object(body).get("name")
    if not isinstance(name, str) or not name:
        raise CallError(400, 'the body names no share server: send {"name":"ID"}')
    return name


def telemetry(tally: Tally, classes: Sequence[api.RequestClass], gauges: dict[str, int]) -> bytes:
    """The figures in statsd's form: counts since the start (`|c`), and what holds now (`|g`)."""
    lines = []
    for number, spec in enumerate(classes):
        for what, counts in (
            ("passed", tally.passed),
            ("dropped", tally.dropped),
            ("bad_gateway", tally.failed),
        ):
            lines.append(f"{PREFIX}.handled.{spec.name}.{what}:{counts[number]}|c")
    lines.append(f"{PREFIX}.upstream_tries:{tally.tries}|c")
    lines += [f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()]
    return ("\n".join(lines) + "\n").encode()


class Console:
    """The listener of the second address and its callers.

    Keeps the callers' tasks (at most `MOST_CALLERS`; each removes itself when its call ends or its time is
    over) and the calls waiting for the reducer's answer (removed as soon as the answer is carried).
    """

    def __init__(self, runtime: Runtime, gauges: Callable[[], dict[str, int]]) -> None:
        self.runtime = runtime
        self.gauges = gauges
        self.server: asyncio.Server | None = None
        self.callers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self.answers: dict[int, fx.Answered] = {}
        self.shared: Shared | None = None
        self.calls = 0

    async def open(self, host: str, port: int) -> None:
        """Raises OSError if the address cannot be had."""
        self.server = await asyncio.start_server(self.enter, host, port, limit=MOST_HEAD, backlog=64)

    def answered(self, effect: fx.Answered) -> None:
        self.answers[effect.call] = effect

    async def enter(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.callers) >= MOST_CALLERS:
            oldest = next(iter(self.callers))
            self.callers.pop(oldest).close()
            oldest.cancel()
        self.callers[task] = writer
        try:
            async with asyncio.timeout(CALL_S):
                status, body = await self.call(reader)
                writer.write(response(status, body))
                await writer.drain()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # closed to make room for a newer caller
        finally:
            self.callers.pop(task, None)
            writer.close()

    async def call(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
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
        allowed = (CALLS if self.shared is None else CALLS | SHARED_CALLS).get(path)
        if allowed is None:
            raise CallError(404, f"no such call: {path[:60]}")
        if method != allowed:
            raise CallError(405, f"{path} is called with {allowed}")
        reducer = self.runtime.reducer
        if path == "/api/ready":
            trouble = self.shared.trouble() if self.shared is not None else ""
            told = f"ready; {trouble}\n".encode() if trouble else b"ready\n"
            return (200, told) if reducer.ready else (503, b"not ready\n")
        if path == "/api/telemetry":
            return 200, telemetry(reducer.tally, reducer.settings.classes, self.gauges())
        if self.shared is not None and path in SHARED_CALLS:
            return self.answer_shared(self.shared, path, body)
        name = read_name(body)
        number = instance_number(name)
        if self.ask(lambda call: fx.MaintenanceAsked(call, number, path == "/api/exclude")).yes:
            log.info("%s %s", path.removeprefix("/api/"), name)
            return 200, b"yes\n"
        return 404, f"no share server {name[:60]!r} is known here\n".encode()

    def ask(self, event: Callable[[int], fx.Event]) -> fx.Answered:
        """Put a question to the reducer, which answers while it takes in the event."""
        self.calls += 1
        self.runtime.feed(event(self.calls))
        return self.answers.pop(self.calls, fx.Answered(self.calls, False, "it could not be answered"))

    def answer_shared(self, shared: Shared, path: str, body: bytes) -> tuple[int, bytes]:
        if path == "/api/duties":
            return 200, orjson.dumps(shared.shown()) + b"\n"
        if path == "/api/report":
            last = shared.sink.last
            return (200, orjson.dumps(last) + b"\n") if last else (404, b"no report was made here\n")
        if path == "/api/members":
            seen = shared.members_shown()
            return (200, orjson.dumps(seen) + b"\n") if seen else (404, b"membership is switched off here\n")
        tree = read_object(body)
        if path == "/api/duties/move":
            name, to = tree.get("name"), tree.get("to")
            if not isinstance(name, str) or not isinstance(to, int):
                raise CallError(400, 'send {"name":"DUTY","to":NUMBER}')
            answered = self.ask(lambda call: fx.WorkAsked(call, "move", name, to))
        else:
            free = tree.get("free")
            if not isinstance(free, bool):
                raise CallError(400, 'send {"free":true} or {"free":false}')
            answered = self.ask(lambda call: fx.WorkAsked(call, "free", free=free))
        log.info("%s %s", path.removeprefix("/api/"), "yes" if answered.yes else answered.why)
        return (200, b"yes\n") if answered.yes else (409, f"{answered.why}\n".encode())

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task, writer in list(self.callers.items()):
            writer.close()
            task.cancel()


def response(status: int, body: bytes) -> bytes:
    reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Refused")
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n"
    return (head + "Connection: close\r\n\r\n").encode() + body
