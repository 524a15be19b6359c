"""The service clients' side: takes commands from sockets and owes each its one final answer."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from . import effects as fx
from .instances import Payload
from .protocol import MOST_BODY, CommandReader, Rejected, seconds_text
from .runtime import Runtime

log = logging.getLogger("vetchusher")

# The client counts its deadline from when it sent the command, and an answer needs its way back.
ANSWER_MARGIN_US = 8_000
KEEPALIVE_S = 600.0
KEPT_PART = 0.75  # of the connections that clients may have: beyond that each closes after its answer


@dataclass(slots=True)
class Taken:
    """A command that was taken: its payload and the place of its answer."""

    payload: Payload
    answer: asyncio.Future[web.Response]


class Surplus(asyncio.Protocol):
    """A connection over the bound: closed before anything is taken on it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


class BoundedServer(web.Server):
    """Danger: out of descriptors, no attempt could be made for the commands already taken."""

    def __init__(self, most: int, handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self.most = most

    def __call__(self) -> Any:
        return super().__call__() if len(self.connections) < self.most else Surplus()


class ServiceClients:
    def __init__(self, runtime: Runtime, reader: CommandReader, most_clients: int) -> None:
        self.runtime = runtime
        self.reader = reader
        self.most_clients = most_clients
        self.taken: dict[int, Taken] = {}
        self.next_command = 1
        self.busy: set[web.RequestHandler] = set()  # connections with a command under way
        self.server = BoundedServer(
            most_clients,
            self.handle,
            handler_cancellation=True,
            request_factory=self.make_request,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_S,
            logger=log,
        )
        self.listener: asyncio.Server | None = None

    def make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
    ) -> web.BaseRequest:
        loop = self.runtime.loop
        return web.BaseRequest(message, payload, protocol, writer, task, loop, client_max_size=MOST_BODY + 1)

    async def listen(self, host: str, port: int) -> None:
        self.listener = await self.runtime.loop.create_server(self.server, host, port, backlog=512)

    def payload(self, command: int) -> Payload | None:
        taken = self.taken.get(command)
        return taken.payload if taken is not None else None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self.busy.add(connection)
        try:
            response = await self.respond(request)
        finally:
            self.busy.discard(connection)
        if self.runtime.reducer.stopping or len(self.server.connections) > self.most_clients * KEPT_PART:
            response.force_close()
        return response

    async def respond(self, request: web.BaseRequest) -> web.Response:
        target = request.raw_path
        if target == "/health/ready":
            return web.Response(status=200 if self.runtime.reducer.ready else 503)
        if target == "/health/live":
            return web.Response(status=200)
        arrived_at = self.runtime.clock.now()
        try:
            head = self.reader.read(request.method, target, request.headers)
            body = await self.body(request, arrived_at + head.time_left)
        except Rejected as err:
            response = web.Response(status=err.status, text=str(err))
            if request.can_read_body:
                response.force_close()  # what is left of its body is not read as a next command
            return response
        headers = {"Request-Id": request.headers["Request-Id"]}
        if (key := request.headers.get("Idempotency-Key")) is not None:
            headers["Idempotency-Key"] = key
        number, self.next_command = self.next_command, self.next_command + 1
        taken = Taken(Payload(request.method, target, body, headers), self.runtime.loop.create_future())
        self.taken[number] = taken
        expires_at = arrived_at + max(1, head.time_left - ANSWER_MARGIN_US)
        try:
            self.runtime.feed(
                fx.CommandArrived(
                    number,
                    head.class_id,
                    head.plan_id,
                    head.customer,
                    expires_at,
                    head.units,
                    head.doors,
                    head.first_door,
                    head.flags,
                )
            )
            return await taken.answer
        except asyncio.CancelledError:
            self.runtime.feed(fx.ClientLeft(number))
            raise
        finally:
            del self.taken[number]

    async def body(self, request: web.BaseRequest, due_at: int) -> bytes:
        if not request.can_read_body:
            return b""
        if request.method == "GET":
            raise Rejected(400, "this method takes no body")
        if (request.content_length or 0) > MOST_BODY:
            raise Rejected(413, "the body is too long")
        try:
            async with asyncio.timeout_at(self.runtime.clock.on_loop(due_at)):
                return await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise Rejected(413, "the body is too long") from None
        except TimeoutError:
            raise Rejected(408, "the body did not come in time") from None

    def serve(self, command: int, answer: object) -> None:
        self.give(command, web.Response(body=answer))

    def nack(self, command: int, retry_after: int) -> None:
        headers = {"Retry-After": seconds_text(retry_after)} if retry_after > 0 else None
        self.give(command, web.Response(status=503, headers=headers))

    def fail(self, command: int) -> None:
        self.give(command, web.Response(status=502))

    def give(self, command: int, response: web.Response) -> None:
        taken = self.taken.get(command)
        if taken is not None and not taken.answer.done():
            taken.answer.set_result(response)

    async def stop_accepting(self) -> None:
        """Close the listener and the idle connections; the others close after their answers.

        Danger: aiohttp's own `close` of an idle connection ends the task that serves it and leaves the
        socket open; what a client then sends on it is lost.  So those are closed here, after the turns that
        a command already read needs to be seen as begun.
        """
        if self.listener is not None:
            self.listener.close()
        self.server.pre_shutdown()
        for _ in range(3):
            await asyncio.sleep(0)
        for connection in self.server.connections:
            if connection not in self.busy and connection.transport is not None:
                connection.transport.close()
