"""Run decision modules against models of outside systems in virtual time; a seed gives the same run.

Events and actions of the module are passed through unchanged.  The runtime's part (timers, deadlines of
counter calls, outcomes of attempts) is emulated here.  Every attempt succeeds after a random time,
because only admission is under test.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from vetchusher import interface as api
from vetchusher.emulator.faults import Script
from vetchusher.emulator.network import Cut, Datagrams
from vetchusher.emulator.outside.counter import Counter, Reply
from vetchusher.interface import Outcome
from vetchusher.policy import AdmissionPolicy

from .audit import Audit, Findings
from .demand import SECOND, Request, draw_requests, draw_tenants
from .deployments import FIRST, Deployment

START = 1_700_000_000 * SECOND
COUNTER_LATENCY_US = 400  # one way between an ingress and the counter


@dataclass(slots=True, frozen=True)
class Outage:
    """An ingress is killed and restarted without its state, under the same number (us since the start)."""

    ingress: int
    killed_at: int
    restarted_at: int


@dataclass(slots=True)
class Scene:
    """The size, the deployment and the faults of one run.

    :param firms: number of tenants
    :param length: duration in microseconds
    :param script: faults of the counter
    :param outages: restarts of ingresses
    :param cuts: partitions between ingresses
    :param clock_spread: difference (us) between the clocks of the first and the last ingress
    :param peers: whether ingresses exchange datagrams
    :param loss: ratio of lost datagrams
    :param wrong_views: whether each ingress is given a random view of the live ingresses every second
    """

    seed: int = 1
    ingresses: int = 3
    firms: int = 48
    length: int = 60 * SECOND
    script: Script | None = None
    counter_calls_per_s: float = 560.0
    outages: tuple[Outage, ...] = ()
    cuts: tuple[Cut, ...] = ()
    clock_spread: int = 0
    peers: bool = True
    loss: float = 0.07
    deployment: Deployment = FIRST
    wrong_views: bool = False


@dataclass(slots=True)
class Ingress:
    """One incarnation of an ingress: its decision module and its clock."""

    number: int
    policy: AdmissionPolicy
    clock_offset_us: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class RunResult:
    """The result of a run."""

    findings: Findings
    calls_each: float  # counter calls per request
    bytes_each: float  # bytes of peer datagrams per request
    log: tuple[tuple[int, int, str], ...]  # us since the start, ingress, line


class World:
    """Owns the ingresses, the models and the queue of pending events.  Times are us since the start."""

    def __init__(self, scene: Scene) -> None:
        """Draw the tenants and all requests of a run."""
        self.scene = scene
        self.rng = random.Random(scene.seed)
        self.counter = Counter(scene.script, scene.counter_calls_per_s)
        self.datagrams = Datagrams(random.Random(scene.seed + 1), scene.loss, partitions=scene.cuts)
        self.tenants = draw_tenants(self.rng, scene.firms, scene.ingresses, deployment=scene.deployment)
        self.requests = draw_requests(self.rng, self.tenants, scene.ingresses, scene.length, scene.deployment)
        self.audit = Audit(self.tenants)
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.last_event_number = 0
        self.ingresses: dict[int, Ingress] = {}
        self.last_incarnation = 0
        self.attempt_counts: dict[int, int] = {}
        self.waiting: dict[int, Request] = {}  # by request number: neither forwarded nor rejected yet
        self.submitted: dict[int, Request] = {}  # by request number: all of the run
        self.passed: list[Request] = []  # with the time at which each was forwarded
        self.log: list[tuple[int, int, str]] = []

    def at(self, at: int, action: Callable[[int], None]) -> None:
        """Call `action` at a time."""
        self.last_event_number += 1
        heapq.heappush(self.events, (at, self.last_event_number, action))

    def start(self, number: int, now: int) -> None:
        """Start the next incarnation of an ingress, with ten ready workers."""
        scene = self.scene
        self.last_incarnation += 1
        seed = scene.seed * 1_000 + self.last_incarnation
        policy = AdmissionPolicy(scene.deployment.settings(number, scene.ingresses, scene.peers), seed)
        policy.fleet.shedding.shed_ratio = (
            0.0  # disables load shedding after a start, which is not under test
        )
        clock_offset_us = scene.clock_spread * number // max(1, scene.ingresses - 1)
        self.ingresses[number] = Ingress(number, policy, clock_offset_us, self.last_incarnation)
        workers = [api.WorkerEntry(100 + i, api.WorkerState.READY) for i in range(10)]
        self.handle_event(number, now, api.FleetChanged(api.FleetKind.CACHED, 1, workers))

    def handle_event(self, number: int, now: int, event: api.Event, incarnation: int = 0) -> None:
        """Give an event to an ingress and perform its actions.

        :param incarnation: the event is dropped unless this incarnation runs; 0: any
        """
        ingress = self.ingresses.get(number)
        if ingress is None or (incarnation and ingress.incarnation != incarnation):
            return
        for action in ingress.policy.handle(START + now + ingress.clock_offset_us, event):
            self.carry(ingress, now, action)

    def schedule_event(self, ingress: Ingress, at: int, event: api.Event) -> None:
        """Give an event to the same incarnation of an ingress at a time."""
        number, incarnation = ingress.number, ingress.incarnation
        self.at(at, lambda now: self.handle_event(number, now, event, incarnation))

    def carry(self, ingress: Ingress, now: int, action: api.Action) -> None:
        """Perform one action of a decision module as the runtime would."""
        scene = self.scene
        if isinstance(action, api.Send):
            attempt = self.attempt_counts.get(action.request, 0)
            self.attempt_counts[action.request] = attempt + 1
            if (request := self.waiting.pop(action.request, None)) is not None:
                self.passed.append(replace(request, at=now))
                self.audit.record(self.passed[-1], True)
            duration_us = int(self.rng.gammavariate(3.0, 0.025) * SECOND)
            ended = api.AttemptEnded(action.request, attempt, action.worker, Outcome.OK, duration_us, True)
            if scene.deployment.estimate_cv and not attempt:
                ended.final_units = self.submitted[action.request].final_units
            self.schedule_event(ingress, now + duration_us, ended)
        elif isinstance(action, api.Refuse | api.Fail):
            if (request := self.waiting.pop(action.request, None)) is not None:
                self.audit.record(replace(request, at=now), False)
        elif isinstance(action, api.SetTimer):
            self.schedule_event(ingress, now + max(action.delay, 2_000), api.TimerFired(action.token))
        elif isinstance(action, api.Count):
            self.count(ingress, now, action)
        elif isinstance(action, api.SendDatagram):
            self.say(ingress, now, action)
        elif isinstance(action, api.Log):
            self.log.append((now, ingress.number, action.text))

    def count(self, ingress: Ingress, now: int, action: api.Count) -> None:
        """Call the counter; its answer times out after 50 ms."""
        deadline = now + 50_000

        def arrive(at: int) -> None:
            answer = self.counter.call(at, ingress.number, str(action.name), action.amount, action.lifetime)
            answered_at, outcome = answer.at + COUNTER_LATENCY_US, Outcome.OK
            if answer.reply is Reply.NOTHING or answered_at > deadline:
                answered_at, outcome = deadline, Outcome.TIMEOUT
            elif answer.reply is Reply.REJECTED:
                outcome = Outcome.REJECTED
            elif answer.reply is Reply.CORRUPTED:
                outcome = Outcome.ERROR
            total = answer.total if outcome is Outcome.OK else 0.0
            self.schedule_event(
                ingress, answered_at, api.CounterAnswered(action.name, outcome, answered_at - now, total)
            )

        self.at(now + COUNTER_LATENCY_US, arrive)

    def say(self, ingress: Ingress, now: int, action: api.SendDatagram) -> None:
        """Send a datagram to one peer or to all.

        :raises ValueError: if it is longer than 256 bytes
        """
        if len(action.data) > 256:
            raise ValueError(f"a datagram of {len(action.data)} bytes")
        message = api.PeerMessage(ingress.number, action.data)
        others = [n for n in range(self.scene.ingresses) if n != ingress.number]
        for number in others if action.peer is None else [action.peer]:
            at = self.datagrams.arrival(now, ingress.number, number, len(action.data))
            if at is not None:
                self.at(at, partial(self.deliver, number, message))

    def deliver(self, number: int, message: api.PeerMessage, now: int) -> None:
        """Deliver a datagram to an ingress."""
        self.handle_event(number, now, message)

    def send_random_live_views(self, now: int) -> None:
        """Give each ingress a random view of the live ones, worse than a failure detector's, every second."""
        numbers = range(self.scene.ingresses)
        for number in numbers:
            live = tuple(n for n in numbers if n == number or self.rng.random() < 0.5)
            self.handle_event(number, now, api.LiveGatewaysChanged(live))
        self.at(now + SECOND, self.send_random_live_views)

    def kill(self, number: int, now: int) -> None:
        """Stop an ingress and drop its state."""
        self.ingresses.pop(number, None)

    def submit(self, number: int, request: Request, now: int) -> None:
        """Send a request to its ingress, or to the first live one of its tenant's."""
        ingresses = [
            (request.firm.first_ingress + k) % self.scene.ingresses for k in range(request.firm.ingress_count)
        ]
        alive = [n for n in [request.ingress, *ingresses] if n in self.ingresses]
        if not alive:
            self.audit.record(request, False)
            return
        self.waiting[number] = self.submitted[number] = request
        event = api.RequestArrived(
            number,
            0,
            request.firm.plan_id,
            request.firm.customer,
            4_000_000,
            request.units,
            float(request.firm.ingress_count),
            float(request.firm.first_ingress),
        )
        self.handle_event(alive[0], now, event)

    def run(self) -> RunResult:
        """Run the scene, and 5 s more for the requests in flight."""
        scene = self.scene
        for number in range(scene.ingresses):
            self.at(0, partial(self.start, number))
        if scene.wrong_views:
            self.at(SECOND, self.send_random_live_views)
        for outage in scene.outages:
            self.at(outage.killed_at, partial(self.kill, outage.ingress))
            self.at(outage.restarted_at, partial(self.start, outage.ingress))
        for number, request in enumerate(self.requests, 1):
            self.at(request.at, partial(self.submit, number, request))
        while self.events and self.events[0][0] < scene.length + 5 * SECOND:
            now, _, action = heapq.heappop(self.events)
            action(now)
        request_count = max(1, len(self.requests))
        return RunResult(
            self.audit.findings(scene.length),
            self.counter.call_count / request_count,
            self.datagrams.byte_count / request_count,
            tuple(self.log),
        )
