"""The local side of quotas at an ingress: a request is judged at once, and reported to the coordinator by a
timer.

Two judges, each of which may reject. First the weighted estimate over two windows, each a pulled total and
what was admitted here since (as in Kong's batched counts). It sees what all admitted, one push late. Behind
it the guard (escrow, O'Neil 1986): the coordinator grants a limit on a tenant's running count here, and all
limits together never exceed what the quota has room for. Without a fresh grant an ingress has 1/N of the
rate, and its share of what is reserved for such ingresses. docs/design/totals.md derives the bound.

Times are microseconds of this machine's steady clock.
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

GRANT_TTL_US = 800_000  # us from sending a push for which its answer's grants hold
UNANSWERED_US = 400_000  # us without an answer after which the next may come from a new holder
MAX_PUSH_INTERVAL_US = 250_000  # us between two pushes at most: the holder reserves parts for the silent
DISCONNECTED_US = 58_000_000  # us without an answer after which the core may count this ingress as gone
RESEND_US = 300_000  # us after which an unconfirmed count is sent again
MAX_PENDING_PUSHES = 16  # pushes without an answer that are remembered
MIN_FIRST_REQUESTS = 3.0  # requests that the estimate lets pass before a first total
MAX_RETRY_AFTER_US = 5_000_000  # us: the longest time to return that a refusal states


@dataclass(slots=True)
class TenantUsage:
    """What this ingress knows of one tenant.

    :param count: admitted, as a running count; it begins at what all tenants had admitted, so it never falls
    :param limit: count up to which may be admitted
    :param grant_expires_at: until when the coordinator's grant holds
    :param share_grown_at: up to when the share has grown
    :param last_answer_number: number of the newest answer that named the tenant
    :param pushed: the count in the newest push; at `pushed_at`
    :param acknowledged: the count in the newest push that was answered
    :param known_to_epoch: epoch of the coordinator that answered
    :param alarmed_at: time on the coordinator's clock
    :param deficit: below 0: what the store held at `deficit_at`
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
    alarmed_at: int = NEVER  # us on the holder's clock
    deficit: float = 0.0  # below 0: what the store held at `low_at`
    deficit_at: int = 0
    windows: WindowPair = field(default_factory=lambda: WindowPair(0, 0))


@dataclass(slots=True)
class PendingPush:
    """A push in flight.

    :param counts: by tenant the count in it, and whether a new coordinator could use it
    """

    at: int
    counts: dict[str, tuple[int, bool]]


