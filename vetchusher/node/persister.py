"""Writes the replica's persistent state in a thread, so that a hanging disk does not block the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from returns.result import Success

from vetchusher.control import Persisted, PersistentState, Store
from vetchusher.events import Event, LogEvent


class Persister:
    """Owner of the store while the process runs.

    Each write is of the complete state, so if several wait only the last one is written.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        on_persisted: Callable[[Persisted], None],
        log_event: Callable[[LogEvent], None],
    ) -> None:
        """Begin with nothing to write.

        :param on_persisted: called after each write with its token and whether it succeeded
        """
        self.loop, self.store, self.on_persisted, self.log_event = loop, store, on_persisted, log_event
        self.thread = ThreadPoolExecutor(1, "control")
        self.pending: list[tuple[int, PersistentState]] = []
        self.write_task: asyncio.Task[None] | None = None
        self.failure_reason = ""  # why the last write failed; empty if it did not fail

    def save(self, token: int, contents: PersistentState) -> None:
        """Queue a state to be written after the write in flight.

        :param token: returned in the `Persisted` that reports the write
        """
        self.pending.append((token, contents))
        if self.write_task is None:
            self.write_task = self.loop.create_task(self.write())

    async def write(self) -> None:
        """Write until no state is pending."""
        try:
            while self.pending:
                tokens, contents = [token for token, _ in self.pending], self.pending[-1][1]
                self.pending.clear()
                outcome = await self.loop.run_in_executor(self.thread, self.store.save, contents)
                synced = isinstance(outcome, Success)
                self.failure_reason = "" if synced else outcome.failure().text
                if not synced:
                    self.log_event(LogEvent(Event.STORE_FAILED, {"why": self.failure_reason}))
                for token in tokens:
                    self.on_persisted(Persisted(token, synced))
        finally:
            self.write_task = None

    def close(self) -> None:
        """Stop the thread after the write in flight, without waiting for it."""
        self.thread.shutdown(wait=False)
