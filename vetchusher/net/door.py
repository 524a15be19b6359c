"""The listening socket and the clients' connections: accepting, timeouts, and eviction when full.

`Listener` owns every connection from its acceptance to `ClientConnection.connection_lost`.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass, field
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from .links import has_unread_input

log = logging.getLogger("vetchusher")

SWEEP_INTERVAL_S = 0.1
HEAD_LIMIT_S = 2.2  # from connecting, or from the first byte of a request, to its last
IDLE_EVICTION_S = 2.1  # idle time after which a connection may be closed for a new one
INCOMPLETE_EVICTION_S = 0.1  # the same for a connection with an incomplete request
ANSWERED_EVICTION_S = 0.1  # the same, if there are no others, for a connection that has had its answer
EVICTION_BATCH = 8  # connections closed at a time, as many clients may connect at once
MAX_IDLE_RATIO = 1 / 3  # of the maximum: if more connections are idle, those idle longest are closed
BACKLOG = 1024
KEEPALIVE_S = 3600.0  # the sweep closes connections; aiohttp's own timer ignores incomplete requests
# After an error, further input is read and dropped this long, so that the client can read the answer.
LINGERING_READ_S = 0.2


@dataclass(slots=True)
class ConnectionTimeouts:
    """Time limits of connections; they may be changed while the listener is open.

    :param head_s: from connecting, or from the first byte of a request, to the end of its head
    :param idle_s: idle time after which a connection is closed. None: only for a new one
    :param write_s: after an answer, a connection with unwritten bytes is not closed for this time
    :param reader_options: options of aiohttp's request parser, for new connections
    """

    head_s: float = HEAD_LIMIT_S
    idle_s: float | None = None
    write_s: float = 0.0
    reader_options: dict[str, int] = field(default_factory=dict)


class ClientConnection(RequestHandler):
    """One client's connection."""

    __slots__ = ("listener", "client_transport", "busy", "awaits_request", "since")

    def __init__(self, door: Listener, **options: Any) -> None:
        """Start waiting for the first request."""
        super().__init__(door.server, **options)
        self.listener = door
        self.busy = False  # a request is being served
        self.awaits_request = True  # the first request is awaited, or a request has come in part
        self.since = door.loop.time()  # loop time at which that began, or at which the last answer ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.client_transport = cast(
            asyncio.Transport, transport
        )  # uvloop's transports are not instances of it
        self.listener.connections.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection and accept others if that was paused."""
        self.listener.connections.discard(self)
        self.listener.resume()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Note the start of a request and pass the bytes to aiohttp."""
        if not self.awaits_request and not self.busy:
            self.awaits_request, self.since = True, self.listener.loop.time()
        super().data_received(data)
        # Until its handler runs, a parsed request would otherwise look like an idle connection.
        self.busy = self.busy or bool(self._messages)
        request = self._current_request
        if request is not None and self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            # aiohttp reports a parse error as the next request; reading the body of the current one would
            # wait until its time limit.
            if not request.content.is_eof():
                request._cancel(web.RequestPayloadError("the body cannot be read"))
                request.content.feed_eof()  # aiohttp must not wait for the rest to discard it either

    def answered(self) -> None:
        """Note the end of an answer."""
        self.busy, self.awaits_request, self.since = bool(self._messages), False, self.listener.loop.time()

    def handle_error(
        self, request: Any, status: int = 500, exc: BaseException | None = None, message: str | None = None
    ) -> web.StreamResponse:
        """Answer with an error and close the connection.

        aiohttp's own version logs a traceback for each request head that it cannot parse, and anyone can
        send those.
        """
        if status >= 500:
            log.error("%s: %s", type(exc).__name__, exc)
        answer = web.Response(status=status, text="unreadable" if status < 500 else "failed")
        answer.force_close()
        return answer

    def close_if_quiet(self) -> bool:
        """Close the connection, unless received bytes wait unread; return whether it was closed.

        Its place is free at once.
        """
        if self.client_transport.is_closing() or has_unread_input(self.client_transport):
            return False
        if (
            self.client_transport.get_write_buffer_size()
            and self.listener.loop.time() < self.since + self.listener.timeouts.write_s
        ):
            return False
        self.listener.connections.discard(self)
        self.client_transport.abort()  # an orderly close would wait for a client that does not read
        return True


