"""Attempts to send a request to a server.

`ServerAttempts` owns each attempt from `start` to its single report; `ConnectionPool` owns the connections.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from multidict import CIMultiDict

from vetchusher.net.links import (
    ConnectionPool,
    ConnectionRules,
    RequestNotSent,
    StreamedAnswer,
    UpstreamConnection,
    current_call,
    open_session,
    target_url,
)
from vetchusher.net.plain import MAX_BODY_BYTES
from vetchusher.routing.actions import SendAttempt
from vetchusher.routing.claims import AttemptOutcome, outcome_of
from vetchusher.routing.headers import ATTEMPT_ID, NOT_EXECUTED, SEAL, Headers, response_headers

from .request_payload import payload_of
from .trust import TrustByService
from .upstream_socket import USER_TIMEOUT_MS, new_socket, set_user_timeout

log = logging.getLogger("vetchusher")

# Upper bound on the idle time of a connection; the server's `Keep-Alive` and learned limits are shorter.
MAX_IDLE_US = 30_000_000
# Of the idle time that a server states: a request written just before its end would be lost.
STATED_IDLE_RATIO = 0.8
DEFAULT_IDLE_S = 0.5  # a server that states no idle time keeps idle connections for less than a second
# A request that must not run twice is sent only on a connection that was idle for this ratio of the shorter
# of the server's stated idle time and the limit learned from resets, or for less than MAX_TRUSTED_IDLE_S.
TRUSTED_IDLE_RATIO, MAX_TRUSTED_IDLE_S = 0.3, 0.25
# A reset within this time and before any byte of a response means that the server was saturated.
IMMEDIATE_RESET_US = 250_000
LOOP_STALL_S = 0.03  # a timer that fires later than this shows that the event loop was stalled

_ATTEMPT = re.compile(
    # Safety: the lookahead leaves the line end unconsumed: it also begins the next match, which may be a
    # second id.
    rb"\r\n" + ATTEMPT_ID.lower().encode() + rb":[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)",
    re.IGNORECASE,
)
_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)


@dataclass(slots=True)
class RequestSpec:
    """The parts of a request that are forwarded unchanged; headers are part of each `SendAttempt`.

    :param id: the client's attempt id, which a server's response repeats
    """

    method: str
    target: str
    body: list[bytes]
    id: bytes


@dataclass(slots=True)
class ServerResponse:
    """A server's response that may be forwarded.

    :param body: the complete body, or a stream of it
    :param length: `Content-Length` in bytes; None: not stated
    :param is_complete: called at the end of a streamed body: returns whether the body is complete
    """

    status: int
    reason: str
    headers: Headers
    body: bytes | StreamedAnswer
    length: int | None
    is_complete: Callable[[], bool] = lambda: True


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    :param number: of the attempt, within its request
    :param reset_at_once: the connection was reset so soon that the server was likely saturated
    :param response: the response that may be forwarded, if any
    """

    number: int
    outcome: AttemptOutcome
    reset_at_once: bool = False
    response: ServerResponse | None = None


