"""Attempts at servers: `ServerAttempts` owns each from `start` to its one report; `Links` owns the
connections.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload
from multidict import CIMultiDict

from vetchusher.net.links import Link, Links, NeverSent, Streamed, Ways, open_session, sending, target_url
from vetchusher.net.plain import MOST_BODY
from vetchusher.routing.actions import SendAttempt
from vetchusher.routing.claims import AttemptOutcome, outcome_of
from vetchusher.routing.headers import ATTEMPT_ID, NOT_EXECUTED, SEAL, Headers, response_headers

from .trust import TrustByService

log = logging.getLogger("vetchusher")

MAX_IDLE_US = (
    30_000_000  # kept this long at most; what a server says of itself, and what was learned, are shorter
)
STATED_IDLE_RATIO = 0.8  # of the idle time that a server states: a request written near its end would be lost
DEFAULT_IDLE_S = 0.5  # a server that states none keeps idle connections for less than a second
# What may run once only goes on a connection that was idle for a small part of the time for which idle ones
# live, as the server states it and as resets have shown it; for less than TRUSTED_S on any.
TRUSTED_IDLE_RATIO, MAX_TRUSTED_IDLE_S = 0.3, 0.25
IMMEDIATE_RESET_US = 250_000  # a reset before any byte of an answer and within this time: the server was full
LOOP_STALL_S = 0.03  # a timer that fires so much too late tells of a stall of this process
USER_TIMEOUT_MS = 2_500  # unacknowledged bytes: the path is gone (a server at work acknowledges them)
MAX_JOINED_BODY_BYTES = 256 * 1024  # from here on a body is written in the pieces in which it came

_ATTEMPT = re.compile(
    # Safety: a line's end is also the beginning of the next: taken along, it would hide a second id.
    rb"\r\n" + ATTEMPT_ID.lower().encode() + rb":[ \t]*([^\r\n]*?)[ \t]*(?=\r\n)",
    re.IGNORECASE,
)
_TIMEOUT = re.compile(r"timeout\s*=\s*([0-9]{1,6})", re.IGNORECASE)


@dataclass(slots=True)
class RequestSpec:
    """What of a request is forwarded unchanged, besides its headers.

    :param id: the client's attempt id, which a server's response repeats
    """

    method: str
    target: str
    body: list[bytes]
    id: bytes


@dataclass(slots=True)
class ServerResponse:
    """A server's response that may be forwarded.

    :param body: complete, or to be streamed as it arrives
    :param length: as stated; None: not stated
    :param is_complete: asked at the end of a streamed body: whether it is the server's whole body
    """

    status: int
    reason: str
    headers: Headers
    body: bytes | Streamed
    length: int | None
    is_complete: Callable[[], bool] = lambda: True


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How an attempt ended.

    :param number: of the attempt, within its request
    :param reset_at_once: it was reset so soon that the server was likely saturated
    :param response: what may be forwarded; None: nothing
    """

    number: int
    outcome: AttemptOutcome
    reset_at_once: bool = False
    response: ServerResponse | None = None


AttemptReport = Callable[[AttemptResult], None]


