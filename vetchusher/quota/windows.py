"""Quota arithmetic shared by the coordinator and the ingresses: windows, estimates, shares and allowances.

Pure functions and state without I/O. Rates are requests per second, times are whole microseconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

NEVER = -(1 << 62)  # a time before all others, us

# Bounds of a window's length. In a shorter window the counts of an unanswered push would have expired before
# they are sent again; a longer one would hold counts that are older than any rule considers.
MIN_WINDOW_S, MAX_WINDOW_S = 1.0, 10.0
MIN_DEPTH_S = 0.2  # a token bucket that holds less than this time's gain rejects requests by chance alone
CLOCK_DRIFT_DIVISOR = 1_000  # monotonic clocks of two processes drift apart by at most 1/1000
# Ratio of what the rule allows beyond rate and depth that is granted in advance; the rest covers counts that
# are reported late.
ADVANCE_RATIO = 0.75


def previous_window_weight(into_us: int, length_us: int) -> float:
    """Return the ratio of the previous window that still counts, `into_us` after the current one began."""
    return max(0.0, (length_us - into_us) / length_us)


def sliding_estimate(current: float, previous: float, into_us: int, length_us: int) -> float:
    """Return the two-window sliding estimate of what was admitted in the last `length_us`."""
    return current + previous * previous_window_weight(into_us, length_us)


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Bound that a quota must keep over all ingresses.

    In any span of `window_s` at most (rate x window + burst) x (1 + overrun) + slack requests are admitted.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


@dataclass(slots=True, frozen=True)
class QuotaShape:
    """Parameters of a tenant's quota, derived from its rate and burst. Amounts are requests.

    :param rate: requests per second
    :param depth: depth of the token bucket: the most unused quota that it can hold
    :param advance: what may be granted beyond the bucket's content without breaking the bound
    :param length_us: length of a window
    :param limit: limit of the weighted estimate over two windows
    :param allowance_above_rate: what the bound allows in its window above rate x window
    """

    rate: float
    depth: float
    advance: float
    length_us: int
    limit: float
    allowance_above_rate: float

    def gained(self, time_us: int) -> float:
        """Return the number of requests that the token bucket gains in some time."""
        return self.rate * time_us / 1e6


def quota_shape(rate: float, burst: float, bounds: QuotaBounds) -> QuotaShape | None:
    """Return the parameters of a tenant's quota, or None if the tenant has no quota.

    A token bucket of `depth` that refills at `rate` admits at most rate x span + depth in any span. Above
    rate x window the bound allows the burst, the overrun and the slack. The bucket's depth is the burst, or a
    small amount if there is none, as single requests must fit. A part of the remaining allowance may be
    granted in advance.
    """
    if rate <= 0.0:
        return None
    above_rate = burst + bounds.overrun * (rate * bounds.window_s + burst) + bounds.slack
    depth = max(1.0, burst, min(MIN_DEPTH_S * rate, above_rate / 2))
    advance = ADVANCE_RATIO * max(0.0, above_rate - depth)
    length_s = min(MAX_WINDOW_S, max(MIN_WINDOW_S, depth / rate))
    # A tenant that stays within rate and depth is never rejected by this limit: its current count c and its
    # previous count p satisfy c + p <= rate x (length + into) + depth and c <= rate x into + depth, so
    # c + p x weight never exceeds rate x length + depth.
    return QuotaShape(rate, depth, advance, int(length_s * 1e6), rate * length_s + depth, above_rate)


def worst_case_ratio(shape: QuotaShape, bounds: QuotaBounds) -> float:
    """Return the most that may be admitted in the bound's window, as a ratio of what the bound allows."""
    rate_allowance = shape.rate * bounds.window_s
    return (rate_allowance + shape.depth + shape.advance) / (rate_allowance + shape.allowance_above_rate)


RESERVED_RATIO = 0.6  # ratio of depth + advance that ingresses without a grant may use, all together
# Multiple of its rate at which a tenant may suddenly send, and the time until all ingresses know of it.
SURGE_FACTOR, SURGE_S = 9.0, 0.16
# A surge below this ratio of depth + advance is within the quota at whichever ingress.
SMALL_SURGE_RATIO = 0.95
SMALL_SURGE_FIRST_REQUESTS = 3.0  # first allowance of each ingress if a surge is that small


# Ratio of the advance that ingresses may use right after a restart. It is taken from the quarter
# (1 - `ADVANCE_RATIO`) that is set aside for late reports: right after a restart no report is late.
RESTART_ADVANCE_RATIO = 0.2


class RestartedIngressAges:
    """Ages of ingresses that restarted recently and do not know what was admitted before their restart."""

    def __init__(self, ages_us: Iterable[int]) -> None:
        """Prepare the prefix sums of the ages, which are needed for every tenant."""
        self.ages_us = sorted(ages_us)
        self.sums_us = [0, *accumulate(self.ages_us)]  # at n: the sum of the n smallest ages

    def max_unreported_use(self, shape: QuotaShape) -> float:
        """Return the sum, over the restarted ingresses, of what each may have taken from a token bucket.

        The bucket's content and the advance, except `RESTART_ADVANCE_RATIO` of it, may have been used just
        before the restart; what the bucket has gained since then is subtracted from that maximum.
        """
        maximum = shape.depth + (1.0 - RESTART_ADVANCE_RATIO) * shape.advance
        young_count = bisect_left(self.ages_us, maximum / shape.rate * 1e6)
        return young_count * maximum - shape.gained(self.sums_us[young_count])


def restarted_allowance(shape: QuotaShape, age_us: int, ingresses: int) -> float:
    """Return what an ingress that restarted `age_us` ago may admit before it receives totals.

    That is its share of what the token bucket has gained since then, at most the share of a disconnected one.
    """
    gained = shape.gained(age_us) + RESTART_ADVANCE_RATIO * shape.advance
    return min(gained / max(1, ingresses), disconnected_share(shape, ingresses))


