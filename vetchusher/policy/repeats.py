"""What follows a first attempt: late copies, tries after a failure, and the end of a request."""

from __future__ import annotations

from vetchusher import interface as api
from vetchusher.interface import Actions, Effect, Outcome
from vetchusher.state import Attempt, Job, Worker

from .choice import Fleet, prompt
from .moves import may_refuse
from .quota import Quota

# Tuned values
LATE_PART = 0.3  # of the aim: later is late
HEDGE_MEANS, RETRY_EARN, RETRY_MOST = 4.0, 0.1, 20.0  # means before a copy; retries earned each, kept

TICK_TOKEN, LATE_TOKEN, WATCH_TOKEN, TOKEN_KIND = 1 << 60, 2 << 60, 3 << 60, 15 << 60
NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class Repeats:
    """Attempts of the requests under way.  Keeps `jobs` until each is over and its last attempt has ended."""

    def __init__(self, settings: api.Settings, quota: Quota, fleet: Fleet) -> None:
        self.settings = settings
        self.quota = quota
        self.fleet = fleet
        self.jobs: dict[int, Job] = {}
        self.retries = 1.0  # little: many gateways start together

    def send(self, now: int, job: Job, worker: Worker, acts: Actions) -> None:
        job.attempts.append(Attempt(worker, now))
        job.out += 1
        job.who.out += 1
        self.fleet.sent(now, worker, job.class_id)
        # Danger: lost answers hold places until the client leaves, though late answers earn nothing.
        wait = 0 if job.spec.late_share or job.spec.effect != Effect.UNSAFE else job.spec.aim
        acts.append(api.Send(job.id, worker.id, wait))
        if len(job.attempts) == 1:
            self.retries = min(RETRY_MOST, self.retries + RETRY_EARN)
            acts.append(api.SetTimer(int(job.spec.aim * LATE_PART), LATE_TOKEN | job.id))

    def late(self, now: int, job: Job, acts: Actions) -> None:
        """The first attempt is late: note it, and send a second copy where that is harmless.  Danger: answers
        that never come, whatever ate them; a worker stuck with the request."""
        if job.attempts[0].out and not job.attempts[0].judged:
            job.attempts[0].judged = True
            self.fleet.shedding.judge(now, True)
        if job.over or job.out != 1 or job.spec.effect == Effect.UNSAFE or not job.may_duplicate:
            return
        wait = job.attempts[0].sent_at + int(self.fleet.means[job.class_id] * HEDGE_MEANS) - now
        if wait > 0:  # late, but not unusually so
            acts.append(api.SetTimer(wait, LATE_TOKEN | job.id))
        else:
            self.again(now, job, 1.0, False, acts)

    def again(self, now: int, job: Job, usage: float, free: bool, acts: Actions) -> bool:
        """A further attempt, if the request may have one and the fleet is not jammed."""
        if len(job.attempts) >= self.settings.max_attempts or now >= job.deadline - self.settings.tick:
            return False
        if not (free or self.retries >= 1.0) or self.fleet.shedding.sheds(1.0, self.fleet.random.random()):
            return False
        worker = self.fleet.choose(now, job, usage)
        if worker is not None:
            self.retries -= 0.0 if free else 1.0
            self.send(now, job, worker, acts)
        return worker is not None

    def attempt_ended(self, now: int, event: api.AttemptEnded, acts: Actions) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt].out:
            return
        attempt = job.attempts[event.attempt]
        attempt.out = False
        attempt.never_ran = event.outcome in NEVER_RAN
        job.out -= 1
        job.who.out -= 1
        if not attempt.judged and event.outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            late = event.latency > LATE_PART * job.spec.aim
            # Danger: one that drains turns all away; judged each time, it would look like a jam of them all.
            full = event.outcome == Outcome.FULL and prompt(event, job.spec)
            self.fleet.shedding.judge(now, late or (full and not attempt.worker.turned_away))
        self.fleet.ended(now, attempt.worker, job, event, acts)
        if event.settled and self.settings.post_paid and job.who.length and job.counts:
            self.quota.roll(now, job.who)
            self.quota.settle(now, job.who, event.settled - job.units)
        if event.request_over or job.over:
            self.finish(job, acts)
        else:
            self.go_on(now, job, attempt, acts)

    def go_on(self, now: int, job: Job, last: Attempt, acts: Actions) -> None:
        """After a failed attempt: try another worker, wait for a copy still out, or end it."""
        # The worker did no work: such a retry adds no load, but in a jam it finds the next full queue.
        free = last.never_ran and not self.fleet.shedding.jammed()
        if self.again(now, job, 0.0, free, acts):
            return
        if job.out or job.streaming:
            return
        acts.append(api.Refuse(job.id) if may_refuse(job) else api.Fail(job.id))
        self.finish(job, acts)

    def finish(self, job: Job, acts: Actions) -> None:
        """The request is over: recall copies still out, forget it once all have ended."""
        if not job.over:
            job.over = True
            if job.out and self.settings.may_cancel and not job.streaming:
                acts += [api.Cancel(job.id, n) for n, a in enumerate(job.attempts) if a.out]
        if not job.out:
            self.jobs.pop(job.id, None)
