"""HTTP/1.1 connections to servers, counter and discovery, on top of aiohttp's client.

The connection pool owns every connection, in use or idle, and gives each back in `_release` or `drop_stale`.
"""

from __future__ import annotations

import asyncio
import functools
import re
import select
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any, Protocol, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from .chunks import ChunkScanner
from .plain import MAX_BODY_BYTES

MAX_HEAD_BYTES = 16 * 1024
# Valid answers reach 32 MB. A far larger length (a fault sends a stated 3 GB that never ends) is invalid, and
# streaming it would occupy a client and a connection for nothing.
MAX_STREAMED_BYTES = 64 * 1024 * 1024
# Minimum pause between an answer and the next request: a close or surplus bytes after the answer come by
# then.
REUSE_DELAY_S = 0.03
# The idle limit becomes this ratio of the idle time at which a connection was found dead, at least so many
# seconds.
IDLE_LIMIT_REDUCTION_RATIO, MIN_IDLE_LIMIT_S = 0.8, 0.06
IDLE_LIMIT_DOUBLING_S = 20.0  # the reduced idle limit doubles in this time
MAX_SKIPPED_ANSWERS = 8  # answers to other calls before the answer to a call
LAST_CHUNK = b"0\r\n\r\n"
# If the server had closed a connection before a call, the reset comes at most this long after the call began.
DEAD_CONNECTION_RESET_S = 0.02

_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*\r\n", re.IGNORECASE)
_TRANSFER_ENCODING = re.compile(rb"\r\ntransfer-encoding:", re.IGNORECASE)
_STATUS = re.compile(rb"HTTP/1\.[01] ([0-9]{3})[ \r]")


class RequestNotSent(aiohttp.ClientError):
    """The connection broke before the last byte of the request was written."""


class OutgoingCall(Protocol):
    """The call that a task makes; the connection records its progress here."""

    write_started: bool
    connection: UpstreamConnection | None  # the connection on which it is sent

    @property
    def endpoint(self) -> object:
        """The endpoint of the call; a connection is used for one endpoint only."""

    def answer_progressed(self) -> None:
        """Note that bytes of the answer have come and that the answer is not complete."""


current_call: ContextVar[OutgoingCall] = ContextVar("sending")  # the call of the current task


@dataclass(slots=True, frozen=True)
class ConnectionRules:
    """Rules for using connections that differ between the programs built on this module.

    :param owns_answer: whether the head of an answer belongs to the call. An answer that does not is skipped,
        and the connection closed after the call's own answer. None: every answer belongs to the call
    :param has_no_body: whether an answer with that status has no body, whatever length it states
    :param may_reuse: whether a connection that was idle for so many seconds may be used for the call
    :param socket_factory: creates the socket of a new connection
    :param idle_limit: the idle limit of the connection on which the call is sent. None: one limit for all
    """

    owns_answer: Callable[[Any, bytes], bool] | None = None
    has_no_body: Callable[[Any, bytes], bool] | None = None
    may_reuse: Callable[[Any, UpstreamConnection, float], bool] | None = None
    socket_factory: Callable[[Any], Any] | None = None
    idle_limit: Callable[[Any], IdleLimit] | None = None


class IdleLimit:
    """Limit on the idle time of reused connections, learned from resets at the next request.

    Servers may close idle connections without notice and far earlier than they announce. A request written
    to such a connection may have run, for all that is known, while a new connection costs a millisecond. All
    times are in seconds.
    """

    def __init__(self, most: float) -> None:
        """Start with the limit `most`, which is also its maximum."""
        self.max_s = most
        self.limit_s, self.limited_at = most, 0.0

    def current_s(self, now: float) -> float:
        """Return the current limit."""
        doublings = min(30.0, (now - self.limited_at) / IDLE_LIMIT_DOUBLING_S)
        return float(min(self.max_s, self.limit_s * 2.0**doublings))

    def found_dead(self, now: float, idle: float) -> None:
        """Lower the limit below `idle`, the idle time of a connection that was found dead."""
        self.limit_s = max(MIN_IDLE_LIMIT_S, IDLE_LIMIT_REDUCTION_RATIO * min(idle, self.current_s(now)))
        self.limited_at = now

    def reset_in_use(self, now: float, idle: float) -> None:
        """Note the reset of a new connection, or of one in use; it does not change this limit."""


