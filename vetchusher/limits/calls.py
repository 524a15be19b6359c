"""Scheduling of counter calls: which customer's usage is pushed next, and when a call may be made.

Customers with unpushed usage wait in a priority or a deferred queue.  Calls are limited by a token bucket
whose rate adapts to the counter's answers.  The module does no I/O.
"""

from __future__ import annotations

from collections import deque

from vetchusher import interface as api
from vetchusher.state import Tenant, mix64

PUSH_INTERVAL_US, PUSH_SLICES = 62_500, 2  # time between pushes of one customer, spread over slices
INITIAL_CALLS_PER_TIMEOUT = 24.0  # initial call rate of all gateways together, in calls per call timeout
MIN_CALLS_PER_S, RATE_STEP_RATIO = 0.5, 0.02  # least rate; part of the initial rate that a fast answer adds
# Factor on the rate after a failed call.  An overloaded counter also works on calls that have timed out.
FAILURE_BACKOFF_RATIO = 0.85
SLOW_ANSWER_RATIO, SLOW_BACKOFF_RATIO = 0.4, 0.93  # part of the timeout; factor on the rate if slower
NEAR_LIMIT_RATIO = 0.5  # part of the burst; for usage here, of its even share: less usage is pushed later
SCHEDULED, DEFERRED, PRIORITY = 1, 2, 3  # values of `Tenant.queued`: where a customer waits


def has_priority(customer: Tenant) -> bool:
    """Return whether the customer's usage is to be pushed before that of others.

    If customers that come only once took the available calls, the totals of customers near their quota would
    become stale, and more would be admitted beyond quotas than all other customers use.
    """
    mine = customer.cur.own + customer.prev.own
    return (
        customer.sparse
        or mine >= NEAR_LIMIT_RATIO * customer.plan.burst / customer.gateways
        or customer.cur.to_restore > 0.0
    )


def near_limit(customer: Tenant) -> bool:
    """Return whether the customer is so near its limit that a new total can change a decision."""
    limit = NEAR_LIMIT_RATIO * customer.plan.burst
    return (not customer.sparse and customer.prev.count() >= limit) or customer.unused < limit


class CounterCallQueue:
    """Queues of customers with unpushed usage, and the token bucket for counter calls.

    A customer is queued while its `queued` field is set: once in `slices` until its slice is due, then in
    `priority` or `deferred` until `next_customer` returns it or `drop_expired` discards it.
    """

    def __init__(self, settings: api.Settings) -> None:
        """Create empty queues, with a call rate for the configured number of gateways."""
        self.timeout_us = settings.counter_timeout
        self.slices: list[list[Tenant]] = [[] for _ in range(PUSH_SLICES)]
        self.slice_index = 0
        self.priority: deque[Tenant] = deque()  # due, waiting for a token
        self.deferred: deque[Tenant] = deque()  # due, with totals that can hardly change a decision yet
        self.set_gateway_count(settings.gateways)
        self.calls_per_s = self.initial_calls_per_s  # calls per second
        self.tokens, self.refilled_at = 1.0, 0

    def set_gateway_count(self, live_gateways: int) -> None:
        """Set the initial call rate for this many gateways, which share the counter's capacity."""
        self.initial_calls_per_s = INITIAL_CALLS_PER_TIMEOUT / max(1, live_gateways) / self.timeout_us * 1e6

    def refill(self, now: int) -> float:
        """Refill the token bucket and return its tokens, one per call; the rate may be below one a second.

        Calls beyond this rate would only lengthen the counter's queue.
        """
        capacity = 2.0 + self.calls_per_s * self.timeout_us / 1e6
        self.tokens = min(capacity, self.tokens + (now - self.refilled_at) * self.calls_per_s / 1e6)
        self.refilled_at = now
        return self.tokens

    def spend_token(self) -> None:
        """Take the token for a call from the bucket."""
        self.tokens -= 1.0

    def call_answered(self, latency_us: int) -> None:
        """Raise the call rate after a fast answer, lower it after a slow one."""
        slow = latency_us > SLOW_ANSWER_RATIO * self.timeout_us
        self.calls_per_s = (
            self.calls_per_s * SLOW_BACKOFF_RATIO
            if slow
            else self.calls_per_s + RATE_STEP_RATIO * self.initial_calls_per_s
        )

    def call_failed(self) -> None:
        """Lower the call rate after a failed call."""
        self.calls_per_s = max(MIN_CALLS_PER_S, self.calls_per_s * FAILURE_BACKOFF_RATIO)

    def at_minimum_rate(self) -> bool:
        """Return whether the call rate is at its minimum."""
        return self.calls_per_s <= MIN_CALLS_PER_S

    def schedule(self, customer: Tenant) -> None:
        """Schedule a push of the customer's usage, or move a deferred customer that now has priority."""
        if not customer.queued:
            customer.queued = SCHEDULED
            self.slices[mix64(customer.key) % PUSH_SLICES].append(customer)
        elif customer.queued == DEFERRED and has_priority(customer):
            self.enqueue(customer)  # `next_customer` and `drop_expired` skip its old deferred entry

    def enqueue(self, customer: Tenant) -> None:
        """Append the customer to the priority or the deferred queue."""
        customer.queued = PRIORITY if has_priority(customer) else DEFERRED
        (self.priority if customer.queued == PRIORITY else self.deferred).append(customer)

    def release_slice(self) -> None:
        """Advance to the next slice and enqueue its customers."""
        self.slice_index = (self.slice_index + 1) % PUSH_SLICES
        due, self.slices[self.slice_index] = self.slices[self.slice_index], []
        for customer in due:
            self.enqueue(customer)

    def drop_expired(self, now: int) -> None:
        """Discard deferred customers whose windows have both ended: their usage no longer counts."""
        while self.deferred and now - self.deferred[0].seen_at >= 2 * self.deferred[0].window_us:
            customer = self.deferred.popleft()
            if customer.queued == DEFERRED:
                customer.queued = 0

    def next_customer(self, now: int) -> Tenant | None:
        """Return the next customer to make a call for, or None if there is none or no token is left.

        A customer with little traffic of its own (`sparse`) takes a call only while a second token is left.
        """
        while (queue := self.priority or self.deferred) and self.refill(now) >= 1.0 + queue[0].sparse:
            customer = queue.popleft()
            if customer.queued == (PRIORITY if queue is self.priority else DEFERRED):
                customer.queued = 0
                return customer
        return None
