"""The retry budget: one for the whole system, each ingress owning a part of it.

In every span of `window_s`, summed over all ingresses, a service may get at most ratio x (requests for it) +
slack tries beyond the first of each request, the requests counted in that span or in the one before it.

Here each request puts `gain` into its ingress's store, a try takes 1, and the store holds at most the larger
of slack / N and what the requests of the last window put in, up to `depth`.  So in a span W with R requests
and R' in the one before, over all N ingresses:

    tries <= held at its beginning + gain x R
          <= slack + (1 - slack / (N x depth)) x gain x R' + gain x R
          <= slack + ratio x max(R, R')      for gain = ratio / (2 - slack / (N x depth))

Where slack / N is deep enough, depth is slack / N and gain is the ratio.  The store begins empty: an ingress
that starts, or starts again, brings no slack of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_DEPTH = 2.0  # tries at once that an ingress may need; more of them cost a part of the ratio
SLACK_RATIO = 0.95  # the rest is for ingresses that know of one another a moment late
RESERVE_RATIO = 0.5  # of the most that a budget may hold: left to more urgent requests that lack room
SLOTS = 10  # of a window, in which requests are counted


@dataclass(slots=True)
class ServiceBudget:
    """The budget of one service; `slots` counts its requests by the time they came."""

    level: float = 0.0
    slot: int = 0
    slots: list[int] = field(default_factory=lambda: [0] * SLOTS)
    recent: int = 0  # their sum


class RetryBudget:
    """Owner of one budget a service, dropped once it has been empty for a window."""

    def __init__(self, ratio: float, slack: int, window_s: float) -> None:
        """Begin without a budget.

        :param ratio: further attempts for each request
        :param slack: further attempts of all ingresses on top, in any window
        :param window_s: length of a window, seconds
        """
        self.ratio = ratio
        self.slack = slack * SLACK_RATIO
        self.slot_us = max(1, int(window_s * 1e6 / SLOTS))
        self.budgets: dict[str, ServiceBudget] = {}
        self.last_sweep_at = 0
        self.depth = self.gain = self.slack_share = 0.0

    def set_ingresses(self, ingresses: int) -> None:
        """Take the number of ingresses; before that no further attempt may be made."""
        if ingresses <= 0:
            return
        self.slack_share = self.slack / ingresses
        self.depth = max(MIN_DEPTH, self.slack_share)
        self.gain = self.ratio / (2.0 - self.slack_share / self.depth)

    def on_request(self, now: int, service: str) -> None:
        """Count a request: it goes to its first server."""
        budget = self.budgets.get(service)
        if budget is None:
            self.remove_idle(now)
            budget = self.budgets[service] = ServiceBudget(slot=now // self.slot_us)
        self.expire_slots(now, budget)
        budget.slots[budget.slot % SLOTS] += 1
        budget.recent += 1
        budget.level = min(self.max_level(budget), budget.level + self.gain)

    def take_attempt(self, now: int, service: str, *, leave_reserve: bool = False) -> bool:
        """Return whether one more further attempt may be made; if so it is taken.

        :param leave_reserve: a part of the budget is to be left to more urgent requests
        """
        budget = self.budgets.get(service)
        if budget is None:
            return False
        self.expire_slots(now, budget)
        reserve = RESERVE_RATIO * self.max_level(budget) if leave_reserve else 0.0
        if budget.level < 1.0 + reserve:
            return False
        budget.level -= 1.0
        return True

    def max_level(self, budget: ServiceBudget) -> float:
        """Return the most that a budget may hold now."""
        return max(self.slack_share, min(self.depth, self.gain * budget.recent))

    def expire_slots(self, now: int, budget: ServiceBudget) -> None:
        """Forget requests older than a window, and what was saved for them."""
        slot = now // self.slot_us
        for expired in range(budget.slot + 1, min(slot, budget.slot + SLOTS) + 1):
            budget.recent -= budget.slots[expired % SLOTS]
            budget.slots[expired % SLOTS] = 0
        budget.slot = max(slot, budget.slot)
        budget.level = min(budget.level, self.max_level(budget))

    def remove_idle(self, now: int) -> None:
        """Drop the budgets of services that had no request in a window."""
        if now - self.last_sweep_at < SLOTS * self.slot_us:
            return
        self.last_sweep_at = now
        for name, budget in list(self.budgets.items()):
            self.expire_slots(now, budget)
            if not budget.recent:
                del self.budgets[name]
