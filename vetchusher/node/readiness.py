"""The readiness endpoint, by which the platform learns whether this ingress is ready."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from .single_endpoint import SingleEndpoint

PATH = "/readiness"


def readiness_endpoint(loop: asyncio.AbstractEventLoop, ready: Callable[[], bool]) -> SingleEndpoint:
    """Return the endpoint `/readiness`, which answers 200 while `ready` returns true, else 503."""
    return SingleEndpoint(loop, PATH, lambda request: web.Response(status=200 if ready() else 503))
