"""Exhaustion notices: when the quota of a customer served by very many gateways was last exhausted.

Where an even share of the burst is less than one command, each gateway sees such a customer once in many
seconds.  Each command then costs a counter call, and most calls are made for customers that demand far more
than their quota, retry at once through another gateway, and are refused there after another call.  A gateway
that learns from a total that a customer's token bucket is empty therefore records the moment and notifies the
customer's other gateways.  With a notice a gateway decides without a call: it refuses every command until the
bucket has regained a part of its burst, and from then on compares usage with rate * time since the notice,
also across the end of a window.

A notice is advisory: a wrong one delays a customer for that part of the burst's refill time and no longer.
The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from vetchusher.state import Tenant

REFUSAL_RATIO = 0.5  # part of the burst that an empty bucket regains before a command may cost a call again
# Part of the refill within a window that is granted where no notice tells of the preceding window.
EARLY_REFILL_RATIO = 0.5
RESEND_RATIO = 0.1  # a notice is sent again if it is newer by this part of the burst's refill time
MAX_NOTICES = 4_096
NOTICES_PER_SWEEP = 8


@dataclass(slots=True, frozen=True)
class ExhaustionNotice:
    """A bucket was empty at `exhausted_at` (us), with `window_units` admitted in window `window_index`."""

    exhausted_at: int
    window_index: int
    window_units: float


class ExhaustionTable:
    """The newest notice of each customer, by customer key.

    An entry is removed once a full burst has been refilled since (`sweep`); at most `MAX_NOTICES` are kept.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.notices: dict[int, ExhaustionNotice] = {}

    def current_notice(self, now: int, key: int, window_us: int) -> ExhaustionNotice | None:
        """Return the customer's notice, or None if there is none younger than a window."""
        notice = self.notices.get(key)
        return notice if notice is not None and now - notice.exhausted_at < window_us else None

    def must_refuse(self, now: int, customer: Tenant) -> bool:
        """Return whether commands of this customer can be refused without a counter call."""
        notice = self.current_notice(now, customer.key, customer.window_us)
        return notice is not None and now - notice.exhausted_at < REFUSAL_RATIO * customer.window_us

    def allowed_units(self, now: int, customer: Tenant) -> float:
        """Return the units allowed in the customer's present window, by rate, burst and notice."""
        burst, elapsed_ratio = customer.plan.burst, now % customer.window_us / customer.window_us
        notice = self.current_notice(now, customer.key, customer.window_us)
        if notice is None:
            return burst * (1.0 + EARLY_REFILL_RATIO * elapsed_ratio)
        refilled_units = (now - notice.exhausted_at) * customer.plan.rate / 1e6
        return (
            notice.window_units + refilled_units
            if notice.window_index == customer.cur.index
            else min(burst * (1.0 + elapsed_ratio), refilled_units)
        )

    def total_exceeded(self, now: int, customer: Tenant, window_units: float) -> ExhaustionNotice | None:
        """Record that a total left too few units for a command.

        :param window_units: units in the present window, without the command's
        :returns: the notice if peers should be notified, else None
        """
        remaining_units = max(0.0, self.allowed_units(now, customer) - window_units)
        previous = self.notices.get(customer.key)
        notice = ExhaustionNotice(
            now - int(remaining_units / customer.plan.rate * 1e6), customer.cur.index, window_units
        )
        if not self.store_if_newer(customer.key, notice):
            return None
        return (
            notice
            if previous is None
            or notice.exhausted_at - previous.exhausted_at > RESEND_RATIO * customer.window_us
            else None
        )

    def store_if_newer(self, key: int, notice: ExhaustionNotice) -> bool:
        """Store a notice unless a newer one is known or the table is full; return whether it was stored."""
        previous = self.notices.get(key)
        if (previous is not None and previous.exhausted_at >= notice.exhausted_at) or (
            previous is None and len(self.notices) >= MAX_NOTICES
        ):
            return False
        self.notices[key] = notice
        return True

    def sweep(self, now: int, window_lengths_us: list[int]) -> None:
        """Check a few notices and drop those older than a window.

        :param window_lengths_us: window length by plan
        """
        for key in list(islice(self.notices, NOTICES_PER_SWEEP)):
            notice = self.notices.pop(key)
            if now - notice.exhausted_at < window_lengths_us[key & 0xFFFF]:
                self.notices[key] = notice  # appended, so that the next sweep checks others
