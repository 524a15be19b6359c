"""Reads configurations in a thread: one of thousands of routes takes longer than the loop may stop.

Weighed: reading it in pieces on the loop. The parser of JSON and the compiled schema take a whole; cutting
both would be to read by hand again. A thread gives the loop its turn every 5 ms, the switch interval.
"""

from __future__ import annotations

import asyncio
import gc
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind
from vetchusher.settings.configuration import Configuration, read_configuration

MOST_WAITING = 8  # configurations that are read or wait for it
BACK_US = 500_000  # told to whoever comes then


def uncollected(raw: bytes) -> Result[Configuration, Fault]:
    """Danger: so many new objects make Python look through all that the process holds, 15 to 40 ms in one go.
    Nothing read here needs it: no part refers back to its whole."""
    gc.disable()
    try:
        return read_configuration(raw)
    finally:
        gc.enable()


class Reading:
    """It owns the thread, one: the loop would wait for a turn as often as there are others.

    It holds the last configuration that could be read, as what was checked is soon committed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.thread = ThreadPoolExecutor(1, "reading")
        self.waiting = 0
        self.last: tuple[bytes, Configuration] | None = None

    async def read(self, raw: bytes) -> Result[Configuration, Fault]:
        if self.waiting >= MOST_WAITING:
            return Failure(Fault(Kind.NOT_SETTLED, "too many configurations at once", BACK_US))
        self.waiting += 1
        try:
            found = await self.loop.run_in_executor(self.thread, uncollected, raw)
        finally:
            self.waiting -= 1
        if isinstance(found, Success):
            self.last = (raw, found.unwrap())
        return found

    def known(self, raw: bytes) -> Result[Configuration, Fault]:
        """The same at once, on the loop, for one that has been checked before."""
        return Success(self.last[1]) if self.last and self.last[0] == raw else read_configuration(raw)

    def close(self) -> None:
        self.thread.shutdown(wait=False, cancel_futures=True)
