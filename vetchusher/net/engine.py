"""Calls to an external lease engine over HTTP/1.1."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import orjson

from . import effects as fx
from .runtime import Runtime

MAX_ANSWER_BYTES = 64 * 1024
MAX_CALLS_IN_FLIGHT = 256  # further calls get no answer


class LeaseEngineClient:
    """Owns its HTTP session and the tasks of the calls in flight."""

    def __init__(self, runtime: Runtime, url: str) -> None:
        """Register for `CallLeaseEngine`; the session opens with the first call."""
        self.runtime, self.url = runtime, url.rstrip("/")
        self.session: aiohttp.ClientSession | None = None
        self.calls: set[asyncio.Task[None]] = set()
        runtime.effect_handlers[fx.CallLeaseEngine] = self.call

    def call(self, effect: fx.CallLeaseEngine) -> None:
        """Start a call; its answer is submitted as `LeaseEngineAnswered`."""
        if len(self.calls) >= MAX_CALLS_IN_FLIGHT:
            return  # the caller has a timeout of its own
        task = self.runtime.loop.create_task(self.run(effect))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def run(self, effect: fx.CallLeaseEngine) -> None:
        """Make one call and submit its answer, or None if there is no usable one in time."""
        tree: dict[str, Any] | None = None
        try:
            async with asyncio.timeout_at(self.runtime.clock.on_loop(effect.expires_at)):
                tree = await self.post(effect.path, effect.body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            pass
        self.runtime.feed(fx.LeaseEngineAnswered(effect.call, tree))

    async def post(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        """Return the JSON object of a good answer, else None.

        A keep-alive call is answered with a stream, of which the first line counts.
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        async with self.session.post(self.url + path, data=orjson.dumps(body)) as response:
            raw = await response.content.readline() if "keepalive" in path else await response.read()
            tree = orjson.loads(raw[:MAX_ANSWER_BYTES])
            return tree if response.status == 200 and isinstance(tree, dict) and "error" not in tree else None

    async def close(self) -> None:
        """Close the session after the calls in flight, so that leases released at the end are released."""
        if self.calls:
            await asyncio.wait(self.calls, timeout=0.5)
        for task in list(self.calls):
            task.cancel()
        if self.session is not None:
            await self.session.close()
