"""Writes snapshots of the published sources to disk in a thread, so that they survive a loss of power."""

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

WRITE_PAUSE_S = 0.25  # pause after a round of writes
RETRY_PAUSE_S = 1.0  # pause after a failed write


class SnapshotWriter:
    """Owner of the stamps of the sources on disk, and of the write in flight."""

    def __init__(
        self,
        context: NodeContext,
        store: SnapshotStore,
        sources: Mapping[str, Source],
        executor: Executor,
    ) -> None:
        """Load the snapshots on disk into the sources.

        :param executor: executes the writes, one at a time
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
        """Start to write the sources that have changed since their last write, unless one is in flight."""
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
        """Write the changes of each source, then pause; after a failed write stop, and pause longer."""
        for source in due:
            update = source.update_since(self.persisted_stamps.get(source.name, ZERO_STAMP))
            if update is None:
                continue
            outcome = await self.context.loop.run_in_executor(self.executor, self.store.save, update)
            if isinstance(outcome, Failure):
                self.context.log_event(LogEvent(Event.STORE_FAILED, {"why": outcome.failure().text}))
                self.persisted_stamps.pop(source.name, None)  # the next attempt writes all rows
                await asyncio.sleep(RETRY_PAUSE_S)
                return
            self.persisted_stamps[source.name] = (update.stamp.epoch, update.stamp.seq)
        await asyncio.sleep(WRITE_PAUSE_S)
