"""The HTTP endpoint that serves metrics."""

from __future__ import annotations

import asyncio

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from vetchusher.node.single_endpoint import SingleEndpoint


def metrics_endpoint(
    loop: asyncio.AbstractEventLoop, registry: CollectorRegistry, path: str
) -> SingleEndpoint:
    """Return the endpoint of a registry; it answers GET and HEAD, and 405 to other methods."""

    def respond(request: web.BaseRequest) -> web.Response:
        if request.method not in ("GET", "HEAD"):
            return web.Response(status=405, headers={"Allow": "GET, HEAD"})
        body = generate_latest(registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_PLAIN_0_0_4})

    return SingleEndpoint(loop, path, respond)
