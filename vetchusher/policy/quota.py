"""Admission by quota: counts, pushes to the counter service, and rules for missing and stale totals."""

from __future__ import annotations

from itertools import islice

from vetchusher import interface as api
from vetchusher.interface import Actions, Outcome
from vetchusher.limits import CounterCallQueue, Limits, Tuning, near_limit
from vetchusher.state import Job, Tenant, ThrottledLog, Window, mix64, window_length

STALE_TOTAL_US = 400_000  # age of unconfirmed local units at which totals count as stale
LOW_SHARE, FEW_GATEWAYS = 3.0, 3.0  # units per gateway above FEW_GATEWAYS: if less, local use tells nothing
MIN_UNUSED_RATIO = 0.05  # of the burst: to remain unused when a request passes on unused quota
BASE_OVER_COST, MIN_COUNTED_RATIO = 0.2, 0.3  # weight of a call if excess is free; least counted share
OVER_QUOTA_ALPHA, MIN_ADMIT_RATIO = 0.12, 0.1  # EWMA weight; part admitted without a total at least
SHARE_GAIN, MIN_SAMPLES = 0.3, 4.0  # EWMA weight; usual requests below which a share is chance
FINAL_READ_DELAY_US = 110_000  # after a window's end, when all gateways have pushed its units
LOSS_TOLERANCE_RATIO = 1e-5  # totals come back with seven digits
EXTRA_LIFETIME_US, MAX_LIFETIME_US = 2_000_000, 60_000_000  # of a counter: beyond its use, and in all
EVICTION_BATCH = 8  # tenants checked per tick: bounds memory when crowds come just once


