"""The judge of quotas, two books a tenant: what passed, against the bound of every sliding window; and a
token bucket of (rate, burst) that takes what passed: refused while it holds one is refused in vain.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field

from vetchusher.quota.windows import QuotaBounds

MS, SECOND = 1_000, 1_000_000
BOUNDS = QuotaBounds()


@dataclass(slots=True, frozen=True)
class Demand:
    """A tenant's quota, and what it asks for as a part of it.

    :param spread: weights of ingresses are drawn with this power: 0 is even, 2 most uneven
    :param regional: it comes in one region only
    """

    rate: float
    burst: float
    load: float = 0.62
    spread: float = 1.0
    regional: bool = False


@dataclass(slots=True)
class Book:
    """The judge's, of one tenant."""

    demand: Demand
    rate: float
    burst: float
    limits: list[tuple[int, float, float]]  # from when; rate; burst
    asked: int = 0
    passed: list[int] = field(default_factory=list)
    in_vain: int = 0
    tokens: float = 0.0
    at: int = 0
    owed: int = 0  # what a bucket of (rate, burst) of its own would have let through
    store: float = 0.0
    refused_at: list[tuple[int, int]] = field(default_factory=list)  # in vain: when, where

    def ask(self, at: int) -> None:
        self.asked += 1
        self.gain(at)
        if self.store >= 1.0:
            self.store -= 1.0
            self.owed += 1

    def shortfall(self) -> float:
        """Part of what it was owed that did not pass."""
        return max(0.0, 1.0 - len(self.passed) / max(1, self.owed))

    def gain(self, at: int) -> None:
        gained, most = (at - self.at) * self.rate / 1e6, max(1.0, self.burst)
        self.tokens, self.store = min(most, self.tokens + gained), min(most, self.store + gained)
        self.at = at

    def limit_changes(self, at: int, rate: float, burst: float) -> None:
        self.gain(at)
        self.rate, self.burst = rate, burst
        self.limits.append((at, rate, burst))

    def bound(self, begins: int, ends: int) -> float:
        """Most that may pass then; a lower limit counts from a window after it was told to all."""
        if len(self.limits) == 1:
            return (self.rate * BOUNDS.window_s + self.burst) * (1.0 + BOUNDS.overrun) + BOUNDS.slack
        span = int(BOUNDS.window_s * SECOND)
        times = [at for at, _, _ in self.limits]
        first = bisect_left(times, begins - span - SECOND)
        held = self.limits[max(0, first - 1) :]
        most = max(
            rate * BOUNDS.window_s + burst for at, rate, burst in held if at <= ends or at == held[0][0]
        )
        return most * (1.0 + BOUNDS.overrun) + BOUNDS.slack

    def worst(self) -> tuple[float, int]:
        """The fullest window: the part of its bound that was used, and when it ended."""
        span, window = int(BOUNDS.window_s * SECOND), deque[int]()
        worst, when = 0.0, 0
        for at in self.passed:
            window.append(at)
            while window[0] <= at - span:
                window.popleft()
            used = len(window) / self.bound(window[0], at)
            if used > worst:
                worst, when = used, at
        return worst, when
