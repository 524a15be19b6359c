"""Which worker a request goes to: health, load and what a cold one may be sent."""

from __future__ import annotations

import random

from vetchusher import interface as api
from vetchusher.fleet import SHED_SPAN, Shedding, holders, slowstart, subset, turn, widen
from vetchusher.interface import Actions, FleetKind, Outcome, RequestClass, WorkerState
from vetchusher.state import Job, Kind, Logbook, Worker

from .moves import may_send

# Tuned values: routing and health
FIRST_GUESS_PART = 0.15  # of a class's aim: latency assumed before any answer
LATENCY_GAIN, SLOWNESS_GAIN = 0.05, 0.1  # weight of the newest answer: class and kind, and worker
CHOICES = 16  # workers looked at when two were no good: a whole fleet is too many
REPORT_US = 1_500_000  # us after which a load report says nothing
UTIL_HELD = 3.0  # requests held that a fully busy worker is taken to have, where only busyness is told
FAILS_TO_EJECT, EJECT_US = 3, 2_000_000  # failures in a row, one may be chance; us of rest
ERRORS_RARE, ERROR_GAIN = 0.15, 0.02  # share of errors below which one tells; weight of the newest attempt
RESTS_MOST = 3  # times a rest doubles
EJECT_MOST = 0.5  # of the ready workers: ejecting more would bury the rest
CONNECT_GAIN, LEAN_MOST = 0.2, 0.85  # weight of the newest connect; the rest tells when they work again
SHUT_US, SHUT_MOST = 250_000, 5  # us of rest after a refused connect, and the times it doubles
# Overload
LIMIT_FIRST = 8.0  # requests out at one worker from all gateways: a guess that no worker size makes a jam
LIMIT_LEAST, LIMIT_MOST = 0.2, 64.0  # the same from here
LIMIT_GOOD, LIMIT_BAD = 0.17, 0.27  # of the aim: an answer below raises the limit, above cuts it
BUSY_CUT = 0.93  # busy share: a worker driven at full has no room for chance
LIMIT_CUT, LIMIT_PAUSE_US = 0.7, 200_000  # factor of a cut, and us between two: one jam is one cut
PROMPT_PART = 0.1  # of the aim: a full queue turns away sooner than this


def prompt(event: api.AttemptEnded, spec: RequestClass) -> bool:
    """Whether a worker said at once that it is full.  Danger: one that takes long to say so has room and
    turns away one plan or class only; taken for a jam, it would be lost to all the others."""
    return event.latency < PROMPT_PART * spec.aim