class UpstreamConnection(ResponseHandler):
    """One connection; it passes the bytes of one answer per request to the parser, and no more.

    Servers may write surplus bytes, a second copy of the answer or noise. Noise would make the parser reject
    the good answer before it; a copy left on the connection would be taken for the answer to the next
    request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, trust: IdleLimit, ways: ConnectionRules) -> None:
        """Start without a call.

        :param trust: the limit on idle time to which resets are reported
        :param ways: the rules of the program
        """
        super().__init__(loop)
        self.idle_limit = trust
        self.rules = ways
        self.call_count = 0  # number of calls sent
        self.skip_bytes = 0  # bytes of another call's answer still to skip
        self.skipped_answers = 0  # answers skipped since the call was sent
        self.max_idle_s = float("inf")  # seconds, if the server announces a limit
        self.endpoint: object = None
        self.pending_call: OutgoingCall | None = None  # the call whose answer is incomplete
        self.head = b""  # incomplete head of the answer
        self.body_bytes_remaining = 0  # remaining bytes of the body; negative: the parser finds its end
        self.last_body_bytes = b""  # the last bytes of a body without a length, as many as `LAST_CHUNK` has
        self.chunks: ChunkScanner | None = None  # scanner of a chunked body
        self.idle_since = self.call_started_at = 0.0
        self.eof_seen = False  # the server has closed its side

    def expect(self, call: OutgoingCall) -> None:
        """Prepare for the answer to a call that is about to be written."""
        self.endpoint, self.pending_call, self.head, self.body_bytes_remaining = call.endpoint, call, b"", 0
        self.call_started_at = self._loop.time()
        self.call_count, self.skipped_answers, self.last_body_bytes = self.call_count + 1, 0, b""
        if self.rules.idle_limit is not None:
            self.idle_limit = self.rules.idle_limit(call)

    def eof_received(self) -> None:
        """Note that the server has closed its side."""
        self.eof_seen = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report a reset without an answer to the idle limit."""
        now = self._loop.time()
        unanswered = self.pending_call is not None and not (self.head or self.body_bytes_remaining)
        idle_s = self.call_started_at - self.idle_since if self.idle_since else 0.0
        if unanswered and self.idle_since and now - self.call_started_at < DEAD_CONNECTION_RESET_S:
            self.idle_limit.found_dead(now, idle_s)
        elif unanswered and (self.eof_seen or isinstance(exc, ConnectionResetError)):
            self.idle_limit.reset_in_use(now, idle_s)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Pass on the bytes that belong to the pending answer; close the connection if there is none."""
        if not data:
            super().data_received(data)  # aiohttp passes no bytes to make its parser resume
        elif self.pending_call is None:
            self.reject_surplus()
        elif self.body_bytes_remaining:
            self.body_received(data)
        else:
            self.head_received(self.head + data)

    def head_received(self, data: bytes) -> None:
        """Collect the head of an answer, skip interim answers, and determine the length of the body."""
        if self.skip_bytes:
            skipped = min(self.skip_bytes, len(data))
            self.skip_bytes -= skipped
            data = data[skipped:]
        status = None
        while (end := data.find(b"\r\n\r\n") + 4) >= 4:
            status = _STATUS.match(data)
            if status is None or status[1][:1] != b"1" or status[1] == b"101":
                break
            data = data[end:]  # an interim answer: the final one follows
        if end < 4:
            if len(data) > MAX_HEAD_BYTES or b"HTTP/1."[: len(data)] != data[:7]:
                super().data_received(data)  # the parser rejects it, or would wait for its end forever
                self.reject_surplus()
            elif data and self.pending_call is not None:
                self.pending_call.answer_progressed()
            self.head = data
            return
        head, self.head = data[:end], b""
        length = _LENGTH.findall(head)
        has_length = status is not None and len(length) == 1 and not _TRANSFER_ENCODING.search(head)
        owns_answer = self.rules.owns_answer
        if status is not None and owns_answer is not None and not owns_answer(self.pending_call, head):
            self.skip_answer(int(length[0]) if has_length else None, data[end:])
            return
        has_no_body = self.rules.has_no_body
        if status is not None and has_no_body is not None and has_no_body(self.pending_call, status[1]):
            self.body_bytes_remaining = 0
        elif not has_length:
            self.body_bytes_remaining = -1
            self.chunks = ChunkScanner() if _TRANSFER_ENCODING.search(head) else None
            self.unframed_received(data, end)
            return
        else:
            self.body_bytes_remaining = int(length[0])
        self.body_received(data[end:], head)

    def skip_answer(self, length: int | None, remaining: bytes) -> None:
        """Skip an answer that belongs to another call; the answer to this one follows it.

        The connection is closed afterwards: it may bring a surplus answer again.
        """
        self.skipped_answers += 1
        if length is None or self.skipped_answers > MAX_SKIPPED_ANSWERS:
            self.reject_surplus()  # its length is unknown, or there are too many
            return
        self.force_close()
        self.skip_bytes = length
        if remaining:
            self.head_received(remaining)

    def body_received(self, data: bytes, head: bytes = b"") -> None:
        """Pass on bytes of a body of known length and detect its end."""
        if self.body_bytes_remaining < 0:
            self.unframed_received(data, 0)
            return
        body = data[: self.body_bytes_remaining]
        self.body_bytes_remaining -= len(body)
        call, is_complete = self.pending_call, not self.body_bytes_remaining
        if is_complete:
            self.pending_call = None
            if len(data) > len(body):
                self.force_close()  # before the parser's end of the answer gives the connection back
        super().data_received(head + body)
        if not is_complete and call is not None:
            call.answer_progressed()  # the answer goes on

    def unframed_received(self, data: bytes, head: int) -> None:
        """Pass on bytes of an answer without a stated length, up to its last chunk.

        :param head: number of leading bytes that belong to the answer's head
        """
        end = self.chunks.find_end(data[head:]) if self.chunks is not None else None
        if end is not None:
            self.pending_call = None
            if head + end < len(data):
                self.force_close()  # before the parser's end of the answer gives the connection back
                data = data[: head + end]
        # The parser does not report an empty line after the last chunk, so the end is checked here.
        self.last_body_bytes = (self.last_body_bytes + data[-len(LAST_CHUNK) :])[-len(LAST_CHUNK) :]
        super().data_received(data)

    def reject_surplus(self) -> None:
        """Close the connection: bytes beyond the answer make it unknown what later bytes belong to."""
        self.force_close()
        if self.transport is not None:
            self.transport.close()  # this ends the attempt that still waits, if any

    def is_clean(self) -> bool:
        """Whether the connection is open and no bytes came while it was idle."""
        return self.transport is not None and not self.should_close and not has_unread_input(self.transport)


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Whether received bytes or the end of the connection wait in the kernel, unread by the event loop."""
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


