"""Reads configurations in a thread: one of thousands of routes takes longer than the loop may stop.

Weighed: reading it in pieces on the loop. The parser of JSON and the compiled schema take a whole; cutting
both would be to read by hand again. A thread gives the loop its turn at each switch interval.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.rows import configuration_of, rows_of
from vetchusher.distribution.source import MOST_ROWS, Told, all_sorted_out
from vetchusher.kinds import Fault, Kind
from vetchusher.settings.configuration import Configuration, read_configuration

T = TypeVar("T")
MOST_WAITING = 8  # configurations that are read or wait for it
BACK_US = 500_000  # told to whoever comes then
EVACUATION_ROWS = 256  # `control.state.MOST_ZONES`, which ingresses do not import
LOOP_BYTES = 32_768  # what the loop itself reads: a few ms, less than a thread's start on a slow machine
SWITCH_S = 0.001  # that the loop waits for its turn while the thread reads; each event may wait so long


@dataclass(slots=True, frozen=True)
class Read:
    """:param rows: the configuration's, as they are told"""

    raw: bytes
    configuration: Configuration
    rows: Mapping[str, bytes]


def read_whole(raw: bytes) -> Result[Read, Fault]:
    return (
        read_configuration(raw).map(lambda found: Read(raw, found, rows_of(found, raw, {}))).bind(told_whole)
    )


def told_whole(read: Read) -> Result[Read, Fault]:
    """Danger: what has more rows than a reader takes would be acknowledged and never be in force."""
    most = MOST_ROWS - EVACUATION_ROWS
    if len(read.rows) <= most:
        return Success(read)
    text = f"configuration: {len(read.rows)} routes, services and subscribers; {most} at most"
    return Failure(Fault(Kind.INVALID, text))


def uncollected(work: Callable[[Any], T], what: Any) -> T:
    """Danger: so many new objects make Python look through all that the process holds, 15 to 40 ms in one go.
    Nothing read here needs it: no part refers back to its whole.  What lives then is not looked through later
    either; of garbage that refers to itself what lies about at that moment stays."""
    before = sys.getswitchinterval()
    gc.disable()
    sys.setswitchinterval(SWITCH_S)
    try:
        return work(what)
    finally:
        sys.setswitchinterval(before)
        gc.freeze()
        gc.enable()


class Reading:
    """It owns the thread, one: the loop would wait for a turn as often as there are others.

    It holds the last configuration that could be read, as what was checked is soon committed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.thread = ThreadPoolExecutor(1, "reading")
        self.waiting = 0
        self.last: Read | None = None

    async def read(self, raw: bytes) -> Result[Configuration, Fault]:
        return (await self.read_whole(raw)).map(lambda read: read.configuration)

    async def read_whole(self, raw: bytes) -> Result[Read, Fault]:
        found = await self.turn(read_whole, raw)
        if isinstance(found, Success):
            self.last = found.unwrap()
        return found

    async def read_rows(self, rows: Mapping[str, bytes]) -> Result[Configuration, Fault]:
        """The configuration of whole rows of news."""
        return await self.turn(configuration_of, rows)

    async def sort_out(self, news: wire.News) -> list[Told]:
        """News of many rows."""
        return await self.loop.run_in_executor(self.thread, uncollected, all_sorted_out, news)

    async def turn(self, work: Callable[[Any], Result[T, Fault]], what: Any) -> Result[T, Fault]:
        if self.waiting >= MOST_WAITING:
            return Failure(Fault(Kind.NOT_SETTLED, "too many configurations at once", BACK_US))
        self.waiting += 1
        try:
            return await self.loop.run_in_executor(self.thread, uncollected, work, what)
        finally:
            self.waiting -= 1

    def known(self, raw: bytes) -> Result[Read, Fault] | None:
        """The same at once, on the loop, of what has been read already or is soon read; else None."""
        if self.last is not None and self.last.raw == raw:
            return Success(self.last)
        return read_whole(raw) if len(raw) <= LOOP_BYTES else None

    def close(self) -> None:
        self.thread.shutdown(wait=False, cancel_futures=True)
