"""Attempts at share servers and the connections that carry them.

This is the owner of every attempt: one begins in `start`, and ends with its one outcome in `finish`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any, Protocol

import aiohttp
from yarl import URL

from vetchusher import interface as api

from . import effects as fx
from .protocol import MOST_BODY, address_text, attempt_outcome, seconds_text
from .runtime import Runtime

log = logging.getLogger("vetchusher")

IDLE_PART = 0.7  # of the instances' idle limit: a request written near the limit would end as a reset


class NeverSent(aiohttp.ClientError):
    """The connection broke before the last byte of the request was written."""


class Sending(Protocol):
    """What a task sends: it learns here that it has a connection and is being written."""

    begun: bool


sending: ContextVar[Sending] = ContextVar("sending")  # of the running task


class AttemptRequest(aiohttp.ClientRequest):
    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        transport = conn.transport
        if transport is None or transport.is_closing():
            raise NeverSent("connection lost before the request was written")
        sending.get().begun = True
        # With no room above nothing, "writing paused" says that bytes still wait in this process.
        transport.set_write_buffer_limits(high=0)
        return await super().send(conn)


class AttemptResponse(aiohttp.ClientResponse):
    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        protocol = connection.protocol
        try:
            return await super().start(connection)
        except (aiohttp.ClientError, OSError) as err:
            if protocol is not None and protocol.writing_paused:
                raise NeverSent("connection lost while the request was written") from err
            raise


def open_session(connections: int, idle_us: float, connect_us: int | None) -> aiohttp.ClientSession:
    """A client that does nothing by itself: no time-outs, cookies, proxies, decompression or re-sends."""
    connector = aiohttp.TCPConnector(
        limit=connections,
        keepalive_timeout=idle_us / 1e6,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, connect=connect_us and connect_us / 1e6, sock_connect=None),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        request_class=AttemptRequest,
        response_class=AttemptResponse,
    )
    # Danger: the client would send an idempotent request again by itself when a kept connection drops:
    # an attempt that nobody decided.
    session._retry_connection = False
    return session


def target_url(address: str, target: str) -> URL:
    """The URL whose request line holds `target` byte for byte: as a path, nothing in it is quoted again."""
    return URL.build(scheme="http", authority=address, path=target, encoded=True)


async def read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """The whole body; nothing if it is too long or its end cannot be told from a broken connection."""
    length = response.content_length
    if length is None:
        if "chunked" not in response.headers.get("Transfer-Encoding", "").lower():
            response.close()
            return None
        parts, size = [], 0
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MOST_BODY:
                response.close()
                return None
        return b"".join(parts)
    if length > MOST_BODY:
        response.close()
        return None
    return await response.read()


@dataclass(slots=True)
class Payload:
    """What passes on unchanged from the service client to an instance."""

    method: str
    target: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Attempt:
    command: int
    number: int
    instance: int
    sent_at: int
    task: asyncio.Task[None] | None = None
    expiry: asyncio.TimerHandle | None = None
    begun: bool = False


class Instances:
    def __init__(
        self,
        runtime: Runtime,
        settings: api.Settings,
        connections: int,
        payload: Callable[[int], Payload | None],
        address: Callable[[int], int],
    ) -> None:
        self.runtime = runtime
        self.payload = payload
        self.address = address
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.session = open_session(connections, settings.connection_idle * IDLE_PART, settings.connect_limit)

    def start(self, effect: fx.StartAttempt) -> None:
        clock, loop = self.runtime.clock, self.runtime.loop
        attempt = Attempt(effect.command, effect.attempt, effect.instance, clock.now())
        self.attempts[effect.command, effect.attempt] = attempt
        payload, address = self.payload(effect.command), self.address(effect.instance)
        if payload is None or not address:
            self.finish(attempt, api.Outcome.CONNECT_FAILED)
            return
        attempt.task = loop.create_task(self.run(attempt, payload, address, effect.expires_at))
        attempt.expiry = loop.call_at(clock.on_loop(effect.expires_at), self.expire, attempt)

    def expire(self, attempt: Attempt) -> None:
        # Without a connection it never ran; called a time-out, a command could not be refused for it.
        self.finish(attempt, api.Outcome.TIMEOUT if attempt.begun else api.Outcome.CONNECT_FAILED)

    def abandon(self, command: int, number: int) -> None:
        attempt = self.attempts.get((command, number))
        if attempt is not None:
            self.finish(attempt, api.Outcome.CANCELLED)

    def finish(self, attempt: Attempt, outcome: int, answer: object = None) -> None:
        """The one place where an attempt ends.  Cancelling its task closes a connection still in use."""
        if self.attempts.pop((attempt.command, attempt.number), None) is None:
            return
        if attempt.expiry is not None:
            attempt.expiry.cancel()
        if attempt.task is not None and attempt.task is not asyncio.current_task():
            attempt.task.cancel()
        latency = self.runtime.clock.now() - attempt.sent_at
        self.runtime.feed(
            fx.AttemptOver(attempt.command, attempt.number, attempt.instance, outcome, latency, answer)
        )

    async def run(self, attempt: Attempt, payload: Payload, address: int, expires_at: int) -> None:
        answer: bytes | None = None
        sending.set(attempt)
        try:
            headers = payload.headers.copy()
            headers["Request-Timeout"] = seconds_text(expires_at - attempt.sent_at)
            response = await self.session.request(
                payload.method,
                target_url(address_text(address), payload.target),
                headers=headers,
                data=payload.body or None,
                allow_redirects=False,
            )
            outcome = attempt_outcome(response.status, response.headers)
            answer = await read_body(response)
            if answer is None and outcome == api.Outcome.OK:
                outcome = api.Outcome.RESET
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, NeverSent):
            outcome = api.Outcome.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            outcome = api.Outcome.RESET
        except Exception as err:
            log.warning("attempt failed: %s: %s", type(err).__name__, err)
            outcome = api.Outcome.RESET  # it may have run: nothing better is known
        self.finish(attempt, outcome, answer)

    async def close(self) -> None:
        for attempt in list(self.attempts.values()):
            self.finish(attempt, api.Outcome.CANCELLED)
        await self.session.close()
