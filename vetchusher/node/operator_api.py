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

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientLink, Door
from vetchusher.net.plain import seconds_text

from .callers import has_hung_up, unread_for_s

log = logging.getLogger("vetchusher")

MAX_CONNECTIONS = 256  # connections at once at a door
MAX_BODY_BYTES = 64 << 20  # bytes of a call, and of all that are read or settled at one time
READ_TIMEOUT_S = 10.0  # from a call's head to the end of its body, and for an answer to be taken
MAX_CALL_S = 8.0  # Danger: a call that is never settled would hold its place and its body for good
CALLER_TIMEOUT_S = 0.9  # a caller goes elsewhere after a second of silence, and later after a long body:
CALLER_TIMEOUT_PER_BYTE_S = 12e-6  # 3 ms a route, of which the shortest takes some 240 bytes
CLOSE_TIMEOUT_S = 1.0  # for calls under way when the door closes
CLOSE_POLL_S = 0.02
DEFAULT_RETRY_AFTER_US = 500_000  # told to a caller where nothing says when to come back
MAX_NAME_CHARACTERS = 255  # characters of a zone's or host's name
WRITE_CHUNK_BYTES = 1 << 16  # bytes of a long reading that are written between two looks at what backs it


# -- calls and their answers ---------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ReplaceConfiguration:
    body: bytes


@dataclass(slots=True, frozen=True)
class ConfigurationReplaced:
    """It is in force, or a higher version is."""


@dataclass(slots=True, frozen=True)
class RetrieveConfiguration:
    pass


@dataclass(slots=True, frozen=True)
class ConfigurationRetrieved:
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
class ResolveAddresses:
    """:param name: the host that a client wants; it may be empty, as may the client's own places"""

    name: str
    region: str
    zone: str


@dataclass(slots=True, frozen=True)
class AddressesResolved:
    """:param addresses: `host:port` of ingresses
    :param ttl_s: how long a client may hold on to them
    """

    addresses: tuple[str, ...]
    ttl_s: float


Call = (
    ReplaceConfiguration | RetrieveConfiguration | InitiateEvacuation | TerminateEvacuation | ResolveAddresses
)
Answer = ConfigurationReplaced | ConfigurationRetrieved | EvacuationSet | AddressesResolved


@dataclass(slots=True, frozen=True)
class GuardedOutcome:
    """An outcome drawn from a state that may be overtaken: a reading, or a refusal for good.

    An acknowledgement needs no backing: what is synced on enough disks stays so.

    :param lasts: whether what it was drawn from still holds; asked right before the bytes leave
    """

    outcome: Result[Any, Error]
    still_valid: Callable[[], bool]

    def checked_at_send(self) -> Result[Any, Error]:
        """The outcome as it may leave at this moment.

        Danger: a machine may stand still between the decision and its answer, and be followed meanwhile.
        """
        final = (
            not isinstance(self.outcome, Failure) or self.outcome.failure().code is not ErrorCode.UNAVAILABLE
        )
        return Failure(STALE_OUTCOME) if final and not self.still_valid() else self.outcome


STALE_OUTCOME = Error(ErrorCode.UNAVAILABLE, "what this was drawn from may be overtaken")
# It may be cancelled at any time, as its caller may leave: what it began may then be in force or not.
ExecuteCall = Callable[[Any], Awaitable[Result[Any, Error] | GuardedOutcome]]
RejectionHook = Callable[[Call, Error], None]


# -- what there is to call -----------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class OperatorRequest:
    """A call as it came: the named parts of its path, its query and its body."""

    path_parts: dict[str, str]
    query: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class PendingReply:
    """What came of a call; it is written only as it leaves."""

    call: Call
    outcome: GuardedOutcome


@dataclass(slots=True, frozen=True)
class Endpoint:
    """:param bodied: its body is a part of the call; else whatever comes is read and forgotten"""

    method: str
    path: re.Pattern[str]
    parse: Callable[[OperatorRequest], Result[Call, Error]]
    has_body: bool = False


def replace(asked: OperatorRequest) -> Result[Call, Error]:
    return Success(ReplaceConfiguration(asked.body))


def retrieve(asked: OperatorRequest) -> Result[Call, Error]:
    return Success(RetrieveConfiguration())


def evacuate(
    call: type[InitiateEvacuation] | type[TerminateEvacuation],
) -> Callable[[OperatorRequest], Result[Call, Error]]:
    def read(asked: OperatorRequest) -> Result[Call, Error]:
        zone = unquote(asked.path_parts["zone"])
        # Danger: the name becomes a row's key and goes into the log.
        if not zone.isprintable() or len(zone) > MAX_NAME_CHARACTERS:
            return Failure(Error(ErrorCode.INVALID_ORDER, "zone: no name of one"))
        return Success(call(zone))

    return read