class ConnectionPool(aiohttp.TCPConnector):
    """Connections of one kind, limited in number including idle ones, each used for one endpoint only."""

    def __init__(
        self, most: int, idle_us: float, keeps: Callable[[Any], bool], ways: ConnectionRules | None = None
    ) -> None:
        """Create an empty pool in the running event loop.

        :param most: maximum number of connections
        :param idle_us: maximum idle time of a connection, in microseconds
        :param keeps: whether an endpoint is current; connections to others are closed
        :param ways: the rules of the program; None for the defaults
        """
        self.rules = ways or ConnectionRules()
        super().__init__(
            limit=most,
            keepalive_timeout=idle_us / 1e6,
            use_dns_cache=False,
            happy_eyeballs_delay=None,
            socket_factory=self.rules.socket_factory,
        )
        self.max_connections = most
        self.is_current = keeps  # whether an endpoint is current
        self.idle_limit = IdleLimit(idle_us / 1e6)
        self._factory = cast(
            Any,
            functools.partial(UpstreamConnection, asyncio.get_running_loop(), self.idle_limit, self.rules),
        )

    async def _get(self, key: Any, traces: Any) -> Any:
        # An address may belong to another endpoint by now, and unread bytes on an idle connection would be
        # taken for the next answer.
        unsuitable: list[UpstreamConnection] = []  # usable connections that do not fit this call
        while (found := await super()._get(key, traces)) is not None:
            link = cast(UpstreamConnection, found.protocol)
            now = self._loop.time()
            idle_s = now - link.idle_since
            limit_s = min(link.idle_limit.current_s(now), link.max_idle_s)
            if link.endpoint == current_call.get().endpoint and idle_s <= limit_s and link.is_clean():
                if idle_s >= REUSE_DELAY_S and self.may_reuse(link, idle_s):
                    break
                found._protocol = None
                unsuitable.append(link)
                # Servers may close right after an answer, or send it twice; a request that crosses either
                # is lost. The connections are ordered by idle time, longest first: all the others are too
                # recent as well.
                if idle_s < REUSE_DELAY_S:
                    found = None
                    break
                continue
            found.close()
        for link in reversed(unsuitable):
            idle_since = link.idle_since
            super()._release(key, link)
            link.idle_since = idle_since
            if key in self._conns:
                self._conns[key].rotate(1)  # restore the order by idle time
        return found

    def may_reuse(self, link: UpstreamConnection, idle: float) -> bool:
        """Whether the rules allow the connection, idle for `idle` seconds, for the current call."""
        return self.rules.may_reuse is None or self.rules.may_reuse(current_call.get(), link, idle)

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        protocol.pending_call, protocol.idle_since = None, self._loop.time()
        should_close = should_close or (
            protocol.body_bytes_remaining < 0 and protocol.last_body_bytes != LAST_CHUNK
        )
        super()._release(key, protocol, should_close=should_close or not self.is_current(protocol.endpoint))

    async def _create_connection(self, req: Any, traces: Any, timeout: Any) -> ResponseHandler:
        # The limit of aiohttp's pool counts connections in use only, but idle ones hold descriptors too.
        while (
            self._conns and len(self._acquired) + sum(map(len, self._conns.values())) > self.max_connections
        ):
            key = min(self._conns, key=lambda k: self._conns[k][0][1])
            self._conns[key].popleft()[0].close()
            if not self._conns[key]:
                del self._conns[key]
        return await super()._create_connection(req, traces, timeout)

    def drop_stale(self) -> None:
        """Close idle connections to endpoints that are no longer current; those in use end in `_release`."""
        for key, idle in list(self._conns.items()):
            for item in [i for i in idle if not self.is_current(cast(UpstreamConnection, i[0]).endpoint)]:
                idle.remove(item)
                item[0].close()
            if not idle:
                del self._conns[key]


