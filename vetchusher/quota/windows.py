"""Arithmetic of quotas that is the same wherever they are judged: weights, estimates, what a limit allows.

Pure. Rates are requests a second, times whole microseconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

NEVER = -(1 << 62)  # a time before all others, us

# Of a window: in less, a push that had no answer is forgotten before it is told again; more is older than
# what any rule looks at.
MIN_WINDOW_S, MAX_WINDOW_S = 1.0, 10.0
MIN_DEPTH_S = 0.2  # a store of less than what comes in this time refuses by chance alone
CLOCK_DRIFT_DIVISOR = 1_000  # steady clocks part by at most one in so many
ADVANCE_RATIO = (
    0.75  # of what the rule allows beyond rate and depth: given out ahead; the rest is for late news
)


def previous_window_weight(into_us: int, length_us: int) -> float:
    """Return the ratio of the previous window that still counts, so far into the current one."""
    return max(0.0, (length_us - into_us) / length_us)


def sliding_estimate(current: float, previous: float, into_us: int, length_us: int) -> float:
    """Return the two-window sliding count: about what was admitted in the window's length before now."""
    return current + previous * previous_window_weight(into_us, length_us)


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """The rule by which a quota is judged over all ingresses.

    In any span of `window_s` at most (rate x window + burst) x (1 + overrun) + slack.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


@dataclass(slots=True, frozen=True)
class QuotaShape:
    """What a tenant may use.

    :param depth: most that may be stored unused
    :param advance: beyond depth, what may be given out without breaking the bound
    :param length_us: of a window
    :param limit: of the weighted estimate over two windows
    :param allowance_above_rate: what the rule allows in its window above the rate
    """

    rate: float
    depth: float
    advance: float
    length_us: int
    limit: float
    allowance_above_rate: float

    def gained(self, time_us: int) -> float:
        """Return the requests that a time adds to the store."""
        return self.rate * time_us / 1e6


def quota_shape(rate: float, burst: float, bounds: QuotaBounds) -> QuotaShape | None:
    """Return what a tenant may use; None: it has no quota.

    A store of `depth` that refills by `rate` admits at most rate x span + depth in any span. So the bound
    leaves, above rate x window, the burst, the overrun and the slack: the store takes the burst of it (a
    little where there is none, as single requests must fit), and what is given out in advance a part of the
    rest.
    """
    if rate <= 0.0:
        return None
    beyond = burst + bounds.overrun * (rate * bounds.window_s + burst) + bounds.slack
    depth = max(1.0, burst, min(MIN_DEPTH_S * rate, beyond / 2))
    ahead = ADVANCE_RATIO * max(0.0, beyond - depth)
    length = min(MAX_WINDOW_S, max(MIN_WINDOW_S, depth / rate))
    # Whoever keeps to rate and depth passes c + p <= rate x (length + into) + depth in this window and the
    # last, c <= rate x into + depth in this one: c + p x weight never exceeds rate x length + depth.
    return QuotaShape(rate, depth, ahead, int(length * 1e6), rate * length + depth, beyond)


def worst_case_ratio(shape: QuotaShape, bounds: QuotaBounds) -> float:
    """Return the most that may be admitted in the rule's window, as a ratio of what it allows."""
    by_rate = shape.rate * bounds.window_s
    return (by_rate + shape.depth + shape.advance) / (by_rate + shape.allowance_above_rate)


RESERVED_RATIO = 0.6  # of depth and ahead: what ingresses without a grant may take, all together
SURGE_FACTOR, SURGE_S = (
    9.0,
    0.16,
)  # times the rate that a tenant may suddenly send, and how long until all know
LOOSE_RATIO = 0.95  # of depth and ahead: a smaller surge is borne, whoever takes it
LOOSE_FIRST_REQUESTS = 3.0  # requests each, then


FORGOTTEN_CREDIT_RATIO = (
    0.2  # of what is given out ahead, out of the quarter for late news: none is late then
)


class ForgottenPast:
    """Ages of ingresses that began lately and remember nothing of what ran on their machines before."""

    def __init__(self, ages_us: Iterable[int]) -> None:
        """Prepare the sums that every tenant's store is asked about."""
        self.ages_us = sorted(ages_us)
        self.sums_us = [0, *accumulate(self.ages_us)]  # of so many of the youngest

    def use(self, shape: QuotaShape) -> float:
        """Return the sum, over the ingresses, of what may be missing of a store by each.

        All that is stored or given out ahead may have been used a moment before; what was gained since is
        there.
        """
        most = shape.depth + (1.0 - FORGOTTEN_CREDIT_RATIO) * shape.advance
        young = bisect_left(self.ages_us, most / shape.rate * 1e6)
        return young * most - shape.gained(self.sums_us[young])


def restarted_allowance(shape: QuotaShape, age_us: int, ingresses: int) -> float:
    """Return what an ingress that began so long ago may admit before any total.

    Its part of what the store has gained since, and no more than one that is cut off.
    """
    gained = shape.gained(age_us) + FORGOTTEN_CREDIT_RATIO * shape.advance
    return min(gained / max(1, ingresses), disconnected_share(shape, ingresses))


