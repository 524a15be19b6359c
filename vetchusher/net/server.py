"""The clients' side: reads requests from the sockets and answers each of them once."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web

from . import effects as fx
from .door import HEAD_LIMIT_S, ClientConnection, Listener
from .instances import ForwardedRequest
from .links import StreamedAnswer
from .plain import MAX_BODY_BYTES, seconds_text
from .protocol import RequestError, RequestReader
from .runtime import Runtime

log = logging.getLogger("vetchusher")

# The client's deadline runs from when it sent the request, and the answer needs time to reach it.
ANSWER_MARGIN_US = 8_000
MIN_BODY_BYTES_PER_S = 64_000  # slowest rate at which valid clients send a body


@dataclass(slots=True)
class PendingRequest:
    """An accepted request: what is forwarded, and the future of its answer."""

    forwarded: ForwardedRequest
    answer: asyncio.Future[web.Response | StreamedAnswer]


class ClientServer:
    """Reads requests, submits them to the reducer and sends the answers."""

    def __init__(self, runtime: Runtime, reader: RequestReader, max_clients: int) -> None:
        """Prepare the listener; at most `max_clients` connections."""
        self.runtime = runtime
        self.reader = reader
        self.pending: dict[int, PendingRequest] = {}
        self.open_request_ids: set[str] = set()  # the Request-Ids of `pending`
        self.next_request_id = 1
        self.server = web.Server(self.handle, handler_cancellation=True, request_factory=self.make_request)
        self.listener = Listener(runtime.loop, self.server, max_clients)

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        """Create aiohttp's request object with the limit on bodies."""
        loop = self.runtime.loop
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES)

    def forwarded_request(self, request_id: int) -> ForwardedRequest | None:
        """Return what is forwarded of an open request, or None."""
        pending = self.pending.get(request_id)
        return pending.forwarded if pending is not None else None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; while shutting down, close its connection afterwards."""
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        try:
            response = await self.respond(request, connection)
        finally:
            connection.answered()
        if self.runtime.reducer.stopping:
            response.force_close()
        return response

    async def respond(self, request: web.BaseRequest, connection: ClientConnection) -> web.StreamResponse:
        """Check a request, submit it and return its answer; answer health checks directly."""
        target = request.raw_path
        if target == "/health/ready":
            return web.Response(status=200 if self.runtime.reducer.ready else 503)
        if target == "/health/live":
            return web.Response(status=200)
        arrived_at = self.runtime.clock.now()
        try:
            head = self.reader.read(request.method, target, request.headers)
            deadline = self.runtime.clock.on_loop(arrived_at + head.remaining_us)
            # A client may take 2 s for a head and send its body at the slowest rate: the longer the body,
            # the later it may end, but never after the request's own deadline.
            body_due_at = (
                connection.since + HEAD_LIMIT_S + (request.content_length or 0) / MIN_BODY_BYTES_PER_S
            )
            body = await self.read_body(request, connection, min(body_due_at, deadline))
            if request.headers["Request-Id"] in self.open_request_ids:
                # Servers distinguish requests by this id alone.
                raise RequestError(409, "a command with this Request-Id is open")
        except RequestError as err:
            response = web.Response(status=err.status, text=str(err))
            # A client that sends an invalid request may send more: each costs it a new connection.
            response.force_close()
            return response
        headers = {"Request-Id": request.headers["Request-Id"]}
        if (key := request.headers.get("Idempotency-Key")) is not None:
            headers["Idempotency-Key"] = key
        number, self.next_request_id = self.next_request_id, self.next_request_id + 1
        pending = PendingRequest(
            ForwardedRequest(request.method, target, body, headers), self.runtime.loop.create_future()
        )
        self.pending[number] = pending
        self.open_request_ids.add(headers["Request-Id"])
        expires_at = arrived_at + max(1, head.remaining_us - ANSWER_MARGIN_US)
        try:
            self.runtime.feed(
                fx.RequestReceived(
                    number,
                    head.class_id,
                    head.plan_id,
                    head.customer,
                    expires_at,
                    head.units,
                    head.gateways,
                    head.first_gateway,
                    head.flags,
                )
            )
            answer = await pending.answer
            if isinstance(answer, StreamedAnswer):
                return await self.stream_answer(request, connection, answer)
            return answer
        except asyncio.CancelledError:
            self.runtime.feed(fx.ClientDisconnected(number))
            raise
        finally:
            del self.pending[number]
            self.open_request_ids.discard(headers["Request-Id"])
            if pending.answer.done() and isinstance(streamed := pending.answer.result(), StreamedAnswer):
                streamed.close()

    async def stream_answer(
        self, request: web.BaseRequest, connection: ClientConnection, answer: StreamedAnswer
    ) -> web.StreamResponse:
        """Pass a long answer on as it comes, in bounded memory: the client's reading paces the server's
        writing.

        If the answer ends early, the connection is closed, and the client gets fewer bytes than its length
        says.
        """
        response = web.StreamResponse(status=200)
        response.content_length = answer.length
        if self.runtime.reducer.stopping:
            response.force_close()
        await response.prepare(request)
        try:
            while data := await asyncio.wait_for(answer.response.content.readany(), answer.gap_s):
                await response.write(data)
        except (TimeoutError, aiohttp.ClientError, OSError):
            response.force_close()
            connection.client_transport.abort()
        return response

    async def read_body(self, request: web.BaseRequest, connection: ClientConnection, due_at: float) -> bytes:
        """Read the body of a request.

        :param due_at: loop time by which it must be complete
        :raises RequestError: if there must be none, or it is too long, too late or malformed
        """
        if not request.can_read_body:
            return b""
        if request.method == "GET":
            raise RequestError(400, "this method takes no body")
        if (request.content_length or 0) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        if request.headers.get("Expect", "").lower() == "100-continue":
            connection.client_transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(due_at):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise RequestError(413, "the body is too long") from None
        except TimeoutError:
            raise RequestError(408, "the body did not come in time") from None
        except web.RequestPayloadError:
            raise RequestError(400, "the body cannot be read") from None

    def serve(self, request_id: int, answer: object) -> None:
        """Answer with a server's answer, as bytes or as a stream."""
        self.resolve(request_id, answer if isinstance(answer, StreamedAnswer) else web.Response(body=answer))

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer with 503; `retry_after` in microseconds, 0 for no Retry-After."""
        headers = {"Retry-After": seconds_text(retry_after)} if retry_after > 0 else None
        self.resolve(request_id, web.Response(status=503, headers=headers))

    def fail(self, request_id: int) -> None:
        """Answer with 502."""
        self.resolve(request_id, web.Response(status=502))

    def resolve(self, request_id: int, response: web.Response | StreamedAnswer) -> None:
        """Set the answer of a request that has none yet."""
        pending = self.pending.get(request_id)
        if pending is not None and not pending.answer.done():
            pending.answer.set_result(response)
        elif isinstance(response, StreamedAnswer):
            response.close()  # no request is left to receive it
