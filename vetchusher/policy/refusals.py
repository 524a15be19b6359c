"""Admission of new requests, and the Retry-After of rejections."""

from __future__ import annotations

from vetchusher import interface as api
from vetchusher.interface import Actions
from vetchusher.state import Job, Tenant

from .choice import Fleet
from .quota import Quota
from .repeats import AttemptTracker

RETRY_RATIO = 0.1  # of the latency target: Retry-After under overload; longer would miss the target


class Admission:
    """Decides on new requests by quota, load shedding and worker choice; keeps no state of its own."""

    def __init__(self, settings: api.Settings, quota: Quota, fleet: Fleet, attempts: AttemptTracker) -> None:
        """Decide with the other parts of one gateway."""
        self.settings = settings
        self.quota = quota
        self.fleet = fleet
        self.attempts = attempts

    def on_request(self, now: int, event: api.RequestArrived, actions: Actions) -> None:
        """Register a request, and decide now or when the total that it waits for has come."""
        quota = self.quota
        tenant = quota.find_or_create(now, event, actions)
        spec, copies = self.settings.classes[event.class_id], self.settings.may_duplicate
        job = Job(event.request, event.class_id, spec, tenant, event.units, now + event.remaining_us, copies)
        self.attempts.jobs[job.id] = job
        job.shed_draw = self.fleet.random.random()
        # If the hard limit, open-request cap or shedding rejects it, a call for the total would be wasted.
        refused = quota.blocks(now, tenant, job.units) or self.fleet.shedding.sheds(0.0, job.shed_draw)
        if refused or not quota.wait_for_total(now, job, actions):
            self.decide(now, job, actions)

    def decide(self, now: int, job: Job, actions: Actions) -> None:
        """Admit a request and start its first attempt, or reject it."""
        quota, tenant, counted = self.quota, job.tenant, job.reserved_in is not None
        if job.finished:
            quota.return_units(job)
            return
        quota.advance_windows(now, tenant)
        usage = quota.usage_ratio(now, tenant, 0.0 if counted else job.units, job.units if counted else 0.0)
        if tenant.sparse and counted and not quota.lacks_total(now, tenant):
            quota.record_over_quota(tenant, usage > 1.0)
        elif tenant.sparse and usage <= 1.0 and quota.lacks_total(now, tenant):
            usage = usage if quota.admits_without_total(tenant, self.fleet.random.random()) else 2.0
        worker = None
        free = usage > 1.0 and self.allows_free_excess(tenant)
        limited = quota.blocks(now, tenant, job.units) or self.fleet.shedding.sheds(usage, job.shed_draw)
        if (usage <= 1.0 or free) and not limited:
            worker = self.fleet.choose(now, job, usage)
        if worker is None:
            quota.return_units(job)
            actions.append(api.Refuse(job.id, self.retry_after_us(job.spec) if usage <= 1.0 else 0))
            self.attempts.finish(job, actions)
            return
        if free and counted:
            quota.return_units(job)
        quota.charge(now, tenant, job.units, counted or free)
        job.counted = not free
        self.attempts.send(now, job, worker, actions)

    def allows_free_excess(self, tenant: Tenant) -> bool:
        """Return whether excess passes uncounted: it earns more than it costs, and the fleet is idle."""
        # Totals lag and windows are coarse: honest requests rejected for that would lose their whole value.
        return tenant.plan.over_value > tenant.plan.over_cost and self.fleet.shedding.has_spare_capacity()

    def retry_after_us(self, spec: api.RequestClass) -> int:
        """Return the Retry-After (us) under overload, short enough to meet the latency target; 0: none."""
        return min(self.settings.max_retry_after, int(spec.target * RETRY_RATIO)) * self.settings.retry_after
