"""The quota coordinator: counts what all ingresses admitted, and grants what each may admit next.

It runs at the primary of the control state under its lease. Each epoch has a new coordinator, whose state is
never on disk. For each tenant a token bucket of unused quota refills at the tenant's rate up to the depth,
and every admitted request is subtracted. The content of the bucket, and what may be granted in advance, is
divided among the ingresses as limits on their running counts (escrow, O'Neil 1986). A limit that was lowered
counts as the higher one until its ingress confirms it. So at any time:

    admitted at all ingresses <= reported as admitted + what limits and shares still allow
                              <= rate x time + depth + advance

docs/design/totals.md derives the bound. Times are microseconds of this machine's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping

from vetchusher.distribution.wire_pb2 import Passed, Push, Total, Totals
from vetchusher.settings.configuration import Tenant

from .local_quota import GRANT_TTL_US
from .tenant_quota import QuotaGrant, ReportingPeer, TenantQuota
from .windows import (
    NEVER,
    QuotaBounds,
    RestartedIngressAges,
    first_allowance,
    is_low_quota,
    quota_shape,
    reserved_requests,
    worst_case_ratio,
)

REPORT_TIMEOUT_US = 500_000  # an ingress that has not reported for this long has its share reserved
MAX_STARTUP_US = 1_000_000  # a new coordinator waits at most this long for the first reports of all ingresses
PEER_EXPIRY_US = 60_000_000  # an ingress that has not reported for this long admits nothing by itself
TIMEOUT_CHECK_INTERVAL_US = 50_000  # interval between checks for ingresses that do not report
USAGE_TIME_CONSTANT_US = 1_000_000  # time in which the weight of an admitted request falls to 1/e
EVEN_SHARE_RATIO = 0.2  # part of a division made evenly among ingresses with a grant, as traffic may move
# An ingress is granted at most this ratio of its recent use, plus these requests.
MAX_GRANT_USE_RATIO, EXTRA_GRANT_REQUESTS = 0.7, 2.0
# Weight in the recent use of a report without newly admitted requests: its requests were all rejected.
REJECTED_WEIGHT_REQUESTS = 0.5
MIN_EXHAUSTED_US = 250_000  # minimum duration of the exhausted state: within it every ingress sends a push
FIRST_EPOCH = 1  # first epoch of the system, before which nothing was admitted
MAX_INCARNATIONS = 4  # incarnations of one ingress whose state is kept


def decayed(used: float, since_us: int) -> float:
    """Return a recent use after its weights have decayed for some time."""
    return used * math.exp(-since_us / USAGE_TIME_CONSTANT_US)


class QuotaCoordinator:
    """Counts reported requests and grants quota to ingresses.

    It owns a `TenantQuota` for each tenant with a quota, and a `ReportingPeer` for each incarnation of an
    ingress. Tenants that are removed from the configuration, and ingresses that can no longer be serving, are
    dropped.
    """

    def __init__(self, epoch: int, now: int, bounds: QuotaBounds | None = None) -> None:
        """Start an epoch without any reports.

        :param epoch: epoch of the control state; each coordinator has a higher one
        :param bounds: bound that every quota must keep
        """
        self.epoch = epoch
        self.began_at = now
        self.bounds = bounds or QuotaBounds()
        self.tenants: dict[str, TenantQuota] = {}
        self.peers: dict[str, list[ReportingPeer]] = {}  # by node, the newest incarnation last
        self.serving_nodes: set[str] = set()
        self.ingresses = 1  # number of ingresses that may be serving or have reported; at least 1
        self.is_complete = False  # the start-up is finished: quota is granted
        self.unresponsive_ingresses = 0  # number of ingresses that do not report
        self.timeouts_checked_at = NEVER
        self.configuration_count = 0
        self.logged_state: tuple[object, ...] = ()
        self.pending_alarms: list[str] = []  # exhausted tenants that are still to be sent to all ingresses

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """Apply the tenants of a new configuration; the state of a tenant that it still names is kept."""
        self.configuration_count += 1
        previous, self.tenants = self.tenants, {}
        for name, tenant in tenants.items():
            shape = quota_shape(tenant.rate_per_s, tenant.burst_size, self.bounds)
            if shape is None:
                continue
            quota = previous.get(name)
            if quota is None:
                quota = TenantQuota(shape, shape.depth, now)
            else:
                self.refill(now, quota)
                quota.shape, quota.available = shape, min(quota.available, shape.depth)
            self.tenants[name] = quota
        for peer in self.all_peers():
            for name in [n for n in peer.grants if n not in self.tenants]:
                del peer.grants[name]

    def all_peers(self) -> Iterator[ReportingPeer]:
        """Yield every known incarnation of every ingress."""
        return (peer for incarnations in self.peers.values() for peer in incarnations)

    def set_ingresses(self, now: int, nodes: Mapping[str, int]) -> None:
        """Update the ingresses that may be serving.

        :param nodes: time of the last heartbeat by ingress name
        """
        for quota in self.tenants.values():
            self.refill(now, quota)
        self.serving_nodes = set(nodes)
        for node in [n for n, incarnations in self.peers.items() if n not in self.serving_nodes]:
            if now - self.peers[node][-1].last_contact_at > PEER_EXPIRY_US:
                for peer in self.peers.pop(node):
                    self.forget_peer(now, peer)
        self.count_ingresses()
        self.check_report_timeouts(now)

    def count_ingresses(self) -> None:
        """Update the number of ingresses.

        It is cached because a push reads it several times for each tenant.
        """
        self.ingresses = max(1, len(self.serving_nodes | self.peers.keys()))

    def log_fields(self) -> dict[str, object] | None:
        """Return log fields with what the quota bound depends on, or None if that has not changed.

        `bound` is the most that any tenant may admit in a window, as a ratio of what the rule allows. `thin`
        is the number of tenants for which the bound depends on how fast traffic can rise, as the first
        allowances are not all reserved (docs/design/totals.md).
        """
        state = (
            self.is_complete,
            self.ingresses,
            self.unresponsive_ingresses > 0,
            tuple(quota.shape for quota in self.tenants.values()),
        )
        if state == self.logged_state:
            return None
        self.logged_state = state
        shapes = state[3]
        return {
            "ingresses": self.ingresses,
            "whole": int(self.is_complete),
            "silent": self.unresponsive_ingresses,
            "tenants": len(shapes),
            "thin": sum(is_low_quota(shape, self.ingresses) for shape in shapes),
            "bound": f"{max((worst_case_ratio(shape, self.bounds) for shape in shapes), default=0.0):.2f}",
        }

    # -- available quota --------------------------------------------------------------

    def check_report_timeouts(self, now: int) -> None:
        """Count the ingresses that do not report, and finish the start-up of this coordinator when possible.

        Safety: what these ingresses admit meanwhile is not reported, so their shares are reserved (`refill`).
        """
        self.timeouts_checked_at = now
        newest = [incarnations[-1] for incarnations in self.peers.values()]
        unreported = len(self.serving_nodes - self.peers.keys())
        self.unresponsive_ingresses = unreported + sum(
            now - peer.last_contact_at > REPORT_TIMEOUT_US for peer in newest
        )
        if not self.is_complete and self.serving_nodes:
            all_known = not unreported and all(
                peer.knows_coordinator for peer in newest if peer.node in self.serving_nodes
            )
            if all_known or now - self.began_at >= MAX_STARTUP_US:
                self.finish_startup(now, unreported)

    def finish_startup(self, now: int, unreported: int) -> None:
        """Begin to grant quota, after subtracting what may have been admitted without a report.

        :param unreported: number of ingresses that may be serving and have reported nothing
        """
        self.is_complete = True
        ages = self.restarted_ingress_ages(now, unreported)
        for quota in self.tenants.values():
            self.refill(now, quota)
            quota.available -= ages.max_unreported_use(quota.shape) / self.ingresses
            # Safety: the two windows that ingresses report do not include all that was granted in advance, so
            # the deficit of the previous coordinator's bucket counts as well.
            remaining = max(quota.reported_deficit, -quota.shape.advance) + quota.shape.gained(
                now - quota.reported_deficit_at
            )
            if quota.reported_deficit < 0.0:
                quota.available = min(quota.available, remaining)

    def restarted_ingress_ages(self, now: int, unreported: int) -> RestartedIngressAges:
        """Return the ages of ingresses that may have admitted unreported requests before their restart.

        Safety: after a loss of power at all ingresses, each may have used its part of the token bucket and of
        the advance just before it restarted. Requests from before the bound's window do not matter.

        :param unreported: number of ingresses that may be serving and have reported nothing; their age is
            counted from the beginning of the epoch
        """
        if self.epoch == FIRST_EPOCH:
            return RestartedIngressAges(())
        newest = [incarnations[-1] for node, incarnations in self.peers.items() if node in self.serving_nodes]
        ages_us = [now - peer.began_at for peer in newest if peer.began_at != NEVER]
        ages_us += [now - self.began_at] * unreported
        return RestartedIngressAges(age for age in ages_us if age < self.bounds.window_s * 1e6)

    def refill(self, now: int, quota: TenantQuota) -> None:
        """Refill a tenant's token bucket until now, and end grants that have expired.

        The share of ingresses that do not report is not added.
        """
        reporting_ratio = 1.0 - self.unresponsive_ingresses / self.ingresses
        quota.available = min(
            quota.shape.depth, quota.available + quota.shape.gained(now - quota.refilled_at) * reporting_ratio
        )
        quota.refilled_at = now
        while quota.expirations and quota.expirations[0][0] <= now:
            expires_at, peer, grant = quota.expirations.popleft()
            if grant.expires_at == expires_at:
                self.expire_grant(now, quota, peer, grant)

    def expire_grant(self, now: int, quota: TenantQuota, peer: ReportingPeer, grant: QuotaGrant) -> None:
        """End an expired grant."""
        quota.active_grants -= 1
        quota.granted -= grant.remaining()
        grant.expires_at = NEVER
        if now - peer.last_contact_at > REPORT_TIMEOUT_US or peer is not self.peers[peer.node][-1]:
            # Safety: an ingress that does not report, or was killed, may have admitted all that it was
            # granted.
            quota.available -= grant.remaining()
            grant.count = max(grant.count, grant.limit)

    def unreserved(self, quota: TenantQuota) -> float:
        """Return what is neither granted nor reserved for ingresses without a grant."""
        idle = max(0, self.ingresses - quota.active_grants) / self.ingresses
        return (
            quota.available
            + quota.shape.advance
            - quota.granted
            - idle * reserved_requests(quota.shape, self.ingresses)
        )

    # -- pushes -----------------------------------------------------------------------

    def on_push(self, now: int, push: Push) -> Totals:
        """Add the counts that an ingress reports, and return its answer with totals and grants."""
        peer = self.peer_for(now, push)
        peer.knows_coordinator = peer.knows_coordinator or push.holder == self.epoch
        if now - self.timeouts_checked_at >= TIMEOUT_CHECK_INTERVAL_US or not self.is_complete:
            self.check_report_timeouts(now)
        requested = []
        for report in push.passed:
            quota = self.tenants.get(report.tenant)
            if quota is not None:
                self.refill(now, quota)
                knows_epoch = push.holder == self.epoch
                if self.add_count(now, quota, peer, report, knows_epoch, push.at_us if knows_epoch else now):
                    requested.append(report.tenant)
        peer.reserved_timeout_us = 0.0
        self.confirm_answer(peer, push.heard)
        return self.totals_for(now, push, peer, requested)

    def confirm_answer(self, peer: ReportingPeer, number: int) -> None:
        """Process an ingress's confirmation of an answer: the limits of earlier answers no longer hold."""
        for name in list(peer.unconfirmed_tenants):
            quota, grant = self.tenants.get(name), peer.grants.get(name)
            if quota is not None and grant is not None and grant.expires_at > NEVER:
                quota.granted -= grant.remaining()
                grant.confirm(number)
                quota.granted += grant.remaining()
            if grant is None or len(grant.unconfirmed) < 2:
                peer.unconfirmed_tenants.discard(name)

    def totals_for(self, now: int, push: Push, peer: ReportingPeer, requested: list[str]) -> Totals:
        """Return the answer to a push: totals and grants for the requested tenants and all exhausted ones."""
        message = Totals(
            number=push.number, life=self.epoch, whole=self.is_complete, ingresses=self.ingresses
        )
        message.silent, message.now_us = self.unresponsive_ingresses, now
        if self.is_complete and peer is self.peers[peer.node][-1]:
            requested_names = set(requested)
            message.totals.extend(self.grant_to(now, name, peer, True, push.number) for name in requested)
            for name, quota in self.tenants.items():
                if name not in requested_names and self.update_exhausted(now, name, quota):
                    message.totals.append(self.grant_to(now, name, peer, False, push.number))
        return message

    def peer_for(self, now: int, push: Push) -> ReportingPeer:
        """Return the record of the incarnation that sent a push, with its last contact updated."""
        if push.node not in self.peers:
            self.peers[push.node] = []
            self.count_ingresses()
        incarnations = self.peers[push.node]
        peer = next((known for known in incarnations if known.incarnation == push.life), None)
        if peer is None:
            began_at = NEVER if push.holder else now - push.at_us
            peer = ReportingPeer(push.node, push.life, now, began_at)
            incarnations.append(peer)
            if len(incarnations) > MAX_INCARNATIONS:
                self.forget_peer(now, incarnations.pop(0))
        overdue_us = now - peer.last_contact_at - REPORT_TIMEOUT_US
        if overdue_us > 0:
            peer.reserved_timeout_us += overdue_us
        peer.last_contact_at = now
        return peer

    def forget_peer(self, now: int, peer: ReportingPeer) -> None:
        """Release the grants of a dropped incarnation; what it may still admit counts as admitted."""
        for name, grant in peer.grants.items():
            quota = self.tenants.get(name)
            if quota is not None and grant.expires_at > NEVER:
                quota.active_grants -= 1
                quota.granted -= grant.remaining()
                quota.available -= grant.remaining()
                grant.expires_at = NEVER

    def add_count(
        self, now: int, quota: TenantQuota, peer: ReportingPeer, report: Passed, knows_epoch: bool, at: int
    ) -> bool:
        """Add the new part of a reported running count to the tenant's quota and windows.

        :param knows_epoch: the ingress has received an answer of this coordinator
        :param at: time of the report on this clock; it determines the window
        :returns: False if the report cannot be used: its count includes requests from before this
            coordinator's epoch, without stating how many
        """
        if report.low < min(
            0.0, quota.reported_deficit + quota.shape.gained(now - quota.reported_deficit_at)
        ):
            quota.reported_deficit, quota.reported_deficit_at = float(report.low), now
        grant = peer.grants.get(report.tenant)
        reported = report.recent + report.before
        if grant is None or not grant.has_report:
            if not reported and not knows_epoch:
                return False
            new = reported
        else:
            new = max(0, report.count - grant.count)
            if reported:
                # Safety: if a tenant was removed from the configuration and added again, its running count
                # continues from a higher value.
                new = min(new, reported)
        if grant is None:
            grant = peer.grants[report.tenant] = QuotaGrant(report.count, 0, recent_use_at=now)
        else:
            quota.granted -= grant.remaining() if grant.expires_at > NEVER else 0
            grant.count, grant.has_report = max(grant.count, report.count), True
            quota.granted += grant.remaining() if grant.expires_at > NEVER else 0
        reserved = quota.shape.gained(int(peer.reserved_timeout_us)) / self.ingresses
        quota.available -= max(0.0, new - reserved)
        index = min(at, now) // quota.shape.length_us
        quota.windows.roll(now // quota.shape.length_us)
        in_current_window = min(new, report.count - report.ended)
        quota.windows.add(index - 1, new - in_current_window)
        quota.windows.add(index, in_current_window)
        weight = new or REJECTED_WEIGHT_REQUESTS
        grant.recent_use = decayed(grant.recent_use, now - grant.recent_use_at) + weight
        quota.recent_use = decayed(quota.recent_use, now - quota.recent_use_at) + weight
        grant.recent_use_at = quota.recent_use_at = now
        return True

    def update_exhausted(self, now: int, name: str, quota: TenantQuota) -> bool:
        """Update and return whether too little quota remains to let ingresses admit without a grant."""
        self.refill(now, quota)
        reserved = reserved_requests(quota.shape, self.ingresses)
        if quota.is_exhausted:
            # Safety: ingresses whose limit allows nothing get their first allowance again when the state
            # ends.
            reserved += max(
                0.0, quota.granted - quota.active_grants * first_allowance(quota.shape, self.ingresses)
            )
        was_exhausted, quota.is_exhausted = (
            quota.is_exhausted,
            quota.available + quota.shape.advance < reserved,
        )
        quota.is_exhausted = quota.is_exhausted or now - quota.exhausted_at < MIN_EXHAUSTED_US
        if quota.is_exhausted and not was_exhausted:
            quota.exhausted_at = now
            if is_low_quota(quota.shape, self.ingresses):
                # Safety: not all first allowances are reserved, so ingresses must be notified before they use
                # them.
                self.pending_alarms.append(name)
        return quota.is_exhausted

    def alarm(self, now: int) -> Totals | None:
        """Return a message to all ingresses with the newly exhausted tenants, or None.

        Ingresses admit requests of these tenants only with a grant.
        """
        if not self.pending_alarms:
            return None
        message = Totals(
            life=self.epoch, now_us=now, totals=[Total(tenant=name) for name in self.pending_alarms]
        )
        self.pending_alarms.clear()
        return message

    def grant_to(self, now: int, name: str, peer: ReportingPeer, requested: bool, number: int) -> Total:
        """Grant an ingress its share of a tenant's quota, as a limit on its running count.

        :param requested: the ingress reported the tenant in its push
        :param number: number of the push that is answered
        :returns: the tenant's totals and the limit
        """
        quota = self.tenants[name]
        is_exhausted = self.update_exhausted(now, name, quota)
        grant = peer.grants.get(name)
        if grant is None:
            # The ingress has not reported its running count, so the limit is below any count.
            grant = peer.grants[name] = QuotaGrant(0, 0, has_report=False, recent_use_at=now)
        allowed = self.share_for(quota, grant, now, requested)
        if grant.expires_at > NEVER:
            quota.granted -= grant.remaining()
        else:
            quota.active_grants += 1
            grant.unconfirmed.clear()
        limit = grant.count + allowed
        if not is_exhausted and grant.unconfirmed:
            limit = max(limit, grant.unconfirmed[-1][1])
        grant.set_limit(number, limit)
        if len(grant.unconfirmed) > 1:
            peer.unconfirmed_tenants.add(name)
        grant.expires_at = now + GRANT_TTL_US
        quota.granted += grant.remaining()
        quota.expirations.append((grant.expires_at, peer, grant))
        quota.windows.roll(now // quota.shape.length_us)
        windows, level = quota.windows, min(0, int(quota.available))
        total = Total(tenant=name, ceiling=limit, level=level)
        total.current, total.previous = windows.current, windows.previous
        return total

    def share_for(self, quota: TenantQuota, grant: QuotaGrant, now: int, requested: bool) -> int:
        """Return how many more requests an ingress may admit of a tenant.

        :param requested: the ingress reported the tenant in its push
        """
        reserved = reserved_requests(quota.shape, self.ingresses) / self.ingresses
        free = self.unreserved(quota) + (grant.remaining() if grant.expires_at > NEVER else reserved)
        if not requested:
            # Safety: grant one request ahead: a tenant with few requests may use a different ingress each
            # time.
            return int(grant.has_report and free >= 1.0 + grant.remaining())
        base = 0.0 if quota.is_exhausted else reserved
        divided = quota.available + quota.shape.advance - base * self.ingresses
        own_use = decayed(grant.recent_use, now - grant.recent_use_at)
        share = own_use / max(1e-9, decayed(quota.recent_use, now - quota.recent_use_at))
        share = (1.0 - EVEN_SHARE_RATIO) * min(1.0, share) + EVEN_SHARE_RATIO / max(1, quota.active_grants)
        # Safety: limited to the recent use: quota that is unused at one ingress is missing at the others.
        allowed = min(
            free, base + min(share * max(0.0, divided), EXTRA_GRANT_REQUESTS + MAX_GRANT_USE_RATIO * own_use)
        )
        if not quota.is_exhausted:
            return int(max(allowed, first_allowance(quota.shape, self.ingresses)))
        return int(allowed) if allowed >= 1.0 else int(free >= 1.0)
