"""The HTTP endpoint at which metrics are read."""

from __future__ import annotations

import asyncio

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from .address import MetricsAddress

TEARDOWN_S = 0.1


class MetricsListener:
    """`GET` of one path on an address of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, registry: CollectorRegistry, path: str) -> None:
        """Prepare the endpoint; `open` listens."""
        self.loop = loop
        self.registry = registry
        self.path = path
        self.server = web.Server(self.handle, access_log=None)
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, address: MetricsAddress) -> None:
        """Listen.

        :raises OSError: where the port is taken
        """
        self.listener = await self.loop.create_server(self.server, host, address.port, reuse_address=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.raw_path.partition("?")[0] != self.path:
            return web.Response(status=404)
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405, headers={"Allow": "GET, HEAD"})
        body = generate_latest(self.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_PLAIN_0_0_4})

    async def close(self) -> None:
        """Close the listener."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        await self.server.shutdown(TEARDOWN_S)
