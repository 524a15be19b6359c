"""Local side of tenant quotas at an ingress: decides on each request at once, and reports counts by a timer.

Two checks decide, and each of them may reject a request:

- The weighted estimate over two windows. Each window is a total received from the coordinator, plus what was
  admitted here since (as in Kong's batched counts). The estimate covers all ingresses, one push late.
- The limit on the tenant's running count at this ingress (escrow, O'Neil 1986). The coordinator grants it,
  and all limits together never exceed the available quota. Without a valid grant an ingress may use 1/N of
  the rate, and its share of what is reserved for such ingresses.

docs/design/totals.md derives the bound. Times are microseconds of this machine's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from vetchusher.distribution.wire_pb2 import Passed, Push, Total, Totals
from vetchusher.settings.configuration import Tenant

from .windows import (
    NEVER,
    QuotaBounds,
    QuotaShape,
    RemoteClock,
    WindowPair,
    disconnected_share,
    first_allowance,
    is_low_quota,
    quota_shape,
    restarted_allowance,
)

GRANT_TTL_US = 800_000  # validity of a grant, from the time when the push was sent
# Without an answer for this long, the next answer may come from a new coordinator.
ANSWER_TIMEOUT_US = 400_000
MAX_PUSH_INTERVAL_US = 250_000  # the coordinator reserves the share of an ingress that reports less often
# Without an answer for this long, the ingress may have been counted as departed.
DISCONNECT_TIMEOUT_US = 58_000_000
RESEND_INTERVAL_US = 300_000  # an unconfirmed count is sent again after this time
MAX_PENDING_PUSHES = 16  # unanswered pushes that are remembered
MIN_FIRST_ESTIMATE_LIMIT = 3.0  # minimum limit of the estimate before the first total
MAX_RETRY_AFTER_US = 5_000_000


@dataclass(slots=True)
class TenantUsage:
    """State of one tenant's quota at this ingress.

    :param count: running count of admitted requests. It starts at the number of requests that were admitted
        for all tenants, so it never falls, even if the tenant is removed and added again
    :param limit: running count up to which requests may be admitted
    :param share_grown_at: time up to which the share without a grant has grown
    :param grant_expires_at: time until which the coordinator's grant holds
    :param last_answer_number: number of the newest answer that named the tenant
    :param pushed: running count in the newest push, which was sent at `pushed_at`
    :param acknowledged: running count in the newest push that was answered
    :param known_to_epoch: epoch of the coordinator that answered
    :param needs_total: the next push must name the tenant, so that the answer has its total
    :param alarmed_at: time of the newest alarm, on the coordinator's clock
    :param deficit: level of the coordinator's token bucket at `deficit_at` if it is below 0
    """

    shape: QuotaShape
    count: int
    limit: float
    share_grown_at: int
    grant_expires_at: int = NEVER
    last_answer_number: int = 0
    pushed: int = 0
    pushed_at: int = NEVER
    acknowledged: int = 0
    known_to_epoch: int = 0
    needs_total: bool = False
    alarmed_at: int = NEVER
    deficit: float = 0.0
    deficit_at: int = 0
    windows: WindowPair = field(default_factory=lambda: WindowPair(0, 0))


@dataclass(slots=True)
class PendingPush:
    """A push that has not been answered.

    :param at: time when it was sent
    :param counts: by tenant the running count in it, and whether a new coordinator can use the report
    """

    at: int
    counts: dict[str, tuple[int, bool]]


class LocalQuota:
    """Decides on requests, and owns a `TenantUsage` for each tenant with a quota in the configuration."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        push_interval_us: int = 150_000,
        bounds: QuotaBounds | None = None,
        *,
        restarted_at: int | None = None,
    ) -> None:
        """Start without tenants.

        :param node: node name of this ingress
        :param incarnation: identifies this process among those of the same node
        :param push_interval_us: interval of the push timer
        :param bounds: bound that every quota must keep
        :param restarted_at: time when this process started; the process before it may have admitted requests
            until then. None: the system has never run before
        """
        self.restarted_at = restarted_at
        self.node = node
        self.incarnation = incarnation
        self.push_interval_us = push_interval_us
        self.bounds = bounds or QuotaBounds()
        self.tenants: dict[str, TenantUsage] = {}
        self.admitted_count = 0  # admitted requests, over all tenants
        self.ingresses = 0  # number of ingresses that may be serving; 0: not known
        self.coordinator_epoch = 0  # epoch of the coordinator that answered last
        self.last_push_number = 0
        self.pending_pushes: dict[int, PendingPush] = {}  # by number
        self.last_push_at = NEVER
        self.last_answered_number = 0
        self.answered_at = NEVER  # when the newest answered push was sent
        self.counted_since = NEVER  # when this ingress first learned that it is counted as an ingress
        self.complete_totals_at = NEVER  # when the newest push was sent whose answer had complete totals
        self.coordinator_totals_at = NEVER  # when that answer was sent, on the coordinator's clock
        self.coordinator_clock = RemoteClock()
        # Tenants with something to report, or with requests admitted in the last two windows.
        self.active_tenants: set[str] = set()
        self.had_complete_totals = False  # whether complete totals arrived, as of the last `log_fields`
        self.push_requested = False  # the next push should not wait for the timer
        self.rejected_by_estimate = self.rejected_by_limit = 0  # requests

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """Apply the tenants of a new configuration.

        A lower quota applies at once: the remaining allowance shrinks in proportion.
        """
        previous, self.tenants = self.tenants, {}
        for name, tenant in tenants.items():
            shape = quota_shape(tenant.rate_per_s, tenant.burst_size, self.bounds)
            if shape is None:
                continue
            usage = previous.get(name)
            if usage is None:
                # Safety: the running count of a tenant that was removed and added again must not start below
                # the count that the coordinator knows.
                usage = TenantUsage(
                    shape,
                    self.admitted_count,
                    self.admitted_count,
                    now,
                    pushed=self.admitted_count,
                    acknowledged=self.admitted_count,
                )
                usage.windows = WindowPair(
                    (now + self.coordinator_clock.offset) // shape.length_us, usage.count
                )
                self.grant_first_allowance(now, usage)
            elif usage.shape != shape:
                remaining = max(0.0, usage.limit - usage.count)
                usage.limit = usage.count + remaining * min(1.0, shape.depth / usage.shape.depth)
                if shape.length_us != usage.shape.length_us:
                    usage.windows.reindex((now + self.coordinator_clock.offset) // shape.length_us)
                usage.shape = shape
            self.tenants[name] = usage
        self.active_tenants &= self.tenants.keys()

    def set_ingresses(self, now: int, ingresses: int, is_counted: bool) -> None:
        """Update the number of ingresses that may be serving, from the rows of the source `directory`.

        Safety: after a loss of power there is no coordinator for seconds. An ingress that is counted may use
        its share meanwhile; one that is not waits for a coordinator.

        :param is_counted: this ingress is one of them
        """
        self.ingresses = ingresses
        if is_counted and self.counted_since == NEVER:
            self.counted_since = now
            for usage in self.tenants.values():
                self.grant_first_allowance(now, usage)

    def grant_first_allowance(self, now: int, usage: TenantUsage) -> None:
        """Allow a few requests before the first total; after a restart only this ingress's share of the rate.

        Safety: after a loss of power at all machines no process knows what was admitted just before. So the
        limit then grows from zero (`refresh_limit`), like a token bucket that was empty when this process
        started.
        """
        if self.counted_since != NEVER and self.answered_at == NEVER and usage.grant_expires_at <= now:
            allowance = first_allowance(usage.shape, self.ingresses)
            if self.restarted_at is not None:
                allowance = restarted_allowance(usage.shape, now - self.restarted_at, self.ingresses)
            usage.limit, usage.share_grown_at = usage.count + allowance, now

    def push_time_us(self, coordinator_now: int, now: int) -> int:
        """Return the time to state in a push.

        :param coordinator_now: estimated time on the coordinator's clock
        :returns: `coordinator_now`, or 0 if that is unknown; while no coordinator has answered, the age of
            this process
        """
        if not self.coordinator_epoch:
            return now - self.restarted_at if self.restarted_at is not None else 0
        return max(0, coordinator_now) if self.coordinator_clock.incarnation == self.coordinator_epoch else 0

    def admit(self, now: int, tenant: str) -> bool:
        """Return whether one more request of a tenant is admitted, and count it if so."""
        usage = self.tenants.get(tenant)
        if usage is None:
            return True
        self.active_tenants.add(tenant)
        estimate = self.estimated_use(now, usage)
        if (
            not usage.windows.has_total
            and now >= usage.grant_expires_at
            and is_low_quota(usage.shape, self.ingresses)
        ):
            self.push_requested = usage.needs_total = True  # fetch the total soon, off the request path
        if estimate + 1.0 > self.estimate_limit(usage):
            usage.needs_total = not usage.windows.has_total
            self.rejected_by_estimate += 1
            return False
        self.refresh_limit(now, usage)
        is_disconnected = now - max(self.answered_at, self.counted_since) > DISCONNECT_TIMEOUT_US
        if usage.limit - usage.count < 1.0 or is_disconnected:
            usage.needs_total = True
            self.rejected_by_limit += 1
            return False
        usage.count += 1
        self.admitted_count += 1
        return True

    def estimated_use(self, now: int, usage: TenantUsage) -> float:
        """Return the weighted estimate of what all ingresses admitted, as far as known here."""
        coordinator_now, length_us = now + self.coordinator_clock.offset, usage.shape.length_us
        usage.windows.roll(coordinator_now // length_us, usage.count)
        return usage.windows.estimated_use(usage.count, coordinator_now % length_us, length_us)

    def estimate_limit(self, usage: TenantUsage) -> float:
        """Return the limit of the estimate; before the first total, a limit for this ingress's own count."""
        if usage.windows.has_total:
            return usage.shape.limit
        return max(MIN_FIRST_ESTIMATE_LIMIT, usage.shape.limit / max(1, self.ingresses))

    def refresh_limit(self, now: int, usage: TenantUsage) -> None:
        """Update the limit of the running count unless a grant holds."""
        if now < usage.grant_expires_at:
            return
        has_current_totals = (
            now - self.complete_totals_at < GRANT_TTL_US and usage.alarmed_at < self.coordinator_totals_at
        )
        if has_current_totals and usage.last_answer_number != self.last_answered_number:
            # The newest answer does not name the tenant, so it is not exhausted: the first allowance applies,
            # again each time when all admitted requests are acknowledged.
            if usage.acknowledged == usage.count:
                usage.limit, usage.share_grown_at = (
                    usage.count + first_allowance(usage.shape, self.ingresses),
                    now,
                )
            return
        # Safety: without totals, all ingresses together must stay within the quota.
        share = disconnected_share(usage.shape, self.ingresses)
        growth = usage.shape.gained(now - max(usage.share_grown_at, usage.grant_expires_at)) / max(
            1, self.ingresses
        )
        usage.limit = usage.count + min(share, usage.limit - usage.count + growth * (self.ingresses > 0))
        usage.share_grown_at = now

    def next_push(self, now: int) -> Push | None:
        """Return the push that is due, or None if there is nothing to report and no total to fetch."""
        if not self.tenants:
            return None
        is_late = now - self.answered_at > ANSWER_TIMEOUT_US
        coordinator_now = now + self.coordinator_clock.offset
        reports = []
        counts: dict[str, tuple[int, bool]] = {}
        for name in list(self.active_tenants):
            usage = self.tenants[name]
            usage.windows.roll(coordinator_now // usage.shape.length_us, usage.count)
            current, previous = usage.windows.local_counts(usage.count)
            # A coordinator that may not know this tenant's count yet gets the window counts, too.
            is_first_report = is_late or usage.known_to_epoch != self.coordinator_epoch
            is_resend_due = usage.count != usage.acknowledged and now - usage.pushed_at > RESEND_INTERVAL_US
            if usage.count == usage.acknowledged and not (current or previous or usage.needs_total):
                self.active_tenants.discard(name)
            deficit = (
                min(0, int(usage.deficit + usage.shape.gained(now - usage.deficit_at)))
                if is_first_report
                else 0
            )
            if not (
                usage.count != usage.pushed
                or usage.needs_total
                or is_resend_due
                or (is_first_report and current + previous - deficit)
            ):
                continue
            usage.pushed, usage.pushed_at, usage.needs_total = usage.count, now, False
            counts[name] = usage.count, is_first_report
            windows = {"recent": current, "before": previous, "low": deficit} if is_first_report else {}
            reports.append(
                Passed(tenant=name, count=usage.count, ended=usage.windows.current_start_count, **windows)
            )
        if not reports and now - self.last_push_at < MAX_PUSH_INTERVAL_US:
            return None
        self.last_push_number += 1
        self.last_push_at, self.push_requested = now, False
        self.pending_pushes[self.last_push_number] = PendingPush(now, counts)
        if len(self.pending_pushes) > MAX_PENDING_PUSHES:
            del self.pending_pushes[next(iter(self.pending_pushes))]
        return Push(
            node=self.node,
            life=self.incarnation,
            number=self.last_push_number,
            passed=reports,
            holder=self.coordinator_epoch,
            at_us=self.push_time_us(coordinator_now, now),
            heard=self.last_answered_number,
        )

    def on_totals(self, now: int, totals: Totals) -> None:
        """Process the answer to a push; an unexpected or outdated answer is ignored."""
        push = self.pending_pushes.pop(totals.number, None)
        if push is None or totals.life < self.coordinator_epoch or totals.number < self.last_answered_number:
            return
        for number in [earlier for earlier in self.pending_pushes if earlier < totals.number]:
            del self.pending_pushes[number]
        is_new_coordinator = totals.life != self.coordinator_epoch
        if is_new_coordinator:
            self.forget_alarms()
        self.coordinator_epoch, self.last_answered_number, self.answered_at = (
            totals.life,
            totals.number,
            push.at,
        )
        self.ingresses = totals.ingresses or self.ingresses
        if self.coordinator_clock.on_reply(totals.life, push.at, now, totals.now_us):
            for usage in self.tenants.values():
                usage.windows.reindex((now + self.coordinator_clock.offset) // usage.shape.length_us)
        self.confirm_counts(push, totals.life)
        if totals.whole:
            self.apply_totals(now, push, totals)
        elif is_new_coordinator:
            self.fall_back_to_shares(now)

    def forget_alarms(self) -> None:
        """Drop the alarms of an earlier coordinator: their times are on another clock."""
        self.coordinator_totals_at = NEVER
        for usage in self.tenants.values():
            usage.alarmed_at = NEVER

    def confirm_counts(self, push: PendingPush, epoch: int) -> None:
        """Record that the coordinator of an epoch has counted a push."""
        for name, (count, is_first_report) in push.counts.items():
            usage = self.tenants.get(name)
            if usage is not None and (is_first_report or usage.known_to_epoch == epoch):
                usage.acknowledged, usage.known_to_epoch = max(usage.acknowledged, count), epoch

    def apply_totals(self, now: int, push: PendingPush, totals: Totals) -> None:
        """Apply the totals and grants of an answer that includes what all ingresses admitted."""
        self.complete_totals_at, self.coordinator_totals_at = push.at, totals.now_us
        for total in totals.totals:
            usage = self.tenants.get(total.tenant)
            if usage is not None:
                usage.windows.roll(
                    (now + self.coordinator_clock.offset) // usage.shape.length_us, usage.count
                )
                index = totals.now_us // usage.shape.length_us
                usage.windows.pull(
                    index, total.current, total.previous, push.counts.get(total.tenant, (0, False))[0]
                )
                self.apply_total(usage, total, push.at)

    def on_alarm(self, now: int, totals: Totals) -> None:
        """Process a coordinator's alarm: nothing is admitted for the named tenants without a grant."""
        if totals.life != self.coordinator_epoch:
            return
        for total in totals.totals:
            usage = self.tenants.get(total.tenant)
            if usage is not None:
                usage.alarmed_at = totals.now_us
                usage.limit, usage.share_grown_at = min(usage.limit, usage.count), now

    def log_fields(self, now: int) -> dict[str, object] | None:
        """Return log fields if complete totals have begun or ceased to arrive since the last call."""
        has_complete_totals = now - self.complete_totals_at < GRANT_TTL_US
        if has_complete_totals == self.had_complete_totals:
            return None
        self.had_complete_totals = has_complete_totals
        shares = [disconnected_share(usage.shape, self.ingresses) for usage in self.tenants.values()]
        smallest, largest = min(shares, default=0.0), max(shares, default=0.0)
        return {
            "ingresses": self.ingresses,
            "holder": self.coordinator_epoch,
            "tenants": len(shares),
            "parts": f"{smallest:.1f}..{largest:.1f}",
            "by_estimate": self.rejected_by_estimate,
            "by_ceiling": self.rejected_by_limit,
        }

    def fall_back_to_shares(self, now: int) -> None:
        """Use shares until the next grant.

        Safety: a new coordinator does not know what the previous one granted.
        """
        self.complete_totals_at = NEVER
        for usage in self.tenants.values():
            if usage.grant_expires_at > now:
                usage.grant_expires_at = now
            self.refresh_limit(now, usage)

    def apply_total(self, usage: TenantUsage, total: Total, sent_at: int) -> None:
        """Apply the grant of one tenant.

        :param sent_at: time when the answered push was sent
        """
        usage.limit, usage.grant_expires_at, usage.share_grown_at = (
            float(total.ceiling),
            sent_at + GRANT_TTL_US,
            sent_at,
        )
        usage.last_answer_number = self.last_answered_number
        usage.deficit, usage.deficit_at = float(total.level), sent_at

    def retry_after_us(self, now: int, tenant: str) -> int:
        """Return the time (us) after which a rejected request may be retried; 0 if there is no quota."""
        usage = self.tenants.get(tenant)
        if usage is None:
            return 0
        wait_us = int(
            (self.estimated_use(now, usage) + 1.0 - self.estimate_limit(usage)) / usage.shape.rate * 1e6
        )
        if now >= usage.grant_expires_at and now - self.complete_totals_at >= GRANT_TTL_US and self.ingresses:
            wait_us = max(
                wait_us, int((1.0 - usage.limit + usage.count) * self.ingresses / usage.shape.rate * 1e6)
            )
        return min(MAX_RETRY_AFTER_US, max(self.push_interval_us, wait_us))
