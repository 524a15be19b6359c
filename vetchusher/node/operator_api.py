"""The doors for calls that are no clients' requests: `control` for operators, `directory` for clients.

A call is read into its type, settled by whoever was handed in, and the answer written by its type: one
handler for all, and a table of what there is to call.  Nothing here knows what a call means.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import orjson
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind
from vetchusher.net.door import ClientLink, Door
from vetchusher.net.plain import seconds_text

from .callers import hung_up, waited_s

log = logging.getLogger("vetchusher")

PLACES = 256  # connections at once at a door
MOST_BODY = 64 << 20  # bytes of a call, and of all that are read or settled at one time
READ_S = 10.0  # from a call's head to the end of its body, and for an answer to be taken
SETTLE_S = 8.0  # Danger: a call that is never settled would hold its place and its body for good
ANSWER_S = 0.9  # a caller goes elsewhere after a second of silence, and later after a long body:
ANSWER_BYTE_S = 12e-6  # 3 ms a route, of which the shortest takes some 240 bytes
CLOSE_S = 1.0  # for calls under way when the door closes
POLL_S = 0.02
BACK_US = 500_000  # told to a caller where nothing says when to come back
MOST_NAME = 255  # characters of a zone's or host's name
PIECE = 1 << 16  # bytes of a long reading that are written between two looks at what backs it


# -- calls and their answers ---------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ReplaceConfiguration:
    body: bytes


@dataclass(slots=True, frozen=True)
class Replaced:
    """It is in force, or a higher version is."""


@dataclass(slots=True, frozen=True)
class RetrieveConfiguration:
    pass


@dataclass(slots=True, frozen=True)
class Retrieved:
    """:param body: the configuration as it was sent"""

    body: bytes


@dataclass(slots=True, frozen=True)
class InitiateEvacuation:
    zone: str


@dataclass(slots=True, frozen=True)
class TerminateEvacuation:
    zone: str


@dataclass(slots=True, frozen=True)
class EvacuationSet:
    zone: str
    on: bool


@dataclass(slots=True, frozen=True)
class AskResolution:
    """:param name: the host that a client wants; it may be empty, as may the client's own places"""

    name: str
    region: str
    zone: str


@dataclass(slots=True, frozen=True)
class Resolved:
    """:param addresses: `host:port` of ingresses
    :param ttl_s: how long a client may hold on to them
    """

    addresses: tuple[str, ...]
    ttl_s: float


Call = ReplaceConfiguration | RetrieveConfiguration | InitiateEvacuation | TerminateEvacuation | AskResolution
Answer = Replaced | Retrieved | EvacuationSet | Resolved


@dataclass(slots=True, frozen=True)
class Backed:
    """An outcome drawn from a state that may be overtaken: a reading, or a refusal for good.

    An acknowledgement needs no backing: what is synced on enough disks stays so.

    :param lasts: whether what it was drawn from still holds; asked right before the bytes leave
    """

    outcome: Result[Any, Fault]
    lasts: Callable[[], bool]

    def leaving(self) -> Result[Any, Fault]:
        """The outcome as it may leave at this moment.

        Danger: a machine may stand still between the decision and its answer, and be followed meanwhile.
        """
        final = not isinstance(self.outcome, Failure) or self.outcome.failure().kind is not Kind.NOT_SETTLED
        return Failure(OVERTAKEN) if final and not self.lasts() else self.outcome


OVERTAKEN = Fault(Kind.NOT_SETTLED, "what this was drawn from may be overtaken")
# It may be cancelled at any time, as its caller may leave: what it began may then be in force or not.
Settle = Callable[[Any], Awaitable[Result[Any, Fault] | Backed]]
Refused = Callable[[Call, Fault], None]


# -- what there is to call -----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Asked:
    """A call as it came: the named parts of its path, its query and its body."""

    parts: dict[str, str]
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Reply:
    """What came of a call; it is written only as it leaves."""

    call: Call
    backed: Backed


@dataclass(slots=True, frozen=True)
class Way:
    """:param bodied: its body is a part of the call; else whatever comes is read and forgotten"""

    method: str
    path: re.Pattern[str]
    read: Callable[[Asked], Result[Call, Fault]]
    bodied: bool = False


def replace(asked: Asked) -> Result[Call, Fault]:
    return Success(ReplaceConfiguration(asked.body))


def retrieve(asked: Asked) -> Result[Call, Fault]:
    return Success(RetrieveConfiguration())


