"""The holder's side of the system's quotas: what all ingresses passed, and what each may pass next.

Held by the primary of the control state under its lease, made anew with each epoch, never on disk.  For each
tenant a store of unused quota (it refills by the rate up to the depth, and all that passed is taken off):
what it holds, and what may be given out ahead, is divided among the ingresses as ceilings on their running
counts.  A ceiling that is lowered counts as the higher one until its ingress confirms it, so at each moment

    passed everywhere <= passed as heard + what ceilings and parts still allow <= rate x time + depth + ahead
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from vetchusher.distribution.wire_pb2 import Passed, Push, Total, Totals
from vetchusher.settings.configuration import Tenant

from .tally import NEVER, STALE_US
from .windows import Bounds, Counts, Shape, first_allowance, is_thin, reserve_of, shape_of, used_of

SILENT_US = 500_000  # us after which a part is kept back for an ingress that says nothing
WHOLE_US = 1_000_000  # us after its start when a holder goes on without those that said nothing
GONE_US = 60_000_000  # us of silence after which an ingress passes nothing by itself
LOOK_US = 50_000  # us between two looks at who is silent
SHARE_US = 1_000_000  # us in which the weight of what an ingress passed falls to a third
EVEN_PART = 0.2  # of what is divided: evenly among those that ask, as traffic moves
NEED, NEED_LEAST = 0.7, 2.0  # of what it passed lately, and requests: all that an ingress is given
WANT = 0.5  # requests that a refused one counts for, in the shares
ALARM_US = 250_000  # us for which a tenant stays tight at least: by then each has asked
MOST_UNCONFIRMED = 8  # answers of which one ingress may have heard any
MOST_LIVES = 4  # of one ingress that are remembered


@dataclass(slots=True)
class QuotaGrant:
    """What one life of an ingress has reported to have passed for one tenant, and what it may pass.

    :param used: requests lately, each counting less with time
    """

    count: int
    limit: int
    known: bool = True  # false: it has reported nothing yet
    until: int = NEVER  # us until which the ceiling holds
    told: list[tuple[int, int]] = field(default_factory=list)  # unconfirmed answers, each with its ceiling
    used: float = 0.0
    used_at: int = 0

    def left(self) -> int:
        return max(0, self.limit - self.count)

    def raise_or_lower(self, number: int, ceiling: int) -> None:
        """Danger: an answer may be lost, so the highest of those that may be in force counts."""
        if len(self.told) >= MOST_UNCONFIRMED:
            (_, first), (number_kept, second) = self.told[:2]
            self.told[:2] = [(number_kept, max(first, second))]
        self.told.append((number, ceiling))
        self.limit = max(told for _, told in self.told)

    def confirm(self, number: int) -> None:
        """The ingress has taken that answer: older ceilings no longer hold."""
        for place, (told, _) in enumerate(self.told):
            if told == number:
                del self.told[:place]
                self.limit = max(told for _, told in self.told)
                return


@dataclass(slots=True)
class ReportingPeer:
    """One life of an ingress."""

    node: str
    incarnation: int
    last_contact_at: int
    told: bool = False  # it knows this holder: its first counts are all here
    kept: float = 0.0  # us of silence for which its part of the rates was kept back
    grants: dict[str, QuotaGrant] = field(default_factory=dict)
    unsure: set[str] = field(default_factory=set)  # tenants with more than one ceiling that may be in force


@dataclass(slots=True)
class TenantQuota:
    """One tenant's quota.

    :param level: of the store; below 0: passed ahead
    :param out: what valid ceilings still allow, over `active` ingresses
    :param low: below 0: what the previous holder had left, as reported by the ingresses, at `low_at`
    :param tight: too little for reserves without a grant: all ingresses get a ceiling
    """

    shape: Shape
    level: float
    at: int
    out: int = 0
    active: int = 0
    used: float = 0.0
    used_at: int = 0
    low: float = 0.0
    low_at: int = 0
    tight: bool = False
    tight_at: int = NEVER
    ends: deque[tuple[int, ReportingPeer, QuotaGrant]] = field(default_factory=deque)
    windows: Counts = field(default_factory=Counts)


def faded(used: float, since_us: int) -> float:
    return used * math.exp(-since_us / SHARE_US)


class QuotaCoordinator:
    """Owner of a `Pool` for each tenant with a quota in the configuration, and of a `Source` for each life of
    an ingress that may be serving: gone from there, gone from here.

    :param life: grows with each holder: its epoch
    """

    def __init__(self, epoch: int, now: int, bounds: Bounds | None = None) -> None:
        self.epoch = epoch
        self.born = now
        self.bounds = bounds or Bounds()
        self.tenants: dict[str, TenantQuota] = {}
        self.peers: dict[str, list[ReportingPeer]] = {}  # by node, the newest life last
        self.nodes: set[str] = set()
        self.ingresses = 1  # that may be serving: those of `nodes` and `sources` together, at least one
        self.whole = False
        self.silent = 0
        self.looked_at = NEVER
        self.configured = 0  # times
        self.stood: tuple[object, ...] = ()
        self.alarms: list[str] = []  # tenants that have become tight, not yet sent to all

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        self.configured += 1
        old, self.tenants = self.tenants, {}
        for name, tenant in tenants.items():
            shape = shape_of(tenant.rate_per_s, tenant.burst_size, self.bounds)
            if shape is None:
                continue
            pool = old.get(name)
            if pool is None:
                pool = TenantQuota(shape, shape.depth, now)
            else:
                self.refill(now, pool)
                pool.shape, pool.level = shape, min(pool.level, shape.depth)
            self.tenants[name] = pool
        for source in self.each_source():
            for name in [n for n in source.grants if n not in self.tenants]:
                del source.grants[name]

    def each_source(self) -> Iterator[ReportingPeer]:
        return (source for lives in self.peers.values() for source in lives)

    def fleet(self, now: int, nodes: Mapping[str, int]) -> None:
        """:param nodes: ingresses that may be serving, by name, with us when each was last heard"""
        for pool in self.tenants.values():
            self.refill(now, pool)
        self.nodes = set(nodes)
        for node in [n for n, lives in self.peers.items() if n not in self.nodes]:
            if now - self.peers[node][-1].last_contact_at > GONE_US:
                for source in self.peers.pop(node):
                    self.forget(now, source)
        self.count_ingresses()
        self.look(now)

    def count_ingresses(self) -> None:
        """After each change of `nodes` or `sources`: a push reads the count several times for each tenant."""
        self.ingresses = max(1, len(self.nodes | self.peers.keys()))

    def log_fields(self) -> dict[str, object] | None:
        """What the bound stands on, where that has changed: figures for the log.

        `bound`: most that any tenant may pass in a window, as a part of what the rule allows; `thin`: tenants
        for whom this rests on how fast traffic can rise (docs/design/totals.md).
        """
        stands = (
            self.whole,
            self.ingresses,
            self.silent > 0,
            tuple(pool.shape for pool in self.tenants.values()),
        )
        if stands == self.stood:
            return None
        self.stood = stands
        shapes = stands[3]
        return {
            "ingresses": self.ingresses,
            "whole": int(self.whole),
            "silent": self.silent,
            "tenants": len(shapes),
            "thin": sum(is_thin(shape, self.ingresses) for shape in shapes),
            "bound": f"{max((used_of(shape, self.bounds) for shape in shapes), default=0.0):.2f}",
        }

    # -- what is left -----------------------------------------------------------------

    def look(self, now: int) -> None:
        """Count the silent.  Danger: what they pass meanwhile is not heard; their parts are kept back."""
        self.looked_at = now
        heard = [lives[-1] for lives in self.peers.values()]
        unheard = len(self.nodes - self.peers.keys())
        self.silent = unheard + sum(now - source.last_contact_at > SILENT_US for source in heard)
        if not self.whole and self.nodes:
            told = not unheard and all(s.told for s in heard if s.node in self.nodes)
            if told or now - self.born >= WHOLE_US:
                self.whole = True
                for pool in self.tenants.values():
                    # Danger: what the unheard passed before is not known either.
                    self.refill(now, pool)
                    pool.level -= pool.shape.depth * unheard / self.ingresses
                    # Danger: two windows do not tell all that was given out ahead.
                    left = max(pool.low, -pool.shape.ahead) + pool.shape.gained(now - pool.low_at)
                    pool.level = min(pool.level, left) if pool.low < 0.0 else pool.level

    def refill(self, now: int, pool: TenantQuota) -> None:
        """Bring a pool up to date: its store, and ceilings that have run out."""
        speaking = 1.0 - self.silent / self.ingresses
        pool.level = min(pool.shape.depth, pool.level + pool.shape.gained(now - pool.at) * speaking)
        pool.at = now
        while pool.ends and pool.ends[0][0] <= now:
            until, source, grant = pool.ends.popleft()
            if grant.until == until:
                self.end(now, pool, source, grant)

    def end(self, now: int, pool: TenantQuota, source: ReportingPeer, grant: QuotaGrant) -> None:
        pool.active -= 1
        pool.out -= grant.left()
        grant.until = NEVER
        if now - source.last_contact_at > SILENT_US or source is not self.peers[source.node][-1]:
            # Danger: whoever says nothing, or was killed, may have passed all that it had been given.
            pool.level -= grant.left()
            grant.count = max(grant.count, grant.limit)

    def free(self, pool: TenantQuota) -> float:
        """What is neither granted nor reserved for ingresses without a grant."""
        idle = max(0, self.ingresses - pool.active) / self.ingresses
        return pool.level + pool.shape.ahead - pool.out - idle * reserve_of(pool.shape, self.ingresses)

    # -- pushes -----------------------------------------------------------------------

    def on_push(self, now: int, push: Push) -> Totals:
        source = self.source_of(now, push)
        source.told = source.told or push.holder == self.epoch
        if now - self.looked_at >= LOOK_US or not self.whole:
            self.look(now)
        asked = []
        for passed in push.passed:
            pool = self.tenants.get(passed.tenant)
            if pool is not None:
                self.refill(now, pool)
                knows = push.holder == self.epoch
                if self.count(now, pool, source, passed, knows, push.at_us if knows else now):
                    asked.append(passed.tenant)
        source.kept = 0.0
        self.confirm(source, push.heard)
        return self.answer(now, push, source, asked)

    def confirm(self, source: ReportingPeer, number: int) -> None:
        """The ingress has taken that answer: ceilings of older ones no longer hold."""
        for name in list(source.unsure):
            pool, grant = self.tenants.get(name), source.grants.get(name)
            if pool is not None and grant is not None and grant.until > NEVER:
                pool.out -= grant.left()
                grant.confirm(number)
                pool.out += grant.left()
            if grant is None or len(grant.told) < 2:
                source.unsure.discard(name)

    def answer(self, now: int, push: Push, source: ReportingPeer, asked: list[str]) -> Totals:
        """Totals and grants: for the tenants pushed, and for every one that is tight."""
        answer = Totals(number=push.number, life=self.epoch, whole=self.whole, ingresses=self.ingresses)
        answer.silent, answer.now_us = self.silent, now
        if self.whole and source is self.peers[source.node][-1]:
            named = set(asked)
            answer.totals.extend(self.grant(now, name, source, True, push.number) for name in asked)
            for name, pool in self.tenants.items():
                if name not in named and self.is_tight(now, name, pool):
                    answer.totals.append(self.grant(now, name, source, False, push.number))
        return answer

    def source_of(self, now: int, push: Push) -> ReportingPeer:
        if push.node not in self.peers:
            self.peers[push.node] = []
            self.count_ingresses()
        lives = self.peers[push.node]
        source = next((s for s in lives if s.incarnation == push.life), None)
        if source is None:
            source = ReportingPeer(push.node, push.life, now)
            lives.append(source)
            if len(lives) > MOST_LIVES:
                self.forget(now, lives.pop(0))
        quiet = now - source.last_contact_at - SILENT_US
        if quiet > 0:
            source.kept += quiet
        source.last_contact_at = now
        return source

    def forget(self, now: int, source: ReportingPeer) -> None:
        """A life whose record goes: what it may still pass is taken as passed."""
        for name, grant in source.grants.items():
            pool = self.tenants.get(name)
            if pool is not None and grant.until > NEVER:
                pool.active -= 1
                pool.out -= grant.left()
                pool.level -= grant.left()
                grant.until = NEVER

    def count(
        self, now: int, pool: TenantQuota, source: ReportingPeer, passed: Passed, knows: bool, at: int
    ) -> bool:
        """Add what is new in a running count.

        :param at: us on this clock when it was told: which windows are meant
        :return: false where it cannot be used: it counts from before this holder's time, not saying how much
        """
        if passed.low < min(0.0, pool.low + pool.shape.gained(now - pool.low_at)):
            pool.low, pool.low_at = float(passed.low), now
        grant = source.grants.get(passed.tenant)
        told = passed.recent + passed.before
        if grant is None or not grant.known:
            if not told and not knows:
                return False
            new = told
        else:
            new = max(0, passed.count - grant.count)
            if told:
                # Danger: a tenant that left the configuration and came back counts on from a higher place.
                new = min(new, told)
        if grant is None:
            grant = source.grants[passed.tenant] = QuotaGrant(passed.count, 0, used_at=now)
        else:
            pool.out -= grant.left() if grant.until > NEVER else 0
            grant.count, grant.known = max(grant.count, passed.count), True
            pool.out += grant.left() if grant.until > NEVER else 0
        kept = pool.shape.gained(int(source.kept)) / self.ingresses
        pool.level -= max(0.0, new - kept)
        index = min(at, now) // pool.shape.length_us
        pool.windows.roll(now // pool.shape.length_us)
        fresh = min(new, passed.count - passed.ended)
        pool.windows.add(index - 1, new - fresh)
        pool.windows.add(index, fresh)
        gain = new or WANT
        grant.used = faded(grant.used, now - grant.used_at) + gain
        pool.used = faded(pool.used, now - pool.used_at) + gain
        grant.used_at = pool.used_at = now
        return True

    def is_tight(self, now: int, name: str, pool: TenantQuota) -> bool:
        """Whether too little is left to let ingresses pass requests without a grant."""
        self.refill(now, pool)
        kept = reserve_of(pool.shape, self.ingresses)
        if pool.tight:
            # Danger: ingresses with a ceiling of nothing have their reserves again when it ends.
            kept += max(0.0, pool.out - pool.active * first_allowance(pool.shape, self.ingresses))
        was, pool.tight = pool.tight, pool.level + pool.shape.ahead < kept
        pool.tight = pool.tight or now - pool.tight_at < ALARM_US
        if pool.tight and not was:
            pool.tight_at = now
            if is_thin(pool.shape, self.ingresses):
                # Danger: not all first allowances are reserved: ingresses must be told before they use them.
                self.alarms.append(name)
        return pool.tight

    def alarm(self, now: int) -> Totals | None:
        """To all ingresses, unasked: tenants of whom nothing passes without a grant."""
        if not self.alarms:
            return None
        told = Totals(life=self.epoch, now_us=now, totals=[Total(tenant=name) for name in self.alarms])
        self.alarms.clear()
        return told

    def grant(self, now: int, name: str, source: ReportingPeer, asked: bool, number: int) -> Total:
        """What a source may pass of a tenant, as a ceiling on its running count."""
        pool = self.tenants[name]
        tight = self.is_tight(now, name, pool)
        grant = source.grants.get(name)
        if grant is None:
            # A ceiling below any count.
            grant = source.grants[name] = QuotaGrant(0, 0, known=False, used_at=now)
        may = self.share(pool, grant, now, asked)
        if grant.until > NEVER:
            pool.out -= grant.left()
        else:
            pool.active += 1
            grant.told.clear()
        ceiling = grant.count + may
        if not tight and grant.told:
            ceiling = max(ceiling, grant.told[-1][1])
        grant.raise_or_lower(number, ceiling)
        if len(grant.told) > 1:
            source.unsure.add(name)
        grant.until = now + STALE_US
        pool.out += grant.left()
        pool.ends.append((grant.until, source, grant))
        pool.windows.roll(now // pool.shape.length_us)
        windows, level = pool.windows, min(0, int(pool.level))
        total = Total(tenant=name, ceiling=ceiling, level=level)
        total.current, total.previous = windows.current, windows.previous
        return total

    def share(self, pool: TenantQuota, grant: QuotaGrant, now: int, asked: bool) -> int:
        kept = reserve_of(pool.shape, self.ingresses) / self.ingresses
        free = self.free(pool) + (grant.left() if grant.until > NEVER else kept)
        if not asked:
            # Danger: a tenant of few requests comes now here, now there.
            return int(grant.known and free >= 1.0 + grant.left())
        base = 0.0 if pool.tight else kept
        divided = pool.level + pool.shape.ahead - base * self.ingresses
        mine = faded(grant.used, now - grant.used_at)
        share = mine / max(1e-9, faded(pool.used, now - pool.used_at))
        share = (1.0 - EVEN_PART) * min(1.0, share) + EVEN_PART / max(1, pool.active)
        # Danger: what lies unused at one ingress is missing where the next request comes.
        may = min(free, base + min(share * max(0.0, divided), NEED_LEAST + NEED * mine))
        if not pool.tight:
            return int(max(may, first_allowance(pool.shape, self.ingresses)))
        return int(may) if may >= 1.0 else int(free >= 1.0)
