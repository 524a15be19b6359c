"""A stand-in of the platform's list of servers: pages, a lag, 429 above its rate, away when told so."""

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
SECOND = 1.0


@dataclass(slots=True)
class PlatformStandIn:
    """Serves between `open` and `close`; what it lists is what `show` was told `lag_s` ago.

    :param port: 0: a free one
    :param rate_per_s: calls that it answers in any one second; the others get 429
    :param page: entries of a page
    :param away: it closes each connection without a word
    :param now: seconds, steady
    """

    host: str = "127.0.0.1"
    port: int = 0
    rate_per_s: float = 50.0
    lag_s: float = 0.2
    page: int = 50
    away: bool = False
    now: Callable[[], float] = time.monotonic
    calls: int = 0
    # What it was told, and when; an older one goes when the next has become old enough to be shown.
    told: deque[tuple[float, tuple[ListedServer, ...]]] = field(default_factory=deque)
    answered: deque[float] = field(default_factory=deque)  # times of calls in the last second
    listener: asyncio.Server | None = None

    def show(self, entries: Iterable[ListedServer]) -> None:
        """From now on these are the servers; `cold_left_ms` counts from now."""
        self.told.append((self.now(), tuple(entries)))

    def listed(self) -> list[ListedServer]:
        """What the list says now."""
        now = self.now()
        while len(self.told) > 1 and self.told[1][0] <= now - self.lag_s:
            self.told.popleft()
        if not self.told or self.told[0][0] > now - self.lag_s:
            return []
        since, entries = self.told[0]
        return [
            replace(one, cold_left_ms=max(0, one.cold_left_ms - int((now - since) * 1000))) for one in entries
        ]

    def answer(self, start: str) -> tuple[str, bytes]:
        """Status and body for a call's first line."""
        method, target, *_ = start.split(" ")
        path = urlsplit(target)
        if method != "GET" or path.path != "/instances":
            return "404 Not Found", b"{}"
        now = self.now()
        while self.answered and self.answered[0] <= now - SECOND:
            self.answered.popleft()
        self.calls += 1
        if len(self.answered) >= self.rate_per_s * SECOND:
            return "429 Too Many Requests", b"{}"
        self.answered.append(now)
        asked = {name: values[0] for name, values in parse_qs(path.query).items()}
        begin = asked.get("page_token", "p-0").removeprefix("p-")
        if not begin.isdecimal():
            return "400 Bad Request", b"{}"
        found = [one for one in self.listed() if asked.get("zone", one.zone) == one.zone]
        end = int(begin) + self.page
        rows = [row(one) for one in found[int(begin) : end]]
        tree = {
            "instances": {"columns": COLUMNS, "rows": rows},
            "next_token": f"p-{end}" if end < len(found) else None,
        }
        return "200 OK", json.dumps(tree).encode()

    async def open(self) -> PlatformStandIn:
        self.listener = await asyncio.start_server(self.connected, self.host, self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def close(self) -> None:
        if self.listener is not None:
            self.listener.close()

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while not self.away:
                start, _, _ = await read_message(reader)
                if self.away:
                    break
                status, body = self.answer(start)
                head = (
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                )
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def row(one: ListedServer) -> list[object]:
    """In the order of COLUMNS."""
    state = "draining" if one.draining else "available"
    told = [one.service, one.address, one.zone, one.version, one.capacity, state]
    return [*told, one.cold_left_ms or None, one.instance]
