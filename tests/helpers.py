"""A gateway under test: one policy, a clock, and what it did."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from vetchusher import AdmissionPolicy
from vetchusher import interface as api
from vetchusher.interface import Effect, FleetKind, Outcome, Scope, WorkerState

SECOND = 1_000_000
SAFE = api.RequestClass(Effect.SAFE, Scope.ALL, SECOND, 4 * SECOND, 0, 1.0, 0.0)
KEYED = api.RequestClass(Effect.KEYED, Scope.ALL, SECOND, 4 * SECOND, 4 * SECOND, 1.0, 0.0)
ZONED = replace(KEYED, scope=Scope.ZONE)
CELLED = replace(KEYED, scope=Scope.CELL)
UNSAFE = api.RequestClass(Effect.UNSAFE, Scope.ALL, SECOND, 4 * SECOND, 0, 1.0, 0.0)
STREAM = replace(SAFE, stream=True)
PLAN = api.Plan(5.0, 20.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
NO_RATE = replace(PLAN, rate=0.0, burst=0.0)
OPEN_ONLY = replace(NO_RATE, open_limit=4)
CEILING = replace(PLAN, rate=50.0, burst=200.0, ceiling_rate=4.0, ceiling_burst=20.0, ceiling_slack=2.0)
SETTINGS = api.Settings(
    index=0,
    gateways=2,
    zone=0,
    classes=(SAFE, KEYED, UNSAFE, ZONED, CELLED, STREAM),
    plans=(PLAN, NO_RATE, OPEN_ONLY, CEILING),
    load_fields=("inflight",),
    counter=True,
    max_attempts=4,
    may_duplicate=True,
    may_cancel=True,
    cold_from=0.3,
    cold_time=10 * SECOND,
    fall_multiple=2.0,
    fall_time=SECOND,
)
START = 1_000 * SECOND


class Gate:
    def __init__(self, settings: api.Settings = SETTINGS, seed: int = 1, workers: int = 8, now: int = START):
        self.policy = AdmissionPolicy(settings, seed)
        self.policy.fleet.shedding.shed = 0.0  # past its first seconds
        self.now = now
        self.next_id = 1
        self.timers: list[tuple[int, int]] = []
        self.calls: list[api.Count] = []
        self.sends: list[api.Send] = []
        self.acts: list[Any] = []
        self.attempts: dict[int, int] = {}
        self.do(api.FleetChanged(FleetKind.CACHED, 1, [self.entry(i) for i in range(workers)]))

    @staticmethod
    def entry(i: int, state: WorkerState = WorkerState.READY, started: int = 0) -> api.WorkerEntry:
        return api.WorkerEntry(100 + i, state, zone=i % 2, cell=i % 4, started_at=started)

    def do(self, event: Any) -> list[Any]:
        acts = self.policy.handle(self.now, event)
        for act in acts:
            if isinstance(act, api.SetTimer):
                self.timers.append((self.now + act.delay, act.token))
            elif isinstance(act, api.Count):
                self.calls.append(act)
            elif isinstance(act, api.Send):
                self.sends.append(act)
                self.attempts[act.request] = self.attempts.get(act.request, 0) + 1
        self.acts += acts
        return acts

    def ask(self, **given: Any) -> tuple[int, list[Any]]:
        rid, self.next_id = self.next_id, self.next_id + 1
        fields = {
            "class_id": 0,
            "plan_id": 0,
            "customer": 7,
            "time_left": 4 * SECOND,
            "units": 1.0,
            "doors": 2.0,
        }
        return rid, self.do(api.RequestArrived(rid, **{**fields, **given}))

    def passes(self, **given: Any) -> bool:
        return any(isinstance(a, api.Send) for a in self.ask(**given)[1])

    def end(self, send: api.Send, outcome: int = Outcome.OK, latency: int = 50_000, over: bool | None = None):
        number = self.attempts[send.request] - 1
        done = outcome == Outcome.OK if over is None else over
        return self.do(api.AttemptEnded(send.request, number, send.worker, outcome, latency, done))

    def advance(self, span: int) -> None:
        """Let time pass, firing timers in order."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.do(api.TimerFired(token))
        self.now = end

    def count(self, call: api.Count, total: float = 0.0, outcome: int = Outcome.OK) -> list[Any]:
        self.calls.remove(call)
        return self.do(api.CounterAnswered(call.name, outcome, 1_000, total))

    def settle_reads(self) -> None:
        for call in list(self.calls):
            self.count(call, call.amount)


class CounterService:
    """The shared counter, as the deployment describes it."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}

    def serve(self, *gates: Gate) -> None:
        for gate in gates:
            while gate.calls:
                call = gate.calls[0]
                total = self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
                gate.count(call, total)


def kinds(acts: list[Any]) -> set[type]:
    return {type(a) for a in acts}
