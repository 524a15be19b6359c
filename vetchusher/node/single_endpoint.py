"""An HTTP endpoint that serves a single path on its own address, for readiness and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 0.1  # for open requests to end


class SingleEndpoint:
    """An HTTP server for one path; it answers 404 to every other path."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        respond: Callable[[web.BaseRequest], web.Response],
    ) -> None:
        """Create the endpoint; `open` listens.

        :param respond: returns the response to a request for the path
        """
        self.loop = loop
        self.path = path
        self.respond = respond
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the port is in use
        """
        self.listener = await self.loop.create_server(self.server, host, port, reuse_address=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.raw_path.partition("?")[0] != self.path:
            return web.Response(status=404)
        return self.respond(request)

    async def close(self) -> None:
        """Close the listener and its connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        await self.server.shutdown(SHUTDOWN_TIMEOUT_S)
