"""The work of duties with etcd instead of our own voters: the same methods and actions."""

from __future__ import annotations

from typing import Any

from vetchusher import interface as api
from vetchusher.datagrams import SendDatagram

from .duties import Duties, Output
from .engine import EngineCall, EngineDuties
from .voter import Memory
from .work import DutiesWork


class EngineDutiesWork(DutiesWork):
    """Runs the duties of one process with an engine; log, report and operators' calls are inherited."""

    def begin(self, now: int) -> None:
        """Replace the duties that rely on voters, and schedule the first attempts."""
        voted = self.duties
        self.engine = EngineDuties(voted.plan, voted.number, voted.incarnation, voted.rng, voted.key)
        self.duties = _EngineBackedDuties(voted, self.engine)
        self.engine.begin(self.lease_clock(now))

    def all_to_actions(self, done: tuple[list[Output], list[EngineCall]]) -> list[api.Action]:
        """Convert log events and calls to the engine to actions."""
        timeout = self.engine.plan.timing.answer_timeout
        actions = self.to_actions(done[0])
        actions += [api.CallLeaseEngine(call.call, call.path, call.body, timeout) for call in done[1]]
        return actions

    def tick_duties(self, at: int, now: int) -> list[api.Action]:
        """Do what is due for the duties; see the base class."""
        return self.all_to_actions(self.engine.tick(at))

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]:
        """Process the engine's answer to a call, or None if it failed."""
        return self.all_to_actions(self.engine.receive_answer(self.lease_clock(now), call, tree))

    def stop(self, now: int) -> list[api.Action]:
        """Release all duties, as the process is about to end."""
        return self.all_to_actions(self.engine.stop(self.lease_clock(now)))

    def drain(self, now: int, free: bool) -> list[api.Action]:
        """Release all duties on an operator's order, and stand for none until the order is taken back."""
        return self.all_to_actions(self.engine.drain(self.lease_clock(now), free))

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]:
        """Refuse an operator's order to hand a duty over: the engine can't reserve a key for an ingress."""
        return "an engine's duty goes to whoever asks first: keep this ingress free instead", []

    def start_voting(self, now: int, memory: list[Memory | None] | None) -> None:
        """Do nothing: the engine grants the leases."""

    def stop_voting(self, now: int) -> list[Memory | None]:
        """Return an empty list: there is no voter whose memory could be handed over."""
        return []


class _EngineBackedDuties(Duties):
    """Stands in for `Duties` in the shared work, with tokens and rows that come from the engine."""

    def __init__(self, voted: Duties, engine: EngineDuties) -> None:
        """Create a stand-in for the duties that rely on voters."""
        super().__init__(voted.plan, voted.number, voted.incarnation, voted.rng, voted.key)
        self.engine = engine
        self.envelope = engine.envelope
        self.counters = engine.counters

    def token(self, now: int, duty: int) -> int | None:
        """Return the fencing token to act with now, or None.  It must be checked before each action."""
        return self.engine.token(now, duty)

    def status(self, now: int) -> list[dict[str, object]]:
        """Return a row for each duty."""
        return self.engine.status(now)

    def receive(self, now: int, received: Any, outputs: list[SendDatagram | Any]) -> None:
        """Count the message as unusable: there are no voters and candidates to receive it."""
        self.envelope.refuse("unreadable")

    def observe_token(self, duty: int, token: int) -> None:
        """Do nothing: revisions only grow, so the next term's token is greater anyway."""