def evacuate(
    call: type[InitiateEvacuation] | type[TerminateEvacuation],
) -> Callable[[Asked], Result[Call, Fault]]:
    def read(asked: Asked) -> Result[Call, Fault]:
        zone = unquote(asked.parts["zone"])
        # Danger: the name becomes a row's key and goes into the log.
        if not zone.isprintable() or len(zone) > MOST_NAME:
            return Failure(Fault(Kind.INVALID, "zone: no name of one"))
        return Success(call(zone))

    return read


def resolution(asked: Asked) -> Result[Call, Fault]:
    return Success(AskResolution(*(asked.query.get(f, "")[:MOST_NAME] for f in ("name", "region", "zone"))))


CONTROL = (
    Way("POST", re.compile("/configuration/replace"), replace, bodied=True),
    Way("GET", re.compile("/configuration/retrieve"), retrieve),
    Way("POST", re.compile("/evacuation/(?P<zone>[^/]+)/initiate"), evacuate(InitiateEvacuation)),
    Way("POST", re.compile("/evacuation/(?P<zone>[^/]+)/terminate"), evacuate(TerminateEvacuation)),
)
DIRECTORY = (Way("GET", re.compile("/resolution"), resolution),)

WRITERS: dict[type, Callable[[Any], bytes]] = {
    Replaced: lambda answer: b"{}",
    Retrieved: lambda answer: bytes(answer.body),
    EvacuationSet: orjson.dumps,
    Resolved: orjson.dumps,
}


def written(outcome: Result[Answer, Fault]) -> web.Response:
    """The one way from an outcome to what the caller gets."""
    if not isinstance(outcome, Failure):
        answer = outcome.unwrap()
        return web.Response(body=WRITERS[type(answer)](answer), content_type="application/json")
    fault = outcome.failure()
    back_us = fault.retry_after_us or (BACK_US if fault.status == 503 else 0)
    headers = {"Retry-After": seconds_text(back_us)} if back_us else None
    body = orjson.dumps({"error": fault.kind, "text": fault.text})
    return web.Response(status=fault.status, body=body, headers=headers, content_type="application/json")


def refused(status: int, text: str, allow: Iterable[str] = ()) -> web.Response:
    """An answer of HTTP's own, before there is a call."""
    headers = {"Allow": ", ".join(sorted(allow))} if allow else None
    body = orjson.dumps({"error": "refused", "text": text})
    response = web.Response(status=status, body=body, headers=headers, content_type="application/json")
    response.force_close()  # its body, if any, was not read
    return response


def busy() -> web.Response:
    response = written(Failure(Fault(Kind.NOT_SETTLED, "too much at once")))
    response.force_close()
    return response


def overtaken() -> web.Response:
    response = written(Failure(Fault(Kind.NOT_SETTLED, "this machine stood still")))
    response.force_close()
    return response


def patience_s(parts: list[bytes]) -> float:
    """Seconds for which a caller waits for the answer, from the last byte of its body."""
    return min(ANSWER_S + sum(map(len, parts)) * ANSWER_BYTE_S, SETTLE_S)


# -- the doors -----------------------------------------------------------------------------------