class Fleet:
    """What is known of the workers, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random, log: Logbook) -> None:
        self.settings = settings
        self.random = rng
        self.log = log
        self.workers: dict[int, Worker] = {}
        self.ready: list[Worker] = []
        self.kinds: dict[int, Kind] = {}
        self.near: list[Worker] = []  # the ready ones that this gateway prefers
        self.wide = 1  # slices of the fleet that this gateway prefers
        self.holders = settings.gateways  # gateways that prefer a worker
        self.cold_until = 0  # some worker may be cold until then
        self.errors = 0.0  # share of attempts that end with an error
        self.resting = 0  # ready workers ejected or on trial
        self.links: list[Worker] = []  # with a connection open from here
        self.light: Worker | None = None  # the last told to hold less than the mean, until the next choice
        self.held = 0.0  # mean that reports tell of others' requests at a worker
        self.refused = 0.0  # share of new connections that were refused, over all workers
        self.means = [c.aim * FIRST_GUESS_PART for c in settings.classes]
        self.shedding = Shedding(settings.gateways)

    def changed(self, now: int, event: api.FleetChanged) -> None:
        if event.kind == FleetKind.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.worker)
            worker = self.workers.get(entry.worker)
            if worker is None:
                kind = self.kinds.setdefault(entry.kind, Kind())
                worker = Worker(entry.worker, entry.zone, entry.cell, kind, 0.0)
                self.workers[entry.worker] = worker
            worker.zone, worker.cell = entry.zone, entry.cell
            worker.ready = entry.state == WorkerState.READY  # drains: nothing new from this instant
            if entry.started_at > worker.started_at:
                worker.started_at, worker.cold_until = entry.started_at, 0
        if event.kind != FleetKind.DELTA:
            for worker in self.workers.values():
                worker.ready = worker.ready and worker.id in named
        self.ready = [w for w in self.workers.values() if w.ready]
        self.settle()
        self.resting = sum(w.on_trial for w in self.ready)
        # Danger: fleets are replaced for ever; attempts still out hold their own reference.
        gone = {e.worker for e in event.entries if e.state == WorkerState.GONE}
        stays = self.workers.keys() - gone if event.kind == FleetKind.DELTA else named - gone
        self.workers = {w.id: w for w in self.workers.values() if w.id in stays}
        for worker in self.links:
            worker.linked = worker.ready
        self.links = [w for w in self.links if w.ready]

    def settle(self) -> None:
        """After a change: whom this gateway prefers, first limits, and the parts of cold workers' budgets."""
        rules, n = self.settings, len(self.ready)
        preferred = subset((w.id for w in self.ready), rules.index, rules.gateways)
        # Danger: both sides of a cut think the other dead.  Cold workers go by the settings' parts alone.
        wider = preferred
        if self.wide > 1:
            wider = subset((w.id for w in self.ready), rules.index, rules.gateways, self.wide)
        self.near = [w for w in self.ready if w.id in wider]
        self.holders, mine = holders(n, rules.gateways), turn(rules.index, n, rules.gateways)
        work = slowstart.work_of(max(self.means), rules.classes)
        for worker in self.workers.values():
            worker.near = worker.id in preferred
            if worker.started_at and not worker.cold_until:
                slowstart.begin(worker, work, rules, self.holders, mine)
                self.cold_until = max(self.cold_until, worker.cold_until)
            worker.limit = worker.limit or max(LIMIT_LEAST, LIMIT_FIRST / self.holders)

    def seen(self, living: int) -> None:
        """So many gateways serve: the others' workers are preferred by these as well."""
        wide = widen(self.wide, living, self.settings.gateways)
        if wide != self.wide:
            self.wide = wide
            self.settle()

    def open(self, now: int, worker: Worker, usage: float) -> bool:
        """Whether a worker may take one more request now."""
        if now < worker.ejected_until or now < worker.closed_until:
            return False
        if now < worker.cold_until and (now < worker.cold_next or not worker.near):
            return False
        if (worker.on_trial and worker.out) or worker.linked_until <= now < worker.shut_until:
            return False
        bound = worker.limit * (1.0 - SHED_SPAN * min(1.0, usage))
        if bound >= 1.0:
            return worker.out < bound
        # Below one, rests make up the fraction: one each from many gateways may already be a jam.
        return worker.out == 0 and now - worker.ended_at >= (1.0 / bound - 1.0) * self.means[0]

    def cost(self, now: int, worker: Worker) -> float:
        others = worker.others if now - worker.report_at < REPORT_US else self.held
        return worker.kind.slow * worker.slow * (1.0 + worker.out + others)

    def choose(self, now: int, job: Job, usage: float) -> Worker | None:
        """The cheaper of two random workers; if neither may take it, the cheapest of a few that may."""
        near, pick = self.near, self.random.random
        if not (n := len(near)):
            return None
        pair = [near[int(pick() * n)], near[int(pick() * n)]]
        # Danger: at hundreds of gateways no report of two random workers is fresh, and chance jams some.  The
        # last one told to hold little joins them, once: used until its next report it would be overrun.
        if self.light is not None and self.light.ready and now - self.light.report_at < REPORT_US:
            pair.append(self.light)
        self.light = None
        cold = slowstart.next_cold(now, near) if now < self.cold_until else []
        links = self.linked(now) if pick() < min(LEAN_MOST, self.refused) else []
        for some in (cold, links, pair, near, self.ready):
            if len(some) > CHOICES and not job.attempts:  # a keyed repeat may go to few of them
                start = int(pick() * len(some))
                some = [some[(start + i) % len(some)] for i in range(CHOICES)]
            if fit := [w for w in some if self.open(now, w, usage) and may_send(now, job, w)]:
                return min(fit, key=lambda w: self.cost(now, w))
        return None

    def linked(self, now: int) -> list[Worker]:
        """Exception.  Danger: new connections fail nearly everywhere while open ones work; drawn by chance
        among many workers, each request is lost to refused connects.  So connected workers go first, others
        get what these cannot take and a few first looks.  Also for full connection tables, hung listeners,
        lost routes for new flows.  Harm: few workers take the load here; bounds and lateness limit it."""
        some = []
        for _ in range(min(CHOICES, len(self.links))):
            at = int(self.random.random() * len(self.links))
            worker = self.links[at]
            if worker.ready and now < worker.linked_until:
                some.append(worker)
            else:
                worker.linked = False
                self.links[at] = self.links[-1]
                self.links.pop()
        return some

    def connected(self, now: int, worker: Worker, outcome: int) -> None:
        """What an ended attempt tells of connections; a time-out tells nothing."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            if now >= worker.linked_until:
                self.refused -= CONNECT_GAIN * self.refused
            worker.linked_until, worker.shut = now + self.settings.connection_idle, 0
            if not worker.linked and worker.ready:
                worker.linked = True
                self.links.append(worker)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            worker.linked_until = 0
        if outcome == Outcome.CONNECT_FAILED:
            worker.shut_until = now + (SHUT_US << worker.shut)
            worker.shut = min(SHUT_MOST, worker.shut + 1)
            self.refused += CONNECT_GAIN * (1.0 - self.refused)

    def sent(self, now: int, worker: Worker, class_id: int) -> None:
        worker.out += 1
        if now < worker.cold_until:
            work = slowstart.work_of(max(self.means[class_id], self.means[0]), self.settings.classes)
            pause = slowstart.pause(now, worker.started_at, work, self.settings, self.holders)
            worker.cold_next = max(now, worker.cold_next) + pause

    def ended(self, now: int, worker: Worker, job: Job, event: api.AttemptEnded, acts: Actions) -> None:
        worker.out -= 1
        worker.ended_at = now
        outcome = event.outcome
        self.errors += ERROR_GAIN * ((outcome == Outcome.ERROR) - self.errors)
        self.connected(now, worker, outcome)
        if event.load:
            self.reported(now, worker, event.load)
        if outcome == Outcome.OK:
            self.served(now, worker, job, event.latency)
        elif outcome == Outcome.FULL and prompt(event, job.spec):
            self.cut(now, worker)
            # Danger: where lists come late, those that drain are asked again and again.
            if worker.turned_away:
                worker.closed_until = now + (SHUT_US << min(SHUT_MOST, worker.turned_away))
            worker.turned_away += 1
        elif outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET):
            if outcome == Outcome.TIMEOUT:
                self.cut(now, worker)
            self.failed(now, worker, outcome == Outcome.ERROR, acts)

    def served(self, now: int, worker: Worker, job: Job, latency: int) -> None:
        mean = self.means[job.class_id]
        ratio = min(latency / mean, 8.0)
        worker.slow += SLOWNESS_GAIN * (ratio / worker.kind.slow - worker.slow)
        worker.kind.slow += LATENCY_GAIN * (ratio - worker.kind.slow)
        self.means[job.class_id] = mean + LATENCY_GAIN * (latency - mean)
        worker.fails = worker.turned_away = 0
        self.resting -= worker.on_trial
        worker.on_trial = False
        if latency > job.spec.aim * LIMIT_BAD:
            self.cut(now, worker)
        elif latency < job.spec.aim * LIMIT_GOOD and worker.out + 1 >= worker.limit * 0.5:
            worker.limit = min(LIMIT_MOST, worker.limit + 1.0 / max(1.0, worker.limit))

    def cut(self, now: int, worker: Worker) -> None:
        if now - worker.cut_at > LIMIT_PAUSE_US:
            worker.cut_at = now
            worker.limit = max(LIMIT_LEAST, worker.limit * LIMIT_CUT)

    def failed(self, now: int, worker: Worker, error: bool, acts: Actions) -> None:
        """Outlier ejection: whatever the cause, a worker that only fails gets a rest.  Danger: behind many
        gateways each meets it once in seconds; where errors are rare, one is no chance."""
        worker.fails += 1
        enough = 1 if error and self.errors < ERRORS_RARE else FAILS_TO_EJECT
        if now < worker.ejected_until or (worker.fails < enough and not worker.on_trial):
            return
        if not worker.on_trial and self.resting + 1 > EJECT_MOST * len(self.ready):
            return
        self.resting += not worker.on_trial
        worker.rests = min(RESTS_MOST, worker.rests + 1) if now < worker.ejected_until + 5 * EJECT_US else 0
        worker.ejected_until, worker.on_trial, worker.fails = now + (EJECT_US << worker.rests), True, 0
        self.log.add(now, acts, "eject", f"worker {worker.id:#x} ejected after failures in a row")

    def reported(self, now: int, worker: Worker, load: tuple[float, ...]) -> None:
        told = dict(zip(self.settings.load_fields, load, strict=False))
        busy = told.get("busy", 0.0)
        if busy > BUSY_CUT and told.get("queue", 1.0) >= 1.0:
            self.cut(now, worker)
        held = told.get("inflight", told.get("queue", 0.0) + UTIL_HELD * min(1.0, busy))
        worker.others = max(0.0, held - worker.out)
        self.held += LATENCY_GAIN * (worker.others - self.held)
        worker.report_at = now
        if worker.others < self.held:
            self.light = worker
