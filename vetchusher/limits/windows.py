"""Arithmetic of quotas that is the same wherever they are judged: weights, estimates, what a limit allows.

Pure: rates are requests a second, times whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

# Of a window: in less, a push that had no answer is forgotten before it is told again; more is older than
# what any rule looks at.
LEAST_S, MOST_S = 1.0, 10.0
DEPTH_S = 0.2  # a store of less than what comes in this time refuses by chance alone
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

    :param depth: most that may be stored unused; the limit of a window
    :param ahead: beyond depth, what may be given out without breaking the bound
    :param length_us: of a window
    """

    rate: float
    depth: float
    ahead: float
    length_us: int

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
    return Shape(rate, depth, ahead, int(length * 1e6))


PART_KEPT = 0.6  # of depth and ahead: what ingresses without a word may take, all together
RUSH, RUSH_S = 6.0, 0.3  # times the rate that a tenant may suddenly send, and how long until all know
LOOSE, LOOSE_FIRST = (
    0.8,
    3.0,
)  # of depth and ahead: a smaller rush is borne, whoever takes it; then so many each


def part_of(shape: Shape, ingresses: int) -> float:
    """What an ingress may pass that is cut off, however many are: all such parts fit together."""
    return PART_KEPT * (shape.depth + shape.ahead) / max(1, ingresses)


def rush_of(shape: Shape) -> float:
    """What may come in at all ingresses together before they hear that little is left."""
    return RUSH * RUSH_S * shape.rate


def first_of(shape: Shape, ingresses: int) -> float:
    """What an ingress in touch may pass that has no word on a tenant: at least a request."""
    loose = rush_of(shape) <= LOOSE * (shape.depth + shape.ahead)
    return max(LOOSE_FIRST if loose else 1.0, part_of(shape, ingresses) // 1.0)


def kept_of(shape: Shape, ingresses: int) -> float:
    """What is kept back for ingresses without a word: what they may take, or what can come to them."""
    return min(ingresses * first_of(shape, ingresses), rush_of(shape))


class Counts:
    """What passed in the current window and in the one before, on the clock of whoever counts."""

    __slots__ = ("current", "index", "previous")

    def __init__(self) -> None:
        self.index, self.current, self.previous = 0, 0, 0

    def roll(self, now: int, length_us: int) -> None:
        index = now // length_us
        if index != self.index:
            self.previous = self.current if index == self.index + 1 else 0
            self.current, self.index = 0, index

    def add(self, now: int, length_us: int, amount: int) -> None:
        self.roll(now, length_us)
        self.current += amount
