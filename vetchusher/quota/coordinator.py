"""The quota coordinator: what all ingresses admitted, and what each may admit next.

It runs at the primary of the control state under its lease, made anew with each epoch, never on disk. For
each tenant a store of unused quota refills by the rate up to the depth, and all that was admitted is taken
off. What it holds, and what may be given out in advance, is divided among the ingresses as limits on their
running counts (escrow, O'Neil 1986). A limit that is lowered counts as the higher one until its ingress
confirms it. So at each moment: admitted everywhere <= admitted as reported + what limits and shares still
allow <= rate x time + depth + advance. docs/design/totals.md derives the bound.

Times are microseconds of this machine's steady clock.
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
    ForgottenPast,
    QuotaBounds,
    first_allowance,
    is_low_quota,
    quota_shape,
    reserved_requests,
    worst_case_ratio,
)

SILENCE_TIMEOUT_US = 500_000  # us after which a part is kept back for an ingress that says nothing
COMPLETE_AFTER_US = 1_000_000  # us after its start when a holder goes on without those that said nothing
FORGET_AFTER_US = 60_000_000  # us of silence after which an ingress passes nothing by itself
SILENCE_CHECK_US = 50_000  # us between two looks at who is silent
USAGE_DECAY_US = 1_000_000  # us in which the weight of what an ingress passed falls to a third
EVEN_RATIO = 0.2  # of what is divided: evenly among those that ask, as traffic moves
NEED_RATIO, MIN_NEED_REQUESTS = (
    0.7,
    2.0,
)  # of what it passed lately, and requests: all that an ingress is given
REJECTED_WEIGHT = 0.5  # requests that a refused one counts for, in the shares
MIN_EXHAUSTED_US = 250_000  # us for which a tenant stays tight at least: by then each has asked
FIRST_EPOCH = 1  # of the whole system: nothing was admitted before
MAX_INCARNATIONS = 4  # of one ingress that are remembered


def decayed(used: float, since_us: int) -> float:
    """Return what is left of a recent use after some time."""
    return used * math.exp(-since_us / USAGE_DECAY_US)


class QuotaCoordinator:
    """Owner of a `TenantQuota` for each tenant with a quota, and of a `ReportingPeer` for each incarnation of
    an ingress.

    A tenant that leaves the configuration, and an ingress that can no longer be serving, are forgotten.
    """

    def __init__(self, epoch: int, now: int, bounds: QuotaBounds | None = None) -> None:
        """Begin an epoch, with nothing reported.

        :param epoch: of the control state; it grows with each coordinator
        """
        self.epoch = epoch
        self.began_at = now
        self.bounds = bounds or QuotaBounds()
        self.tenants: dict[str, TenantQuota] = {}
        self.peers: dict[str, list[ReportingPeer]] = {}  # by node, the newest life last
        self.serving_nodes: set[str] = set()
        self.ingresses = 1  # that may be serving: those of `nodes` and `sources` together, at least one
        self.is_complete = False
        self.silent_peers = 0
        self.silence_checked_at = NEVER
        self.configuration_count = 0  # times
        self.logged_state: tuple[object, ...] = ()
        self.pending_alarms: list[str] = []  # tenants that have become tight, not yet sent to all

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """Take the tenants of a configuration."""
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
        """Return every incarnation of every ingress."""
        return (peer for incarnations in self.peers.values() for peer in incarnations)

    def set_ingresses(self, now: int, nodes: Mapping[str, int]) -> None:
        """Take the ingresses that may be serving.

        :param nodes: by name, with the time of each one's last heartbeat
        """
        for quota in self.tenants.values():
            self.refill(now, quota)
        self.serving_nodes = set(nodes)
        for node in [n for n, incarnations in self.peers.items() if n not in self.serving_nodes]:
            if now - self.peers[node][-1].last_contact_at > FORGET_AFTER_US:
                for peer in self.peers.pop(node):
                    self.forget_peer(now, peer)
        self.count_ingresses()
        self.check_silence(now)

    def count_ingresses(self) -> None:
        """Count the ingresses after a change: a push reads the number several times for each tenant."""
        self.ingresses = max(1, len(self.serving_nodes | self.peers.keys()))

    def log_fields(self) -> dict[str, object] | None:
        """Return what the bound rests on, where that has changed: figures for the log.

        `bound`: most that any tenant may admit in a window, as a ratio of what the rule allows; `thin`:
        tenants for whom this rests on how fast traffic can rise (docs/design/totals.md).
        """
        stands = (
            self.is_complete,
            self.ingresses,
            self.silent_peers > 0,
            tuple(quota.shape for quota in self.tenants.values()),
        )
        if stands == self.logged_state:
            return None
        self.logged_state = stands
        shapes = stands[3]
        return {
            "ingresses": self.ingresses,
            "whole": int(self.is_complete),
            "silent": self.silent_peers,
            "tenants": len(shapes),
            "thin": sum(is_low_quota(shape, self.ingresses) for shape in shapes),
            "bound": f"{max((worst_case_ratio(shape, self.bounds) for shape in shapes), default=0.0):.2f}",
        }

    # -- what is left -----------------------------------------------------------------

    def check_silence(self, now: int) -> None:
        """Count the ingresses that are silent. Safety: what they admit meanwhile is not reported; their
        shares are reserved.
        """
        self.silence_checked_at = now
        newest = [incarnations[-1] for incarnations in self.peers.values()]
        unheard = len(self.serving_nodes - self.peers.keys())
        self.silent_peers = unheard + sum(now - peer.last_contact_at > SILENCE_TIMEOUT_US for peer in newest)
        if not self.is_complete and self.serving_nodes:
            all_known = not unheard and all(
                s.knows_coordinator for s in newest if s.node in self.serving_nodes
            )
            if all_known or now - self.began_at >= COMPLETE_AFTER_US:
                self.complete(now, unheard)

    def complete(self, now: int, unheard: int) -> None:
        """Go on with what the ingresses have reported, less what may have been admitted beyond it.

        :param unheard: ingresses that may be serving and have reported nothing
        """
        self.is_complete = True
        past = self.forgotten_past(now, unheard)
        for quota in self.tenants.values():
            self.refill(now, quota)
            quota.available -= past.use(quota.shape) / self.ingresses
            # Safety: two windows do not tell all that was given out ahead.
            remaining = max(quota.reported_deficit, -quota.shape.advance) + quota.shape.gained(
                now - quota.reported_deficit_at
            )
            if quota.reported_deficit < 0.0:
                quota.available = min(quota.available, remaining)

    def forgotten_past(self, now: int, unheard: int) -> ForgottenPast:
        """Return the ages of ingresses whose machines may have admitted what nobody remembers.

        Safety: after all ingresses lost power the store and all that may be given out in advance may have
        been used a moment before they began, by each its part.  What was admitted before the rule's window
        does not matter.

        :param unheard: ingresses that may be serving and have reported nothing; they count from the epoch's
            begin
        """
        if self.epoch == FIRST_EPOCH:
            return ForgottenPast(())
        newest = [lives[-1] for node, lives in self.peers.items() if node in self.serving_nodes]
        ages_us = [now - peer.began_at for peer in newest if peer.began_at != NEVER]
        ages_us += [now - self.began_at] * unheard
        return ForgottenPast(age for age in ages_us if age < self.bounds.window_s * 1e6)

    def refill(self, now: int, quota: TenantQuota) -> None:
        """Bring a quota up to date: its store, and limits that have expired."""
        speaking = 1.0 - self.silent_peers / self.ingresses
        quota.available = min(
            quota.shape.depth, quota.available + quota.shape.gained(now - quota.refilled_at) * speaking
        )
        quota.refilled_at = now
        while quota.expirations and quota.expirations[0][0] <= now:
            until, peer, grant = quota.expirations.popleft()
            if grant.expires_at == until:
                self.expire_grant(now, quota, peer, grant)

    def expire_grant(self, now: int, quota: TenantQuota, peer: ReportingPeer, grant: QuotaGrant) -> None:
        """End a grant whose time is over."""
        quota.active_grants -= 1
        quota.granted -= grant.remaining()
        grant.expires_at = NEVER
        if now - peer.last_contact_at > SILENCE_TIMEOUT_US or peer is not self.peers[peer.node][-1]:
            # Safety: whoever says nothing, or was killed, may have passed all that it had been given.
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
        """Count what an ingress reports, and return totals and grants."""
        peer = self.peer_for(now, push)
        peer.knows_coordinator = peer.knows_coordinator or push.holder == self.epoch
        if now - self.silence_checked_at >= SILENCE_CHECK_US or not self.is_complete:
            self.check_silence(now)
        requested = []
        for report in push.passed:
            pool = self.tenants.get(report.tenant)
            if pool is not None:
                self.refill(now, pool)
                knows_epoch = push.holder == self.epoch
                if self.add_count(now, pool, peer, report, knows_epoch, push.at_us if knows_epoch else now):
                    requested.append(report.tenant)
        peer.reserved_silence_us = 0.0
        self.confirm_answer(peer, push.heard)
        return self.totals_for(now, push, peer, requested)

    def confirm_answer(self, peer: ReportingPeer, number: int) -> None:
        """Take the confirmation of an answer: limits of older ones no longer hold."""
        for name in list(peer.unconfirmed_tenants):
            quota, grant = self.tenants.get(name), peer.grants.get(name)
            if quota is not None and grant is not None and grant.expires_at > NEVER:
                quota.granted -= grant.remaining()
                grant.confirm(number)
                quota.granted += grant.remaining()
            if grant is None or len(grant.unconfirmed) < 2:
                peer.unconfirmed_tenants.discard(name)

    def totals_for(self, now: int, push: Push, peer: ReportingPeer, requested: list[str]) -> Totals:
        """Return totals and grants: for the tenants pushed, and for every one that is exhausted."""
        message = Totals(
            number=push.number, life=self.epoch, whole=self.is_complete, ingresses=self.ingresses
        )
        message.silent, message.now_us = self.silent_peers, now
        if self.is_complete and peer is self.peers[peer.node][-1]:
            named = set(requested)
            message.totals.extend(self.grant_to(now, name, peer, True, push.number) for name in requested)
            for name, quota in self.tenants.items():
                if name not in named and self.update_exhausted(now, name, quota):
                    message.totals.append(self.grant_to(now, name, peer, False, push.number))
        return message

    def peer_for(self, now: int, push: Push) -> ReportingPeer:
        """Return the record of the incarnation that pushes."""
        if push.node not in self.peers:
            self.peers[push.node] = []
            self.count_ingresses()
        incarnations = self.peers[push.node]
        peer = next((s for s in incarnations if s.incarnation == push.life), None)
        if peer is None:
            began_at = NEVER if push.holder else now - push.at_us
            peer = ReportingPeer(push.node, push.life, now, began_at)
            incarnations.append(peer)
            if len(incarnations) > MAX_INCARNATIONS:
                self.forget_peer(now, incarnations.pop(0))
        quiet = now - peer.last_contact_at - SILENCE_TIMEOUT_US
        if quiet > 0:
            peer.reserved_silence_us += quiet
        peer.last_contact_at = now
        return peer

    def forget_peer(self, now: int, peer: ReportingPeer) -> None:
        """Forget an incarnation: what it may still admit is taken as admitted."""
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
        """Add what is new in a running count.

        :param at: time on this clock when it was reported: which windows are meant
        :returns: False where it cannot be used: it counts from before this coordinator's time, not saying how
            much
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
                # Safety: a tenant that left the configuration and came back counts on from a higher place.
                new = min(new, reported)
        if grant is None:
            grant = peer.grants[report.tenant] = QuotaGrant(report.count, 0, recent_use_at=now)
        else:
            quota.granted -= grant.remaining() if grant.expires_at > NEVER else 0
            grant.count, grant.has_report = max(grant.count, report.count), True
            quota.granted += grant.remaining() if grant.expires_at > NEVER else 0
        reserved = quota.shape.gained(int(peer.reserved_silence_us)) / self.ingresses
        quota.available -= max(0.0, new - reserved)
        index = min(at, now) // quota.shape.length_us
        quota.windows.roll(now // quota.shape.length_us)
        fresh = min(new, report.count - report.ended)
        quota.windows.add(index - 1, new - fresh)
        quota.windows.add(index, fresh)
        gain = new or REJECTED_WEIGHT
        grant.recent_use = decayed(grant.recent_use, now - grant.recent_use_at) + gain
        quota.recent_use = decayed(quota.recent_use, now - quota.recent_use_at) + gain
        grant.recent_use_at = quota.recent_use_at = now
        return True

    def update_exhausted(self, now: int, name: str, quota: TenantQuota) -> bool:
        """Return whether too little is left to let ingresses admit requests without a grant."""
        self.refill(now, quota)
        reserved = reserved_requests(quota.shape, self.ingresses)
        if quota.is_exhausted:
            # Safety: ingresses with a ceiling of nothing have their reserves again when it ends.
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
                # Safety: not all first allowances are reserved: ingresses must be told before they use them.
                self.pending_alarms.append(name)
        return quota.is_exhausted

    def alarm(self, now: int) -> Totals | None:
        """Return a message to all ingresses, unasked: tenants of whom nothing is admitted without a grant;
        None: nothing new.
        """
        if not self.pending_alarms:
            return None
        message = Totals(
            life=self.epoch, now_us=now, totals=[Total(tenant=name) for name in self.pending_alarms]
        )
        self.pending_alarms.clear()
        return message

    def grant_to(self, now: int, name: str, peer: ReportingPeer, requested: bool, number: int) -> Total:
        """Grant an ingress what it may admit of a tenant, as a limit on its running count."""
        quota = self.tenants[name]
        is_exhausted = self.update_exhausted(now, name, quota)
        grant = peer.grants.get(name)
        if grant is None:
            # A ceiling below any count.
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
        """Return how many requests an ingress may admit of a tenant."""
        reserved = reserved_requests(quota.shape, self.ingresses) / self.ingresses
        free = self.unreserved(quota) + (grant.remaining() if grant.expires_at > NEVER else reserved)
        if not requested:
            # Safety: a tenant of few requests comes now here, now there.
            return int(grant.has_report and free >= 1.0 + grant.remaining())
        base = 0.0 if quota.is_exhausted else reserved
        divided = quota.available + quota.shape.advance - base * self.ingresses
        own_use = decayed(grant.recent_use, now - grant.recent_use_at)
        share = own_use / max(1e-9, decayed(quota.recent_use, now - quota.recent_use_at))
        share = (1.0 - EVEN_RATIO) * min(1.0, share) + EVEN_RATIO / max(1, quota.active_grants)
        # Safety: what lies unused at one ingress is missing where the next request comes.
        allowed = min(free, base + min(share * max(0.0, divided), MIN_NEED_REQUESTS + NEED_RATIO * own_use))
        if not quota.is_exhausted:
            return int(max(allowed, first_allowance(quota.shape, self.ingresses)))
        return int(allowed) if allowed >= 1.0 else int(free >= 1.0)