class LocalQuota:
    """Owner of one `TenantUsage` for each tenant with a quota in the configuration."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        sync_us: int = 150_000,
        bounds: QuotaBounds | None = None,
        *,
        restarted_at: int | None = None,
    ) -> None:
        """Begin without tenants.

        :param sync_us: between two pushes
        :param restarted_at: us, when this process began; the one before it may have admitted requests up to
            then.  None: the system has never run before
        """
        self.restarted_at = restarted_at
        self.node = node
        self.incarnation = incarnation
        self.sync_us = sync_us
        self.bounds = bounds or QuotaBounds()
        self.tenants: dict[str, TenantUsage] = {}
        self.admitted_count = 0  # passed, over all tenants
        self.ingresses = 0  # that may be serving; 0: not known
        self.coordinator_epoch = 0  # life of the duty whose totals were heard
        self.last_push_number = 0
        self.pending_pushes: dict[int, PendingPush] = {}
        self.last_push_at = NEVER
        self.last_answered_number = 0
        self.answered_at = NEVER  # us: when the newest answered push was sent
        self.counted_since = NEVER  # us: when this ingress first learnt that it is counted among them
        self.complete_totals_at = NEVER  # the same, of those whose answer was whole
        self.coordinator_totals_at = NEVER  # us on the holder's clock: when it gave the newest of them
        self.coordinator_clock = RemoteClock()  # the holder's
        self.active_tenants: set[str] = (
            set()
        )  # tenants with something to report, or that passed in the last two windows
        self.had_complete_totals = False  # whether whole totals came, when last asked
        self.push_requested = False  # a push should not wait for the timer
        self.rejected_by_estimate = self.rejected_by_limit = 0  # refused by each

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """Take the tenants of a configuration. A lower limit holds at once: what is left of the share shrinks
        with it.
        """
        previous, self.tenants = self.tenants, {}
        for name, tenant in tenants.items():
            shape = quota_shape(tenant.rate_per_s, tenant.burst_size, self.bounds)
            if shape is None:
                continue
            usage = previous.get(name)
            if usage is None:
                # Safety: a tenant that comes back must not count from below what the holder has heard.
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
        """Take how many ingresses may be serving, by the rows of the source `directory`.

        Safety: after a loss of power there is no coordinator for seconds; an ingress that was counted before
        has its share, one that was not waits for a coordinator.

        :param is_counted: this ingress is one of them
        """
        self.ingresses = ingresses
        if is_counted and self.counted_since == NEVER:
            self.counted_since = now
            for usage in self.tenants.values():
                self.grant_first_allowance(now, usage)

    def grant_first_allowance(self, now: int, usage: TenantUsage) -> None:
        """Allow a few requests before any total; after a restart only this ingress's part of the rate.

        Safety: after all machines lost power nobody remembers what was admitted a moment before.  So the
        limit then grows from nothing (`refresh_limit`), as a store that was emptied when this process began.
        """
        if self.counted_since != NEVER and self.answered_at == NEVER and usage.grant_expires_at <= now:
            allowance = first_allowance(usage.shape, self.ingresses)
            if self.restarted_at is not None:
                allowance = restarted_allowance(usage.shape, now - self.restarted_at, self.ingresses)
            usage.limit, usage.share_grown_at = usage.count + allowance, now

    def push_time_us(self, at: int, now: int) -> int:
        """Return the time that a push states.

        :param at: us on the coordinator's clock, as far as it is known
        :returns: that, or the age of this process (us) while it knows no coordinator
        """
        if not self.coordinator_epoch:
            return now - self.restarted_at if self.restarted_at is not None else 0
        return max(0, at) if self.coordinator_clock.incarnation == self.coordinator_epoch else 0

    def admit(self, now: int, tenant: str) -> bool:
        """Return whether one more request of a tenant is admitted; if so it is counted."""
        usage = self.tenants.get(tenant)
        if usage is None:
            return True
        self.active_tenants.add(tenant)
        used = self.estimated_use(now, usage)
        if (
            not usage.windows.has_total
            and now >= usage.grant_expires_at
            and is_low_quota(usage.shape, self.ingresses)
        ):
            self.push_requested = usage.needs_total = True  # read the total at once, off the request path
        if used + 1.0 > self.estimate_limit(usage):
            usage.needs_total = not usage.windows.has_total
            self.rejected_by_estimate += 1
            return False
        self.refresh_limit(now, usage)
        alone = now - max(self.answered_at, self.counted_since) > DISCONNECTED_US
        if usage.limit - usage.count < 1.0 or alone:
            usage.needs_total = True
            self.rejected_by_limit += 1
            return False
        usage.count += 1
        self.admitted_count += 1
        return True

    def estimated_use(self, now: int, usage: TenantUsage) -> float:
        """Return the weighted estimate, as known here."""
        at, length = now + self.coordinator_clock.offset, usage.shape.length_us
        usage.windows.roll(at // length, usage.count)
        return usage.windows.estimated_use(usage.count, at % length, length)

    def estimate_limit(self, usage: TenantUsage) -> float:
        """Return the limit of the estimate; before a first total, of what was admitted here alone."""
        if usage.windows.has_total:
            return usage.shape.limit
        return max(MIN_FIRST_REQUESTS, usage.shape.limit / max(1, self.ingresses))

    def refresh_limit(self, now: int, usage: TenantUsage) -> None:
        """Bring the limit up to date where no grant holds."""
        if now < usage.grant_expires_at:
            return
        in_touch = (
            now - self.complete_totals_at < GRANT_TTL_US and usage.alarmed_at < self.coordinator_totals_at
        )
        if in_touch and usage.last_answer_number != self.last_answered_number:
            # In touch, and the tenant is not short: what is kept back, anew once all is told.
            if usage.acknowledged == usage.count:
                usage.limit, usage.share_grown_at = (
                    usage.count + first_allowance(usage.shape, self.ingresses),
                    now,
                )
            return
        # Safety: cut off from the totals, all ingresses together must stay within the quota.
        share = disconnected_share(usage.shape, self.ingresses)
        grown = usage.shape.gained(now - max(usage.share_grown_at, usage.grant_expires_at)) / max(
            1, self.ingresses
        )
        usage.limit = usage.count + min(share, usage.limit - usage.count + grown * (self.ingresses > 0))
        usage.share_grown_at = now

    def next_push(self, now: int) -> Push | None:
        """Return what the timer sends; None: nothing to report, and nothing to learn."""
        if not self.tenants:
            return None
        is_late = now - self.answered_at > UNANSWERED_US
        at = now + self.coordinator_clock.offset
        admitted = []
        counts: dict[str, tuple[int, bool]] = {}
        for name in list(self.active_tenants):
            usage = self.tenants[name]
            usage.windows.roll(at // usage.shape.length_us, usage.count)
            recent, before = usage.windows.local_counts(usage.count)
            opening = is_late or usage.known_to_epoch != self.coordinator_epoch
            again = usage.count != usage.acknowledged and now - usage.pushed_at > RESEND_US
            if usage.count == usage.acknowledged and not (recent or before or usage.needs_total):
                self.active_tenants.discard(name)
            low = min(0, int(usage.deficit + usage.shape.gained(now - usage.deficit_at))) if opening else 0
            if not (
                usage.count != usage.pushed
                or usage.needs_total
                or again
                or (opening and recent + before - low)
            ):
                continue
            usage.pushed, usage.pushed_at, usage.needs_total = usage.count, now, False
            counts[name] = usage.count, opening
            windows = {"recent": recent, "before": before, "low": low} if opening else {}
            admitted.append(
                Passed(tenant=name, count=usage.count, ended=usage.windows.current_began, **windows)
            )
        if not admitted and now - self.last_push_at < MAX_PUSH_INTERVAL_US:
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
            passed=admitted,
            holder=self.coordinator_epoch,
            at_us=self.push_time_us(at, now),
            heard=self.last_answered_number,
        )

    def on_totals(self, now: int, totals: Totals) -> None:
        """Take the answer to a push."""
        push = self.pending_pushes.pop(totals.number, None)
        if push is None or totals.life < self.coordinator_epoch or totals.number < self.last_answered_number:
            return
        for number in [n for n in self.pending_pushes if n < totals.number]:
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
        """Forget the alarms of an earlier coordinator."""
        self.coordinator_totals_at = NEVER
        for usage in self.tenants.values():
            usage.alarmed_at = NEVER

    def confirm_counts(self, push: PendingPush, epoch: int) -> None:
        """Note that a coordinator has counted a push."""
        for name, (count, opening) in push.counts.items():
            usage = self.tenants.get(name)
            if usage is not None and (opening or usage.known_to_epoch == epoch):
                usage.acknowledged, usage.known_to_epoch = max(usage.acknowledged, count), epoch

    def apply_totals(self, now: int, push: PendingPush, totals: Totals) -> None:
        """Take totals and grants of an answer that holds what all ingresses admitted."""
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
        """Take the names, sent unasked, of tenants of whom nothing is admitted without a grant."""
        if totals.life != self.coordinator_epoch:
            return
        for total in totals.totals:
            usage = self.tenants.get(total.tenant)
            if usage is not None:
                usage.alarmed_at = totals.now_us
                usage.limit, usage.share_grown_at = min(usage.limit, usage.count), now

    def log_fields(self, now: int) -> dict[str, object] | None:
        """Return figures for the log where it has changed whether complete totals come."""
        has_complete_totals = now - self.complete_totals_at < GRANT_TTL_US
        if has_complete_totals == self.had_complete_totals:
            return None
        self.had_complete_totals = has_complete_totals
        shares = [disconnected_share(usage.shape, self.ingresses) for usage in self.tenants.values()]
        least, most = min(shares, default=0.0), max(shares, default=0.0)
        return {
            "ingresses": self.ingresses,
            "holder": self.coordinator_epoch,
            "tenants": len(shares),
            "parts": f"{least:.1f}..{most:.1f}",
            "by_estimate": self.rejected_by_estimate,
            "by_ceiling": self.rejected_by_limit,
        }

    def fall_back_to_shares(self, now: int) -> None:
        """Use shares until the next grant. Safety: a new coordinator does not know what the one before it
        granted.
        """
        self.complete_totals_at = NEVER
        for usage in self.tenants.values():
            if usage.grant_expires_at > now:
                usage.grant_expires_at = now
            self.refresh_limit(now, usage)

    def apply_total(self, usage: TenantUsage, total: Total, sent_at: int) -> None:
        """Take the total and the grant of one tenant."""
        usage.limit, usage.grant_expires_at, usage.share_grown_at = (
            float(total.ceiling),
            sent_at + GRANT_TTL_US,
            sent_at,
        )
        usage.last_answer_number = self.last_answered_number
        usage.deficit, usage.deficit_at = float(total.level), sent_at

    def retry_after_us(self, now: int, tenant: str) -> int:
        """Return the microseconds after which a rejected request may try again."""
        usage = self.tenants.get(tenant)
        if usage is None:
            return 0
        wait = int(
            (self.estimated_use(now, usage) + 1.0 - self.estimate_limit(usage)) / usage.shape.rate * 1e6
        )
        if now >= usage.grant_expires_at and now - self.complete_totals_at >= GRANT_TTL_US and self.ingresses:
            wait = max(wait, int((1.0 - usage.limit + usage.count) * self.ingresses / usage.shape.rate * 1e6))
        return min(MAX_RETRY_AFTER_US, max(self.sync_us, wait))
