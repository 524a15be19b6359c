"""The models on loopback sockets: the counter over HTTP/1.1, and the datagram path between ingresses."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
import time
from collections.abc import AsyncIterator

from vetchusher.emulator.faults import FaultKind
from vetchusher.emulator.network import Datagrams
from vetchusher.emulator.paths import Paths

from .counter import Answer, Counter, Reply

MAX_CONNECTIONS_PER_ADDRESS = 32  # further ones are reset
MAX_HEAD_BYTES = 8 * 1024
IDLE_TIMEOUT_S = 10.0

_CALL = re.compile(r"POST /v1/count/([!-.0-~]{1,64})\?(\S*) HTTP/1\.1")
_NUMBER = re.compile(r"-?[0-9]{1,10}(?:\.[0-9]{1,10})?(?:[eE][+-]?[0-9]{1,2})?")

BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
CORRUPTED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n?\x00\x7f!!"


class Timeline:
    """A monotonic clock in microseconds since its creation, by which scripted faults begin and end."""

    def __init__(self) -> None:
        """Start the clock."""
        self.started_ns = time.monotonic_ns()

    def now(self) -> int:
        """Return the microseconds since the start."""
        return (time.monotonic_ns() - self.started_ns) // 1000

    async def until(self, at: int) -> None:
        """Sleep until a time, in microseconds since the start."""
        if (remaining_us := at - self.now()) > 0:
            await asyncio.sleep(remaining_us / 1e6)


def read_call(first_line: str) -> tuple[str, float, int] | bytes:
    """Return name, amount and TTL (us) of a call, or the response to an invalid one."""
    match = _CALL.fullmatch(first_line)
    if match is None:
        return NOT_FOUND
    query = dict(part.partition("=")[::2] for part in match[2].split("&"))
    amount, ttl_ms = query.get("add", ""), query.get("ttl_ms", "")
    if not _NUMBER.fullmatch(amount) or not ttl_ms.isdigit() or not 0 < int(ttl_ms) < 10**9:
        return BAD_REQUEST
    if abs(float(amount)) > 1e9:
        return BAD_REQUEST
    return match[1], float(amount), int(ttl_ms) * 1000


def write_answer(answer: Answer) -> bytes:
    """Return the HTTP response for an answer of the model."""
    if answer.reply is Reply.REJECTED:
        return UNAVAILABLE
    if answer.reply is Reply.CORRUPTED:
        return CORRUPTED
    body = f"{answer.total:.7g}".encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection as when a process is killed; unsent bytes are dropped."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class CounterServer:
    """Serves the counter model over HTTP.

    It owns its connections; `serve` removes an entry of `connections` at its end.  Calls on one connection
    are answered in order, so a call that is never answered blocks those behind it.
    """

    def __init__(self, model: Counter, timeline: Timeline, caller: int = 0) -> None:
        """:param caller: number of the ingress that calls this server, for network partitions"""
        self.model = model
        self.timeline = timeline
        self.caller = caller
        self.connections: dict[str, set[asyncio.StreamWriter]] = {}
        self.replacement_count = 0
        self.port = 0
        self.reset_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, or reset it if its address has too many."""
        address = str(writer.get_extra_info("peername")[0])
        writers = self.connections.setdefault(address, set())
        if len(writers) >= MAX_CONNECTIONS_PER_ADDRESS:
            self.reset_count += 1
            reset(writer)
            return
        writers.add(writer)
        try:
            await self.answer_all(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, TimeoutError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls until one is not answered or is answered with corrupted bytes.

        :raises TimeoutError: if no call arrives for `IDLE_TIMEOUT_S`
        """
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
            call = read_call(head.split(b"\r\n", 1)[0].decode("latin-1"))
            if isinstance(call, bytes):
                writer.write(call)
                continue
            now = self.timeline.now()
            self.break_if_replaced(now)
            answer = self.model.call(now, self.caller, *call)
            if answer.reply is Reply.NOTHING:
                await reader.read()  # until the caller closes this connection
                return
            await self.timeline.until(answer.at)
            writer.write(write_answer(answer))
            if answer.reply is Reply.CORRUPTED:
                return

    def break_if_replaced(self, now: int) -> None:
        """Reset all connections once for each replacement of the counter that has happened."""
        happened_count = sum(
            f.kind is FaultKind.REPLACED and f.starts_at <= now for f in self.model.faults.faults
        )
        if happened_count > self.replacement_count:
            self.replacement_count = happened_count
            for writers in self.connections.values():
                for writer in writers:
                    reset(writer)

    @contextlib.asynccontextmanager
    async def listen(self, host: str = "127.0.0.1") -> AsyncIterator[CounterServer]:
        """Listen on a free port for the duration of the context; then reset all connections."""
        server = await asyncio.start_server(self.serve, host, 0, limit=MAX_HEAD_BYTES)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writers in list(self.connections.values()):
                for writer in list(writers):
                    reset(writer)


class PairSocket(asyncio.DatagramProtocol):
    """The socket through which one ingress sends to, and receives from, one peer."""

    def __init__(self, path: DatagramPath, owner: int, peer: int) -> None:
        """:param owner: number of the ingress that sends to this socket"""
        self.path, self.owner, self.peer = path, owner, peer
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram of the owner to the peer."""
        if addr == self.path.listeners[self.owner]:
            self.path.forward(self.owner, self.peer, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the ingress is down, and its datagrams are lost."""


class DatagramPath:
    """A lossy datagram path between ingresses, with one socket per ordered pair.

    The `peers` list of an ingress holds the addresses of its sockets.  What it sends to one of them arrives
    late or never, from the peer's socket for it.
    """

    def __init__(
        self, model: Datagrams | Paths, timeline: Timeline, listeners: list[tuple[str, int]]
    ) -> None:
        """:param listeners: the address at which each ingress receives datagrams"""
        self.model = model
        self.timeline = timeline
        self.listeners = listeners
        self.sockets: dict[tuple[int, int], PairSocket] = {}
        self.addresses: dict[tuple[int, int], tuple[str, int]] = {}

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[DatagramPath]:
        """Open the sockets for the duration of the context.

        :raises OSError: if a socket cannot be opened
        """
        loop = asyncio.get_running_loop()
        try:
            for owner in range(len(self.listeners)):
                for peer in range(len(self.listeners)):
                    pair_socket = PairSocket(self, owner, peer)
                    await loop.create_datagram_endpoint(
                        lambda pair_socket=pair_socket: pair_socket,  # type: ignore[misc]
                        local_addr=("127.0.0.1", 0),
                    )
                    assert pair_socket.transport is not None
                    self.sockets[owner, peer] = pair_socket
                    self.addresses[owner, peer] = pair_socket.transport.get_extra_info("sockname")[:2]
            yield self
        finally:
            for pair_socket in self.sockets.values():
                if pair_socket.transport is not None:
                    pair_socket.transport.close()

    def peers_of(self, owner: int) -> list[str]:
        """Return the `peers` setting of one ingress; its own entry is its own listener."""
        addresses = [self.addresses[owner, peer] for peer in range(len(self.listeners))]
        addresses[owner] = self.listeners[owner]
        return [f"{host}:{port}" for host, port in addresses]

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver a datagram at the times that the model decides."""
        now = self.timeline.now()
        for at in self.model.arrivals(now, sender, receiver, len(data)):
            delay = max(0, at - now) / 1e6
            asyncio.get_running_loop().call_later(delay, self.deliver, sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram to its receiver, unless the path is closed."""
        transport = self.sockets[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.listeners[receiver])
