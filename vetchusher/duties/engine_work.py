"""`Work` over an outside engine instead of our own voters: the same calls, effects and rules."""

from __future__ import annotations

from typing import Any

from vetchusher import interface as api
from vetchusher.datagrams import SendDatagram

from .duties import Act, Duties
from .engine import Ask, EngineDuties
from .voter import Memory
from .work import Work


class EngineWork(Work):
    """What is said of terms, reports and operators' calls is `Work`'s own; who holds is the engine's word."""

    def begin(self, now: int) -> None:
        made = self.duties
        self.engine = EngineDuties(made.plan, made.number, made.life, made.rng, made.key)
        self.duties = _Shown(made, self.engine)
        self.engine.begin(self.lease_clock(now))

    def both(self, done: tuple[list[Act], list[Ask]]) -> list[api.Action]:
        patience = self.engine.plan.timing.patience
        out = self.carried(done[0])
        out += [api.AskEngine(ask.call, ask.path, ask.body, patience) for ask in done[1]]
        return out

    def turn(self, at: int, now: int) -> list[api.Action]:
        return self.both(self.engine.tick(at))

    def engine_answered(self, now: int, call: int, tree: dict[str, Any] | None) -> list[api.Action]:
        return self.both(self.engine.answered(self.lease_clock(now), call, tree))

    def stop(self, now: int) -> list[api.Action]:
        return self.both(self.engine.stop(self.lease_clock(now)))

    def keep_free(self, now: int, free: bool) -> list[api.Action]:
        return self.both(self.engine.keep_free(self.lease_clock(now), free))

    def move(self, now: int, name: str, to: int) -> tuple[str, list[api.Action]]:
        return "an engine's duty goes to whoever asks first: keep this ingress free instead", []

    def vote(self, now: int, memory: list[Memory | None] | None) -> None:
        """The engine votes."""

    def retire(self, now: int) -> list[Memory | None]:
        return []


class _Shown(Duties):
    """The engine's view in the place of our voters': tokens and rows come from there."""

    def __init__(self, made: Duties, engine: EngineDuties) -> None:
        super().__init__(made.plan, made.number, made.life, made.rng, made.key)
        self.engine = engine
        self.envelope = engine.envelope
        self.figures = engine.figures

    def token(self, now: int, duty: int) -> int | None:
        return self.engine.token(now, duty)

    def shown(self, now: int) -> list[dict[str, object]]:
        return self.engine.shown(now)

    def receive(self, now: int, received: Any, acts: list[SendDatagram | Any]) -> None:
        self.envelope.refuse("unreadable")  # nobody votes here

    def outbid(self, duty: int, token: int) -> None:
        """Revisions only grow: the next term is above it by itself."""
