"""A stand-in of one server behind the ingresses, with the troubles that real ones have."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher.discovery.reader import ListedServer
from vetchusher.discovery.server import Server

from .messages import read_message

SEAL = "X-Vetchusher-Server-Seal"
ID = "X-Vetchusher-Attempt-Id"
INSTANCE = "X-Vetchusher-Target-Instance"
KEPT_S = 2  # idle connections, as it states
SILENT_S = 3600  # longer than anybody waits
CUT_SHORT = frozenset({"cut", "cut chunked"})  # moods that close before the answer is whole


@dataclass(slots=True)
class Arrival:
    """One request as it came."""

    start: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class StandIn:
    """Serves between `open` and `close`, on a free port where none is named.

    :param time_s: that it works on a request
    :param held: until it is set, requests at work stay so
    :param body: of its answers
    :param moods: what it does with the next requests, each once: `ok`, `reset` (runs, then resets), `refuse`
        (resets without running), `full`, `silent`, `junk`, `cut`, `unsealed`, `surplus`, `error`, `promise`
        (an unmarked 503 after it ran), `again` (answers, and sends the answer once more late), `chunked`,
        `cut chunked`, `nameless` (an answer without an id)
    :param usual: the mood where none is named
    """

    instance: str
    service: str = "svc"
    zone: str = "gulf-a"
    capacity: int = 4
    time_s: float = 0.0
    held: asyncio.Event | None = None
    body: bytes = b"the server's bytes"
    moods: list[str] = field(default_factory=list)
    usual: Callable[[], str] = lambda: "ok"
    arrivals: list[Arrival] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)  # by attempt id
    connections: int = 0
    at_work: int = 0
    most_at_work: int = 0
    host: str = "127.0.0.1"
    port: int = 0
    listener: asyncio.Server | None = None

    @property
    def row(self) -> Server:
        address = f"{self.host}:{self.port}"
        return Server(self.instance, self.service, address, self.zone, capacity=self.capacity)

    @property
    def listed(self) -> ListedServer:
        """As the platform's list has it."""
        row = self.row
        return ListedServer(row.instance, row.service, row.address, row.zone, "v1", row.capacity, False, 0)

    async def open(self) -> StandIn:
        self.listener = await asyncio.start_server(self.connected, self.host, self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while await self.one(*await read_message(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def one(
        self, start: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Whether the connection goes on."""
        self.arrivals.append(Arrival(start, headers, body))
        mood = self.moods.pop(0) if self.moods else self.usual()
        if headers.get(INSTANCE, self.instance) != self.instance:
            writer.write(self.answer("421 Misdirected Request", headers, "X-Vetchusher-Not-Executed: 1\r\n"))
            return True
        if mood == "refuse":
            writer.transport.abort()
            return False
        if mood == "full" or self.at_work >= self.capacity:
            writer.write(self.answer("503 Service Unavailable", headers, "X-Vetchusher-Not-Executed: 1\r\n"))
            return True
        self.runs[headers[ID]] += 1
        self.at_work += 1
        self.most_at_work = max(self.most_at_work, self.at_work)
        try:
            await asyncio.sleep(self.time_s)
            if self.held is not None:
                await self.held.wait()
        finally:
            self.at_work -= 1
        return await self.end(mood, start.startswith("HEAD "), headers, writer)

    async def end(self, mood: str, bare: bool, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        """Answer as the mood has it; whether the connection goes on."""
        if mood == "reset":
            writer.transport.abort()
            return False
        if mood == "silent":
            await asyncio.sleep(SILENT_S)
            return True
        sealed = f"{SEAL}: 3e1b.{headers[ID]}\r\n"
        whole = self.answer("200 OK", headers, sealed, self.body, bare)
        writer.write(self.distorted(mood, whole, headers, sealed))
        if mood in CUT_SHORT:
            await writer.drain()
            return False
        if mood == "again":
            asyncio.get_running_loop().call_later(0.1, writer.write, whole)
        return True

    def distorted(self, mood: str, whole: bytes, headers: dict[str, str], sealed: str) -> bytes:
        """The bytes of an answer as the mood spoils it."""
        match mood:
            case "junk":
                return b"\x00\x01 no answer at all\r\n\r\n"
            case "cut":
                return whole[: -len(self.body) // 2]
            case "unsealed":
                return self.answer("200 OK", headers, "", self.body)
            case "surplus":
                return whole + b"more bytes than asked"
            case "error":
                return self.answer("500 Internal Server Error", headers, "", b"it failed")
            case "promise":
                return self.answer("503 Service Unavailable", headers)
            case "nameless":
                return self.answer("200 OK", {}, sealed, self.body)
            case "chunked":
                return self.chunked(whole) + b"0\r\n\r\n"
            case "cut chunked":
                return self.chunked(whole)
        return whole

    def chunked(self, whole: bytes) -> bytes:
        """An answer's body as one chunk, without the last chunk that ends it."""
        head = whole[: whole.index(b"Content-Length")] + b"Transfer-Encoding: chunked\r\n\r\n"
        return head + b"%x\r\n%s\r\n" % (len(self.body), self.body)

    def answer(
        self, status: str, headers: dict[str, str], more: str = "", body: bytes = b"", bare: bool = False
    ) -> bytes:
        named = f"{ID}: {headers[ID]}\r\n" if ID in headers else ""
        kept = f"Keep-Alive: timeout={KEPT_S}\r\n"
        head = f"HTTP/1.1 {status}\r\n{named}{more}{kept}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + (b"" if bare else body)