def disconnected_share(shape: QuotaShape, ingresses: int) -> float:
    """Return what an ingress that is cut off may admit, however many are: all such shares fit together."""
    return RESERVED_RATIO * (shape.depth + shape.advance) / max(1, ingresses)


def surge_requests(shape: QuotaShape) -> float:
    """Return how many requests may arrive at all ingresses together before they learn that little is left."""
    return SURGE_FACTOR * SURGE_S * shape.rate


def first_allowance(shape: QuotaShape, ingresses: int) -> float:
    """Return what an ingress in touch may admit without a grant for a tenant: at least one request."""
    loose = surge_requests(shape) <= LOOSE_RATIO * (shape.depth + shape.advance)
    return max(LOOSE_FIRST_REQUESTS if loose else 1.0, disconnected_share(shape, ingresses) // 1.0)


def is_low_quota(shape: QuotaShape, ingresses: int) -> bool:
    """Return whether the first allowances of all ingresses exceed what is reserved for them."""
    return ingresses * first_allowance(shape, ingresses) > surge_requests(shape)


def reserved_requests(shape: QuotaShape, ingresses: int) -> float:
    """Return what is reserved for ingresses without a grant: what they may take, or what can reach them."""
    return min(ingresses * first_allowance(shape, ingresses), surge_requests(shape))


class WindowCounts:
    """What was admitted in the current window and in the one before, by the index of the current one."""

    __slots__ = ("current", "index", "previous")

    def __init__(self) -> None:
        """Begin with empty windows."""
        self.index, self.current, self.previous = 0, 0, 0

    def roll(self, index: int) -> None:
        """Move on to a later window."""
        if index > self.index:
            self.previous = self.current if index == self.index + 1 else 0
            self.current, self.index = 0, index

    def add(self, index: int, amount: int) -> None:
        """Add what was admitted in a window; what came in before the previous one is forgotten."""
        if index >= self.index:
            self.roll(index)
            self.current += amount
        elif index == self.index - 1:
            self.previous += amount


class WindowPair:
    """One tenant's two windows at an ingress: of each a pulled total, and what was admitted here since.

    What was admitted here is reported as a running count, so a diff is the count less what the total holds of
    it; none is lost by a push without an answer, nor added twice.

    :param current_total: pulled, of the current window; `previous_total` of the one before
    :param pulled_count: the running count that those totals hold
    :param current_began: the running count when the current window began; `previous_began` likewise
    :param has_total: a total was pulled in one of them
    """

    __slots__ = (
        "current_began",
        "current_total",
        "has_total",
        "index",
        "previous_began",
        "previous_total",
        "pulled_count",
    )

    def __init__(self, index: int, count: int) -> None:
        """Begin both windows at a running count."""
        self.index, self.has_total = index, False
        self.current_total, self.previous_total = 0, 0
        self.pulled_count = self.current_began = self.previous_began = count

    def roll(self, index: int, count: int) -> None:
        """Move on to a later window."""
        if index <= self.index:
            return
        if index == self.index + 1:
            self.previous_total, self.previous_began = self.current_total, self.current_began
        else:
            self.previous_total, self.previous_began, self.has_total = 0, count, False
        self.current_total, self.current_began, self.index = 0, count, index

    def reindex(self, index: int) -> None:
        """Keep the same windows under the index of another clock."""
        self.index = index

    def pull(self, index: int, current: int, previous: int, pulled: int) -> None:
        """Take the totals of the windows that ended with `index`: they replace those stored."""
        if index == self.index:
            self.current_total, self.previous_total = current, previous
        elif index == self.index - 1:
            self.previous_total = current
        else:
            return
        self.has_total = True
        self.pulled_count = max(self.pulled_count, pulled)

    def local_counts(self, count: int) -> tuple[int, int]:
        """Return what was admitted here in the current window and in the previous one."""
        return count - self.current_began, self.current_began - self.previous_began

    def estimated_use(self, count: int, into_us: int, length_us: int) -> float:
        """Return the sliding estimate over all ingresses."""
        diff = count - max(self.pulled_count, self.current_began)
        diff_before = max(0, self.current_began - max(self.pulled_count, self.previous_began))
        return sliding_estimate(
            self.current_total + diff, self.previous_total + diff_before, into_us, length_us
        )


class RemoteClock:
    """Another process's steady clock, as read from its answers.

    An answer's time was in the middle of the round trip, give or take half of that.
    """

    __slots__ = ("error", "incarnation", "measured_at", "offset")

    def __init__(self) -> None:
        """Begin without a reading."""
        self.incarnation, self.offset, self.error, self.measured_at = 0, 0, 0, 0

    def on_reply(self, incarnation: int, sent_at: int, now: int, remote_now: int) -> bool:
        """Take a reading; return whether it is another clock than before."""
        error = (now - sent_at) // 2
        is_other_clock = incarnation != self.incarnation
        if is_other_clock or error <= self.error + (now - self.measured_at) // CLOCK_DRIFT_DIVISOR:
            self.incarnation, self.offset, self.error, self.measured_at = (
                incarnation,
                remote_now - sent_at - error,
                error,
                now,
            )
        return is_other_clock
