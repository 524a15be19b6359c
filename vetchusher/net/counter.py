"""Calls to the quota counter service.

`CounterCalls` owns every call, from `call` to its one outcome in `finish`.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import aiohttp

from vetchusher import interface as api

from . import effects as fx
from .links import (
    ConnectionPool,
    RequestNotSent,
    UpstreamConnection,
    current_call,
    open_session,
    read_body,
    target_url,
)
from .protocol import counter_path, read_total
from .runtime import Runtime

log = logging.getLogger("vetchusher")

IDLE_LIMIT_US = 4_000_000  # the counter closes connections that were idle for about 10 s or less
MAX_CALLS_IN_FLIGHT = 512  # further calls end as overloaded


@dataclass(slots=True)
class CounterCall:
    """One call to the counter; `started_at` is in microseconds."""

    name: int
    endpoint: str  # address of the counter
    started_at: int
    task: asyncio.Task[None] | None = None
    expiry: asyncio.TimerHandle | None = None
    write_started: bool = False
    connection: UpstreamConnection | None = None
    done: bool = False

    def answer_progressed(self) -> None:
        """Do nothing: the deadline of the call is short enough."""


class CounterCalls:
    """Makes calls to the counter at one address, which may change."""

    def __init__(self, runtime: Runtime, address: str, max_connections: int) -> None:
        """Open the connection pool; an empty `address` means that there is no counter."""
        self.runtime = runtime
        self.address = address
        self.calls: set[asyncio.Task[None]] = set()
        self.session = open_session(max_connections, IDLE_LIMIT_US, None, self.is_current)

    def is_current(self, address: str) -> bool:
        """Whether connections to this address may be kept."""
        return address == self.address

    def change_address(self, address: str) -> None:
        """Send further calls to a new address; calls in flight end at the old one."""
        self.address = address
        connector = self.session.connector
        assert isinstance(connector, ConnectionPool)
        connector.drop_stale()

    def call(self, effect: fx.CallCounter) -> None:
        """Start a call; its outcome is submitted as `CounterReplied`."""
        clock, loop = self.runtime.clock, self.runtime.loop
        call = CounterCall(effect.name, self.address, clock.now())
        if not self.address or len(self.calls) >= MAX_CALLS_IN_FLIGHT:
            self.finish(call, api.Outcome.REJECTED)
            return
        path = counter_path(effect.name, effect.amount, effect.ttl_us)
        call.task = loop.create_task(self.run(call, path))
        self.calls.add(call.task)
        call.task.add_done_callback(self.calls.discard)
        call.expiry = loop.call_at(clock.on_loop(effect.expires_at), self.expire, call)

    def expire(self, call: CounterCall) -> None:
        """End a call whose deadline has passed."""
        self.finish(call, api.Outcome.TIMEOUT if call.write_started else api.Outcome.CONNECT_FAILED)

    def finish(self, call: CounterCall, outcome: int, total: float = 0.0) -> None:
        """End a call and submit its outcome; every call ends here, and only once."""
        if call.done:
            return
        call.done = True
        if call.expiry is not None:
            call.expiry.cancel()
        if call.task is not None and call.task is not asyncio.current_task():
            call.task.cancel()
        latency = self.runtime.clock.now() - call.started_at
        self.runtime.feed(fx.CounterReplied(call.name, outcome, latency, total))

    async def run(self, call: CounterCall, path: str) -> None:
        """Send the call, read the answer and finish the call."""
        total = 0.0
        current_call.set(call)
        try:
            response = await self.session.post(target_url(call.endpoint, path), allow_redirects=False)
            body = await read_body(response)
            outcome, total = read_total(response.status, body or b"")
            if outcome == api.Outcome.ERROR and call.connection is not None:
                call.connection.reject_surplus()  # after an invalid answer, the connection is not reused
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, RequestNotSent):
            outcome = api.Outcome.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            outcome = api.Outcome.ERROR  # the amount may have been added, or may still be
        except Exception as err:
            log.warning("counter call failed: %s: %s", type(err).__name__, err)
            outcome = api.Outcome.ERROR
        self.finish(call, outcome, total)

    async def close(self) -> None:
        """Cancel all calls and close the connections."""
        for task in list(self.calls):
            task.cancel()
        await self.session.close()
