"""The attempts of admitted requests: hedges, retries after failures, and the end of a request."""

from __future__ import annotations

from vetchusher import interface as api
from vetchusher.interface import Actions, Effect, Outcome
from vetchusher.state import Attempt, Job, Worker

from .choice import Fleet, is_prompt_rejection
from .moves import may_refuse
from .quota import Quota

LATE_RATIO = 0.3  # of the latency target: slower answers count as late
HEDGE_RATIO, BUDGET_PER_REQUEST, MAX_BUDGET = 4.0, 0.1, 20.0  # mean latencies; retries earned, kept

TICK_TIMER, LATE_TIMER, RESUBSCRIBE_TIMER, TIMER_KIND_MASK = 1 << 60, 2 << 60, 3 << 60, 15 << 60
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.OBSOLETE))


class AttemptTracker:
    """Open requests and their attempts; `jobs` drops a finished one when its last attempt has ended."""

    def __init__(self, settings: api.Settings, quota: Quota, fleet: Fleet) -> None:
        """Start without requests."""
        self.settings = settings
        self.quota = quota
        self.fleet = fleet
        self.jobs: dict[int, Job] = {}
        self.budget = 1.0  # retries allowed; starts low, as many gateways start together

    def send(self, now: int, job: Job, worker: Worker, actions: Actions) -> None:
        """Start an attempt at a worker; the first one also earns retry budget and sets the late timer."""
        job.attempts.append(Attempt(worker, now))
        job.in_flight += 1
        job.tenant.in_flight += 1
        self.fleet.record_sent(now, worker, job.class_id)
        # If late answers earn nothing, time out: a lost one would hold a slot until the client leaves.
        wait = 0 if job.spec.late_value_ratio or job.spec.effect != Effect.UNSAFE else job.spec.target
        actions.append(api.Send(job.id, worker.id, wait))
        if len(job.attempts) == 1:
            self.budget = min(MAX_BUDGET, self.budget + BUDGET_PER_REQUEST)
            actions.append(api.SetTimer(int(job.spec.target * LATE_RATIO), LATE_TIMER | job.id))

    def on_late_timer(self, now: int, job: Job, actions: Actions) -> None:
        """Record a late first attempt; hedge it if harmless, against stuck workers and lost answers."""
        if job.attempts[0].in_flight and not job.attempts[0].late_checked:
            job.attempts[0].late_checked = True
            self.fleet.shedding.record_attempt(now, True)
        if job.finished or job.in_flight != 1 or job.spec.effect == Effect.UNSAFE or not job.may_duplicate:
            return
        wait = job.attempts[0].sent_at + int(self.fleet.latencies[job.class_id] * HEDGE_RATIO) - now
        if wait > 0:  # late, but not unusually for its class
            actions.append(api.SetTimer(wait, LATE_TIMER | job.id))
        else:
            self.retry(now, job, 1.0, False, actions)

    def retry(self, now: int, job: Job, usage: float, free: bool, actions: Actions) -> bool:
        """Start another attempt if the request, the retry budget and the load allow; return whether."""
        if len(job.attempts) >= self.settings.max_attempts or now >= job.deadline - self.settings.tick:
            return False
        if not (free or self.budget >= 1.0) or self.fleet.shedding.sheds(1.0, self.fleet.random.random()):
            return False
        worker = self.fleet.choose(now, job, usage)
        if worker is not None:
            self.budget -= 0.0 if free else 1.0
            self.send(now, job, worker, actions)
        return worker is not None

    def on_attempt_ended(self, now: int, event: api.AttemptEnded, actions: Actions) -> None:
        """Record an ended attempt, then finish the request or retry it."""
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].in_flight:
            return
        attempt = job.attempts[event.attempt]
        attempt.in_flight = False
        attempt.never_ran = event.outcome in NEVER_RAN
        job.in_flight -= 1
        job.tenant.in_flight -= 1
        if not attempt.late_checked and event.outcome in (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT):
            late = event.latency > LATE_RATIO * job.spec.target
            # A draining worker rejects everything: counted each time, it would look like a full fleet.
            queue_full = event.outcome == Outcome.REJECTED and is_prompt_rejection(event, job.spec)
            self.fleet.shedding.record_attempt(now, late or (queue_full and not attempt.worker.rejections))
        self.fleet.on_ended(now, attempt.worker, job, event, actions)
        if event.final_units and self.settings.post_paid and job.tenant.window_us and job.counted:
            self.quota.advance_windows(now, job.tenant)
            self.quota.adjust_charge(now, job.tenant, event.final_units - job.units)
        if event.request_ended or job.finished:
            self.finish(job, actions)
        else:
            self.on_attempt_failed(now, job, attempt, actions)

    def on_attempt_failed(self, now: int, job: Job, last: Attempt, actions: Actions) -> None:
        """Retry at another worker, wait for a copy in flight, or end the request."""
        # If it never ran, a retry adds no load; but under overload it would only meet the next full queue.
        free = last.never_ran and not self.fleet.shedding.overloaded()
        if self.retry(now, job, 0.0, free, actions):
            return
        if job.in_flight or job.streaming:
            return
        actions.append(api.Refuse(job.id) if may_refuse(job) else api.Fail(job.id))
        self.finish(job, actions)

    def finish(self, job: Job, actions: Actions) -> None:
        """Finish a request: cancel copies if allowed and not streaming, and forget it once all have ended."""
        if not job.finished:
            job.finished = True
            if job.in_flight and self.settings.may_cancel and not job.streaming:
                actions += [api.Cancel(job.id, n) for n, a in enumerate(job.attempts) if a.in_flight]
        if not job.in_flight:
            self.jobs.pop(job.id, None)
