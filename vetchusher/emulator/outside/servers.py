"""A stand-in for one server behind the ingresses, with the faults of real ones."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher.discovery.reader import ListedServer
from vetchusher.discovery.server import Server

from .messages import read_message

SEAL = "X-Vetchusher-Server-Seal"
ATTEMPT_ID_HEADER = "X-Vetchusher-Attempt-Id"
TARGET_INSTANCE_HEADER = "X-Vetchusher-Target-Instance"
KEEP_ALIVE_S = 2  # stated idle time-out of connections
UNRESPONSIVE_S = 3600  # longer than any client's time-out
TRUNCATING_MOODS = frozenset({"cut", "cut chunked"})  # close the connection before the response is complete


@dataclass(slots=True)
class ReceivedRequest:
    """One request as received."""

    start: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class StandIn:
    """Serves requests between `open` and `close`.

    :param port: 0 for a free one
    :param time_s: service time of a request
    :param held: no request completes until this event is set
    :param body: body of its responses
    :param moods: behaviour for the next requests, one entry each: `ok`, `reset` (executes, then resets),
        `refuse` (resets without executing), `full` (503, not executed), `silent` (no response), `junk` (not
        HTTP), `cut` (half the body), `unsealed` (no seal header), `surplus` (bytes after the response),
        `error` (500), `promise` (a 503 after executing, without the header that says so),
        `again` (sends the response twice), `chunked`, `cut chunked`, `nameless` (no attempt id)
    :param usual: returns the behaviour when `moods` is empty
    :param runs: executions by attempt id
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
    arrivals: list[ReceivedRequest] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    at_work: int = 0
    max_in_flight: int = 0
    host: str = "127.0.0.1"
    port: int = 0
    listener: asyncio.Server | None = None

    @property
    def row(self) -> Server:
        """The server as a row of the routing tables."""
        address = f"{self.host}:{self.port}"
        return Server(self.instance, self.service, address, self.zone, capacity=self.capacity)

    @property
    def listed(self) -> ListedServer:
        """The server as an entry of the platform's list."""
        row = self.row
        return ListedServer(row.instance, row.service, row.address, row.zone, "v1", row.capacity, False, 0)

    async def open(self) -> StandIn:
        """Start to listen.

        :raises OSError: if the address is not available
        """
        self.listener = await asyncio.start_server(self.serve_connection, self.host, self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def close(self) -> None:
        """Stop to listen."""
        if self.listener is not None:
            self.listener.close()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        self.connections += 1
        try:
            while await self.handle_request(*await read_message(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle_request(
        self, start_line: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        self.arrivals.append(ReceivedRequest(start_line, headers, body))
        mood = self.moods.pop(0) if self.moods else self.usual()
        if headers.get(TARGET_INSTANCE_HEADER, self.instance) != self.instance:
            writer.write(
                self.write_response("421 Misdirected Request", headers, "X-Vetchusher-Not-Executed: 1\r\n")
            )
            return True
        if mood == "refuse":
            writer.transport.abort()
            return False
        if mood == "full" or self.at_work >= self.capacity:
            writer.write(
                self.write_response("503 Service Unavailable", headers, "X-Vetchusher-Not-Executed: 1\r\n")
            )
            return True
        self.runs[headers[ATTEMPT_ID_HEADER]] += 1
        self.at_work += 1
        self.max_in_flight = max(self.max_in_flight, self.at_work)
        try:
            await asyncio.sleep(self.time_s)
            if self.held is not None:
                await self.held.wait()
        finally:
            self.at_work -= 1
        return await self.send_response(mood, start_line.startswith("HEAD "), headers, writer)

    async def send_response(
        self, mood: str, is_head: bool, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to an executed request as the mood says; return whether the connection stays open."""
        if mood == "reset":
            writer.transport.abort()
            return False
        if mood == "silent":
            await asyncio.sleep(UNRESPONSIVE_S)
            return True
        seal_line = f"{SEAL}: 3e1b.{headers[ATTEMPT_ID_HEADER]}\r\n"
        response = self.write_response("200 OK", headers, seal_line, self.body, is_head)
        writer.write(self.distort(mood, response, headers, seal_line))
        if mood in TRUNCATING_MOODS:
            await writer.drain()
            return False
        if mood == "again":
            asyncio.get_running_loop().call_later(0.1, writer.write, response)
        return True

    def distort(self, mood: str, response: bytes, headers: dict[str, str], seal_line: str) -> bytes:
        """Return the bytes to send instead of a response, as the mood says."""
        match mood:
            case "junk":
                return b"\x00\x01 no answer at all\r\n\r\n"
            case "cut":
                return response[: -len(self.body) // 2]
            case "unsealed":
                return self.write_response("200 OK", headers, "", self.body)
            case "surplus":
                return response + b"more bytes than asked"
            case "error":
                return self.write_response("500 Internal Server Error", headers, "", b"it failed")
            case "promise":
                return self.write_response("503 Service Unavailable", headers)
            case "nameless":
                return self.write_response("200 OK", {}, seal_line, self.body)
            case "chunked":
                return self.chunked(response) + b"0\r\n\r\n"
            case "cut chunked":
                return self.chunked(response)
        return response

    def chunked(self, response: bytes) -> bytes:
        """Return a response with its body as one chunk, without the last chunk."""
        head = response[: response.index(b"Content-Length")] + b"Transfer-Encoding: chunked\r\n\r\n"
        return head + b"%x\r\n%s\r\n" % (len(self.body), self.body)

    def write_response(
        self,
        status: str,
        headers: dict[str, str],
        extra_lines: str = "",
        body: bytes = b"",
        is_head: bool = False,
    ) -> bytes:
        """Return a response; `extra_lines` are further header lines."""
        id_line = (
            f"{ATTEMPT_ID_HEADER}: {headers[ATTEMPT_ID_HEADER]}\r\n" if ATTEMPT_ID_HEADER in headers else ""
        )
        keep_alive_line = f"Keep-Alive: timeout={KEEP_ALIVE_S}\r\n"
        head = (
            f"HTTP/1.1 {status}\r\n{id_line}{extra_lines}{keep_alive_line}Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + (b"" if is_head else body)
