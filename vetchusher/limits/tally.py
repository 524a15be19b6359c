"""An ingress's side of the system's quotas: judged at once, reported to the holder by a timer.

Two judges, each of which may refuse.  First the weighted estimate over two windows, each a pulled total and
what has passed here since (as in Kong's batched counts).  It sees what all passed, a sync late.  Behind it
the guard (escrow, O'Neil 1986): the holder grants a ceiling on a tenant's running count here, and all
ceilings together never exceed what the quota has room for, so no two can pass the same room.  Without
a fresh grant an ingress has 1/N of the rate, and its part of what is reserved for such ingresses.
docs/design/totals.md derives the bound.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from vetchusher.distribution.wire_pb2 import Passed, Push, Total, Totals
from vetchusher.settings.configuration import Tenant

from .windows import Bounds, Clock, Pair, Shape, cut_off_share, first_allowance, is_thin, shape_of

STALE_US = 800_000  # us from sending a push for which its answer's grants hold
UNANSWERED_US = 400_000  # us without an answer after which the next may come from a new holder
PUSH_MOST_US = 250_000  # us between two pushes at most: the holder reserves parts for the silent
ALONE_US = 58_000_000  # us without an answer after which the core may count this ingress as gone
AGAIN_US = 300_000  # us after which an unconfirmed count is sent again
MOST_SENT = 16  # pushes without an answer that are remembered
LEAST_FIRST = 3.0  # requests that the estimate lets pass before a first total
COME_BACK_US = 5_000_000  # us: the longest time to return that a refusal states
NEVER = -(1 << 62)


@dataclass(slots=True)
class TenantUsage:
    """What this ingress knows of one tenant.

    :param count: passed, as a running count; begins at what all tenants had passed, so it never falls
    :param ceiling: count up to which may be passed
    :param until: us until which the holder's grant holds
    :param part_at: us up to which the part has grown
    :param named: number of the newest answer that named the tenant
    :param pushed: the count in the newest push; at `pushed_at`
    :param acked: the count in the newest push that was answered
    :param known_to: life of the holder that answered
    """

    shape: Shape
    count: int
    limit: float
    part_at: int
    until: int = NEVER
    named: int = 0
    pushed: int = 0
    pushed_at: int = NEVER
    acked: int = 0
    known_to: int = 0
    wanted: bool = False
    alarmed: int = NEVER  # us on the holder's clock
    low: float = 0.0  # below 0: what the store held at `low_at`
    low_at: int = 0
    pair: Pair = field(default_factory=lambda: Pair(0, 0))


@dataclass(slots=True)
class PendingPush:
    """A push under way.

    :param counts: by tenant the count in it, and whether a new holder could use it
    """

    at: int
    counts: dict[str, tuple[int, bool]]


class LocalQuota:
    """Owner of one `TenantUsage` for each tenant with a quota in the configuration."""

    def __init__(
        self, node: str, incarnation: int, sync_us: int = 150_000, bounds: Bounds | None = None
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self.sync_us = sync_us
        self.bounds = bounds or Bounds()
        self.own: dict[str, TenantUsage] = {}
        self.serial = 0  # passed, over all tenants
        self.ingresses = 0  # that may be serving; 0: not known
        self.holder = 0  # life of the duty whose totals were heard
        self.number = 0
        self.sent: dict[int, PendingPush] = {}
        self.sent_at = NEVER
        self.heard_number = 0
        self.answered_at = NEVER  # us: when the newest answered push was sent
        self.named_at = NEVER  # us: when this ingress first learnt that it is counted among them
        self.whole_at = NEVER  # the same, of those whose answer was whole
        self.whole_told = NEVER  # us on the holder's clock: when it gave the newest of them
        self.clock = Clock()  # the holder's
        self.lately: set[str] = (
            set()
        )  # tenants with something to report, or that passed in the last two windows
        self.stood = False  # whether whole totals came, when last asked
        self.eager = False  # a push should not wait for the timer
        self.by_estimate = self.by_ceiling = 0  # refused by each

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """A lower limit holds at once: what is left of the part shrinks with it."""
        old, self.own = self.own, {}
        for name, tenant in tenants.items():
            shape = shape_of(tenant.rate_per_s, tenant.burst_size, self.bounds)
            if shape is None:
                continue
            own = old.get(name)
            if own is None:
                # Danger: a tenant that comes back must not count from below what the holder has heard.
                own = TenantUsage(shape, self.serial, self.serial, now, pushed=self.serial, acked=self.serial)
                own.pair = Pair((now + self.clock.offset) // shape.length_us, own.count)
                self.begin(now, own)
            elif own.shape != shape:
                left = max(0.0, own.limit - own.count)
                own.limit = own.count + left * min(1.0, shape.depth / own.shape.depth)
                if shape.length_us != own.shape.length_us:
                    own.pair.move((now + self.clock.offset) // shape.length_us)
                own.shape = shape
            self.own[name] = own
        self.lately &= self.own.keys()

    def fleet(self, now: int, ingresses: int, named: bool) -> None:
        """How many ingresses may be serving, by the rows of the source `directory`.

        :param named: this ingress is one of them.  Danger: after a loss of power nobody holds totals for
            seconds; whoever was counted before has its part, whoever was not waits for a holder
        """
        self.ingresses = ingresses
        if named and self.named_at == NEVER:
            self.named_at = now
            for own in self.own.values():
                self.begin(now, own)

    def begin(self, now: int, own: TenantUsage) -> None:
        """A first allowance, before any total."""
        if self.named_at != NEVER and self.answered_at == NEVER and own.until <= now:
            own.limit, own.part_at = own.count + first_allowance(own.shape, self.ingresses), now

    def admit(self, now: int, tenant: str) -> bool:
        own = self.own.get(tenant)
        if own is None:
            return True
        self.lately.add(tenant)
        used = self.used(now, own)
        if not own.pair.known and now >= own.until and is_thin(own.shape, self.ingresses):
            self.eager = own.wanted = True  # read the total at once, off the request path
        if used + 1.0 > self.limit(own):
            own.wanted = not own.pair.known
            self.by_estimate += 1
            return False
        self.settle(now, own)
        alone = now - max(self.answered_at, self.named_at) > ALONE_US
        if own.limit - own.count < 1.0 or alone:
            own.wanted = True
            self.by_ceiling += 1
            return False
        own.count += 1
        self.serial += 1
        return True

    def used(self, now: int, own: TenantUsage) -> float:
        """The weighted estimate, as known here."""
        at, length = now + self.clock.offset, own.shape.length_us
        own.pair.roll(at // length, own.count)
        return own.pair.used(own.count, at % length, length)

    def limit(self, own: TenantUsage) -> float:
        """Of the estimate; before a first total, of what passed here alone."""
        if own.pair.known:
            return own.shape.limit
        return max(LEAST_FIRST, own.shape.limit / max(1, self.ingresses))

    def settle(self, now: int, own: TenantUsage) -> None:
        """Bring the ceiling up to date where no grant holds."""
        if now < own.until:
            return
        in_touch = now - self.whole_at < STALE_US and own.alarmed < self.whole_told
        if in_touch and own.named != self.heard_number:
            # In touch, and the tenant is not short: what is kept back, anew once all is told.
            if own.acked == own.count:
                own.limit, own.part_at = own.count + first_allowance(own.shape, self.ingresses), now
            return
        # Danger: cut off from the totals, all ingresses together must stay within the quota.
        part = cut_off_share(own.shape, self.ingresses)
        grown = own.shape.gained(now - max(own.part_at, own.until)) / max(1, self.ingresses)
        own.limit = own.count + min(part, own.limit - own.count + grown * (self.ingresses > 0))
        own.part_at = now

    def push(self, now: int) -> Push | None:
        """What the timer sends; None: nothing to say, and nothing to learn."""
        if not self.own:
            return None
        late = now - self.answered_at > UNANSWERED_US
        at = now + self.clock.offset
        passed = []
        counts: dict[str, tuple[int, bool]] = {}
        for name in list(self.lately):
            own = self.own[name]
            own.pair.roll(at // own.shape.length_us, own.count)
            recent, before = own.pair.own(own.count)
            opening = late or own.known_to != self.holder
            again = own.count != own.acked and now - own.pushed_at > AGAIN_US
            if own.count == own.acked and not (recent or before or own.wanted):
                self.lately.discard(name)
            low = min(0, int(own.low + own.shape.gained(now - own.low_at))) if opening else 0
            if not (own.count != own.pushed or own.wanted or again or (opening and recent + before - low)):
                continue
            own.pushed, own.pushed_at, own.wanted = own.count, now, False
            counts[name] = own.count, opening
            windows = {"recent": recent, "before": before, "low": low} if opening else {}
            passed.append(Passed(tenant=name, count=own.count, ended=own.pair.began, **windows))
        if not passed and now - self.sent_at < PUSH_MOST_US:
            return None
        self.number += 1
        self.sent_at, self.eager = now, False
        self.sent[self.number] = PendingPush(now, counts)
        if len(self.sent) > MOST_SENT:
            del self.sent[next(iter(self.sent))]
        return Push(
            node=self.node,
            life=self.incarnation,
            number=self.number,
            passed=passed,
            holder=self.holder,
            at_us=max(0, at) if self.clock.life == self.holder else 0,
            heard=self.heard_number,
        )

    def on_totals(self, now: int, totals: Totals) -> None:
        sent = self.sent.pop(totals.number, None)
        if sent is None or totals.life < self.holder or totals.number < self.heard_number:
            return
        for number in [n for n in self.sent if n < totals.number]:
            del self.sent[number]
        new_holder = totals.life != self.holder
        if new_holder:
            self.forget_alarms()
        self.holder, self.heard_number, self.answered_at = totals.life, totals.number, sent.at
        self.ingresses = totals.ingresses or self.ingresses
        if self.clock.heard(totals.life, sent.at, now, totals.now_us):
            for known in self.own.values():
                known.pair.move((now + self.clock.offset) // known.shape.length_us)
        self.confirm_counts(sent, totals.life)
        if totals.whole:
            self.take_totals(now, sent, totals)
        elif new_holder:
            self.back_to_parts(now)

    def forget_alarms(self) -> None:
        """Alarms are of one holder."""
        self.whole_told = NEVER
        for known in self.own.values():
            known.alarmed = NEVER

    def confirm_counts(self, sent: PendingPush, life: int) -> None:
        """The holder of that life has taken in the counts of a push."""
        for name, (count, opening) in sent.counts.items():
            own = self.own.get(name)
            if own is not None and (opening or own.known_to == life):
                own.acked, own.known_to = max(own.acked, count), life

    def take_totals(self, now: int, sent: PendingPush, totals: Totals) -> None:
        """Take in totals and grants of an answer that holds what all ingresses passed."""
        self.whole_at, self.whole_told = sent.at, totals.now_us
        for total in totals.totals:
            own = self.own.get(total.tenant)
            if own is not None:
                own.pair.roll((now + self.clock.offset) // own.shape.length_us, own.count)
                index = totals.now_us // own.shape.length_us
                own.pair.pull(
                    index, total.current, total.previous, sent.counts.get(total.tenant, (0, False))[0]
                )
                self.take(own, total, sent.at)

    def alarm(self, now: int, totals: Totals) -> None:
        """The holder names, unasked, tenants of whom nothing passes without its grant."""
        if totals.life != self.holder:
            return
        for total in totals.totals:
            own = self.own.get(total.tenant)
            if own is not None:
                own.alarmed = totals.now_us
                own.limit, own.part_at = min(own.limit, own.count), now

    def log_fields(self, now: int) -> dict[str, object] | None:
        """Where it has changed whether whole totals come: figures for the log, and what a part then is."""
        whole = now - self.whole_at < STALE_US
        if whole == self.stood:
            return None
        self.stood = whole
        parts = [cut_off_share(own.shape, self.ingresses) for own in self.own.values()]
        least, most = min(parts, default=0.0), max(parts, default=0.0)
        return {
            "ingresses": self.ingresses,
            "holder": self.holder,
            "tenants": len(parts),
            "parts": f"{least:.1f}..{most:.1f}",
            "by_estimate": self.by_estimate,
            "by_ceiling": self.by_ceiling,
        }

    def back_to_parts(self, now: int) -> None:
        """Danger: a holder that is new does not know what the one before it gave out."""
        self.whole_at = NEVER
        for own in self.own.values():
            if own.until > now:
                own.until = now
            self.settle(now, own)

    def take(self, own: TenantUsage, total: Total, sent_at: int) -> None:
        own.limit, own.until, own.part_at = float(total.ceiling), sent_at + STALE_US, sent_at
        own.named = self.heard_number
        own.low, own.low_at = float(total.level), sent_at

    def room_at(self, now: int, tenant: str) -> int:
        """us after which a refused request may try again."""
        own = self.own.get(tenant)
        if own is None:
            return 0
        wait = int((self.used(now, own) + 1.0 - self.limit(own)) / own.shape.rate * 1e6)
        if now >= own.until and now - self.whole_at >= STALE_US and self.ingresses:
            wait = max(wait, int((1.0 - own.limit + own.count) * self.ingresses / own.shape.rate * 1e6))
        return min(COME_BACK_US, max(self.sync_us, wait))
