"""Arithmetic of quotas that is the same wherever they are judged: weights, estimates, what a limit allows.

Pure: rates are requests a second, times whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of a window: in less, a push that had no answer is forgotten before it is told again; more is older than
# what any rule looks at.
LEAST_S, MOST_S = 1.0, 10.0
DEPTH_S = 0.2  # a store of less than what comes in this time refuses by chance alone
DRIFT = 1_000  # steady clocks part by at most one in so many
LAG_PART = 0.75  # of what the rule allows beyond rate and depth: given out ahead; the rest is for late news


def last_weight(into_us: int, length_us: int) -> float:
    """What part of the last window still counts, so far into the current one."""
    return max(0.0, (length_us - into_us) / length_us)


def estimate(current: float, previous: float, into_us: int, length_us: int) -> float:
    """The two-window sliding count: what passed in the window's length before now, more or less."""
    return current + previous * last_weight(into_us, length_us)


@dataclass(slots=True, frozen=True)
class Bounds:
    """By what a quota is judged over all ingresses: in any span of `window_s`, at most
    (rate x window + burst) x (1 + overrun) + slack."""

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0


@dataclass(slots=True, frozen=True)
class Shape:
    """What a tenant may.

    :param depth: most that may be stored unused
    :param ahead: beyond depth, what may be given out without breaking the bound
    :param length_us: of a window
    :param limit: of the weighted estimate over two windows
    :param beyond: what the rule allows in its window above the rate
    """

    rate: float
    depth: float
    ahead: float
    length_us: int
    limit: float
    beyond: float

    def gained(self, time_us: int) -> float:
        return self.rate * time_us / 1e6


def shape_of(rate: float, burst: float, bounds: Bounds) -> Shape | None:
    """None: no quota.

    A store of `depth` that refills by `rate` passes at most rate x span + depth in any span.  So the bound
    leaves, above rate x window, the burst, the overrun and the slack: the store takes the burst of it (a
    little where there is none, as single requests must fit), and what is given out ahead a part of the rest.
    """
    if rate <= 0.0:
        return None
    beyond = burst + bounds.overrun * (rate * bounds.window_s + burst) + bounds.slack
    depth = max(1.0, burst, min(DEPTH_S * rate, beyond / 2))
    ahead = LAG_PART * max(0.0, beyond - depth)
    length = min(MOST_S, max(LEAST_S, depth / rate))
    # Whoever keeps to rate and depth passes c + p <= rate x (length + into) + depth in this window and the
    # last, c <= rate x into + depth in this one: c + p x weight never exceeds rate x length + depth.
    return Shape(rate, depth, ahead, int(length * 1e6), rate * length + depth, beyond)


def used_of(shape: Shape, bounds: Bounds) -> float:
    """Most that may pass in the rule's window, as a part of what it allows."""
    held = shape.rate * bounds.window_s
    return (held + shape.depth + shape.ahead) / (held + shape.beyond)


RESERVED_PART = 0.6  # of depth and ahead: what ingresses without a grant may take, all together
SURGE, SURGE_S = 9.0, 0.16  # times the rate that a tenant may suddenly send, and how long until all know
LOOSE = 0.95  # of depth and ahead: a smaller surge is borne, whoever takes it
LOOSE_FIRST = 3.0  # requests each, then


def cut_off_share(shape: Shape, ingresses: int) -> float:
    """What an ingress may pass that is cut off, however many are: all such parts fit together."""
    return RESERVED_PART * (shape.depth + shape.ahead) / max(1, ingresses)


def surge_of(shape: Shape) -> float:
    """What may come in at all ingresses together before they hear that little is left."""
    return SURGE * SURGE_S * shape.rate


def first_allowance(shape: Shape, ingresses: int) -> float:
    """What an ingress in touch may pass without a grant for a tenant: at least one request."""
    loose = surge_of(shape) <= LOOSE * (shape.depth + shape.ahead)
    return max(LOOSE_FIRST if loose else 1.0, cut_off_share(shape, ingresses) // 1.0)


def is_thin(shape: Shape, ingresses: int) -> bool:
    """Whether the first allowances of all ingresses exceed what is reserved for them."""
    return ingresses * first_allowance(shape, ingresses) > surge_of(shape)


def reserve_of(shape: Shape, ingresses: int) -> float:
    """What is reserved for ingresses without a grant: what they may take, or what can come to them."""
    return min(ingresses * first_allowance(shape, ingresses), surge_of(shape))


class Counts:
    """What passed in the current window and in the one before, by the index of the current one."""

    __slots__ = ("current", "index", "previous")

    def __init__(self) -> None:
        self.index, self.current, self.previous = 0, 0, 0

    def roll(self, index: int) -> None:
        if index > self.index:
            self.previous = self.current if index == self.index + 1 else 0
            self.current, self.index = 0, index

    def add(self, index: int, amount: int) -> None:
        """What came in before the last window is as old as what is forgotten."""
        if index >= self.index:
            self.roll(index)
            self.current += amount
        elif index == self.index - 1:
            self.previous += amount


class Pair:
    """One key's two windows at an ingress: of each a pulled total, and what has passed here since.

    What passed here is told as a running count, so a diff is the count less what the total holds of it; none
    is lost by a push without an answer, nor added twice.

    :param total, before: pulled, of the current window and of the last
    :param pulled: the running count that those totals hold
    :param began, last_began: the running count when these windows began
    :param known: a total was pulled in one of them
    """

    __slots__ = ("before", "began", "index", "known", "last_began", "pulled", "total")

    def __init__(self, index: int, count: int) -> None:
        self.index, self.known = index, False
        self.total, self.before = 0, 0
        self.pulled = self.began = self.last_began = count

    def roll(self, index: int, count: int) -> None:
        if index <= self.index:
            return
        if index == self.index + 1:
            self.before, self.last_began = self.total, self.began
        else:
            self.before, self.last_began, self.known = 0, count, False
        self.total, self.began, self.index = 0, count, index

    def move(self, index: int) -> None:
        """The same windows by another clock."""
        self.index = index

    def pull(self, index: int, current: int, previous: int, pulled: int) -> None:
        """Totals of the windows that ended with `index`: they replace those stored."""
        if index == self.index:
            self.total, self.before = current, previous
        elif index == self.index - 1:
            self.before = current
        else:
            return
        self.known = True
        self.pulled = max(self.pulled, pulled)

    def own(self, count: int) -> tuple[int, int]:
        """Passed here, in the current window and in the last."""
        return count - self.began, self.began - self.last_began

    def used(self, count: int, into_us: int, length_us: int) -> float:
        diff = count - max(self.pulled, self.began)
        diff_before = max(0, self.began - max(self.pulled, self.last_began))
        return estimate(self.total + diff, self.before + diff_before, into_us, length_us)


class Clock:
    """Another process's steady clock, as read from its answers: an answer's time was in the middle of the way
    there and back, give or take half of that."""

    __slots__ = ("at", "error", "life", "offset")

    def __init__(self) -> None:
        self.life, self.offset, self.error, self.at = 0, 0, 0, 0

    def heard(self, life: int, sent_at: int, now: int, told: int) -> bool:
        """:return: whether it is another clock than before"""
        error = (now - sent_at) // 2
        other = life != self.life
        if other or error <= self.error + (now - self.at) // DRIFT:
            self.life, self.offset, self.error, self.at = life, told - sent_at - error, error, now
        return other
