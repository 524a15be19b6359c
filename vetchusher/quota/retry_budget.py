"""The retry budget of the whole system, of which each ingress owns a share. Hedges count as retries.

In every span of `window_s`, summed over all ingresses, a service may get at most ratio x (requests for it) +
slack retries. The requests are those of that span or of the span before it.

Each request adds `gain` to the token bucket of its ingress, and a retry takes 1. The bucket holds at most
the larger of slack / N and what the requests of the last window added, up to `depth`. So in a span with R
requests that follows a span with R' requests, over all N ingresses:

    retries <= content at the beginning of the span + gain x R
            <= slack + (1 - slack / (N x depth)) x gain x R' + gain x R
            <= slack + ratio x max(R, R')      for gain = ratio / (2 - slack / (N x depth))

If slack / N is at least the minimum depth, then depth is slack / N and gain is the ratio. The bucket starts
empty: an ingress that starts or restarts adds no slack of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Retries that an ingress may need at once; a higher value lowers the gain per request.
MIN_DEPTH_RETRIES = 2.0
SLACK_RATIO = 0.95  # the rest of the slack covers ingresses that learn of each other with a delay
# Ratio of a budget's maximum that retries must leave to more urgent requests where these lack capacity (see
# `leave_reserve`).
RESERVE_RATIO = 0.5
SLOTS_PER_WINDOW = 10  # a window's requests are counted in this many slots


@dataclass(slots=True)
class ServiceBudget:
    """Retry budget of one service at this ingress.

    :param level: retries that may be sent now
    :param slot: number of the current slot: time divided by the length of a slot
    :param slots: requests in each slot of the last window
    :param recent_requests: requests in the last window, the sum of `slots`
    """

    level: float = 0.0
    slot: int = 0
    slots: list[int] = field(default_factory=lambda: [0] * SLOTS_PER_WINDOW)
    recent_requests: int = 0


class RetryBudget:
    """Owner of one budget per service, which is dropped after a window without requests."""

    def __init__(self, ratio: float, slack: int, window_s: float) -> None:
        """Start without budgets.

        :param ratio: retries allowed per request
        :param slack: additional retries allowed in any window, over all ingresses
        :param window_s: length of a window, seconds
        """
        self.ratio = ratio
        self.slack = slack * SLACK_RATIO
        self.slot_us = max(1, int(window_s * 1e6 / SLOTS_PER_WINDOW))
        self.budgets: dict[str, ServiceBudget] = {}
        self.last_sweep_at = 0
        self.depth = self.gain = self.slack_share = 0.0

    def set_ingresses(self, ingresses: int) -> None:
        """Update the number of ingresses; before the first call no retry is allowed."""
        if ingresses <= 0:
            return
        self.slack_share = self.slack / ingresses
        self.depth = max(MIN_DEPTH_RETRIES, self.slack_share)
        self.gain = self.ratio / (2.0 - self.slack_share / self.depth)

    def on_request(self, now: int, service: str) -> None:
        """Count a request that is sent to its first server."""
        budget = self.budgets.get(service)
        if budget is None:
            self.remove_idle(now)
            budget = self.budgets[service] = ServiceBudget(slot=now // self.slot_us)
        self.expire_slots(now, budget)
        budget.slots[budget.slot % SLOTS_PER_WINDOW] += 1
        budget.recent_requests += 1
        budget.level = min(self.max_level(budget), budget.level + self.gain)

    def take_attempt(self, now: int, service: str, *, leave_reserve: bool = False) -> bool:
        """Return whether a retry may be sent, and take it from the budget if so.

        :param leave_reserve: leave `RESERVE_RATIO` of the budget's maximum to more urgent requests
        """
        budget = self.budgets.get(service)
        if budget is None:
            return False
        self.expire_slots(now, budget)
        reserved = RESERVE_RATIO * self.max_level(budget) if leave_reserve else 0.0
        if budget.level < 1.0 + reserved:
            return False
        budget.level -= 1.0
        return True

    def max_level(self, budget: ServiceBudget) -> float:
        """Return the most that a budget may hold now, retries."""
        return max(self.slack_share, min(self.depth, self.gain * budget.recent_requests))

    def expire_slots(self, now: int, budget: ServiceBudget) -> None:
        """Drop the requests that are older than a window, and the budget that exceeds the new maximum."""
        slot = now // self.slot_us
        for expired in range(budget.slot + 1, min(slot, budget.slot + SLOTS_PER_WINDOW) + 1):
            budget.recent_requests -= budget.slots[expired % SLOTS_PER_WINDOW]
            budget.slots[expired % SLOTS_PER_WINDOW] = 0
        budget.slot = max(slot, budget.slot)
        budget.level = min(budget.level, self.max_level(budget))

    def remove_idle(self, now: int) -> None:
        """Drop the budgets of services without requests in the last window, at most once per window."""
        if now - self.last_sweep_at < SLOTS_PER_WINDOW * self.slot_us:
            return
        self.last_sweep_at = now
        for name, budget in list(self.budgets.items()):
            self.expire_slots(now, budget)
            if not budget.recent_requests:
                del self.budgets[name]
