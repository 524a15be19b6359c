"""A stand-in for the platform's list of servers: pages, a lag, 429 above its rate, and outages."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, urlsplit

from vetchusher.discovery.reader import ListedServer

from .messages import read_message

COLUMNS = ("service", "address", "zone", "version", "capacity", "state", "cold_left_ms", "instance_id")
RATE_WINDOW_S = 1.0


@dataclass(slots=True)
class PlatformStandIn:
    """Serves the entries that `show` was given `lag_s` ago, between `open` and `close`.

    :param port: 0 for a free one
    :param rate_per_s: calls that it answers in any one second; others get 429
    :param page: entries per page
    :param is_away: it closes each connection without an answer
    :param now: monotonic clock in seconds
    :param versions: the lists given to `show` with their times; one is dropped once the next is `lag_s` old
    """

    host: str = "127.0.0.1"
    port: int = 0
    rate_per_s: float = 50.0
    lag_s: float = 0.2
    page: int = 50
    is_away: bool = False
    now: Callable[[], float] = time.monotonic
    call_count: int = 0
    versions: deque[tuple[float, tuple[ListedServer, ...]]] = field(default_factory=deque)
    recent_calls: deque[float] = field(
        default_factory=deque
    )  # times of the calls answered in the last second
    listener: asyncio.Server | None = None

    def show(self, entries: Iterable[ListedServer]) -> None:
        """Replace the list of servers; their `cold_left_ms` counts from now."""
        self.versions.append((self.now(), tuple(entries)))

    def listed(self) -> list[ListedServer]:
        """Return the entries that are served now."""
        now = self.now()
        while len(self.versions) > 1 and self.versions[1][0] <= now - self.lag_s:
            self.versions.popleft()
        if not self.versions or self.versions[0][0] > now - self.lag_s:
            return []
        shown_at, entries = self.versions[0]
        return [
            replace(server, cold_left_ms=max(0, server.cold_left_ms - int((now - shown_at) * 1000)))
            for server in entries
        ]

    def answer(self, start_line: str) -> tuple[str, bytes]:
        """Return the status and the body for a request's start_line line."""
        method, url, *_ = start_line.split(" ")
        path = urlsplit(url)
        if method != "GET" or path.path != "/instances":
            return "404 Not Found", b"{}"
        now = self.now()
        while self.recent_calls and self.recent_calls[0] <= now - RATE_WINDOW_S:
            self.recent_calls.popleft()
        self.call_count += 1
        if len(self.recent_calls) >= self.rate_per_s * RATE_WINDOW_S:
            return "429 Too Many Requests", b"{}"
        self.recent_calls.append(now)
        query = {name: values[0] for name, values in parse_qs(path.query).items()}
        first = query.get("page_token", "p-0").removeprefix("p-")
        if not first.isdecimal():
            return "400 Bad Request", b"{}"
        servers = [server for server in self.listed() if query.get("zone", server.zone) == server.zone]
        next_first = int(first) + self.page
        rows = [row(server) for server in servers[int(first) : next_first]]
        tree = {
            "instances": {"columns": COLUMNS, "rows": rows},
            "next_token": f"p-{next_first}" if next_first < len(servers) else None,
        }
        return "200 OK", json.dumps(tree).encode()

    async def open(self) -> PlatformStandIn:
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
        """Answer the requests of one connection."""
        try:
            while not self.is_away:
                start_line, _, _ = await read_message(reader)
                if self.is_away:
                    break
                status, body = self.answer(start_line)
                head = (
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                )
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def row(server: ListedServer) -> list[object]:
    """Return the values of server server in the order of `COLUMNS`."""
    state = "draining" if server.draining else "available"
    values = [server.service, server.address, server.zone, server.version, server.capacity, state]
    return [*values, server.cold_left_ms or None, server.instance]
