"""The counter's state, told from the outcomes of calls alone.

One machine for the whole counter: each name's answer is evidence for all of them, so a fresh or divided
counter shows after a few units of traffic, whichever firm they belong to, and no call is spent on it.
"""

from __future__ import annotations

from enum import IntEnum

from .tuning import Tuning


class State(IntEnum):
    """What the ingress holds of the counter; sent to peers by number, so numbers stay."""

    TRUSTED = 0  # answers come, and hold what everybody passed
    DOUBTED = 1  # many calls fail: totals are old
    LOST = 2  # no answer for a while
    RETURNED = 3  # answers come again; whether all counts are there has not been seen yet
    FRESH = 4  # it lost counts that it had shown before
    SPLIT = 5  # answers come, and hold only what passed here


BAD_GAIN = 0.25  # weight of the newest call in the share that fail
BAD_DOUBTED, BAD_TRUSTED = 0.4, 0.15  # share of failing calls: doubted above, trusted again below
LOST_FAILS = 3  # failures in a row at least, beside the time without an answer: it is lost
FLOW_KEPT = 0.99  # of the sums of own and others' units, at each answer
FLOW_LEAST = 8.0  # own units below which the others' part is not known
SUSPECT_US = 1_000_000  # us for which the peers are asked once a split is suspected


def lump(most_units: float) -> float:
    """How much coarser a sum of commands of 1 to `most_units` units is than one of single units.

    Danger: others' units come in whole commands.  Where a command counts up to eight, the same number of
    units is a handful of commands, and their absence is chance: limits measured in single units would call
    a sound counter split.  Chance goes by the mean of the squares over the mean, two thirds of the most
    where all sizes are as likely.
    """
    return max(1.0, (1.0 + 2.0 * most_units) / 3.0)


class CounterHealth:
    """State machine of one counter as one ingress sees it.

    It keeps a handful of numbers and no map.  Times are microseconds on the caller's clock.
    """

    def __init__(self, tuning: Tuning | None = None, most_units: float = 1.0) -> None:
        """:param most_units: the most that one command counts"""
        self.tuning = tuning or Tuning()
        self.lump = lump(most_units)
        self.state = State.TRUSTED
        self.since = 0  # us: when this state began
        self.good_at = -1  # the last answer
        self.bad = 0.0  # share of the calls that fail
        self.fails = 0  # in a row
        self.failing_since = 0  # the first of these
        self.own, self.others = 0.0, 0.0  # units that totals showed, decaying: from here, from elsewhere
        self.missed = 0.0  # others' units that totals since should have shown
        self.fresh_until = 0
        self.split_at = self.sign_at = 0  # us: when it was seen; when a total last showed others' units
        self.suspected_at = -SUSPECT_US

    def uneasy(self, now: int) -> bool:
        """Whether the peers' own word is wanted beside the totals."""
        return self.state is not State.TRUSTED or now - self.suspected_at < SUSPECT_US

    def move(self, now: int, state: State) -> None:
        if state is not self.state:
            self.state, self.since = state, now

    def failed(self, now: int) -> None:
        """A call timed out, was refused, or its answer could not be read."""
        if not self.fails:
            self.failing_since = now
        self.fails += 1
        self.bad += BAD_GAIN * (1.0 - self.bad)
        quiet_since = max(self.good_at, self.failing_since) if self.good_at >= 0 else self.failing_since
        if self.fails >= LOST_FAILS and now - quiet_since >= self.tuning.lost_us:
            self.move(now, State.LOST)
        elif self.state is State.TRUSTED and self.bad > BAD_DOUBTED:
            self.move(now, State.DOUBTED)

    def answered(self, now: int, own: float, others: float, begun: int) -> None:
        """A total came.

        :param own: units from here that it holds and the last total of its name did not
        :param others: further units that it holds and the last one did not
        :param begun: when that last one came (us); below nothing: there was none
        """
        self.good_at, self.fails = now, 0
        self.bad -= BAD_GAIN * self.bad
        if begun >= 0 and others >= 0.0:
            self.flow(now, own, others, begun)
        if self.state is State.LOST:
            self.move(now, State.RETURNED)
        elif self.bad < BAD_TRUSTED and (
            self.state is State.DOUBTED
            or (self.state is State.RETURNED and now - self.since >= self.tuning.return_us)
        ):
            self.move(now, State.TRUSTED)
        elif self.state is State.FRESH and now >= self.fresh_until:
            self.move(now, State.RETURNED)
        elif self.state is State.SPLIT and now - self.split_at >= self.tuning.split_most_us:
            self.own = self.others = self.missed = 0.0
            self.move(now, State.RETURNED)

    def flow(self, now: int, own: float, others: float, begun: int) -> None:
        """Danger: a part of the counter that only this ingress reaches answers promptly, and each of its
        totals is as it should be, but for what the others passed.  And a name asked for rarely shows units
        from before the split: only what came since the last sign of the others is a new sign of them."""
        split = self.state is State.SPLIT
        if others > 0.0 and begun >= (self.split_at if split else self.sign_at):
            self.missed, self.sign_at = 0.0, now
            if split:
                self.move(now, State.RETURNED)
        if split:
            return
        if not others and begun >= self.sign_at and self.own >= FLOW_LEAST * self.lump:
            self.missed += own * self.others / self.own
        self.own = self.own * FLOW_KEPT + own
        self.others = self.others * FLOW_KEPT + others
        if self.missed >= self.tuning.suspect_units * self.lump:
            self.suspected_at = now
        if self.missed >= self.tuning.split_units * self.lump:
            self.split(now)

    def split(self, now: int) -> None:
        """Others passed what no total holds: by the flow of totals, or by their own word."""
        self.split_at = now
        self.missed = 0.0
        if self.state is not State.LOST:
            self.move(now, State.SPLIT)

    def lost_counts(self, now: int, until: int) -> None:
        """A total was below what its name had shown; what stood there matters until `until`."""
        self.fresh_until = max(self.fresh_until, until)
        if self.state is not State.SPLIT:
            self.move(now, State.FRESH)
