"""Writes what the control state wants on disk, in a thread: a disk that hangs holds up nothing else."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from returns.result import Success

from vetchusher.control import PersistentState, Store
from vetchusher.events import Event, LogEvent


class Persister:
    """Owner of the store while the process runs.  Records are whole: of several the last is written."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        saved: Callable[[int, bool], None],
        note: Callable[[LogEvent], None],
    ) -> None:
        """:param saved: is told each token, and whether its record is on the disk"""
        self.loop, self.store, self.saved, self.note = loop, store, saved, note
        self.thread = ThreadPoolExecutor(1, "control")
        self.waiting: list[tuple[int, PersistentState]] = []
        self.writing: asyncio.Task[None] | None = None
        self.refused = ""  # why the last record is not on the disk; empty: it is

    def save(self, token: int, kept: PersistentState) -> None:
        self.waiting.append((token, kept))
        if self.writing is None:
            self.writing = self.loop.create_task(self.write())

    async def write(self) -> None:
        try:
            while self.waiting:
                tokens, kept = [token for token, _ in self.waiting], self.waiting[-1][1]
                self.waiting.clear()
                outcome = await self.loop.run_in_executor(self.thread, self.store.save, kept)
                good = isinstance(outcome, Success)
                self.refused = "" if good else outcome.failure().text
                if not good:
                    self.note(LogEvent(Event.STORE_FAILED, {"why": self.refused}))
                for token in tokens:
                    self.saved(token, good)
        finally:
            self.writing = None

    def close(self) -> None:
        self.thread.shutdown(wait=False)
