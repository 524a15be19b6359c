"""The models on loopback sockets: the counter over HTTP/1.1, and the datagrams' path between ingresses."""

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

MOST_CONNECTIONS = 32  # of one address; further ones are reset
MOST_HEAD = 8 * 1024
IDLE_S = 10.0

_CALL = re.compile(r"POST /v1/count/([!-.0-~]{1,64})\?(\S*) HTTP/1\.1")
_NUMBER = re.compile(r"-?[0-9]{1,10}(?:\.[0-9]{1,10})?(?:[eE][+-]?[0-9]{1,2})?")

BAD = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
UNKNOWN = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n?\x00\x7f!!"


class Timeline:
    """Microseconds since its beginning, on the monotonic clock: when a script's faults begin."""

    def __init__(self) -> None:
        self.begun_ns = time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() - self.begun_ns) // 1000

    async def until(self, at: int) -> None:
        if (left := at - self.now()) > 0:
            await asyncio.sleep(left / 1e6)


def read_call(first_line: str) -> tuple[str, float, int] | bytes:
    """Name, amount and life (us) of a call, or the answer to what is none."""
    found = _CALL.fullmatch(first_line)
    if found is None:
        return UNKNOWN
    told = dict(part.partition("=")[::2] for part in found[2].split("&"))
    amount, life = told.get("add", ""), told.get("ttl_ms", "")
    if not _NUMBER.fullmatch(amount) or not life.isdigit() or not 0 < int(life) < 10**9:
        return BAD
    if abs(float(amount)) > 1e9:
        return BAD
    return found[1], float(amount), int(life) * 1000


def write_answer(answer: Answer) -> bytes:
    if answer.reply is Reply.TURNED_AWAY:
        return FULL
    if answer.reply is Reply.SPOILT:
        return SPOILT
    body = f"{answer.total:.7g}".encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection as a process that dies does: not even what was written is sent."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class CounterServer:
    """The counter model behind a listener.

    It owns its connections: an entry of `open` goes in the `finally` of `serve`.  Calls on one connection are
    answered in their order, however late; a call that is never answered holds up those behind it.
    """

    def __init__(self, model: Counter, timeline: Timeline, caller: int = 0) -> None:
        """:param caller: the number of the ingress that calls here: a split tells them apart"""
        self.model = model
        self.timeline = timeline
        self.caller = caller
        self.open: dict[str, set[asyncio.StreamWriter]] = {}
        self.replaced = 0
        self.port = 0
        self.reset = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = str(writer.get_extra_info("peername")[0])
        theirs = self.open.setdefault(address, set())
        if len(theirs) >= MOST_CONNECTIONS:
            self.reset += 1
            reset(writer)
            return
        theirs.add(writer)
        try:
            await self.answer_all(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, TimeoutError):
            pass
        finally:
            theirs.discard(writer)
            writer.close()

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            async with asyncio.timeout(IDLE_S):
                head = await reader.readuntil(b"\r\n\r\n")
            call = read_call(head.split(b"\r\n", 1)[0].decode("latin-1"))
            if isinstance(call, bytes):
                writer.write(call)
                continue
            now = self.timeline.now()
            self.break_if_replaced(now)
            answer = self.model.call(now, self.caller, *call)
            if answer.reply is Reply.NOTHING:
                await reader.read()  # until the caller gives up this connection
                return
            await self.timeline.until(answer.at)
            writer.write(write_answer(answer))
            if answer.reply is Reply.SPOILT:
                return

    def break_if_replaced(self, now: int) -> None:
        done = sum(f.kind is FaultKind.REPLACED and f.begins <= now for f in self.model.script.faults)
        if done > self.replaced:
            self.replaced = done
            for writers in self.open.values():
                for writer in writers:
                    reset(writer)

    @contextlib.asynccontextmanager
    async def listen(self, host: str = "127.0.0.1") -> AsyncIterator[CounterServer]:
        server = await asyncio.start_server(self.serve, host, 0, limit=MOST_HEAD)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for writers in list(self.open.values()):
                for writer in list(writers):
                    reset(writer)


class Leg(asyncio.DatagramProtocol):
    """The address at which one ingress reaches, and hears, one other."""

    def __init__(self, path: DatagramPath, owner: int, other: int) -> None:
        self.path, self.owner, self.other = path, owner, other
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr == self.path.listeners[self.owner]:
            self.path.passed(self.owner, self.other, data)

    def error_received(self, exc: Exception) -> None:
        """The ingress is down: its datagrams are lost."""


class DatagramPath:
    """A lossy path between ingresses: a socket for each ordered pair, closed in `open`.

    An ingress's `peers` list holds the addresses of its legs; what it sends to one arrives, late or never,
    from the other's leg for it.
    """

    def __init__(
        self, model: Datagrams | Paths, timeline: Timeline, listeners: list[tuple[str, int]]
    ) -> None:
        self.model = model
        self.timeline = timeline
        self.listeners = listeners
        self.legs: dict[tuple[int, int], Leg] = {}
        self.addresses: dict[tuple[int, int], tuple[str, int]] = {}

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[DatagramPath]:
        loop = asyncio.get_running_loop()
        try:
            for owner in range(len(self.listeners)):
                for other in range(len(self.listeners)):
                    leg = Leg(self, owner, other)
                    await loop.create_datagram_endpoint(lambda leg=leg: leg, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
                    assert leg.transport is not None
                    self.legs[owner, other] = leg
                    self.addresses[owner, other] = leg.transport.get_extra_info("sockname")[:2]
            yield self
        finally:
            for leg in self.legs.values():
                if leg.transport is not None:
                    leg.transport.close()

    def peers_of(self, owner: int) -> list[str]:
        """The `peers` of one ingress's configuration: its own entry is its own listener."""
        places = [self.addresses[owner, other] for other in range(len(self.listeners))]
        places[owner] = self.listeners[owner]
        return [f"{host}:{port}" for host, port in places]

    def passed(self, sender: int, receiver: int, data: bytes) -> None:
        now = self.timeline.now()
        for at in self.model.arrivals(now, sender, receiver, len(data)):
            delay = max(0, at - now) / 1e6
            asyncio.get_running_loop().call_later(delay, self.deliver, sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self.legs[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.listeners[receiver])
