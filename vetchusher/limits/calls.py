"""Whose totals the next counter call is for, and when it may be made.

Customers with something to push stand in one of two lines; calls are paid for with tokens that come in at a
pace learned from the counter's answers. Nothing here does I/O.
"""

from __future__ import annotations

from collections import deque

from vetchusher import interface as api
from vetchusher.state import Customer, mix64

SYNC_US, SYNC_SLICES = 62_500, 2  # us between pushes of one customer, and parts they are spread over
CALLS_FIRST = 24.0  # calls that all gateways together make in a call's time limit, at first
CALLS_LEAST, CALLS_STEP = 0.5, 0.02  # calls a second at least; part of the first pace a good answer adds
CALLS_CUT = 0.85  # factor per failed call: a crowded counter also works on calls nobody waits for
CALLS_SLOW, CALLS_EASE = 0.4, 0.93  # of the call's time limit: a slower answer eases the pace by this factor
KEEN_PART = 0.5  # of the limit: a customer here below this waits for calls behind those above
DUE, BEHIND, WAITING = 1, 2, 3  # where a customer with something to push stands


def keen(who: Customer) -> bool:
    """Danger: where customers that come once take the calls there are, the totals of those near their
    quota grow old, and more is passed beyond quotas than all the others use."""
    mine = who.cur.mine + who.prev.mine
    return who.thin or mine >= KEEN_PART * who.plan.burst / who.doors or who.cur.restore > 0.0


def near(who: Customer) -> bool:
    """Whether news of this customer can change a decision."""
    limit = KEEN_PART * who.plan.burst
    return (not who.thin and who.prev.count() >= limit) or who.unused < limit


class CallLine:
    """The customers that owe the counter something, and the tokens for calls.

    A customer stands in it while its `queued` says so: once in `slots` until its slice is due, then in
    `waiting` or `behind` until `take` gives it out or `drop_old` passes it over.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.timeout = settings.counter_timeout
        self.slots: list[list[Customer]] = [[] for _ in range(SYNC_SLICES)]
        self.at = 0
        self.waiting: deque[Customer] = deque()  # due, but the calls out are at their bound
        self.behind: deque[Customer] = deque()  # the same, of those whose totals can hardly matter yet
        self.seen(settings.gateways)
        self.pace = self.first_pace
        self.tokens, self.paid_at = 1.0, 0

    def seen(self, living: int) -> None:
        """So many gateways share the counter: its pace, which answers teach, is sought from there."""
        self.first_pace = CALLS_FIRST / max(1, living) / self.timeout * 1e6

    def paid(self, now: int) -> float:
        """Calls that may be made now, at a pace that may be far below one a second.  Danger: more only
        lengthen the line."""
        most = 2.0 + self.pace * self.timeout / 1e6
        self.tokens = min(most, self.tokens + (now - self.paid_at) * self.pace / 1e6)
        self.paid_at = now
        return self.tokens

    def called(self) -> None:
        self.tokens -= 1.0

    def answered(self, latency: int) -> None:
        slow = latency > CALLS_SLOW * self.timeout
        self.pace = self.pace * CALLS_EASE if slow else self.pace + CALLS_STEP * self.first_pace

    def failed(self) -> None:
        self.pace = max(CALLS_LEAST, self.pace * CALLS_CUT)

    def crawls(self) -> bool:
        return self.pace <= CALLS_LEAST

    def queue(self, who: Customer) -> None:
        if not who.queued:
            who.queued = DUE
            self.slots[mix64(who.key) % SYNC_SLICES].append(who)
        elif who.queued == BEHIND and keen(who):
            self.line_up(who)  # its place behind is passed over

    def line_up(self, who: Customer) -> None:
        who.queued = WAITING if keen(who) else BEHIND
        (self.waiting if who.queued == WAITING else self.behind).append(who)

    def turn(self) -> None:
        """Line up one slice of the customers that owe."""
        self.at = (self.at + 1) % SYNC_SLICES
        due, self.slots[self.at] = self.slots[self.at], []
        for who in due:
            self.line_up(who)

    def drop_old(self, now: int) -> None:
        while self.behind and now - self.behind[0].seen_at >= 2 * self.behind[0].length:
            who = self.behind.popleft()  # its windows are over: what it passed counts nowhere
            if who.queued == BEHIND:
                who.queued = 0

    def take(self, now: int) -> Customer | None:
        """The next customer that a call may be made for now."""
        while (line := self.waiting or self.behind) and self.paid(now) >= 1.0 + line[0].thin:
            who = line.popleft()
            if who.queued == (WAITING if line is self.waiting else BEHIND):
                who.queued = 0
                return who
        return None