def resolution(asked: OperatorRequest) -> Result[Call, Error]:
    return Success(
        ResolveAddresses(*(asked.query.get(f, "")[:MAX_NAME_CHARACTERS] for f in ("name", "region", "zone")))
    )


CONTROL_ENDPOINTS = (
    Endpoint("POST", re.compile("/configuration/replace"), replace, has_body=True),
    Endpoint("GET", re.compile("/configuration/retrieve"), retrieve),
    Endpoint("POST", re.compile("/evacuation/(?P<zone>[^/]+)/initiate"), evacuate(InitiateEvacuation)),
    Endpoint("POST", re.compile("/evacuation/(?P<zone>[^/]+)/terminate"), evacuate(TerminateEvacuation)),
)
DIRECTORY_ENDPOINTS = (Endpoint("GET", re.compile("/resolution"), resolution),)

ENCODERS: dict[type, Callable[[Any], bytes]] = {
    ConfigurationReplaced: lambda answer: b"{}",
    ConfigurationRetrieved: lambda answer: bytes(answer.body),
    EvacuationSet: orjson.dumps,
    AddressesResolved: orjson.dumps,
}


def response_of(outcome: Result[Answer, Error]) -> web.Response:
    """The one way from an outcome to what the caller gets."""
    if not isinstance(outcome, Failure):
        answer = outcome.unwrap()
        return web.Response(body=ENCODERS[type(answer)](answer), content_type="application/json")
    fault = outcome.failure()
    back_us = fault.retry_after_us or (DEFAULT_RETRY_AFTER_US if fault.status == 503 else 0)
    headers = {"Retry-After": seconds_text(back_us)} if back_us else None
    body = orjson.dumps({"error": fault.code, "text": fault.text})
    return web.Response(status=fault.status, body=body, headers=headers, content_type="application/json")


def rejection(status: int, text: str, allow: Iterable[str] = ()) -> web.Response:
    """An answer of HTTP's own, before there is a call."""
    headers = {"Allow": ", ".join(sorted(allow))} if allow else None
    body = orjson.dumps({"error": "refused", "text": text})
    response = web.Response(status=status, body=body, headers=headers, content_type="application/json")
    response.force_close()  # its body, if any, was not read
    return response


def busy_response() -> web.Response:
    response = response_of(Failure(Error(ErrorCode.UNAVAILABLE, "too much at once")))
    response.force_close()
    return response


def stale_response() -> web.Response:
    response = response_of(Failure(Error(ErrorCode.UNAVAILABLE, "this machine stood still")))
    response.force_close()
    return response


def caller_timeout_s(parts: list[bytes]) -> float:
    """Seconds for which a caller waits for the answer, from the last byte of its body."""
    return min(CALLER_TIMEOUT_S + sum(map(len, parts)) * CALLER_TIMEOUT_PER_BYTE_S, MAX_CALL_S)


# -- the doors -----------------------------------------------------------------------------------


