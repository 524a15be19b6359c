"""Attempts to serve a request at a server.

`ServerAttempts` owns every attempt: it begins in `start` and ends with exactly one outcome in `finish`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from vetchusher import interface as api

from . import effects as fx
from .links import (
    ConnectionPool,
    RequestNotSent,
    StreamedAnswer,
    UpstreamConnection,
    current_call,
    has_unread_input,
    open_session,
    read_body,
    streamed_answer,
    target_url,
)
from .plain import seconds_text
from .protocol import address_text, attempt_outcome, final_units_of
from .runtime import Runtime

log = logging.getLogger("vetchusher")

IDLE_LIMIT_RATIO = 0.7  # of the servers' idle limit: a request written close to it would be reset
# Of the shortest latency target: an answer that has begun is given up after a silence this long. Servers
# may write slowly, in pieces: the limit holds between two pieces, not for the whole answer.
ANSWER_GAP_RATIO = 0.25
# Of the shortest latency target: a lost first packet would not be retransmitted within that target anyway.
CONNECT_LIMIT_RATIO = 0.3


@dataclass(slots=True)
class ForwardedRequest:
    """The parts of a request that pass unchanged from the client to the server."""

    method: str
    target: str
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Attempt:
    """One attempt at one server; times are in microseconds."""

    owner: ServerAttempts
    request_id: int
    number: int
    endpoint: int  # id of the server
    sent_at: int
    expires_at: int
    task: asyncio.Task[None] | None = None
    expiry: asyncio.TimerHandle | None = None
    write_started: bool = False
    connection: UpstreamConnection | None = None
    is_answering: bool = False  # an answer has begun and is not complete
    last_data_at: int = 0  # when the last bytes of the answer came

    def answer_progressed(self) -> None:
        """Note that bytes of an incomplete answer have come."""
        self.owner.answer_progressed(self)


class ServerAttempts:
    """Starts, supervises and ends attempts, on a connection pool of its own."""

    def __init__(
        self,
        runtime: Runtime,
        settings: api.Settings,
        max_connections: int,
        forwarded_request: Callable[[int], ForwardedRequest | None],
        address_of: Callable[[int], int],
    ) -> None:
        """Open the connection pool.

        :param forwarded_request: returns the request of an id, or None if it is no longer open
        :param address_of: returns the packed address of a server, or 0 if it is not listed
        """
        self.runtime = runtime
        self.forwarded_request = forwarded_request
        self.address_of = address_of
        self.attempts: dict[tuple[int, int], Attempt] = {}
        idle_us = settings.idle_timeout * IDLE_LIMIT_RATIO
        shortest_target_us = min(c.target for c in settings.classes)
        connect_us = min(settings.connect_timeout, int(CONNECT_LIMIT_RATIO * shortest_target_us))
        # Answers state the consumed units only where these are charged afterwards; 0 means that none are
        # read.
        self.max_final_units = settings.max_units if settings.post_paid else 0.0
        self.answer_gap_us = int(ANSWER_GAP_RATIO * shortest_target_us)
        self.session = open_session(max_connections, idle_us, connect_us, self.is_listed)

    def is_listed(self, server: int) -> bool:
        """Whether the server is in the server list."""
        return bool(self.address_of(server))

    def server_list_changed(self) -> None:
        """Close idle connections to servers that are gone: their addresses may belong to other
        servers now.
        """
        connector = self.session.connector
        assert isinstance(connector, ConnectionPool)
        connector.drop_stale()

    def start(self, effect: fx.StartAttempt) -> None:
        """Start an attempt; its outcome is submitted as `AttemptEnded`."""
        clock, loop = self.runtime.clock, self.runtime.loop
        attempt = Attempt(
            self, effect.request_id, effect.attempt, effect.server, clock.now(), effect.expires_at
        )
        self.attempts[effect.request_id, effect.attempt] = attempt
        payload, address = self.forwarded_request(effect.request_id), self.address_of(effect.server)
        if payload is None or not address:
            self.finish(attempt, api.Outcome.CONNECT_FAILED)
            return
        attempt.task = loop.create_task(self.run(attempt, payload, address))
        attempt.expiry = loop.call_at(clock.on_loop(effect.expires_at), self.expire, attempt)

    def answer_progressed(self, attempt: Attempt) -> None:
        """Start or extend the limit on silence within the answer.

        Without it, an answer that never ends would hold its request until the client disconnects.
        """
        if attempt.expiry is None:
            return
        attempt.last_data_at = self.runtime.clock.now()
        if not attempt.is_answering:
            attempt.is_answering = True
            self.restart_gap_timer(attempt)

    def restart_gap_timer(self, attempt: Attempt) -> None:
        """End the attempt if no bytes come for `answer_gap_us`, or at its deadline if that is earlier."""
        if attempt.expiry is not None:
            attempt.expiry.cancel()
        due_at = min(attempt.expires_at, attempt.last_data_at + self.answer_gap_us)
        attempt.expiry = self.runtime.loop.call_at(self.runtime.clock.on_loop(due_at), self.expire, attempt)

    def expire(self, attempt: Attempt) -> None:
        """End an attempt whose time is over, unless bytes of its answer have come in the meantime."""
        # Without a connection the request never ran; reported as a timeout, it could not be rejected safely.
        link = attempt.connection
        now = self.runtime.clock.now()
        if attempt.is_answering and now < attempt.expires_at:
            if now < attempt.last_data_at + self.answer_gap_us:
                self.restart_gap_timer(attempt)  # bytes came after the timer was set
                return
            if link and link.transport and has_unread_input(link.transport):
                # After a stall of this process, timers run before the sockets are read.
                attempt.last_data_at = now
                self.restart_gap_timer(attempt)
                return
        if not attempt.write_started:
            outcome = api.Outcome.CONNECT_FAILED
        else:
            outcome = api.Outcome.RESET if attempt.is_answering else api.Outcome.TIMEOUT
        self.finish(attempt, outcome)

    def cancel(self, request_id: int, number: int) -> None:
        """End an attempt that is no longer needed."""
        attempt = self.attempts.get((request_id, number))
        if attempt is not None:
            self.finish(attempt, api.Outcome.CANCELLED)

    def finish(self, attempt: Attempt, outcome: int, answer: object = None, final_units: float = 0.0) -> None:
        """End an attempt and submit its outcome; every attempt ends here, and only once.

        Cancelling its task closes a connection that is still in use.
        """
        if self.attempts.pop((attempt.request_id, attempt.number), None) is None:
            return
        if attempt.expiry is not None:
            attempt.expiry.cancel()
            attempt.expiry = None  # a streamed answer goes on, without the gap timer
        if attempt.task is not None and attempt.task is not asyncio.current_task():
            attempt.task.cancel()
        latency = self.runtime.clock.now() - attempt.sent_at
        self.runtime.feed(
            fx.AttemptEnded(
                attempt.request_id, attempt.number, attempt.endpoint, outcome, latency, answer, final_units
            )
        )

    async def run(self, attempt: Attempt, forwarded: ForwardedRequest, address: int) -> None:
        """Send the request, read the answer and finish the attempt."""
        answer: bytes | StreamedAnswer | None = None
        final_units = 0.0
        current_call.set(attempt)
        try:
            headers = forwarded.headers.copy()
            headers["Request-Timeout"] = seconds_text(attempt.expires_at - attempt.sent_at)
            response = await self.session.request(
                forwarded.method,
                target_url(address_text(address), forwarded.target),
                headers=headers,
                data=forwarded.body or None,
                allow_redirects=False,
            )
            outcome = attempt_outcome(response.status, response.headers)
            answer = streamed_answer(response, self.answer_gap_us / 1e6) or await read_body(response)
            if answer is None and outcome == api.Outcome.OK:
                outcome = api.Outcome.RESET
            elif self.max_final_units and outcome == api.Outcome.OK:
                final_units = final_units_of(response.headers, self.max_final_units)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, RequestNotSent):
            outcome = api.Outcome.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            outcome = api.Outcome.RESET
        except Exception as err:
            log.warning("attempt failed: %s: %s", type(err).__name__, err)
            outcome = api.Outcome.RESET  # the request may have run
        self.finish(attempt, outcome, answer, final_units)

    async def close(self) -> None:
        """Cancel all attempts and close the connections."""
        for attempt in list(self.attempts.values()):
            self.finish(attempt, api.Outcome.CANCELLED)
        await self.session.close()