class UpstreamRequest(aiohttp.ClientRequest):
    """A request that tells the current call when it starts to be written."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Write the request on a connection that is still open.

        :raises RequestNotSent: if the connection was lost before
        """
        transport, call = conn.transport, current_call.get()
        if transport is None or transport.is_closing():
            conn.close()
            raise RequestNotSent("connection lost before the request was written")
        call.write_started, call.connection = True, conn.protocol
        conn.protocol.expect(call)
        # With a high-water mark of 0, "writing paused" means that bytes wait in this process.
        transport.set_write_buffer_limits(high=0)
        return await super().send(conn)


class UpstreamResponse(aiohttp.ClientResponse):
    """An answer whose failure is distinguished by whether the request was written completely."""

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Read the head of the answer.

        :raises RequestNotSent: if the connection was lost before the request was written
        """
        protocol = connection.protocol
        try:
            return await super().start(connection)
        except (aiohttp.ClientError, OSError) as err:
            if protocol is not None and protocol.writing_paused:
                raise RequestNotSent("connection lost while the request was written") from err
            raise


def open_session(
    max_connections: int,
    idle_us: float,
    connect_us: int | None,
    is_current: Callable[[Any], bool],
    rules: ConnectionRules | None = None,
) -> aiohttp.ClientSession:
    """Create an HTTP client that does nothing on its own initiative.

    It has no timeouts except for connecting, no cookies, proxies, decompression or retries.

    :param max_connections: maximum number of connections, idle ones included
    :param idle_us: maximum idle time of a connection, in microseconds
    :param connect_us: time limit of a connection attempt, in microseconds; None for no limit
    :param is_current: whether an endpoint is current
    :param rules: the rules for using connections; None for the defaults
    """
    session = aiohttp.ClientSession(
        connector=ConnectionPool(max_connections, idle_us, is_current, rules),
        timeout=aiohttp.ClientTimeout(total=None, connect=connect_us and connect_us / 1e6, sock_connect=None),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        request_class=UpstreamRequest,
        response_class=UpstreamResponse,
    )
    # aiohttp would resend an idempotent request when a reused connection drops: an attempt that the policy
    # did not decide.
    session._retry_connection = False
    return session


def target_url(address: str, target: str) -> URL:
    """Return the URL whose request line has `target` byte for byte: nothing in it is quoted again."""
    return URL.build(scheme="http", authority=address, path=target, encoded=True)


class StreamedAnswer:
    """A good answer too long to hold in memory, passed on to the client as it comes.

    Owns the server's response, and with it the connection, until `close`, which its receiver must call.
    """

    def __init__(self, response: aiohttp.ClientResponse, gap_s: float, first_bytes: bytes = b"") -> None:
        """Take over the response.

        :param gap_s: the answer is given up after a silence of so many seconds
        :param first_bytes: bytes of the body that were already read
        """
        self.response = response
        self.first_bytes = first_bytes
        self.gap_s = gap_s  # longest silence within the answer
        self.length = response.content_length or 0

    def close(self) -> None:
        """Release the connection if the whole answer was read, else close it; may be called again."""
        if self.response.content.at_eof():
            self.response.release()
        else:
            self.response.close()


def streamed_answer(response: aiohttp.ClientResponse, gap_s: float) -> StreamedAnswer | None:
    """Return the answer as a stream if it is good, too long to hold in memory and of known length."""
    length = response.content_length
    if length is not None and MAX_BODY_BYTES < length <= MAX_STREAMED_BYTES and response.status == 200:
        return StreamedAnswer(response, gap_s)
    return None


async def read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the whole body, or None if it is too long or its end cannot be told from a broken connection."""
    length = response.content_length
    if length is None:
        if "chunked" not in response.headers.get("Transfer-Encoding", "").lower():
            response.close()
            return None
        parts, size = [], 0
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                response.close()
                return None
        return b"".join(parts)
    if length > MAX_BODY_BYTES:
        response.close()
        return None
    return await response.read()