class Listener:
    """Accepts clients' connections up to a maximum, and closes idle ones in favour of new ones.

    Without free descriptors, no attempt could be made for accepted requests; if clients that send nothing
    could occupy all connections, others would not get in.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        server: web.Server,
        max_connections: int,
        timeouts: ConnectionTimeouts | None = None,
    ) -> None:
        """Prepare the listener; `open` opens it.

        :param max_connections: maximum number of connections
        :param timeouts: time limits; None for the defaults
        """
        self.timeouts = timeouts or ConnectionTimeouts()
        self.loop = loop
        self.server = server
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.accepting = 0  # accepted, and possibly not in `connections` yet
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening_socket: socket.socket | None = None
        self.is_paused = False  # accepting is paused until a connection ends
        self.sweeper: asyncio.TimerHandle | None = None

    def open(self, host: str, port: int, inherited: int | None = None) -> None:
        """Listen at host and port, or take over the listening socket with descriptor `inherited`.

        If the platform passes the socket on, binding the address again would fail while an older process
        lives, and closing a socket of one's own at the end would drop the connections in its queue.

        :raises OSError: if the address cannot be bound, or the descriptor is not a listening TCP socket
        """
        listener = socket.socket(fileno=inherited) if inherited is not None else socket.socket()
        try:
            if inherited is not None:
                if listener.type != socket.SOCK_STREAM or not listener.getsockopt(
                    socket.SOL_SOCKET, socket.SO_ACCEPTCONN
                ):
                    raise OSError(f"descriptor {inherited} is not a listening TCP socket")
            else:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                listener.bind((host, port))
                listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        listener.setblocking(False)
        self.listening_socket = listener
        self.loop.add_reader(listener, self.accept)
        self.sweep()

    def make_connection(self) -> ClientConnection:
        """Create the protocol of a new connection."""
        return ClientConnection(
            self,
            loop=self.loop,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGERING_READ_S,
            logger=log,
            **self.timeouts.reader_options,
        )

    def accept(self) -> None:
        """Accept waiting connections up to the maximum; the others wait in the kernel's queue."""
        while self.listening_socket is not None:
            if len(self.connections) + self.accepting >= self.max_connections and not self.evict():
                self.pause()
                return
            try:
                accepted, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as err:
                log.warning("accept failed: %s", err)
                self.pause()
                return
            self.accepting += 1
            task = self.loop.create_task(self.adopt(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def adopt(self, accepted: socket.socket) -> None:
        """Attach an accepted socket to the event loop."""
        try:
            await self.loop.connect_accepted_socket(self.make_connection, accepted)
        except OSError as err:
            accepted.close()
            log.warning("connection setup failed: %s", err)
        finally:
            self.accepting -= 1

    def pause(self) -> None:
        """Pause accepting."""
        if not self.is_paused and self.listening_socket is not None:
            self.is_paused = True
            self.loop.remove_reader(self.listening_socket)

    def resume(self) -> None:
        """Accept again if that was paused."""
        if self.is_paused and self.listening_socket is not None:
            self.is_paused = False
            self.loop.add_reader(self.listening_socket, self.accept)

    def idle_connections(self, awaits_request: bool, seconds: float) -> list[ClientConnection]:
        """Return the connections without a request for more than `seconds`, longest first.

        :param awaits_request: those that await or have begun a request, else those that have had an answer
        """
        idle_before = self.loop.time() - seconds
        candidates = [
            c
            for c in self.connections
            if not c.busy and c.awaits_request == awaits_request and c.since < idle_before
        ]
        return sorted(candidates, key=lambda c: c.since)

    def evict(self) -> bool:
        """Close connections in favour of new ones: long idle, then with an incomplete request, then
        answered.

        :returns: whether any was closed

        With only young connections, new clients would wait until it is too late to serve their requests; a
        client that has had its answer can connect again.
        """
        for awaits_request, seconds in (
            (False, IDLE_EVICTION_S),
            (True, INCOMPLETE_EVICTION_S),
            (False, ANSWERED_EVICTION_S),
        ):
            if sum(
                link.close_if_quiet()
                for link in self.idle_connections(awaits_request, seconds)[:EVICTION_BATCH]
            ):
                return True
        return False

    def sweep(self) -> None:
        """Close connections that have exceeded a time limit or the share of idle ones; repeats itself."""
        for link in self.idle_connections(True, self.timeouts.head_s):
            link.close_if_quiet()
        if self.timeouts.idle_s is not None:
            for link in self.idle_connections(False, self.timeouts.idle_s):
                link.close_if_quiet()
        # A proxy that connects for many clients has a connection limit of its own: with idle connections up
        # to that limit, no new client could reach this process although it has capacity.
        idle = self.idle_connections(False, ANSWERED_EVICTION_S)
        for link in idle[: max(0, len(idle) - int(self.max_connections * MAX_IDLE_RATIO))]:
            link.close_if_quiet()
        self.resume()
        self.sweeper = self.loop.call_at(self.loop.time() + SWEEP_INTERVAL_S, self.sweep)

    async def close(self) -> None:
        """Close the listener and the idle connections; the others close after their answers.

        aiohttp's own `close` of an idle connection ends its task and leaves the socket open: what a client
        then sends on it would be lost.
        """
        if self.listening_socket is None:
            return
        self.max_connections = BACKLOG  # clients in the queue already count as connected
        self.accept()
        self.pause()
        self.listening_socket.close()
        self.listening_socket = None
        await asyncio.gather(*self.tasks)
        for link in list(self.connections):
            if not link.busy:
                link.close_if_quiet()

    def stop(self) -> None:
        """Stop the sweep."""
        if self.sweeper is not None:
            self.sweeper.cancel()
