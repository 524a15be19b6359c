"""The listeners of the HTTP API: `ControlApi` for operators, `DirectoryApi` for clients' resolvers.

A request is read completely, parsed by its endpoint, executed by the callback `execute`, and answered. The
number of connections, the bytes buffered and the time of each step are bounded.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from returns.result import Failure, Result

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientConnection, Listener

from .api_calls import ApiCall, ApiResult, ExecuteCall, GuardedOutcome, RejectionHook
from .api_endpoints import (
    CONTROL_ENDPOINTS,
    DIRECTORY_ENDPOINTS,
    MAX_NAME_CHARACTERS,
    Endpoint,
    OperatorRequest,
    busy_response,
    rejection,
    response_of,
    stale_response,
)
from .caller_connection import has_peer_closed, unread_for_s

log = logging.getLogger("vetchusher")

MAX_CONNECTIONS = 256
MAX_BODY_BYTES = 64 << 20  # limit of one body, and of all bodies that are read or executed at the same time
READ_TIMEOUT_S = 10.0  # limit from a request's head to the end of its body, and limit for sending a response
MAX_CALL_S = 8.0  # a call without a limit could hold its connection and its body for ever
# A caller tries another machine after a second without a response, and later after a long body, which takes
# longer to process: 3 ms for each route, and the shortest route takes about 240 bytes.
CALLER_TIMEOUT_S = 0.9
CALLER_TIMEOUT_PER_BYTE_S = 12e-6
CLOSE_TIMEOUT_S = 1.0  # for calls in flight when the listener closes
CLOSE_POLL_INTERVAL_S = 0.02
WRITE_CHUNK_BYTES = 1 << 16  # the guard of a long response is checked before each chunk


@dataclass(slots=True, frozen=True)
class PendingReply:
    """The outcome of a call; it is turned into a response right before it is sent."""

    call: ApiCall
    outcome: GuardedOutcome


def caller_timeout_s(body: list[bytes]) -> float:
    """Return the seconds for which a caller waits for the response, from the last byte of its body."""
    return min(CALLER_TIMEOUT_S + sum(map(len, body)) * CALLER_TIMEOUT_PER_BYTE_S, MAX_CALL_S)


class ApiListener:
    """Owner of a listening socket and of its connections, `MAX_CONNECTIONS` at most.

    A connection ends when its caller closes it, by a time-out, or in `close`.
    """

    def __init__(
        self,
        endpoints: tuple[Endpoint, ...],
        execute: ExecuteCall,
        address: tuple[str, int],
        max_body_bytes: int = MAX_BODY_BYTES,
        on_rejected: RejectionHook | None = None,
    ) -> None:
        """Prepare the listener; `open` listens.

        :param max_body_bytes: limit of one body, and of all bodies that are read or executed at the same time
        :param on_rejected: called with each call that was parsed and then failed, and its error
        """
        self.endpoints = endpoints
        self.execute = execute
        self.on_rejected = on_rejected
        self.address = address
        self.max_body_bytes = max_body_bytes
        self.buffered_bytes = 0  # size of all bodies that are read or executed at present
        self.closing = False
        self.listener: Listener | None = None

    def open(self) -> None:
        """Listen, on the running loop.

        :raises OSError: the address cannot be bound
        """
        server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Listener(asyncio.get_running_loop(), server, MAX_CONNECTIONS)
        self.listener.open(*self.address)
        assert self.listener.listening_socket is not None
        self.address = (
            self.listener.listening_socket.getsockname()
        )  # with the port that was chosen for port 0

    async def close(self) -> None:
        """Stop accepting, wait up to `CLOSE_TIMEOUT_S` for calls in flight, and abort all connections."""
        if self.listener is None:
            return
        listener, self.listener, self.closing = self.listener, None, True
        await listener.close()
        deadline = listener.loop.time() + CLOSE_TIMEOUT_S
        while listener.connections and listener.loop.time() < deadline:
            await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        listener.stop()
        for link in list(listener.connections):
            link.client_transport.abort()

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        """Return aiohttp's request; its own limit on bodies is off, as `read_body` has one."""
        loop = asyncio.get_running_loop()
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=0)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; the connection is aborted if the caller does not take the response in time."""
        link = request.protocol
        assert isinstance(link, ClientConnection)
        try:
            reply = await self.answer_request(request, link)
            response = self.response_now(reply) if isinstance(reply, PendingReply) else reply
            if self.closing:
                response.force_close()
            # If the caller has disconnected, its call keeps its effect and the response is dropped.
            with contextlib.suppress(ConnectionError):
                # The time-out keeps callers that do not read their responses from filling the memory.
                async with asyncio.timeout(READ_TIMEOUT_S):
                    if isinstance(reply, PendingReply) and is_long(response):
                        return await send_in_chunks(request, link, response, reply.outcome.still_valid)
                    await response.prepare(request)
                    await response.write_eof()
                    await request.writer.drain()
        except TimeoutError:
            link.client_transport.abort()
        finally:
            link.answered()
        return response

    def response_now(self, reply: PendingReply) -> web.Response:
        """Return the response to a call after checking its guard.

        There must be no `await` between this and the first write, or the guard's check may be out of date.
        """
        outcome = reply.outcome.checked_at_send()
        if isinstance(outcome, Failure) and self.on_rejected is not None:
            self.on_rejected(reply.call, outcome.failure())
        return response_of(outcome)

    async def answer_request(
        self, request: web.BaseRequest, link: ClientConnection
    ) -> web.Response | PendingReply:
        """Read, parse and execute one request."""
        path, _, _ = request.raw_path.partition("?")
        matches = [(each, match) for each in self.endpoints if (match := each.path.fullmatch(path))]
        if not matches:
            return rejection(404, "nothing is called this")
        found = next(((each, match) for each, match in matches if each.method == request.method), None)
        if found is None:
            return rejection(405, f"not by {request.method}", {each.method for each, _ in matches})
        endpoint, match = found
        body: list[bytes] = []
        try:
            problem = await self.read_body(request, link, endpoint, body)
            if problem is not None:
                return problem
            waited_s = unread_for_s(link.client_transport)
            timeout_s = caller_timeout_s(body)
            if has_peer_closed(link.client_transport) or waited_s >= timeout_s:
                # Safety: the caller may have sent the same order to another machine, and later orders after
                # it; executing this one now would undo those.
                return stale_response()
            parsed = OperatorRequest(match.groupdict(), dict(request.query), b"".join(body))
            return await self.execute_call(endpoint, parsed, timeout_s - waited_s)
        finally:
            self.buffered_bytes -= sum(map(len, body))

    async def read_body(
        self, request: web.BaseRequest, link: ClientConnection, endpoint: Endpoint, body: list[bytes]
    ) -> web.Response | None:
        """Read the body into `body`, and add its size to `buffered_bytes`.

        All bodies together are limited, since a hundred long ones would exceed the memory of the process.

        :returns: the response if the body is too long, too slow or malformed; None: it was read
        """
        if (request.content_length or 0) > self.max_body_bytes:
            return rejection(413, f"more than {self.max_body_bytes} bytes")
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.client_transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        size = 0
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > self.max_body_bytes:
                        return rejection(413, f"more than {self.max_body_bytes} bytes")
                    if endpoint.has_body:
                        if self.buffered_bytes + len(part) > self.max_body_bytes:
                            return busy_response()
                        body.append(part)
                        self.buffered_bytes += len(part)
        except TimeoutError:
            return rejection(408, f"not whole after {READ_TIMEOUT_S:g} s")
        except (web.RequestPayloadError, HttpProcessingError) as error:
            return rejection(400, " ".join(str(error).split())[:MAX_NAME_CHARACTERS])
        return None

    async def execute_call(
        self, endpoint: Endpoint, request: OperatorRequest, timeout_s: float
    ) -> web.Response | PendingReply:
        """Parse a request and execute its call.

        :param timeout_s: seconds for which the caller still waits; then the outcome is UNAVAILABLE
        """
        parsed = endpoint.parse(request)
        if isinstance(parsed, Failure):
            return response_of(parsed)
        call = parsed.unwrap()
        outcome: Result[ApiResult, Error] | GuardedOutcome
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self.execute(call)
        except TimeoutError:
            outcome = Failure(Error(ErrorCode.UNAVAILABLE, f"no clear answer in {timeout_s:.1f} s"))
        if not isinstance(outcome, GuardedOutcome):
            outcome = GuardedOutcome(outcome, lambda: True)
        return PendingReply(call, outcome)


def is_long(response: web.Response) -> bool:
    """Return whether a response is to be sent in chunks."""
    return isinstance(response.body, bytes) and len(response.body) > WRITE_CHUNK_BYTES


async def send_in_chunks(
    request: web.BaseRequest,
    link: ClientConnection,
    complete_response: web.Response,
    still_valid: Callable[[], bool],
) -> web.StreamResponse:
    """Send a long response in chunks; the connection is aborted if the guard fails before the last one.

    Safety: the part that the socket's buffer does not take waits in this process. If the process is paused
    meanwhile, the state that the response depends on may become stale before the rest is sent.

    :param complete_response: the response to send, with its body
    """
    body = complete_response.body
    assert isinstance(body, bytes)
    response = web.StreamResponse(status=complete_response.status, headers=complete_response.headers)
    response.content_length = len(body)
    if complete_response.keep_alive is False:
        response.force_close()
    await response.prepare(request)
    for start in range(0, len(body), WRITE_CHUNK_BYTES):
        if start and not still_valid():
            link.client_transport.abort()
            return response
        await response.write(body[start : start + WRITE_CHUNK_BYTES])
    await response.write_eof()
    await request.writer.drain()
    return response


class ControlApi(ApiListener):
    """The listener for operators' calls."""

    def __init__(
        self,
        execute: ExecuteCall,
        address: tuple[str, int],
        max_body_bytes: int = MAX_BODY_BYTES,
        on_rejected: RejectionHook | None = None,
    ) -> None:
        """Prepare a listener for operators."""
        super().__init__(CONTROL_ENDPOINTS, execute, address, max_body_bytes, on_rejected)


class DirectoryApi(ApiListener):
    """The listener for clients' resolvers, which request ingresses."""

    def __init__(self, execute: ExecuteCall, address: tuple[str, int]) -> None:
        """Prepare a listener for clients' resolvers."""
        super().__init__(DIRECTORY_ENDPOINTS, execute, address, MAX_NAME_CHARACTERS)