AttemptReport = Callable[[AttemptResult], None]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to send a request to one server.

    :param sent_at: seconds on the loop's clock
    :param write_started: the request is being written to a connection
    :param response_has_id: the response bears the attempt's id
    :param response_began: a part of the response has arrived
    :param is_finished: the attempt was reported or cancelled
    """

    send: SendAttempt
    spec: RequestSpec
    report: AttemptReport
    sent_at: float = 0.0
    task: asyncio.Task[None] | None = None
    deadline_timer: asyncio.TimerHandle | None = None
    connect_timer: asyncio.TimerHandle | None = None
    write_started: bool = False
    connection: UpstreamConnection | None = None
    response_has_id: bool = False
    response_began: bool = False
    is_finished: bool = False

    @property
    def endpoint(self) -> object:
        """The server's instance id; connections are pooled by it, not by address."""
        return self.send.server.instance

    def answer_progressed(self) -> None:
        """Record that a part of the response has arrived; called by the connection."""
        self.response_began = True

    def is_response_complete(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether a response whose body was read to its end is complete.

        Safety: a response with neither length nor chunks ends with its connection, and the parser takes a
        reset for the end as well. It is complete only if the server closed the connection in order.
        """
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        if response.content_length is not None or chunked:
            return True
        return self.connection is not None and self.connection.eof_seen


def response_belongs_to(attempt: Attempt, head: bytes) -> bool:
    """Return whether a response head may belong to an attempt: it has the attempt's id, or none.

    `outcome_of` decides what a response without an id is worth.
    """
    found = _ATTEMPT.findall(head)
    if found and set(found) != {attempt.spec.id}:
        return False
    attempt.response_has_id = bool(found)
    return True


def outcome_of_lost_connection(attempt: Attempt, err: RequestNotSent) -> AttemptOutcome:
    """Return the outcome where the connection was lost before the request's last byte was written.

    Safety: servers may begin to work before they have the whole body, so a request whose writing has started
    may have run.
    """
    if not attempt.write_started:
        return AttemptOutcome.NOT_WRITTEN
    answered = attempt.response_began or isinstance(err.__cause__, aiohttp.ClientResponseError)
    return AttemptOutcome.GARBLED if answered else AttemptOutcome.RESET


def has_no_body(attempt: Attempt, status: bytes) -> bool:
    """Return whether a response to an attempt with that status has no body."""
    return status in (b"204", b"304") or attempt.spec.method == "HEAD"


def is_connection_usable(attempt: Attempt, link: UpstreamConnection, idle: float) -> bool:
    """Return whether an idle connection may be used for an attempt.

    A request that must not run twice needs a connection that the server has almost certainly not closed.

    :param idle: seconds since the connection was last used
    """
    if not attempt.send.requires_trusted_connection or idle <= MAX_TRUSTED_IDLE_S:
        return True
    return idle <= TRUSTED_IDLE_RATIO * min(
        link.idle_limit.current_s(asyncio.get_running_loop().time()), link.max_idle_s
    )


class ServerAttempts:
    """Owns the attempts in flight and the HTTP session that they use."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connections: int, is_listed: Callable[[Any], bool]
    ) -> None:
        """Open a session without attempts.

        :param connections: maximum number of connections to servers
        :param is_listed: whether a server is still listed; idle connections to others are closed
        """
        self.loop = loop
        self.attempts: set[Attempt] = set()
        self.on_outcome: Callable[[AttemptOutcome], None] | None = None  # set where metrics are enabled
        self.trust = TrustByService(MAX_IDLE_US / 1e6)
        hooks = ConnectionRules(
            owns_answer=response_belongs_to,
            has_no_body=has_no_body,
            may_reuse=is_connection_usable,
            socket_factory=new_socket,
            idle_limit=self.trust.of,
        )
        self.session = open_session(connections, MAX_IDLE_US, None, is_listed, hooks)

    def servers_changed(self, services: Collection[str]) -> None:
        """Close idle connections to servers that are gone: their addresses may have been reassigned.

        :param services: the services that listed servers offer; what was learned of others is dropped
        """
        self.trust.keep(services)
        connector = self.session.connector
        assert isinstance(connector, ConnectionPool)
        connector.drop_stale()

    def start(self, send: SendAttempt, spec: RequestSpec, report: AttemptReport) -> Attempt:
        """Start an attempt; it ends with a single call of `report`, or by `cancel`."""
        attempt = Attempt(send, spec, report, self.loop.time())
        self.attempts.add(attempt)
        attempt.task = self.loop.create_task(self.run(attempt))
        attempt.deadline_timer = self.loop.call_at(send.deadline / 1e6, self.on_deadline, attempt)
        due = attempt.sent_at + send.connect_timeout_us / 1e6
        attempt.connect_timer = self.loop.call_at(due, self.on_connect_timeout, attempt, due)
        return attempt

    def on_connect_timeout(self, attempt: Attempt, due: float) -> None:
        """End an attempt whose connection is not established in time.

        After a stall of the event loop timers run before sockets are polled, and the servers would be blamed
        for the stall. A timer that fires late is therefore armed once more.

        :param due: when the timer should have fired, in seconds on the loop's clock
        """
        now = self.loop.time()
        if now > due + LOOP_STALL_S:
            attempt.connect_timer = self.loop.call_at(
                now + LOOP_STALL_S, self.on_connect_timeout, attempt, now + LOOP_STALL_S
            )
        elif not attempt.write_started:
            self.finish(attempt, AttemptOutcome.NO_CONNECTION)

    def on_deadline(self, attempt: Attempt) -> None:
        # Safety: the kernel may still send what is buffered in the closing socket. A request that was only
        # partly written at its deadline may therefore run, and is reported as timed out.
        """End an attempt whose deadline has passed."""
        self.finish(
            attempt, AttemptOutcome.TIMED_OUT if attempt.write_started else AttemptOutcome.NO_CONNECTION
        )

    def await_reading(self, attempt: Attempt) -> None:
        """Let a long body wait for its server to read on, until the attempt's deadline.

        Safety: `TCP_USER_TIMEOUT` also ends connections to a server that works without reading on, although
        that server may finish the request.
        """
        remaining_ms = int(attempt.send.deadline / 1e3 - self.loop.time() * 1e3)
        if attempt.connection is not None:
            set_user_timeout(attempt.connection, max(USER_TIMEOUT_MS, remaining_ms))

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt without a report."""
        if self.remove(attempt):
            self.abandon(attempt)

    def remove(self, attempt: Attempt) -> bool:
        """Remove an attempt and cancel its timers; return whether it was still in flight."""
        if attempt.is_finished:
            return False
        attempt.is_finished = True
        self.attempts.discard(attempt)
        for timer in (attempt.deadline_timer, attempt.connect_timer):
            if timer is not None:
                timer.cancel()
        return True

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt's task, which closes a connection that is still in use.

        What is left to write must not keep the closing connection open: its time-out is limited again.
        """
        if attempt.task is None or attempt.task is asyncio.current_task():
            return
        if attempt.connection is not None:
            set_user_timeout(attempt.connection, USER_TIMEOUT_MS)
        attempt.task.cancel()

    def finish(
        self, attempt: Attempt, outcome: AttemptOutcome, response: ServerResponse | None = None
    ) -> None:
        """Report the end of an attempt; no other place reports.

        Cancelling its task closes a connection that is still in use.
        """
        if not self.remove(attempt):
            if response is not None and isinstance(response.body, StreamedAnswer):
                response.body.close()
            return
        self.abandon(attempt)
        soon = self.loop.time() - attempt.sent_at < IMMEDIATE_RESET_US / 1e6
        reset_at_once = outcome is AttemptOutcome.RESET and soon and not attempt.response_began
        if self.on_outcome is not None:
            self.on_outcome(outcome)
        attempt.report(AttemptResult(attempt.send.number, outcome, reset_at_once, response))

    async def run(self, attempt: Attempt) -> None:
        """Send the request, read the response, and report the outcome."""
        send, spec = attempt.send, attempt.spec
        current_call.set(attempt)
        raw: aiohttp.ClientResponse | None = None
        response: ServerResponse | None = None
        try:
            raw = await self.session.request(
                spec.method,
                target_url(send.server.address, spec.target),
                headers=CIMultiDict(send.headers),
                data=payload_of(spec.body, partial(self.await_reading, attempt)),
                allow_redirects=False,
            )
            outcome, response = await self.read_response(attempt, raw)
        except aiohttp.ClientConnectorError:
            outcome = AttemptOutcome.NO_CONNECTION
        except RequestNotSent as err:
            outcome = outcome_of_lost_connection(attempt, err)
        except aiohttp.ClientResponseError:
            outcome = AttemptOutcome.GARBLED
        except (aiohttp.ClientError, OSError):
            outcome = AttemptOutcome.RESET
        except asyncio.CancelledError:
            if raw is not None:
                raw.close()
            raise
        except Exception as err:
            log.warning("attempt failed: %s: %s", type(err).__name__, err)
            outcome = AttemptOutcome.GARBLED  # the request may have run
        self.finish(attempt, outcome, response)

    async def read_response(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> tuple[AttemptOutcome, ServerResponse | None]:
        """Read a response, a long one only in part.

        :returns: the outcome, and the response if it may be forwarded
        :raises aiohttp.ClientPayloadError: if the body did not arrive completely
        """
        attempt.response_began = True
        link, headers = attempt.connection, response.headers
        first_call = link is not None and link.call_count == 1
        if link is not None:
            link.max_idle_s = max_idle_s(headers.get("Keep-Alive"))
            if attempt.spec.method == "HEAD":
                # Safety: on this connection a duplicate of a response without a body could not be skipped.
                link.force_close()
        is_success = 200 <= response.status < 300
        is_ours = attempt.response_has_id or (first_call and not is_success)
        outcome = outcome_of(response.status, NOT_EXECUTED in headers, is_ours, SEAL in headers)
        body = await read_body(attempt, response)
        if outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR):
            if isinstance(body, StreamedAnswer):
                body.close()
            return outcome, None
        forwarded_headers = response_headers(headers.items())
        result = ServerResponse(
            response.status,
            response.reason or "",
            forwarded_headers,
            body,
            response.content_length,
            partial(attempt.is_response_complete, response),
        )
        return outcome, result

    async def close(self) -> None:
        """Cancel all attempts and close all connections."""
        for attempt in list(self.attempts):
            self.cancel(attempt)
        await self.session.close()


def max_idle_s(keep_alive: str | None) -> float:
    """Return the seconds for which a connection may be idle, from the server's `Keep-Alive` header."""
    stated = _TIMEOUT.search(keep_alive) if keep_alive else None
    return int(stated[1]) * STATED_IDLE_RATIO if stated else DEFAULT_IDLE_S


async def read_body(attempt: Attempt, response: aiohttp.ClientResponse) -> bytes | StreamedAnswer:
    """Return the body if it is short, else its stream.

    :raises aiohttp.ClientPayloadError: if a short body did not arrive completely
    """
    if has_no_body(attempt, b"%d" % response.status):
        response.release()
        return b""
    length = response.content_length
    if length is not None:
        return await response.read() if length <= MAX_BODY_BYTES else StreamedAnswer(response, 0.0)
    parts: list[bytes] = []
    async for part in _parts(response):
        parts.append(part)
        if sum(map(len, parts)) > MAX_BODY_BYTES:
            return StreamedAnswer(response, 0.0, b"".join(parts))
    if not attempt.is_response_complete(response):
        raise aiohttp.ClientPayloadError("reset before the end of its body")
    return b"".join(parts)


async def _parts(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    while part := await response.content.readany():
        yield part
