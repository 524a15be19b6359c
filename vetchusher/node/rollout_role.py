"""The role of the control node that leads in roll-outs: it merges reports, and has decisions committed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from returns.result import Failure

from vetchusher import control
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent
from vetchusher.rollout.supervisor import Decision, Supervisor

from .context import NodeContext
from .order_service import OrderService

EVENT_OF = {
    wire.IN_PROGRESS: Event.ROLLOUT_BEGAN,
    wire.PROMOTING: Event.ROLLOUT_PROMOTED,
    wire.COMPLETED: Event.ROLLOUT_COMPLETED,
    wire.REVERTED: Event.ROLLOUT_REVERTED,
}


class RolloutRole:
    """Owner of the supervisor, and of the decisions that are being committed.

    Every control node with a copy observes what is committed, so that whoever leads next knows when a
    roll-out began; only the one that leads decides.
    """

    def __init__(self, context: NodeContext, orders: OrderService) -> None:
        """Begin without roll-outs."""
        self.context = context
        self.orders = orders
        self.supervisor = Supervisor()
        self.committing: dict[str, asyncio.Task[None]] = {}  # by service
        self.logged: dict[str, tuple[int, int]] = {}  # by service: number and state that were logged

    def observe(self, rollouts: Iterable[wire.Rollout]) -> None:
        """Take the committed roll-outs."""
        committed = list(rollouts)
        self.supervisor.observe(self.context.now(), committed)
        for one in committed:
            if self.logged.get(one.service) != (one.number, one.state):
                self.logged[one.service] = one.number, one.state
                facts = {"service": one.service, "version": one.target_version, "number": one.number}
                self.context.log_event(LogEvent(EVENT_OF[one.state], facts))

    def on_report(self, report: wire.RolloutReport) -> None:
        """Merge what an ingress has seen."""
        self.supervisor.on_report(self.context.now(), report)

    def tick(self, now: int) -> None:
        """Have the decisions committed that are due, while this machine leads."""
        if not self.orders.replica.is_leader(now):
            return
        for decision in self.supervisor.decide(now):
            task = self.committing.get(decision.service)
            if task is None or task.done():
                self.committing[decision.service] = self.context.loop.create_task(self.commit(decision))

    async def commit(self, decision: Decision) -> None:
        """Commit one decision; if that fails it is decided again."""
        state = wire.RolloutState.Name(decision.state).lower()
        facts = {"service": decision.service, "state": state, "why": decision.reason}
        self.context.log_event(LogEvent(Event.ROLLOUT_DECIDED, {**facts}))
        order = control.RolloutDecision(decision.service, decision.number, decision.state)
        outcome = await self.orders.submit(order)
        if isinstance(outcome, Failure):
            why: dict[str, object] = {"service": decision.service, "why": outcome.failure().text}
            self.context.log_event(LogEvent(Event.OUTPUT_FAILED, why))
