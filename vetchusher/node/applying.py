"""What a core machine has committed, on its way into the news: read off the loop, told in its order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent
from vetchusher.kinds import Fault, Kind

from .reading import Read, Reading

PAUSE_S = 0.1  # until the thread is asked again, when too much waits for it


class Applying:
    """Owner of the newest committed state that is not told yet, one at most: a newer one replaces it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        reading: Reading,
        tell: Callable[[wire.ControlState, Read | None], None],
        note: Callable[[LogEvent], None],
    ) -> None:
        """:param tell: takes each state that is told with its configuration; None: there is none yet"""
        self.loop, self.reading, self.tell, self.note = loop, reading, tell, note
        self.held: Read | None = None
        self.waiting: wire.ControlState | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def behind(self) -> bool:
        """What is told is not all that is committed."""
        return self.task is not None

    def committed(self, state: wire.ControlState) -> None:
        if self.task is None and self.at_once(state):
            return
        self.waiting = state
        if self.task is None:
            self.task = self.loop.create_task(self.work())

    def at_once(self, state: wire.ControlState) -> bool:
        raw = state.configuration
        if not state.version:
            self.tell(state, None)
        elif self.held is not None and self.held.raw == raw:
            self.tell(state, self.held)
        else:
            found = self.reading.known(raw)
            if found is None:
                return False
            self.read(state, found)
        return True

    def read(self, state: wire.ControlState, found: Result[Read, Fault]) -> None:
        match found:
            case Success(read):
                self.held = read
                self.tell(state, read)
            case Failure(fault):  # it was checked before it was stored: this program is older
                self.note(LogEvent(Event.NEWS_UNUSABLE, {"why": fault.text}))

    async def work(self) -> None:
        try:
            while self.waiting is not None:
                state, self.waiting = self.waiting, None
                if self.at_once(state):
                    continue
                found = await self.reading.read_whole(state.configuration)
                if isinstance(found, Failure) and found.failure().kind is Kind.NOT_SETTLED:
                    self.waiting = self.waiting or state
                    await asyncio.sleep(PAUSE_S)
                    continue
                self.read(state, found)
        finally:
            self.task = None

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