def disconnected_share(shape: QuotaShape, ingresses: int) -> float:
    """Return what a disconnected ingress may admit; the shares of all ingresses together fit the quota."""
    return RESERVED_RATIO * (shape.depth + shape.advance) / max(1, ingresses)


def surge_requests(shape: QuotaShape) -> float:
    """Return how many requests may arrive at all ingresses before they learn that the quota is exhausted."""
    return SURGE_FACTOR * SURGE_S * shape.rate


def first_allowance(shape: QuotaShape, ingresses: int) -> float:
    """Return what a connected ingress may admit for a tenant without a grant: at least one request."""
    is_small_surge = surge_requests(shape) <= SMALL_SURGE_RATIO * (shape.depth + shape.advance)
    return max(
        SMALL_SURGE_FIRST_REQUESTS if is_small_surge else 1.0, disconnected_share(shape, ingresses) // 1.0
    )


def is_low_quota(shape: QuotaShape, ingresses: int) -> bool:
    """Return whether the first allowances of all ingresses together exceed what is reserved for them."""
    return ingresses * first_allowance(shape, ingresses) > surge_requests(shape)


def reserved_requests(shape: QuotaShape, ingresses: int) -> float:
    """Return what is reserved for ingresses without a grant: the less of their allowances and a surge."""
    return min(ingresses * first_allowance(shape, ingresses), surge_requests(shape))


class WindowCounts:
    """Counts of admitted requests in the current and the previous window, with the current one's index."""

    __slots__ = ("current", "index", "previous")

    def __init__(self) -> None:
        """Start with empty windows."""
        self.index, self.current, self.previous = 0, 0, 0

    def roll(self, index: int) -> None:
        """Advance to a later window; an earlier index is ignored."""
        if index > self.index:
            self.previous = self.current if index == self.index + 1 else 0
            self.current, self.index = 0, index

    def add(self, index: int, amount: int) -> None:
        """Add requests that were admitted in a window; those before the previous window are dropped."""
        if index >= self.index:
            self.roll(index)
            self.current += amount
        elif index == self.index - 1:
            self.previous += amount


class WindowPair:
    """One tenant's two windows at an ingress: for each the total of all ingresses, plus what is newer here.

    The ingress reports a running count. What a total does not include yet is the running count less the part
    of it that the total includes, so that an unanswered push neither loses requests nor counts them twice.

    Attributes: `current_total` and `previous_total` are the totals received from the coordinator,
    `pulled_count` is the running count that they include, `current_start_count` and `previous_start_count`
    are the running counts at which the windows began, and `has_total` tells whether one of the windows has
    a total.
    """

    __slots__ = (
        "current_start_count",
        "current_total",
        "has_total",
        "index",
        "previous_start_count",
        "previous_total",
        "pulled_count",
    )

    def __init__(self, index: int, count: int) -> None:
        """Start both windows at a running count."""
        self.index, self.has_total = index, False
        self.current_total, self.previous_total = 0, 0
        self.pulled_count = self.current_start_count = self.previous_start_count = count

    def roll(self, index: int, count: int) -> None:
        """Advance to a later window, which begins at a running count; an earlier index is ignored."""
        if index <= self.index:
            return
        if index == self.index + 1:
            self.previous_total, self.previous_start_count = self.current_total, self.current_start_count
        else:
            self.previous_total, self.previous_start_count, self.has_total = 0, count, False
        self.current_total, self.current_start_count, self.index = 0, count, index

    def reindex(self, index: int) -> None:
        """Keep the windows' contents under an index that another clock gives them."""
        self.index = index

    def pull(self, index: int, current: int, previous: int, pulled: int) -> None:
        """Replace the totals by newer ones.

        :param index: index of the window that `current` belongs to; older than the previous window is ignored
        :param pulled: running count of this ingress that the totals include
        """
        if index == self.index:
            self.current_total, self.previous_total = current, previous
        elif index == self.index - 1:
            self.previous_total = current
        else:
            return
        self.has_total = True
        self.pulled_count = max(self.pulled_count, pulled)

    def local_counts(self, count: int) -> tuple[int, int]:
        """Return what this ingress admitted in the current and in the previous window."""
        return count - self.current_start_count, self.current_start_count - self.previous_start_count

    def estimated_use(self, count: int, into_us: int, length_us: int) -> float:
        """Return the sliding estimate of what all ingresses admitted.

        :param count: running count of this ingress
        :param into_us: time since the current window began
        """
        new_current = count - max(self.pulled_count, self.current_start_count)
        new_previous = max(0, self.current_start_count - max(self.pulled_count, self.previous_start_count))
        return sliding_estimate(
            self.current_total + new_current, self.previous_total + new_previous, into_us, length_us
        )


class RemoteClock:
    """Estimate of another process's monotonic clock, from the times in its replies.

    The time in a reply is taken to be the middle of the round trip, with an error of up to half of it.
    `offset` is to be added to the local time.
    """

    __slots__ = ("error", "incarnation", "measured_at", "offset")

    def __init__(self) -> None:
        """Start without a measurement."""
        self.incarnation, self.offset, self.error, self.measured_at = 0, 0, 0, 0

    def on_reply(self, incarnation: int, sent_at: int, now: int, remote_now: int) -> bool:
        """Update the estimate from a reply, if it is more accurate than the current one has become by drift.

        :param incarnation: identifies the remote process; the clock of another incarnation is unrelated
        :param sent_at: local time when the request was sent
        :param remote_now: time stated in the reply
        :returns: whether the reply is from another incarnation than before
        """
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
