"""Check the tenant quotas of a run: a record per tenant with two checks.

The admitted requests are compared with the bound of every sliding window.  A token bucket of (rate, burst)
that is charged with every admitted request finds wrong rejections: a request that is rejected while that
bucket holds a token.
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
    """A tenant's quota and its traffic.

    :param rate: the quota's rate, in requests per second
    :param burst_size: the quota's burst, in requests
    :param load_ratio: mean request rate as a ratio of the quota's rate
    :param spread: exponent of the random traffic weights of ingresses: 0 is even, 2 the most uneven
    :param regional: whether the traffic arrives in one region only
    """

    rate: float
    burst_size: float
    load_ratio: float = 0.62
    spread: float = 1.0
    regional: bool = False


@dataclass(slots=True)
class TenantRecord:
    """The requests of one tenant, what became of them, and the two token buckets that judge it.

    Times are microseconds of virtual time.
    """

    demand: Demand
    rate_per_s: float
    burst_size: float
    limit_history: list[tuple[int, float, float]]  # since when, requests per second, burst
    asked: int = 0
    passed: list[int] = field(default_factory=list)  # times of admitted requests
    wrongly_rejected_count: int = 0
    unused_tokens: float = 0.0  # of a bucket charged with admitted requests
    refilled_at: int = 0
    owed: int = 0  # requests that a token bucket of (rate, burst) would have admitted
    reference_tokens: float = 0.0  # of that bucket
    refused_at: list[tuple[int, int]] = field(default_factory=list)  # time and ingress number

    def record_request(self, at: int) -> None:
        """Count one request, and whether the reference bucket admits it."""
        self.asked += 1
        self.refill(at)
        if self.reference_tokens >= 1.0:
            self.reference_tokens -= 1.0
            self.owed += 1

    def shortfall(self) -> float:
        """Return the ratio of the requests the tenant was entitled to that were not admitted."""
        return max(0.0, 1.0 - len(self.passed) / max(1, self.owed))

    def refill(self, at: int) -> None:
        """Add the tokens of the time since the last refill to both buckets."""
        added_tokens, max_tokens = (at - self.refilled_at) * self.rate_per_s / 1e6, max(1.0, self.burst_size)
        self.unused_tokens, self.reference_tokens = (
            min(max_tokens, self.unused_tokens + added_tokens),
            min(max_tokens, self.reference_tokens + added_tokens),
        )
        self.refilled_at = at

    def change_limit(self, at: int, rate: float, burst: float) -> None:
        """Apply a new rate (requests per second) and burst (requests) from `at` on."""
        self.refill(at)
        self.rate_per_s, self.burst_size = rate, burst
        self.limit_history.append((at, rate, burst))

    def max_admitted(self, begins: int, ends: int) -> float:
        """Return the maximum number of requests that may be admitted in a window.

        A lowered limit applies from one window length after every process received it; until then the higher
        limit counts.
        """
        if len(self.limit_history) == 1:
            return (self.rate_per_s * BOUNDS.window_s + self.burst_size) * (
                1.0 + BOUNDS.overrun
            ) + BOUNDS.slack
        window_us = int(BOUNDS.window_s * SECOND)
        times = [at for at, _, _ in self.limit_history]
        first_index = bisect_left(times, begins - window_us - SECOND)
        limits_in_force = self.limit_history[max(0, first_index - 1) :]
        max_in_window = max(
            rate * BOUNDS.window_s + burst
            for at, rate, burst in limits_in_force
            if at <= ends or at == limits_in_force[0][0]
        )
        return max_in_window * (1.0 + BOUNDS.overrun) + BOUNDS.slack

    def worst(self) -> tuple[float, int]:
        """Return the highest ratio of admitted requests to the bound in a window, and that window's end."""
        window_us, window = int(BOUNDS.window_s * SECOND), deque[int]()
        max_used_ratio, ended_at = 0.0, 0
        for at in self.passed:
            window.append(at)
            while window[0] <= at - window_us:
                window.popleft()
            used_ratio = len(window) / self.max_admitted(window[0], at)
            if used_ratio > max_used_ratio:
                max_used_ratio, ended_at = used_ratio, at
        return max_used_ratio, ended_at
