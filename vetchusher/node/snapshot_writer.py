"""Keeps snapshots of the published sources on disk, off the loop, so that a loss of power loses none of
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from concurrent.futures import Executor

from returns.result import Failure, Success

from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.distribution.source import Source
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.events import Event, LogEvent

from .context import NodeContext

WRITE_PAUSE_S = 0.25  # between two writes
RETRY_PAUSE_S = 1.0  # after a write that the disk refused


class SnapshotWriter:
    """Owner of the stamps that are on disk, and of the write in flight."""

    def __init__(
        self,
        context: NodeContext,
        store: SnapshotStore,
        sources: Mapping[str, Source],
        executor: Executor,
    ) -> None:
        """Load what is on disk into the sources.

        :param executor: runs one write at a time
        """
        self.context = context
        self.store = store
        self.sources = sources
        self.executor = executor
        self.persisted_stamps: dict[str, StampTuple] = {}
        self.task: asyncio.Task[None] | None = None
        match store.load(sources):
            case Success(names):
                self.persisted_stamps = {name: sources[name].stamp for name in names}
            case Failure(error):
                context.log_event(LogEvent(Event.STORE_FAILED, {"why": error.text}))

    def tick(self) -> None:
        """Begin to write the sources that have grown, unless a write is in flight."""
        if self.task is not None and not self.task.done():
            return
        due = [
            source
            for name, source in self.sources.items()
            if source.stamp > self.persisted_stamps.get(name, ZERO_STAMP)
        ]
        if due:
            self.task = self.context.loop.create_task(self.persist_snapshots(due))

    async def persist_snapshots(self, due: list[Source]) -> None:
        """Write what is new of each source; after a write that the disk refused comes a longer pause."""
        for source in due:
            update = source.update_since(self.persisted_stamps.get(source.name, ZERO_STAMP))
            if update is None:
                continue
            outcome = await self.context.loop.run_in_executor(self.executor, self.store.save, update)
            if isinstance(outcome, Failure):
                self.context.log_event(LogEvent(Event.STORE_FAILED, {"why": outcome.failure().text}))
                self.persisted_stamps.pop(source.name, None)  # all rows, when it is tried again
                await asyncio.sleep(RETRY_PAUSE_S)
                return
            self.persisted_stamps[source.name] = (update.stamp.epoch, update.stamp.seq)
        await asyncio.sleep(WRITE_PAUSE_S)
