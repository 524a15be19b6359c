"""Carries out what `Repair` asks for: messages, and work on the store in the thread that writes it."""

from __future__ import annotations

import asyncio
import random
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

from .persister import Persister

Work = ScanRows | FetchRows | RewriteRows | RepairCopy
MAX_PENDING = 8
REPAIR_MESSAGES = frozenset(("compare", "compared", "rows_asked", "rows_told"))


class RepairDriver:
    """Owner of one `Repair`, and of its work under way in the store's thread: one piece at a time."""

    def __init__(
        self,
        own_ip: str,
        replica: Replica,
        persister: Persister,
        rng: random.Random,
        now: Callable[[], int],
        feed: Callable[[control.Input], None],
        perform: Callable[[control.Send | LogEvent], None],
    ) -> None:
        """:param feed: takes inputs of the control state; `carry`: what it would have sent or noted"""
        self.replica, self.persister, self.now, self.feed, self.perform = (
            replica,
            persister,
            now,
            feed,
            perform,
        )
        self.repair = CopyRepair(own_ip, RepairTiming(), rng, now())
        self.pending: deque[Work] = deque()
        self.task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        member = self.replica
        stored_copy = self.persister.store.copy
        copy = stored_copy if member.copy is not None else None
        leads = member.is_leader(self.now())
        self.handle(
            ReplicaStatus(
                member.primary_ip,
                leads,
                state_stamp(member.committed),
                copy,
                stored_copy.generation if stored_copy else None,
            )
        )

    def on_message(self, event: control.Received) -> None:
        self.handle(event)

    def handle(self, event: Input) -> None:
        for out in self.repair.handle(self.now(), event):
            if isinstance(out, control.Send | LogEvent):
                self.perform(out)
            elif (
                not isinstance(out, FetchRows) or len(self.pending) < MAX_PENDING
            ):  # who asked gives up, and asks
                self.pending.append(out)
        if self.task is None and self.pending:
            self.task = self.persister.loop.create_task(self.work())

    async def work(self) -> None:
        try:
            while self.pending:
                await self.run_in_store_thread(self.pending.popleft())
        finally:
            self.task = None

    async def run_in_store_thread(self, out: Work) -> None:
        """Danger: only the store's own thread may touch it while the process saves."""
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
        if self.task is not None:
            self.task.cancel()
