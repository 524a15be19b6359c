"""Carries out what `CopyRepair` asks for: messages, and work on the store in the thread that writes it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from vetchusher import control
from vetchusher.control import Replica
from vetchusher.control.repair import (
    CopyRepair,
    FetchRows,
    Input,
    RepairCopy,
    RepairTiming,
    ReplicaStatus,
    RewriteRows,
    RowsFetched,
    ScanRows,
)
from vetchusher.control.state import state_stamp
from vetchusher.events import Event, LogEvent

from .context import NodeContext
from .persister import Persister

Work = ScanRows | FetchRows | RewriteRows | RepairCopy
MAX_PENDING = 8
REPAIR_MESSAGES = frozenset(("compare", "compared", "rows_asked", "rows_told"))


class RepairDriver:
    """Owner of one `CopyRepair`, and of its work in the store's thread: one piece at a time."""

    def __init__(
        self,
        context: NodeContext,
        replica: Replica,
        persister: Persister,
        feed: Callable[[control.Input], None],
        perform: Callable[[control.Send | LogEvent], None],
    ) -> None:
        """Begin with nothing to do.

        :param feed: hands an input to the replica
        :param perform: sends a message or logs an event
        """
        self.replica = replica
        self.persister = persister
        self.now = context.now
        self.feed = feed
        self.perform = perform
        self.repair = CopyRepair(context.own_ip, RepairTiming(), context.rng, context.now())
        self.pending: deque[Work] = deque()
        self.task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Tell the repair how the replica stands."""
        replica = self.replica
        stored_copy = self.persister.store.copy
        status = ReplicaStatus(
            replica.primary_ip,
            replica.is_leader(self.now()),
            state_stamp(replica.committed),
            stored_copy if replica.copy is not None else None,
            stored_copy.generation if stored_copy else None,
        )
        self.handle(status)

    def on_message(self, event: control.Received) -> None:
        """Take another machine's message about copies."""
        self.handle(event)

    def handle(self, event: Input) -> None:
        """Hand an input to the repair and carry out what it returns."""
        for output in self.repair.handle(self.now(), event):
            if isinstance(output, control.Send | LogEvent):
                self.perform(output)
            elif not isinstance(output, FetchRows) or len(self.pending) < MAX_PENDING:
                # Beyond the bound a question for rows is dropped: who asked gives up, and asks again.
                self.pending.append(output)
        if self.task is None and self.pending:
            self.task = self.persister.loop.create_task(self.work())

    async def work(self) -> None:
        """Carry out the pending work, one piece after another."""
        try:
            while self.pending:
                await self.run_in_store_thread(self.pending.popleft())
        finally:
            self.task = None

    async def run_in_store_thread(self, out: Work) -> None:
        """Carry out one piece of work. Safety: only the store's own thread may touch it while the process
        saves.
        """
        run, thread, store = self.persister.loop.run_in_executor, self.persister.thread, self.persister.store
        match out:
            case ScanRows():
                self.handle(await run(thread, store.scan))
            case FetchRows():
                self.handle(RowsFetched(out, await run(thread, store.read_leaves, out.stamp, out.leaves)))
            case RewriteRows():
                await run(thread, store.forget_rows)
                self.feed(control.CopyRepaired(None))
            case RepairCopy():
                state = await run(thread, store.repaired_state, out.stamp, out.leaves, out.rows, out.root)
                copy = self.replica.copy
                if state is not None and copy is not None and state_stamp(copy) == out.stamp:
                    self.feed(control.CopyRepaired(state))
                    facts = {"stamp": out.stamp, "leaves": len(out.leaves), "rows": len(out.rows)}
                    self.perform(LogEvent(Event.COPY_REPAIRED, facts))

    def close(self) -> None:
        """Cancel the work in flight."""
        if self.task is not None:
            self.task.cancel()
