"""The readiness endpoint: whether the platform may count this ingress as ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web


class Readiness:
    """`GET /readiness` on an address of its own: 200 or 503."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ready: Callable[[], bool]) -> None:
        """Prepare the endpoint; `open` listens."""
        self.loop = loop
        self.ready = ready
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self.listener = await self.loop.create_server(self.server, host, port, reuse_address=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        if request.raw_path.partition("?")[0] != "/readiness":
            return web.Response(status=404)
        return web.Response(status=200 if self.ready() else 503)

    async def close(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        await self.server.shutdown(0.1)