class Quota:
    """The tenants' counts at one gateway, and their exchange with the counter service."""

    def __init__(self, settings: api.Settings, log: ThrottledLog, tuning: Tuning | None = None) -> None:
        """Start without tenants; `tuning` overrides parameters of the limits."""
        self.settings = settings
        self.log = log
        self.started_at = -1  # us; -1 before the first event
        self.tenants: dict[int, Tenant] = {}
        self.pending_calls: dict[int, tuple[Tenant, Window]] = {}
        self.waiting: dict[int, list[Job]] = {}  # requests by the counter whose answer they wait for
        self.limits = Limits(settings, self.tenants, tuning)
        self.call_queue = CounterCallQueue(settings)
        # By plan: share of requests over quota, if the tenant has a total; apart for tenants seen here within
        # a window: behind many gateways these are heavy users, and a common share would reject all others.
        self.over_quota_shares = [[0.0] * len(settings.plans) for _ in range(2)]
        self.counted_shares = [1.0] * len(settings.plans)  # sparse tenants: share of admissions in totals
        self.mean_call_value = 0.0  # EWMA of the value at stake in a request that asks for a call

    def find_or_create(self, now: int, event: api.RequestArrived, actions: Actions) -> Tenant:
        """Return the tenant of a request at its current window; a new one's totals are read at once."""
        gateways, key = event.gateways, event.customer << 16 | event.plan_id
        if (tenant := self.tenants.get(key)) is None:
            plan = self.settings.plans[event.plan_id]
            length = window_length(plan)
            index = now // length if length else 0
            gateways = max(1.0, gateways)
            # The hard limit's bucket starts empty: a restart of the gateway must not refill it.
            level = min(plan.hard_burst, (now - self.started_at) * plan.hard_rate / 1e6) / gateways
            cur, prev = Window(index), Window(index - 1)
            low = self.settings.counter and length > 0 and plan.burst < LOW_SHARE * (gateways - FEW_GATEWAYS)
            tenant = Tenant(key, plan, gateways, length, cur, prev, now, level, now, low, 1.0 / gateways)
            self.tenants[key] = tenant
            tenant.first_gateway = event.first_gateway
            self.limits.load_peer_usage(tenant)
            if length and self.settings.counter and not low:
                tenant.cur.fresh, tenant.prev.fresh = False, False
                self.call_queue.enqueue(tenant)
                self.start_calls(now, actions)
        else:
            tenant.seen_recently = now - tenant.seen_at < tenant.window_us
            tenant.seen_at, tenant.gateways = now, max(gateways, tenant.gateways)
            self.advance_windows(now, tenant)
        return tenant

    def advance_windows(self, now: int, tenant: Tenant) -> None:
        """Move the tenant's two windows on to `now`."""
        step = now // tenant.window_us - tenant.cur.index if tenant.window_us else 0
        if step == 1:
            tenant.deducted -= tenant.prev.count()
            ended, tenant.cur = tenant.cur, Window(tenant.cur.index + 1)
            if ended.unpushed < 0.0 and not tenant.sparse:  # returned units, not yet used up
                tenant.cur.adjust(ended.unpushed)
                ended.adjust(-ended.unpushed)
            tenant.prev = ended
            tenant.read_due = near_limit(tenant) or tenant.prev.answered_at < now - 3 * tenant.window_us // 2
            self.limits.load_window_peer_usage(tenant, tenant.cur)
        elif step > 1:
            tenant.prev, tenant.cur = Window(tenant.cur.index + step - 1), Window(tenant.cur.index + step)
            tenant.unconfirmed_since, tenant.deducted, tenant.read_due = -1, 0.0, True
            self.limits.load_peer_usage(tenant)
        if step:
            tenant.total_at = -1

    def refresh_unused(self, now: int, tenant: Tenant) -> float:
        """Return the units of quota left unused, after refilling them and deducting new counts."""
        gained = (now - tenant.unused_at) * tenant.plan.rate / 1e6
        total = tenant.cur.count() + tenant.prev.count()
        tenant.unused = min(tenant.plan.burst, tenant.unused + gained) - (total - tenant.deducted)
        tenant.unused_at, tenant.deducted = now, total
        return tenant.unused

    def usage_ratio(self, now: int, tenant: Tenant, units: float, own: float) -> float:
        """Return the part of the limit used, with `units` to come, `own` already counted; above 1: over."""
        if not tenant.window_us:
            return 0.0
        weight = (tenant.window_us - now % tenant.window_us) / tenant.window_us
        limit = tenant.plan.burst
        unused = self.refresh_unused(now, tenant)
        used = tenant.cur.count() + tenant.prev.count() * weight + units
        if not tenant.has_total and self.limits.view_complete(now, tenant):
            self.initialize_unused(now, tenant)
        if tenant.sparse and self.limits.exhaustion.must_refuse(now, tenant):
            return 2.0
        if tenant.sparse and not self.lacks_total(now, tenant):
            # Others pass as much uncounted as this gateway does, so scale up totals but not its own units.
            others = max(0.0, tenant.cur.count() - own) / self.counted_shares[tenant.key & 0xFFFF]
            used, allowed = others + own + units, self.limits.exhaustion.allowed_units(now, tenant)
            if own and used > allowed:
                self.limits.quota_exhausted(now, tenant, used - own)
            return used / max(1e-9, allowed)
        if tenant.sparse or not tenant.has_total:
            allowed = self.limits.allowance_without_total(now, tenant, units)
            return (tenant.cur.own + tenant.prev.own * weight + units) / max(1e-9, allowed)
        stale = tenant.unconfirmed_since >= 0 and now - tenant.unconfirmed_since > STALE_TOTAL_US
        # With stale totals each gateway would pass all that is left: assume that others pass as before.
        unused -= self.limits.adjust_assumed_usage(now, tenant, stale)
        used += tenant.assumed_others
        if unused < units and tenant.plan.over_cost > tenant.plan.over_value:
            # Windows forget excess admitted on stale totals after two turns; the unused quota does not.
            return max(2.0, used / limit)
        if used > limit and unused - units >= MIN_UNUSED_RATIO * limit:
            # Windows ignore quota left unused before them. It may be used now; stale totals lowered `unused`.
            return 1.0
        return used / limit

    def initialize_unused(self, now: int, tenant: Tenant) -> None:
        """Set the unused quota at this window's start: if less than half was used, full except by chance."""
        known = tenant.prev.count()
        tenant.unused = min(tenant.plan.burst, 2.0 * max(0.0, tenant.plan.burst - known))
        tenant.unused_at, tenant.deducted, tenant.has_total = now - now % tenant.window_us, known, True

    def lacks_total(self, now: int, tenant: Tenant) -> bool:
        """Return whether this window's total is missing or stale."""
        return tenant.total_at < 0 or now - tenant.total_at > STALE_TOTAL_US

    def wait_for_total(self, now: int, job: Job, actions: Actions) -> bool:
        """Push the units of a request at once and let it wait for the answer; return whether it waits."""
        # At hundreds of gateways nearly all requests are their tenants' first: local counts would admit all.
        tenant = job.tenant
        if not (tenant.sparse and self.lacks_total(now, tenant)) or self.limits.exhaustion.must_refuse(
            now, tenant
        ):
            return False
        if job.deadline - now < 2 * self.settings.counter_timeout:
            return False
        name = mix64(mix64(tenant.key) + tenant.cur.index)
        if name not in self.pending_calls:
            # Calls are limited: they go where a wrong rejection or a wrong admission would cost the most.
            value = job.spec.value * tenant.plan.price * job.units * (BASE_OVER_COST + tenant.plan.over_cost)
            self.mean_call_value += OVER_QUOTA_ALPHA * (value - self.mean_call_value)
            if self.call_queue.refill(now) < min(2.0, max(1.0, self.mean_call_value / max(1e-9, value))):
                return False
        job.reserved_in = tenant.cur
        tenant.cur.own += job.units
        tenant.cur.unpushed += job.units
        self.waiting.setdefault(name, []).append(job)
        if name not in self.pending_calls:
            tenant.cur.fresh = False  # makes the call even if returned units leave nothing to push
            self.push_windows(tenant, actions)
        return True

    def record_over_quota(self, tenant: Tenant, beyond: bool) -> None:
        """Record whether a request with a total was over quota, as odds for those without one."""
        shares, plan_id = self.over_quota_shares[tenant.seen_recently], tenant.key & 0xFFFF
        shares[plan_id] += OVER_QUOTA_ALPHA * (beyond - shares[plan_id])

    def admits_without_total(self, tenant: Tenant, pick: float) -> bool:
        """Return whether to admit a request by the odds of its plan, given a random `pick` in 0..1."""
        # Admitting all costs more than it earns if most are over quota; admitting none rejects honest ones.
        plan, beyond = tenant.plan, self.over_quota_shares[tenant.seen_recently][tenant.key & 0xFFFF]
        gain = 1.0 - beyond * (1.0 + plan.over_cost - plan.over_value)
        return pick < max(MIN_ADMIT_RATIO, gain)

    def return_units(self, job: Job) -> None:
        """Take back the units of a request that were counted, but not admitted."""
        # Left in, they shut out the next requests, whose units stay as well: totals doubled at 40 gateways.
        if (window := job.reserved_in) is not None:
            window.own -= job.units
            window.unpushed -= job.units
            self.call_queue.schedule(job.tenant)

    def has_tokens(self, now: int, tenant: Tenant, units: float) -> bool:
        """Return whether these units fit this gateway's part of the hard limit."""
        # A fixed part per gateway and never used slack keep the hard limit however the counter fails.
        plan = tenant.plan
        if plan.hard_rate <= 0:
            return True
        gained = (now - tenant.bucket_at) * plan.hard_rate / 1e6
        tenant.bucket = min(plan.hard_burst / tenant.gateways, tenant.bucket + gained / tenant.gateways)
        tenant.bucket_at = now
        return tenant.bucket >= units

    def blocks(self, now: int, tenant: Tenant, units: float) -> bool:
        """Return whether the hard limit, or the share of the cap on open requests, rejects a request."""
        cap = tenant.plan.open_limit * max(tenant.share, 1.0 / tenant.gateways)
        return (cap > 0.0 and tenant.in_flight >= max(1.0, cap)) or not self.has_tokens(now, tenant, units)

    def charge(self, now: int, tenant: Tenant, units: float, counted: bool) -> None:
        """Book an admitted request; if `counted`, its units are in the window already or shall not be."""
        if tenant.sparse:
            plan_id = tenant.key & 0xFFFF
            share = self.counted_shares[plan_id]
            share += OVER_QUOTA_ALPHA * ((counted or not self.lacks_total(now, tenant)) - share)
            self.counted_shares[plan_id] = max(MIN_COUNTED_RATIO, share)
        if tenant.plan.hard_rate > 0:
            tenant.bucket -= units
        if tenant.window_us and not counted:
            tenant.cur.own += units
            tenant.own_since_total += units
            self.record_unpushed(now, tenant, units)
            self.limits.command_admitted(tenant)

    def adjust_charge(self, now: int, tenant: Tenant, units: float) -> None:
        """Book the difference between a request's final units and its estimate."""
        tenant.cur.own += units
        self.record_unpushed(now, tenant, units)

    def record_unpushed(self, now: int, tenant: Tenant, units: float) -> None:
        """Add units to those to push, and queue the tenant for a call."""
        tenant.cur.unpushed += units
        if self.settings.counter and (tenant.sparse or tenant.cur.unpushed > 0.0):
            if tenant.unconfirmed_since < 0:
                tenant.unconfirmed_since = now
            if not tenant.sparse:  # sparse: no call, `counted_shares` allows for its unpushed units
                self.call_queue.schedule(tenant)

    def tick(self, now: int, actions: Actions) -> None:
        """Push one slice of the queued tenants, and do the other periodic work."""
        self.call_queue.release_slice()
        self.start_calls(now, actions)
        self.evict_idle(now)
        self.limits.tick(now, actions.append)

    def start_calls(self, now: int, actions: Actions) -> None:
        """Make the counter calls that the tokens allow."""
        self.call_queue.drop_expired(now)
        while (tenant := self.call_queue.next_customer(now)) is not None:
            self.advance_windows(now, tenant)
            if tenant.read_due and now % tenant.window_us > FINAL_READ_DELAY_US:
                # Units that others admit at a window's end and push after the last call here would be missed.
                # Lost at every turn of the window, they add up to a fifth of the quota.
                tenant.read_due, tenant.prev.fresh = False, False
            self.push_windows(tenant, actions)

    def push_windows(self, tenant: Tenant, actions: Actions) -> None:
        """Call the counter for each window with units to push or a read due."""
        for window in (tenant.prev, tenant.cur):
            # Negative corrections wait for later units: totals must grow, as a lower one means lost counts.
            due = window.unpushed if tenant.sparse else max(0.0, window.unpushed)
            if not due and not window.to_restore and window.fresh:
                continue
            name = mix64(mix64(tenant.key) + window.index)
            if name in self.pending_calls:
                self.call_queue.schedule(tenant)
                continue
            window.in_flight, window.restoring = due, window.to_restore
            window.unpushed -= due
            window.to_restore = 0.0
            self.pending_calls[name] = (tenant, window)
            self.call_queue.spend_token()
            lifetime = min(MAX_LIFETIME_US, 2 * tenant.window_us + EXTRA_LIFETIME_US)
            actions.append(api.Count(name, window.in_flight + window.restoring, lifetime))

    def on_counter_answer(self, now: int, event: api.CounterAnswered, actions: Actions) -> list[Job]:
        """Apply a counter's answer; return the requests that waited for it."""
        if event.name not in self.pending_calls:
            return []
        tenant, window = self.pending_calls.pop(event.name)
        sent, window.in_flight = window.in_flight, 0.0
        if event.outcome == Outcome.OK:
            self.call_queue.call_answered(event.latency)
            expected = window.last_total + sent + window.restoring
            if tenant.sparse:  # others may have returned units
                expected -= 2.0 * self.settings.max_units
            if event.total < expected - LOSS_TOLERANCE_RATIO * expected - 0.01:
                # Counts were lost: the former total is the minimum until the window expires. Restore own
                # units only: the other gateways restore theirs, so nothing counts twice.
                window.min_total = max(window.min_total, window.total) + sent
                window.to_restore = min(window.acked, expected - event.total)
                self.limits.health.counts_lost(now, (window.index + 2) * tenant.window_us)
                self.log.add(now, actions, "lost", "counter lost counts: keeping floors, restoring own")
                self.call_queue.schedule(tenant)
            elif window.min_total:
                window.min_total += sent
            elsewhere = event.total - expected
            window.acked += sent
            window.last_total = event.total
            window.total = max(event.total, window.min_total)
            self.limits.total_received(now, tenant, window, sent, elsewhere)
            if not tenant.has_total and window is tenant.prev:
                self.initialize_unused(now, tenant)
            window.fresh = True
            if window is tenant.cur:
                tenant.total_at = now
            if window.unpushed <= 0.0:
                tenant.unconfirmed_since = -1
            if (n := tenant.cur.count() + tenant.prev.count()) >= MIN_SAMPLES * self.limits.health.dispersion:
                tenant.share += SHARE_GAIN * (min(1.0, (tenant.cur.own + tenant.prev.own) / n) - tenant.share)
        else:
            self.limits.health.call_failed(now)
            if event.outcome != Outcome.ERROR:  # an unreadable answer is no sign of load
                self.call_queue.call_failed()
            if self.call_queue.at_minimum_rate():
                self.log.add(now, actions, "counter", "counter failing: tenants limited to their local share")
            if event.outcome in (Outcome.TIMEOUT, Outcome.ERROR):
                window.total += sent  # perhaps added: never sent twice
            else:
                window.unpushed += sent  # not added: sent again
                window.to_restore += window.restoring
            window.fresh = tenant.sparse  # False: the next call reads the total again
            if tenant.unconfirmed_since < 0:
                tenant.unconfirmed_since = now
            self.call_queue.schedule(tenant)
        window.restoring = 0.0
        self.start_calls(now, actions)
        return self.waiting.pop(event.name, [])

    def evict_idle(self, now: int) -> None:
        """Drop tenants that are idle for two windows and whose bucket of the hard limit is full again."""
        for key in list(islice(self.tenants, EVICTION_BATCH)):
            tenant = self.tenants.pop(key)
            idle = not (tenant.in_flight or tenant.queued) and now - tenant.seen_at >= 2 * tenant.window_us
            if not (idle and self.has_tokens(now, tenant, tenant.plan.hard_burst / tenant.gateways - 1e-6)):
                self.tenants[key] = tenant  # to the end of the order, so that the next tick checks others
