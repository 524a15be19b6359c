"""The readiness endpoint: whether the platform may count this ingress as ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from .single_endpoint import SingleEndpoint

PATH = "/readiness"


def readiness_endpoint(loop: asyncio.AbstractEventLoop, ready: Callable[[], bool]) -> SingleEndpoint:
    """Return `GET /readiness`: 200 or 503."""
    return SingleEndpoint(loop, PATH, lambda request: web.Response(status=200 if ready() else 503))
