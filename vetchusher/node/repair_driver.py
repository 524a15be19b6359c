"""Executes the outputs of `CopyRepair`: sends messages, and accesses the store in the persister's thread."""

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

StoreAccess = ScanRows | FetchRows | RewriteRows | RepairCopy
MAX_PENDING = 8
REPAIR_MESSAGES = frozenset(("compare", "compared", "rows_asked", "rows_told"))


class RepairDriver:
    """Owner of one `CopyRepair` and of its pending store accesses, which are executed one at a time."""

    def __init__(
        self,
        context: NodeContext,
        replica: Replica,
        persister: Persister,
        feed: Callable[[control.Input], None],
        perform: Callable[[control.Send | LogEvent], None],
    ) -> None:
        """Begin with nothing pending.

        :param feed: passes an input to the replica
        :param perform: sends a message or logs an event
        """
        self.replica = replica
        self.persister = persister
        self.now = context.now
        self.feed = feed
        self.perform = perform
        self.repair = CopyRepair(context.own_ip, RepairTiming(), context.rng, context.now())
        self.pending: deque[StoreAccess] = deque()
        self.task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Pass the replica's current status to the repair."""
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
        """Pass another machine's message about copies to the repair."""
        self.handle(event)

    def handle(self, event: Input) -> None:
        """Pass an input to the repair, execute messages and log events, and queue store accesses."""
        for output in self.repair.handle(self.now(), event):
            if isinstance(output, control.Send | LogEvent):
                self.perform(output)
            elif not isinstance(output, FetchRows) or len(self.pending) < MAX_PENDING:
                # A `FetchRows` beyond the bound is dropped: the machine that requested the rows times out
                # and retries.
                self.pending.append(output)
        if self.task is None and self.pending:
            self.task = self.persister.loop.create_task(self.run_pending())

    async def run_pending(self) -> None:
        """Execute the pending store accesses one after another."""
        try:
            while self.pending:
                await self.run_in_store_thread(self.pending.popleft())
        finally:
            self.task = None

    async def run_in_store_thread(self, out: StoreAccess) -> None:
        """Execute one store access and pass its result on.

        Safety: it runs in the persister's thread, as only one thread at a time may use the store.
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
        """Cancel the task that executes store accesses, if it runs."""
        if self.task is not None:
            self.task.cancel()