class ChunkedPayload(Payload):
    """A long body, written in the chunks in which it was received."""

    def __init__(self, chunks: list[bytes]) -> None:
        """Wrap the chunks."""
        super().__init__(chunks)
        self._size = sum(map(len, chunks))

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write one chunk after another."""
        for piece in self._value:
            await writer.write(piece)


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one server.

    :param begun: its request is being written to a connection
    :param response_has_id: its response bears the attempt's id
    :param response_began: a part of its response has arrived
    :param is_over: it was reported or cancelled
    """

    send: SendAttempt
    spec: RequestSpec
    report: AttemptReport
    sent_at: float = 0.0
    task: asyncio.Task[None] | None = None
    expiry: asyncio.TimerHandle | None = None
    connecting: asyncio.TimerHandle | None = None
    begun: bool = False
    link: Link | None = None
    response_has_id: bool = False  # its answer bears its id
    response_began: bool = False  # a piece of its answer has come
    is_over: bool = False

    @property
    def holder(self) -> object:
        """The server's id: connections made for it serve it only."""
        return self.send.server.instance

    def answering(self) -> None:
        """Note that a part of the response has arrived."""
        self.response_began = True

    def came_whole(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether a response whose body was read to its end is complete.

        Safety: one with neither length nor chunks ends with its connection.  It is complete only if the
        server closed that in order, and the parser takes a reset for its end too.
        """
        chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
        if response.content_length is not None or chunked:
            return True
        return self.link is not None and self.link.ended


def response_belongs_to(attempt: Attempt, head: bytes) -> bool:
    """Return whether a response is that attempt's. One without an id may be: `outcome_of` weighs what it
    claims.
    """
    found = _ATTEMPT.findall(head)
    if found and set(found) != {attempt.spec.id}:
        return False
    attempt.response_has_id = bool(found)
    return True


def outcome_of_lost_connection(attempt: Attempt, err: NeverSent) -> AttemptOutcome:
    """Return the outcome where the connection was lost before the request's last byte was written.

    Safety: a server that has begun to answer has begun to work as well, on whatever of the body it had.
    """
    answered = attempt.response_began or isinstance(err.__cause__, aiohttp.ClientResponseError)
    return AttemptOutcome.GARBLED if answered else AttemptOutcome.NOT_WRITTEN


def has_no_body(attempt: Attempt, status: bytes) -> bool:
    """Return whether a response of that status has no body."""
    return status in (b"204", b"304") or attempt.spec.method == "HEAD"


def is_connection_usable(attempt: Attempt, link: Link, idle: float) -> bool:
    """Return whether an idle connection may carry an attempt; what may run only once needs one that is surely
    alive.
    """
    if not attempt.send.trusted or idle <= MAX_TRUSTED_IDLE_S:
        return True
    return idle <= TRUSTED_IDLE_RATIO * min(
        link.trust.span(asyncio.get_running_loop().time()), link.idle_most
    )


def new_socket(addr: Any) -> socket.socket:
    """Return a socket with a time-out: behind a partition what was written would wait for minutes."""
    made = socket.socket(addr[0], addr[1], addr[2])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


class ServerAttempts:
    """Owner of the attempts in flight."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connections: int, keeps: Callable[[Any], bool]
    ) -> None:
        """Begin without attempts.

        :param connections: to servers, at most
        :param keeps: whether a server is still listed: connections to the others are not kept
        """
        self.loop = loop
        self.attempts: set[Attempt] = set()
        self.on_outcome: Callable[[AttemptOutcome], None] | None = None  # set where metrics are on
        self.trust = TrustByService(MAX_IDLE_US / 1e6)
        hooks = Ways(
            own=response_belongs_to,
            bodiless=has_no_body,
            fits=is_connection_usable,
            opened=new_socket,
            trust=self.trust.of,
        )
        self.session = open_session(connections, MAX_IDLE_US, None, keeps, hooks)

    def servers_changed(self, services: Collection[str]) -> None:
        """Close idle connections to servers that are gone: their addresses may be another's by now.

        :param services: that listed servers offer
        """
        self.trust.keep(services)
        connector = self.session.connector
        assert isinstance(connector, Links)
        connector.drop_stale()

    def start(self, send: SendAttempt, spec: RequestSpec, report: AttemptReport) -> Attempt:
        """Start an attempt; it ends with one call of `report`, or by `cancel`."""
        attempt = Attempt(send, spec, report, self.loop.time())
        self.attempts.add(attempt)
        attempt.task = self.loop.create_task(self.run(attempt))
        attempt.expiry = self.loop.call_at(send.deadline / 1e6, self.expire, attempt)
        due = attempt.sent_at + send.connect_us / 1e6
        attempt.connecting = self.loop.call_at(due, self.unconnected, attempt, due)
        return attempt

    def unconnected(self, attempt: Attempt, due: float) -> None:
        """End an attempt whose connection is not up in time.

        After a stall of this process its timers run before its sockets are looked at, and servers would be
        blamed for it; hence a second look.
        """
        now = self.loop.time()
        if now > due + LOOP_STALL_S:
            attempt.connecting = self.loop.call_at(
                now + LOOP_STALL_S, self.unconnected, attempt, now + LOOP_STALL_S
            )
        elif not attempt.begun:
            self.finish(attempt, AttemptOutcome.NO_CONNECTION)

    def expire(self, attempt: Attempt) -> None:
        # Safety: what the closing socket still holds may be sent yet, so a request that was only partly
        # written when its time was over may run all the same.
        """End an attempt whose deadline has come."""
        self.finish(attempt, AttemptOutcome.TIMED_OUT if attempt.begun else AttemptOutcome.NO_CONNECTION)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt without a report."""
        if self.disconnect(attempt) and attempt.task is not None:
            attempt.task.cancel()

    def disconnect(self, attempt: Attempt) -> bool:
        """Forget an attempt and its timers; return whether it was still in flight."""
        if attempt.is_over:
            return False
        attempt.is_over = True
        self.attempts.discard(attempt)
        for timer in (attempt.expiry, attempt.connecting):
            if timer is not None:
                timer.cancel()
        return True

    def finish(
        self, attempt: Attempt, outcome: AttemptOutcome, response: ServerResponse | None = None
    ) -> None:
        """Report an attempt, here alone. Cancelling its task closes a connection still in use."""
        if not self.disconnect(attempt):
            if response is not None and isinstance(response.body, Streamed):
                response.body.close()
            return
        if attempt.task is not None and attempt.task is not asyncio.current_task():
            attempt.task.cancel()
        soon = self.loop.time() - attempt.sent_at < IMMEDIATE_RESET_US / 1e6
        prompt = outcome is AttemptOutcome.RESET and soon and not attempt.response_began
        if self.on_outcome is not None:
            self.on_outcome(outcome)
        attempt.report(AttemptResult(attempt.send.number, outcome, prompt, response))

    async def run(self, attempt: Attempt) -> None:
        """Send the request and read the response."""
        send, spec = attempt.send, attempt.spec
        sending.set(attempt)
        raw: aiohttp.ClientResponse | None = None
        response: ServerResponse | None = None
        try:
            raw = await self.session.request(
                spec.method,
                target_url(send.server.address, spec.target),
                headers=CIMultiDict(send.headers),
                data=body_of(spec.body),
                allow_redirects=False,
            )
            outcome, response = await self.read_response(attempt, raw)
        except aiohttp.ClientConnectorError:
            outcome = AttemptOutcome.NO_CONNECTION
        except NeverSent as err:
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
            outcome = AttemptOutcome.GARBLED  # it may have run: nothing better is known
        self.finish(attempt, outcome, response)

    async def read_response(
        self, attempt: Attempt, response: aiohttp.ClientResponse
    ) -> tuple[AttemptOutcome, ServerResponse | None]:
        """Read a response as far as it is buffered; return its outcome, and the response where it may be
        forwarded.
        """
        attempt.response_began = True
        link, headers = attempt.link, response.headers
        first_call = link is not None and link.calls == 1
        if link is not None:
            link.idle_most = max_idle_s(headers.get("Keep-Alive"))
            if attempt.spec.method == "HEAD":
                link.force_close()  # Safety: a second copy of its answer could not be passed over
        is_success = 200 <= response.status < 300
        is_ours = attempt.response_has_id or (first_call and not is_success)
        outcome = outcome_of(response.status, NOT_EXECUTED in headers, is_ours, SEAL in headers)
        body = await read_body(attempt, response)
        if outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.SERVER_ERROR):
            if isinstance(body, Streamed):
                body.close()
            return outcome, None
        forwarded_headers = response_headers(headers.items())
        result = ServerResponse(
            response.status,
            response.reason or "",
            forwarded_headers,
            body,
            response.content_length,
            partial(attempt.came_whole, response),
        )
        return outcome, result

    async def close(self) -> None:
        """Cancel all attempts and close all connections."""
        for attempt in list(self.attempts):
            self.cancel(attempt)
        await self.session.close()


def max_idle_s(keep_alive: str | None) -> float:
    """Return the seconds for which a connection may be idle, by what the server states."""
    stated = _TIMEOUT.search(keep_alive) if keep_alive else None
    return int(stated[1]) * STATED_IDLE_RATIO if stated else DEFAULT_IDLE_S


def body_of(chunks: list[bytes]) -> bytes | ChunkedPayload | None:
    """Return a body in the form in which it is written; None: there is none."""
    if not chunks:
        return None
    if len(chunks) == 1 and len(chunks[0]) <= MAX_JOINED_BODY_BYTES:
        return chunks[0]
    return b"".join(chunks) if sum(map(len, chunks)) <= MAX_JOINED_BODY_BYTES else ChunkedPayload(chunks)


async def read_body(attempt: Attempt, response: aiohttp.ClientResponse) -> bytes | Streamed:
    """Return the body if it is short, else its stream.

    :raises aiohttp.ClientPayloadError: if it did not come whole
    """
    if has_no_body(attempt, b"%d" % response.status):
        response.release()
        return b""
    length = response.content_length
    if length is not None:
        return await response.read() if length <= MOST_BODY else Streamed(response, 0.0)
    parts: list[bytes] = []
    async for part in _parts(response):
        parts.append(part)
        if sum(map(len, parts)) > MOST_BODY:
            return Streamed(response, 0.0, b"".join(parts))
    if not attempt.came_whole(response):
        raise aiohttp.ClientPayloadError("reset before the end of its body")
    return b"".join(parts)


async def _parts(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    while part := await response.content.readany():
        yield part
