"""Which worker a request goes to, by health, load and slow start."""

from __future__ import annotations

import random

from vetchusher import interface as api
from vetchusher.fleet import USAGE_WEIGHT, LoadShedder, max_holders, round_of, slowstart, subset, subset_width
from vetchusher.interface import Actions, FleetKind, Outcome, RequestClass, WorkerState
from vetchusher.state import Job, ThrottledLog, Worker, WorkerKind

from .moves import may_send

INITIAL_LATENCY_RATIO = 0.15  # of a class's latency target: its mean latency until the first answer
LATENCY_ALPHA, SLOWNESS_ALPHA = 0.05, 0.1  # EWMA weights: by class, worker kind or load report; by worker
MAX_CANDIDATES = 16  # workers checked if neither random one fits: scanning a fleet takes too long
LOAD_TTL_US = 1_500_000  # age at which a load report is no longer used
BUSY_IN_FLIGHT = 3.0  # requests in flight at a fully busy worker that reports utilization only
EJECTION_FAILURES, EJECT_US = 3, 2_000_000  # failures in a row, as one may be chance; time of an ejection
RARE_ERROR_RATIO, ERROR_ALPHA = 0.15, 0.02  # error share below which one error ejects; EWMA weight
MAX_EJECTS = 3  # doublings of the ejection time
MAX_EJECTED_RATIO = 0.5  # of the ready workers: ejecting more would overload the rest
CONNECT_ALPHA, MAX_CONNECTED_BIAS = 0.2, 0.85  # EWMA weight; other choices probe new connects
BACKOFF_US, MAX_BACKOFF_DOUBLINGS = 250_000, 5  # back-off after a refused connect or a rejection
INITIAL_LIMIT = 8.0  # requests in flight at a worker from all gateways: overloads no size of worker
MIN_LIMIT, MAX_LIMIT = 0.2, 64.0  # requests in flight at a worker from this gateway
RAISE_LATENCY_RATIO, LOWER_LATENCY_RATIO = 0.17, 0.27  # of the target: raise below, lower above
BUSY_RATIO = 0.93  # utilization above which the limit falls: at full, random bursts find no capacity
LIMIT_DECREASE_FACTOR, LIMIT_DECREASE_INTERVAL_US = 0.7, 200_000  # one overload lowers it once
PROMPT_LATENCY_RATIO = 0.1  # of the latency target: a full queue rejects sooner than this


def is_prompt_rejection(event: api.AttemptEnded, spec: RequestClass) -> bool:
    """Return whether a rejected attempt shows a full queue, which rejects at once."""
    # A late one, after a look at the request, concerns one plan or class: a lower limit would hit all others.
    return event.latency < PROMPT_LATENCY_RATIO * spec.target


