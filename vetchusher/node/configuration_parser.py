"""Parses configurations in a thread: one with thousands of routes would block the event loop for too long.

Parsing in steps on the event loop is no alternative: the JSON parser and the compiled schema process a whole
document at once, so steps would need a hand-written parser. A thread lets the event loop run at each switch
interval.
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
from vetchusher.distribution.rows import decode_configuration, encode_rows
from vetchusher.distribution.source import MAX_ROWS, SourceUpdate, parse_updates
from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import Configuration, read_configuration

T = TypeVar("T")
MAX_PENDING = 8  # configurations that are being parsed or wait for it
RETRY_AFTER_US = 500_000  # told to callers beyond `MAX_PENDING`
MAX_EVACUATION_ROWS = 256  # as `control.state.MAX_EVACUATION_ZONES`, in a module that ingresses do not import
# Bodies up to this length are parsed on the event loop: that takes a few ms, less than the start of a thread
# on a slow machine.
MAX_INLINE_PARSE_BYTES = 32_768
# Interpreter switch interval during parsing: each event may delay the event loop by this much.
SWITCH_INTERVAL_S = 0.001


@dataclass(slots=True, frozen=True)
class ParsedConfiguration:
    """A configuration that was parsed and checked.

    :param body: the bytes as sent by the operator
    :param rows: the rows under which the configuration is published
    """

    body: bytes
    configuration: Configuration
    rows: Mapping[str, bytes]


def parse_configuration(raw: bytes) -> Result[ParsedConfiguration, Error]:
    """Parse and check a configuration."""
    return (
        read_configuration(raw)
        .map(lambda found: ParsedConfiguration(raw, found, encode_rows(found, raw, {})))
        .bind(check_row_count)
    )


def check_row_count(parsed: ParsedConfiguration) -> Result[ParsedConfiguration, Error]:
    """Return an `INVALID_ORDER` error for a configuration with more rows than a subscriber accepts.

    Such a configuration would be acknowledged but never be applied by the ingresses.
    """
    most = MAX_ROWS - MAX_EVACUATION_ROWS
    if len(parsed.rows) <= most:
        return Success(parsed)
    text = f"configuration: {len(parsed.rows)} routes, services and subscribers; {most} at most"
    return Failure(Error(ErrorCode.INVALID_ORDER, text))


def without_garbage_collection(work: Callable[[Any], T], argument: Any) -> T:
    """Call a function with garbage collection disabled, and freeze all objects that exist afterwards.

    The many new objects would trigger full collections, which stop the process for 15 to 40 ms each. Nothing
    parsed here needs them, as it contains no reference cycles. Frozen objects are excluded from later
    collections as well; cyclic garbage that exists at that moment is never freed.
    """
    before = sys.getswitchinterval()
    gc.disable()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        return work(argument)
    finally:
        sys.setswitchinterval(before)
        gc.freeze()
        gc.enable()


class ConfigurationParser:
    """Owns the only parser thread: with several threads, the event loop would wait for each in turn.

    It caches the last configuration that was parsed, as a configuration is usually committed right after it
    was checked.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create the executor; its thread starts with the first parse."""
        self.loop = loop
        self.thread = ThreadPoolExecutor(1, "reading")
        self.pending = 0
        self.last: ParsedConfiguration | None = None

    async def parse(self, raw: bytes) -> Result[Configuration, Error]:
        """Parse a configuration."""
        return (await self.parse_with_rows(raw)).map(lambda parsed: parsed.configuration)

    async def parse_with_rows(self, raw: bytes) -> Result[ParsedConfiguration, Error]:
        """Parse a configuration, with the rows under which it is published."""
        found = await self.run_in_thread(parse_configuration, raw)
        if isinstance(found, Success):
            self.last = found.unwrap()
        return found

    async def parse_rows(self, rows: Mapping[str, bytes]) -> Result[Configuration, Error]:
        """Parse the configuration of a complete set of rows."""
        return await self.run_in_thread(decode_configuration, rows)

    async def parse_updates(self, updates: wire.News) -> list[SourceUpdate]:
        """Parse updates with many rows."""
        return await self.loop.run_in_executor(
            self.thread, without_garbage_collection, parse_updates, updates
        )

    async def run_in_thread(self, work: Callable[[Any], Result[T, Error]], argument: Any) -> Result[T, Error]:
        """Call a function in the thread; return an `UNAVAILABLE` error beyond `MAX_PENDING` calls."""
        if self.pending >= MAX_PENDING:
            return Failure(Error(ErrorCode.UNAVAILABLE, "too many configurations at once", RETRY_AFTER_US))
        self.pending += 1
        try:
            return await self.loop.run_in_executor(self.thread, without_garbage_collection, work, argument)
        finally:
            self.pending -= 1

    def parse_at_once(self, raw: bytes) -> Result[ParsedConfiguration, Error] | None:
        """Return the cached result, or parse a short body on the event loop; return None for others."""
        if self.last is not None and self.last.body == raw:
            return Success(self.last)
        return parse_configuration(raw) if len(raw) <= MAX_INLINE_PARSE_BYTES else None

    def close(self) -> None:
        """End the thread; pending calls are cancelled."""
        self.thread.shutdown(wait=False, cancel_futures=True)
