"""Whether a request passes at its first attempt, and what a refusal advises."""

from __future__ import annotations

from vetchusher import interface as api
from vetchusher.interface import Actions
from vetchusher.state import Customer, Job

from .choice import Fleet
from .quota import Quota
from .repeats import Repeats

# Tuned value
BACK_PART = 0.1  # of the aim: when clients refused in a jam shall come back; longer costs them the aim


class Refusals:
    """First decisions: quota, shedding and choice of worker put together.  Keeps nothing of its own."""

    def __init__(self, settings: api.Settings, quota: Quota, fleet: Fleet, repeats: Repeats) -> None:
        self.settings = settings
        self.quota = quota
        self.fleet = fleet
        self.repeats = repeats

    def request_arrived(self, now: int, event: api.RequestArrived, acts: Actions) -> None:
        quota = self.quota
        who = quota.customer(now, event, acts)
        spec, copies = self.settings.classes[event.class_id], self.settings.may_duplicate
        job = Job(event.request, event.class_id, spec, who, event.units, now + event.time_left, copies)
        self.repeats.jobs[job.id] = job
        job.luck = self.fleet.random.random()
        # A wait is for those that only the total can refuse: any other would spend a call in vain.
        sure = quota.bars(now, who, job.units) or self.fleet.shedding.sheds(0.0, job.luck)
        if sure or not quota.hold(now, job, acts):
            self.decide(now, job, acts)

    def decide(self, now: int, job: Job, acts: Actions) -> None:
        """Pass or refuse a request at its first attempt."""
        quota, who, counted = self.quota, job.who, job.held_in is not None
        if job.over:
            quota.give_back(job)
            return
        quota.roll(now, who)
        usage = quota.usage(now, who, 0.0 if counted else job.units, job.units if counted else 0.0)
        if who.thin and counted and not quota.blind(now, who):
            quota.learn(who, usage > 1.0)
        elif who.thin and usage <= 1.0 and quota.blind(now, who):
            usage = usage if quota.passes_unseen(who, self.fleet.random.random()) else 2.0
        worker = None
        free = usage > 1.0 and self.spares(who)
        barred = quota.bars(now, who, job.units) or self.fleet.shedding.sheds(usage, job.luck)
        if (usage <= 1.0 or free) and not barred:
            worker = self.fleet.choose(now, job, usage)
        if worker is None:
            quota.give_back(job)
            acts.append(api.Refuse(job.id, self.advice(job.spec) if usage <= 1.0 else 0))
            self.repeats.finish(job, acts)
            return
        if free and counted:
            quota.give_back(job)
        quota.take(now, who, job.units, counted or free)
        job.counts = not free
        self.repeats.send(now, job, worker, acts)

    def spares(self, who: Customer) -> bool:
        """Exception.  Danger: totals lag and windows are coarse; each honest request refused for that loses
        its whole worth.  Where excess costs nothing and the fleet is idle enough, it passes uncounted."""
        return who.plan.over_worth > who.plan.over_cost and self.fleet.shedding.spare()

    def advice(self, spec: api.RequestClass) -> int:
        """When to come back after a jam's excess: soon enough for the aim, or the answer earns nothing."""
        return min(self.settings.max_retry_after, int(spec.aim * BACK_PART)) * self.settings.retry_after