class ApiListener:
    """It owns its connections, `PLACES` at most: each ends by its caller, by time, or in `close`."""

    def __init__(
        self,
        endpoints: tuple[Endpoint, ...],
        execute: ExecuteCall,
        address: tuple[str, int],
        max_body_bytes: int = MAX_BODY_BYTES,
        on_rejected: RejectionHook | None = None,
    ) -> None:
        """:param refused: is told of each call that was read and could not be granted"""
        self.endpoints = endpoints
        self.execute = execute
        self.on_rejected = on_rejected
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.buffered_bytes = 0  # bytes of bodies that are read or settled now
        self.closing = False
        self.listener: Door | None = None

    def open(self) -> None:
        """Listen, on the running loop.  :raises OSError: where the address cannot be had"""
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Door(asyncio.get_running_loop(), server, MAX_CONNECTIONS)
        self.listener.open(*self.address)
        assert self.listener.listener is not None
        self.address = self.listener.listener.getsockname()  # where any port was asked for: which it is

    async def close(self) -> None:
        """Let nobody in, give calls under way a moment, and end what is left."""
        if self.listener is None:
            return
        door, self.listener, self.closing = self.listener, None, True
        await door.close()
        end = door.loop.time() + CLOSE_TIMEOUT_S
        while door.links and door.loop.time() < end:
            await asyncio.sleep(CLOSE_POLL_S)
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
            reply = await self.answer_request(request, link)
            response = self.response_now(reply) if isinstance(reply, PendingReply) else reply
            if self.closing:
                response.force_close()
            # A caller that has left: what it asked for stands, and nobody is there to be told.
            with contextlib.suppress(ConnectionError):
                # Danger: who asks for long answers and reads none would hold them all.
                async with asyncio.timeout(READ_TIMEOUT_S):
                    long = isinstance(response.body, bytes) and len(response.body) > WRITE_CHUNK_BYTES
                    if isinstance(reply, PendingReply) and long:
                        return await send_in_chunks(request, link, response, reply.outcome.still_valid)
                    await response.prepare(request)
                    await response.write_eof()
                    await request.writer.drain()
        except TimeoutError:
            link.wire.abort()
        finally:
            link.answered()
        return response

    def response_now(self, reply: PendingReply) -> web.Response:
        """The answer of a call as it may leave now.  Nothing may wait between this and the writing."""
        outcome = reply.outcome.checked_at_send()
        if isinstance(outcome, Failure) and self.on_rejected is not None:
            self.on_rejected(reply.call, outcome.failure())
        return response_of(outcome)

    async def answer_request(self, request: web.BaseRequest, link: ClientLink) -> web.Response | PendingReply:
        path, _, _ = request.raw_path.partition("?")
        found = [(way, match) for way in self.endpoints if (match := way.path.fullmatch(path)) is not None]
        if not found:
            return rejection(404, "nothing is called this")
        way, match = next(((w, m) for w, m in found if w.method == request.method), (None, None))
        if way is None or match is None:
            return rejection(405, f"not by {request.method}", {w.method for w, _ in found})
        parts: list[bytes] = []
        try:
            problem = await self.read_body(request, link, way, parts)
            if problem is not None:
                return problem
            waited = unread_for_s(link.wire)
            if has_hung_up(link.wire) or waited >= caller_timeout_s(parts):
                # Danger: its caller has given the same order to another machine, and others since.
                return stale_response()
            asked = OperatorRequest(match.groupdict(), dict(request.query), b"".join(parts))
            return await self.execute_call(way, asked, caller_timeout_s(parts) - waited)
        finally:
            self.buffered_bytes -= sum(map(len, parts))

    async def read_body(
        self, request: web.BaseRequest, link: ClientLink, way: Endpoint, parts: list[bytes]
    ) -> web.Response | None:
        """Read the body into `parts`, counted in `held`; or the answer for one that cannot be had.

        Danger: a hundred long bodies at once would be more than the process may hold.
        """
        if (request.content_length or 0) > self.max_body_bytes:
            return rejection(413, f"more than {self.max_body_bytes} bytes")
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.wire.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        size = 0
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > self.max_body_bytes:
                        return rejection(413, f"more than {self.max_body_bytes} bytes")
                    if way.has_body:
                        if self.buffered_bytes + len(part) > self.max_body_bytes:
                            return busy_response()
                        parts.append(part)
                        self.buffered_bytes += len(part)
        except TimeoutError:
            return rejection(408, f"not whole after {READ_TIMEOUT_S:g} s")
        except (web.RequestPayloadError, HttpProcessingError) as err:
            return rejection(400, " ".join(str(err).split())[:MAX_NAME_CHARACTERS])
        return None

    async def execute_call(
        self, way: Endpoint, asked: OperatorRequest, left_s: float
    ) -> web.Response | PendingReply:
        """:param left_s: for which the caller still waits"""
        read = way.parse(asked)
        if isinstance(read, Failure):
            return response_of(read)
        call = read.unwrap()
        outcome: Result[Answer, Error] | GuardedOutcome
        try:
            async with asyncio.timeout(left_s):
                outcome = await self.execute(call)
        except TimeoutError:
            outcome = Failure(Error(ErrorCode.UNAVAILABLE, f"no clear answer in {left_s:.1f} s"))
        return PendingReply(
            call, outcome if isinstance(outcome, GuardedOutcome) else GuardedOutcome(outcome, lambda: True)
        )


async def send_in_chunks(
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
    for begin in range(0, len(body), WRITE_CHUNK_BYTES):
        if begin and not lasts():
            link.wire.abort()
            return response
        await response.write(body[begin : begin + WRITE_CHUNK_BYTES])
    await response.write_eof()
    await request.writer.drain()
    return response


class ControlApi(ApiListener):
    """Operators' orders."""

    def __init__(
        self,
        execute: ExecuteCall,
        address: tuple[str, int],
        max_body_bytes: int = MAX_BODY_BYTES,
        on_rejected: RejectionHook | None = None,
    ) -> None:
        super().__init__(CONTROL_ENDPOINTS, execute, address, max_body_bytes, on_rejected)


class DirectoryApi(ApiListener):
    """Clients' questions where to go."""

    def __init__(self, execute: ExecuteCall, address: tuple[str, int]) -> None:
        super().__init__(DIRECTORY_ENDPOINTS, execute, address, MAX_NAME_CHARACTERS)
