"""Parses configurations in a thread: one of thousands of routes takes longer than the loop may stop.

Weighed: parsing it in steps on the loop. The parser of JSON and the compiled schema take all of it at once;
cutting both would be to write a parser by hand. A thread gives the loop its turn at each switch interval.
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
from vetchusher.distribution.source import MAX_ROWS, SourceUpdate, parse_updates
from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import Configuration, read_configuration

T = TypeVar("T")
MAX_PENDING = 8  # configurations that are read or wait for it
RETRY_AFTER_US = 500_000  # told to whoever comes then
MAX_EVACUATION_ROWS = 256  # `control.state.MOST_ZONES`, which ingresses do not import
MAX_BYTES_ON_LOOP = (
    32_768  # what the loop itself reads: a few ms, less than a thread's start on a slow machine
)
SWITCH_INTERVAL_S = (
    0.001  # that the loop waits for its turn while the thread reads; each event may wait so long
)


@dataclass(slots=True, frozen=True)
class ParsedConfiguration:
    """A configuration that was checked.

    :param body: its bytes as they were sent
    :param rows: the rows under which it is published
    """

    body: bytes
    configuration: Configuration
    rows: Mapping[str, bytes]


def parse_configuration(raw: bytes) -> Result[ParsedConfiguration, Error]:
    """Parse and check a configuration."""
    return (
        read_configuration(raw)
        .map(lambda found: ParsedConfiguration(raw, found, rows_of(found, raw, {})))
        .bind(check_row_count)
    )


def check_row_count(read: ParsedConfiguration) -> Result[ParsedConfiguration, Error]:
    """Reject a configuration with more rows than a subscriber takes: it would be acknowledged and never be in
    force.
    """
    most = MAX_ROWS - MAX_EVACUATION_ROWS
    if len(read.rows) <= most:
        return Success(read)
    text = f"configuration: {len(read.rows)} routes, services and subscribers; {most} at most"
    return Failure(Error(ErrorCode.INVALID_ORDER, text))


def without_garbage_collection(work: Callable[[Any], T], what: Any) -> T:
    """Run some work without garbage collection.

    So many new objects make Python look through all that the process holds, 15 to 40 ms at a time. Nothing
    parsed here needs it, as no part refers back to the whole. What lives then is not looked through later
    either; of garbage with cycles what lies about at that moment stays.
    """
    before = sys.getswitchinterval()
    gc.disable()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        return work(what)
    finally:
        sys.setswitchinterval(before)
        gc.freeze()
        gc.enable()


class ConfigurationParser:
    """Owner of the thread, one: the loop would wait for a turn as often as there are others.

    It holds the last configuration that was parsed, as what was checked is soon committed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start no thread yet."""
        self.loop = loop
        self.thread = ThreadPoolExecutor(1, "reading")
        self.pending = 0
        self.last: ParsedConfiguration | None = None

    async def parse(self, raw: bytes) -> Result[Configuration, Error]:
        """Parse a configuration."""
        return (await self.parse_with_rows(raw)).map(lambda read: read.configuration)

    async def parse_with_rows(self, raw: bytes) -> Result[ParsedConfiguration, Error]:
        """Parse a configuration, with the rows under which it is published."""
        found = await self.run_in_thread(parse_configuration, raw)
        if isinstance(found, Success):
            self.last = found.unwrap()
        return found

    async def parse_rows(self, rows: Mapping[str, bytes]) -> Result[Configuration, Error]:
        """Parse the configuration of a complete set of rows."""
        return await self.run_in_thread(configuration_of, rows)

    async def parse_updates(self, news: wire.News) -> list[SourceUpdate]:
        """Parse updates with many rows."""
        return await self.loop.run_in_executor(self.thread, without_garbage_collection, parse_updates, news)

    async def run_in_thread(self, work: Callable[[Any], Result[T, Error]], what: Any) -> Result[T, Error]:
        """Run some work in the thread; beyond `MAX_PENDING` it is refused."""
        if self.pending >= MAX_PENDING:
            return Failure(Error(ErrorCode.UNAVAILABLE, "too many configurations at once", RETRY_AFTER_US))
        self.pending += 1
        try:
            return await self.loop.run_in_executor(self.thread, without_garbage_collection, work, what)
        finally:
            self.pending -= 1

    def parse_at_once(self, raw: bytes) -> Result[ParsedConfiguration, Error] | None:
        """Return the outcome at once, on the loop, where it is known already or the body is short; else
        None.
        """
        if self.last is not None and self.last.body == raw:
            return Success(self.last)
        return parse_configuration(raw) if len(raw) <= MAX_BYTES_ON_LOOP else None

    def close(self) -> None:
        """End the thread; what waits is dropped."""
        self.thread.shutdown(wait=False, cancel_futures=True)