class CallsDoor:
    """It owns its connections, `PLACES` at most: each ends by its caller, by time, or in `close`."""

    def __init__(
        self,
        ways: tuple[Way, ...],
        settle: Settle,
        address: tuple[str, int],
        most_body: int = MOST_BODY,
        refused: Refused | None = None,
    ) -> None:
        """:param refused: is told of each call that was read and could not be granted"""
        self.ways = ways
        self.settle = settle
        self.refused = refused
        self.address = address
        self.most_body = most_body
        self.held = 0  # bytes of bodies that are read or settled now
        self.closing = False
        self.door: Door | None = None

    def open(self) -> None:
        """Listen, on the running loop.  :raises OSError: where the address cannot be had"""
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.door = Door(asyncio.get_running_loop(), server, PLACES)
        self.door.open(*self.address)
        assert self.door.listener is not None
        self.address = self.door.listener.getsockname()  # where any port was asked for: which it is

    async def close(self) -> None:
        """Let nobody in, give calls under way a moment, and end what is left."""
        if self.door is None:
            return
        door, self.door, self.closing = self.door, None, True
        await door.close()
        end = door.loop.time() + CLOSE_S
        while door.links and door.loop.time() < end:
            await asyncio.sleep(POLL_S)
        door.stop()
        for link in list(door.links):
            link.wire.abort()

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=0)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        link = request.protocol
        assert isinstance(link, ClientLink)
        try:
            reply = await self.answer(request, link)
            response = self.leaving(reply) if isinstance(reply, Reply) else reply
            if self.closing:
                response.force_close()
            # A caller that has left: what it asked for stands, and nobody is there to be told.
            with contextlib.suppress(ConnectionError):
                # Danger: who asks for long answers and reads none would hold them all.
                async with asyncio.timeout(READ_S):
                    long = isinstance(response.body, bytes) and len(response.body) > PIECE
                    if isinstance(reply, Reply) and long:
                        return await send_in_pieces(request, link, response, reply.backed.lasts)
                    await response.prepare(request)
                    await response.write_eof()
                    await request.writer.drain()
        except TimeoutError:
            link.wire.abort()
        finally:
            link.answered()
        return response

    def leaving(self, reply: Reply) -> web.Response:
        """The answer of a call as it may leave now.  Nothing may wait between this and the writing."""
        outcome = reply.backed.leaving()
        if isinstance(outcome, Failure) and self.refused is not None:
            self.refused(reply.call, outcome.failure())
        return written(outcome)

    async def answer(self, request: web.BaseRequest, link: ClientLink) -> web.Response | Reply:
        path, _, _ = request.raw_path.partition("?")
        found = [(way, match) for way in self.ways if (match := way.path.fullmatch(path)) is not None]
        if not found:
            return refused(404, "nothing is called this")
        way, match = next(((w, m) for w, m in found if w.method == request.method), (None, None))
        if way is None or match is None:
            return refused(405, f"not by {request.method}", {w.method for w, _ in found})
        parts: list[bytes] = []
        try:
            problem = await self.body(request, link, way, parts)
            if problem is not None:
                return problem
            waited = waited_s(link.wire)
            if hung_up(link.wire) or waited >= patience_s(parts):
                # Danger: its caller has given the same order to another machine, and others since.
                return overtaken()
            asked = Asked(match.groupdict(), dict(request.query), b"".join(parts))
            return await self.settled(way, asked, patience_s(parts) - waited)
        finally:
            self.held -= sum(map(len, parts))

    async def body(
        self, request: web.BaseRequest, link: ClientLink, way: Way, parts: list[bytes]
    ) -> web.Response | None:
        """Read the body into `parts`, counted in `held`; or the answer for one that cannot be had.

        Danger: a hundred long bodies at once would be more than the process may hold.
        """
        if (request.content_length or 0) > self.most_body:
            return refused(413, f"more than {self.most_body} bytes")
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.wire.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        size = 0
        try:
            async with asyncio.timeout(READ_S):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > self.most_body:
                        return refused(413, f"more than {self.most_body} bytes")
                    if way.bodied:
                        if self.held + len(part) > self.most_body:
                            return busy()
                        parts.append(part)
                        self.held += len(part)
        except TimeoutError:
            return refused(408, f"not whole after {READ_S:g} s")
        except (web.RequestPayloadError, HttpProcessingError) as err:
            return refused(400, " ".join(str(err).split())[:MOST_NAME])
        return None

    async def settled(self, way: Way, asked: Asked, left_s: float) -> web.Response | Reply:
        """:param left_s: for which the caller still waits"""
        read = way.read(asked)
        if isinstance(read, Failure):
            return written(read)
        call = read.unwrap()
        outcome: Result[Answer, Fault] | Backed
        try:
            async with asyncio.timeout(left_s):
                outcome = await self.settle(call)
        except TimeoutError:
            outcome = Failure(Fault(Kind.NOT_SETTLED, f"no clear answer in {left_s:.1f} s"))
        return Reply(call, outcome if isinstance(outcome, Backed) else Backed(outcome, lambda: True))


async def send_in_pieces(
    request: web.BaseRequest, link: ClientLink, whole: web.Response, lasts: Callable[[], bool]
) -> web.StreamResponse:
    """A long answer, broken off where what backs it ends before its last piece is written.

    Danger: what the kernel does not take at once waits in this process, as long as that stands still.
    """
    body = whole.body
    assert isinstance(body, bytes)
    response = web.StreamResponse(status=whole.status, headers=whole.headers)
    response.content_length = len(body)
    if whole.keep_alive is False:
        response.force_close()
    await response.prepare(request)
    for begin in range(0, len(body), PIECE):
        if begin and not lasts():
            link.wire.abort()
            return response
        await response.write(body[begin : begin + PIECE])
    await response.write_eof()
    await request.writer.drain()
    return response


class ControlDoor(CallsDoor):
    """Operators' orders."""

    def __init__(
        self,
        settle: Settle,
        address: tuple[str, int],
        most_body: int = MOST_BODY,
        refused: Refused | None = None,
    ) -> None:
        super().__init__(CONTROL, settle, address, most_body, refused)


class DirectoryDoor(CallsDoor):
    """Clients' questions where to go."""

    def __init__(self, settle: Settle, address: tuple[str, int]) -> None:
        super().__init__(DIRECTORY, settle, address, MOST_NAME)
