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


@dataclass(slots=True)
class Taken:
    """A command that was taken: its payload and the place of its answer."""

    payload: Payload
    answer: asyncio.Future[web.Response]


class ServiceClients:
    def __init__(self, runtime: Runtime, reader: CommandReader, most_clients: int) -> None:
        self.runtime = runtime
        self.reader = reader
        self.most_clients = most_clients
        self.taken: dict[int, Taken] = {}
        self.next_command = 1
        self.server = web.Server(
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
        response = await self.respond(request)
        if self.runtime.reducer.stopping or len(self.server.connections) > self.most_clients:
            response.force_close()
        return response

    async def respond(self, request: web.BaseRequest) -> web.Response:
        target = request._message.path
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

    def stop_accepting(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self.server.pre_shutdown()  # idle connections close now, the others after their answer
