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

from .persistence import Persister

Work = ScanRows | FetchRows | RewriteRows | RepairCopy
MOST_WAITING = 8
LETTERS = frozenset(("compare", "compared", "rows_asked", "rows_told"))


class RepairDriver:
    """Owner of one `Repair`, and of its work under way in the store's thread: one piece at a time."""

    def __init__(
        self,
        me: str,
        member: Replica,
        saving: Persister,
        rng: random.Random,
        now: Callable[[], int],
        feed: Callable[[control.Input], None],
        carry: Callable[[control.Send | LogEvent], None],
    ) -> None:
        """:param feed: takes inputs of the control state; `carry`: what it would have sent or noted"""
        self.member, self.saving, self.now, self.feed, self.carry = member, saving, now, feed, carry
        self.repair = CopyRepair(me, RepairTiming(), rng, now())
        self.waiting: deque[Work] = deque()
        self.task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        member = self.member
        kept = self.saving.store.copy
        copy = kept if member.copy is not None else None
        leads = member.is_leader(self.now())
        self.take(
            ReplicaStatus(
                member.primary_ip,
                leads,
                state_stamp(member.committed),
                copy,
                kept.generation if kept else None,
            )
        )

    def heard(self, event: control.Received) -> None:
        self.take(event)

    def take(self, event: Input) -> None:
        for out in self.repair.handle(self.now(), event):
            if isinstance(out, control.Send | LogEvent):
                self.carry(out)
            elif (
                not isinstance(out, FetchRows) or len(self.waiting) < MOST_WAITING
            ):  # who asked gives up, and asks
                self.waiting.append(out)
        if self.task is None and self.waiting:
            self.task = self.saving.loop.create_task(self.work())

    async def work(self) -> None:
        try:
            while self.waiting:
                await self.do(self.waiting.popleft())
        finally:
            self.task = None

    async def do(self, out: Work) -> None:
        """Danger: only the store's own thread may touch it while the process saves."""
        run, thread, store = self.saving.loop.run_in_executor, self.saving.thread, self.saving.store
        match out:
            case ScanRows():
                self.take(await run(thread, store.scan))
            case FetchRows():
                self.take(RowsFetched(out, await run(thread, store.read_leaves, out.stamp, out.leaves)))
            case RewriteRows():
                await run(thread, store.forget_rows)
                self.feed(control.CopyRepaired(None))
            case RepairCopy():
                state = await run(thread, store.repaired_state, out.stamp, out.leaves, out.rows, out.root)
                held = self.member.copy
                if state is not None and held is not None and state_stamp(held) == out.stamp:
                    self.feed(control.CopyRepaired(state))
                    facts = {"stamp": out.stamp, "leaves": len(out.leaves), "rows": len(out.rows)}
                    self.carry(LogEvent(Event.COPY_MENDED, facts))

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