class Fleet:
    """The workers as known to one gateway, and the choice among them."""

    def __init__(self, settings: api.Settings, rng: random.Random, log: ThrottledLog) -> None:
        """Start without workers; `rng` makes all random choices."""
        self.settings = settings
        self.random = rng
        self.log = log
        self.workers: dict[int, Worker] = {}
        self.ready: list[Worker] = []
        self.worker_kinds: dict[int, WorkerKind] = {}
        self.preferred: list[Worker] = []  # the ready workers that this gateway prefers
        self.subset_slices = 1  # slices of the fleet that this gateway prefers
        self.sharers = settings.gateways  # gateways that prefer the same worker
        self.cold_until = 0  # us; no worker is cold after it
        self.error_ratio = 0.0  # EWMA share of attempts that ended with an error
        self.ejected_count = 0  # ready workers that are ejected or on trial
        self.connected: list[Worker] = []  # workers with an open connection from here
        self.hint: Worker | None = None  # last reported below the mean load, until the next choice
        self.mean_others = 0.0  # EWMA of other gateways' requests at a worker, by load reports
        self.refused_ratio = 0.0  # EWMA share of new connections refused, over all workers
        self.latencies = [c.target * INITIAL_LATENCY_RATIO for c in settings.classes]  # latency (us) by class
        self.shedding = LoadShedder(settings.gateways)

    def update(self, now: int, event: api.FleetChanged) -> None:
        """Apply a list of workers, whole or changes only; a failed one changes nothing."""
        if event.kind == FleetKind.FAILED:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.worker)
            worker = self.workers.get(entry.worker)
            if worker is None:
                kind = self.worker_kinds.setdefault(entry.kind, WorkerKind())
                worker = Worker(entry.worker, entry.zone, entry.cell, kind, 0.0)
                self.workers[entry.worker] = worker
            worker.zone, worker.cell = entry.zone, entry.cell
            worker.ready = entry.state == WorkerState.READY  # a draining worker gets nothing new
            if entry.started_at > worker.started_at:
                worker.started_at, worker.cold_until = entry.started_at, 0
        if event.kind != FleetKind.DELTA:
            for worker in self.workers.values():
                worker.ready = worker.ready and worker.id in named
        self.ready = [w for w in self.workers.values() if w.ready]
        self.update_preferred()
        self.ejected_count = sum(w.on_trial for w in self.ready)
        # Forget removed workers to bound memory; attempts in flight keep their own reference.
        removed = {e.worker for e in event.entries if e.state == WorkerState.REMOVED}
        remaining = self.workers.keys() - removed if event.kind == FleetKind.DELTA else named - removed
        self.workers = {w.id: w for w in self.workers.values() if w.id in remaining}
        for worker in self.connected:
            worker.connected = worker.ready
        self.connected = [w for w in self.connected if w.ready]

    def update_preferred(self) -> None:
        """Recompute the preferred workers, and initialize limits and the budgets of cold workers."""
        settings, n = self.settings, len(self.ready)
        preferred = subset((w.id for w in self.ready), settings.index, settings.gateways)
        # In a partition both sides think the other dead, so cold workers keep to the configured subset.
        wider = preferred
        if self.subset_slices > 1:
            wider = subset((w.id for w in self.ready), settings.index, settings.gateways, self.subset_slices)
        self.preferred = [w for w in self.ready if w.id in wider]
        self.sharers, rank = max_holders(n, settings.gateways), round_of(settings.index, n, settings.gateways)
        work = slowstart.work_us(max(self.latencies), settings.classes)
        for worker in self.workers.values():
            worker.preferred = worker.id in preferred
            if worker.started_at and not worker.cold_until:
                slowstart.start_cold(worker, work, settings, self.sharers, rank)
                self.cold_until = max(self.cold_until, worker.cold_until)
            worker.limit = worker.limit or max(MIN_LIMIT, INITIAL_LIMIT / self.sharers)

    def set_live_gateways(self, living: int) -> None:
        """Widen the preferred subset if fewer gateways serve, as the others' workers need traffic too."""
        slices = subset_width(self.subset_slices, living, self.settings.gateways)
        if slices != self.subset_slices:
            self.subset_slices = slices
            self.update_preferred()

    def accepts(self, now: int, worker: Worker, usage: float) -> bool:
        """Return whether a worker may take one more request now."""
        if now < worker.ejected_until or now < worker.rejected_until:
            return False
        if now < worker.cold_until and (now < worker.next_cold_send or not worker.preferred):
            return False
        if (worker.on_trial and worker.in_flight) or worker.connected_until <= now < worker.connect_retry_at:
            return False
        limit = worker.limit * (1.0 - USAGE_WEIGHT * min(1.0, usage))
        if limit >= 1.0:
            return worker.in_flight < limit
        # A limit below one is kept by pauses: one request from each of many gateways may be an overload.
        return worker.in_flight == 0 and now - worker.last_ended_at >= (1.0 / limit - 1.0) * self.latencies[0]

    def cost(self, now: int, worker: Worker) -> float:
        """Return a worker's expected relative latency for one more request."""
        others = worker.others if now - worker.reported_at < LOAD_TTL_US else self.mean_others
        return worker.kind.slowness * worker.slowness * (1.0 + worker.in_flight + others)

    def choose(self, now: int, job: Job, usage: float) -> Worker | None:
        """Return the cheaper of two random workers, or if neither fits, the cheapest of a few that fit."""
        near, pick = self.preferred, self.random.random
        if not (n := len(near)):
            return None
        sample = [near[int(pick() * n)], near[int(pick() * n)]]
        # At hundreds of gateways a drawn worker rarely has a fresh report, and some are overloaded by chance.
        # So `hint` joins the draw, but once only: until its next report it would be overloaded as well.
        if self.hint is not None and self.hint.ready and now - self.hint.reported_at < LOAD_TTL_US:
            sample.append(self.hint)
        self.hint = None
        cold = slowstart.next_cold_worker(now, near) if now < self.cold_until else []
        links = self.connected_workers(now) if pick() < min(MAX_CONNECTED_BIAS, self.refused_ratio) else []
        for candidates in (cold, links, sample, near, self.ready):
            if len(candidates) > MAX_CANDIDATES and not job.attempts:  # a keyed repeat fits few workers
                start = int(pick() * len(candidates))
                candidates = [candidates[(start + i) % len(candidates)] for i in range(MAX_CANDIDATES)]
            if fit := [w for w in candidates if self.accepts(now, w, usage) and may_send(now, job, w)]:
                return min(fit, key=lambda w: self.cost(now, w))
        return None

    def connected_workers(self, now: int) -> list[Worker]:
        """Return random workers with an open connection, for when new connections fail nearly everywhere."""
        # With random workers, refused connects lose each request; others get the overflow and a few probes.
        # Covers full connection tables, hung listeners, lost routes. Limits and shedding guard the few used.
        candidates = []
        for _ in range(min(MAX_CANDIDATES, len(self.connected))):
            at = int(self.random.random() * len(self.connected))
            worker = self.connected[at]
            if worker.ready and now < worker.connected_until:
                candidates.append(worker)
            else:
                worker.connected = False
                self.connected[at] = self.connected[-1]
                self.connected.pop()
        return candidates

    def record_connection(self, now: int, worker: Worker, outcome: int) -> None:
        """Update the connection state by an ended attempt; a time-out says nothing about it."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            if now >= worker.connected_until:
                self.refused_ratio -= CONNECT_ALPHA * self.refused_ratio
            worker.connected_until, worker.refused_connects = now + self.settings.idle_timeout, 0
            if not worker.connected and worker.ready:
                worker.connected = True
                self.connected.append(worker)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            worker.connected_until = 0
        if outcome == Outcome.CONNECT_FAILED:
            worker.connect_retry_at = now + (BACKOFF_US << worker.refused_connects)
            worker.refused_connects = min(MAX_BACKOFF_DOUBLINGS, worker.refused_connects + 1)
            self.refused_ratio += CONNECT_ALPHA * (1.0 - self.refused_ratio)

    def record_sent(self, now: int, worker: Worker, class_id: int) -> None:
        """Count a new attempt at a worker, and delay the next one if it is cold."""
        worker.in_flight += 1
        if now < worker.cold_until:
            work = slowstart.work_us(max(self.latencies[class_id], self.latencies[0]), self.settings.classes)
            pause = slowstart.cold_interval_us(now, worker.started_at, work, self.settings, self.sharers)
            worker.next_cold_send = max(now, worker.next_cold_send) + pause

    def on_ended(self, now: int, worker: Worker, job: Job, event: api.AttemptEnded, actions: Actions) -> None:
        """Update a worker's state by an ended attempt."""
        worker.in_flight -= 1
        worker.last_ended_at = now
        outcome = event.outcome
        self.error_ratio += ERROR_ALPHA * ((outcome == Outcome.ERROR) - self.error_ratio)
        self.record_connection(now, worker, outcome)
        if event.load:
            self.record_load(now, worker, event.load)
        if outcome == Outcome.OK:
            self.record_success(now, worker, job, event.latency)
        elif outcome == Outcome.REJECTED and is_prompt_rejection(event, job.spec):
            self.lower_limit(now, worker)
            # Back off: while the list is late, a draining worker would be chosen again and again.
            if worker.rejections:
                worker.rejected_until = now + (BACKOFF_US << min(MAX_BACKOFF_DOUBLINGS, worker.rejections))
            worker.rejections += 1
        elif outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET):
            if outcome == Outcome.TIMEOUT:
                self.lower_limit(now, worker)
            self.record_failure(now, worker, outcome == Outcome.ERROR, actions)

    def record_success(self, now: int, worker: Worker, job: Job, latency: int) -> None:
        """Update latencies, health and limit by a served request; `latency` is in us."""
        mean = self.latencies[job.class_id]
        ratio = min(latency / mean, 8.0)
        worker.slowness += SLOWNESS_ALPHA * (ratio / worker.kind.slowness - worker.slowness)
        worker.kind.slowness += LATENCY_ALPHA * (ratio - worker.kind.slowness)
        self.latencies[job.class_id] = mean + LATENCY_ALPHA * (latency - mean)
        worker.failures = worker.rejections = 0
        self.ejected_count -= worker.on_trial
        worker.on_trial = False
        if latency > job.spec.target * LOWER_LATENCY_RATIO:
            self.lower_limit(now, worker)
        elif latency < job.spec.target * RAISE_LATENCY_RATIO and worker.in_flight + 1 >= worker.limit * 0.5:
            worker.limit = min(MAX_LIMIT, worker.limit + 1.0 / max(1.0, worker.limit))

    def lower_limit(self, now: int, worker: Worker) -> None:
        """Lower a worker's concurrency limit, unless this was done a moment ago."""
        if now - worker.limit_lowered_at > LIMIT_DECREASE_INTERVAL_US:
            worker.limit_lowered_at = now
            worker.limit = max(MIN_LIMIT, worker.limit * LIMIT_DECREASE_FACTOR)

    def record_failure(self, now: int, worker: Worker, error: bool, actions: Actions) -> None:
        """Count a failure, and eject a worker that only fails, whatever the cause."""
        # Each of many gateways meets a bad worker once in seconds: if errors are rare, one suffices to eject.
        worker.failures += 1
        threshold = 1 if error and self.error_ratio < RARE_ERROR_RATIO else EJECTION_FAILURES
        if now < worker.ejected_until or (worker.failures < threshold and not worker.on_trial):
            return
        if not worker.on_trial and self.ejected_count + 1 > MAX_EJECTED_RATIO * len(self.ready):
            return
        self.ejected_count += not worker.on_trial
        worker.ejects = min(MAX_EJECTS, worker.ejects + 1) if now < worker.ejected_until + 5 * EJECT_US else 0
        worker.ejected_until, worker.on_trial, worker.failures = now + (EJECT_US << worker.ejects), True, 0
        self.log.add(now, actions, "eject", f"worker {worker.id:#x} ejected after failures in a row")

    def record_load(self, now: int, worker: Worker, load: tuple[float, ...]) -> None:
        """Apply a load report, whose values are in the order of the settings' `load_fields`."""
        values = dict(zip(self.settings.load_fields, load, strict=False))
        busy = values.get("busy", 0.0)
        if busy > BUSY_RATIO and values.get("queue", 1.0) >= 1.0:
            self.lower_limit(now, worker)
        in_flight = values.get("inflight", values.get("queue", 0.0) + BUSY_IN_FLIGHT * min(1.0, busy))
        worker.others = max(0.0, in_flight - worker.in_flight)
        self.mean_others += LATENCY_ALPHA * (worker.others - self.mean_others)
        worker.reported_at = now
        if worker.others < self.mean_others:
            self.hint = worker
