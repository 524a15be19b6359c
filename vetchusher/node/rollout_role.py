"""The leader's role in roll-outs: it merges the reports of ingresses and commits decisions."""

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

    Every control node with a copy of the control state observes the committed roll-outs, so that the next
    leader knows when each of them began; only the leader decides.
    """

    def __init__(self, context: NodeContext, orders: OrderService) -> None:
        """Begin without roll-outs."""
        self.context = context
        self.orders = orders
        self.supervisor = Supervisor()
        self.committing: dict[str, asyncio.Task[None]] = {}  # by service
        self.logged_states: dict[
            str, tuple[int, int]
        ] = {}  # by service: number and state of its last log event

    def observe(self, rollouts: Iterable[wire.Rollout]) -> None:
        """Pass the committed roll-outs to the supervisor, and log those whose state has changed."""
        committed = list(rollouts)
        self.supervisor.observe(self.context.now(), committed)
        for rollout in committed:
            if self.logged_states.get(rollout.service) != (rollout.number, rollout.state):
                self.logged_states[rollout.service] = rollout.number, rollout.state
                facts = {
                    "service": rollout.service,
                    "version": rollout.target_version,
                    "number": rollout.number,
                }
                self.context.log_event(LogEvent(EVENT_OF[rollout.state], facts))

    def on_report(self, report: wire.RolloutReport) -> None:
        """Merge an ingress's report."""
        self.supervisor.on_report(self.context.now(), report)

    def tick(self, now: int) -> None:
        """Start to commit the decisions that are due; does nothing unless this machine leads."""
        if not self.orders.replica.is_leader(now):
            return
        for decision in self.supervisor.decide(now):
            task = self.committing.get(decision.service)
            if task is None or task.done():
                self.committing[decision.service] = self.context.loop.create_task(self.commit(decision))

    async def commit(self, decision: Decision) -> None:
        """Commit one decision; after a failure the supervisor makes it again at a later tick."""
        state = wire.RolloutState.Name(decision.state).lower()
        facts = {"service": decision.service, "state": state, "why": decision.reason}
        self.context.log_event(LogEvent(Event.ROLLOUT_DECIDED, {**facts}))
        order = control.RolloutDecision(decision.service, decision.number, decision.state)
        outcome = await self.orders.submit(order)
        if isinstance(outcome, Failure):
            why: dict[str, object] = {"service": decision.service, "why": outcome.failure().text}
            self.context.log_event(LogEvent(Event.OUTPUT_FAILED, why))
