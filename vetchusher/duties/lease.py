"""Ballots, and the times that follow from a lease and a bound on how fast clocks run apart."""

from __future__ import annotations

from dataclasses import dataclass

ERA_SHIFT, ROUND_SHIFT = 32, 10
MOST_MEMBERS = 1 << ROUND_SHIFT
ROUNDS = 1 << (ERA_SHIFT - ROUND_SHIFT)
ANY_LIFE = 0  # of one who was named by the holder before it: its first `take` says which life it is
LEAST_LEASE = 50_000  # us: below this the event loop's own pauses are a large part


def holder_of(ballot: int) -> int:
    """The candidate whose ballot it is."""
    return ballot & (MOST_MEMBERS - 1)


def era_of(ballot: int) -> int:
    return ballot >> ERA_SHIFT


def above(ballot: int, number: int) -> int:
    """The next ballot of a candidate above one it has seen: a round more, or the next era after the last."""
    return ((ballot >> ROUND_SHIFT) + 1) << ROUND_SHIFT | number


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in us, each on the clock of whoever counts it.

    :param lease: how long voters hold a term
    :param drift: by which part of the true pace any clock may be wrong
    :param margin: between a holder's look at its clock and the end of what it begins then
    """

    lease: int
    drift: float = 0.02
    margin: int = 10_000

    @property
    def held(self) -> int:
        """How long a holder counts its lease from the sending of `take`: it ends first on every clock."""
        return int(self.lease * (1.0 - self.drift) / (1.0 + self.drift)) - self.margin

    @property
    def silence(self) -> int:
        """How long a voter that remembers nothing stays silent: any lease it gave has run out by then."""
        return int(self.lease * (1.0 + self.drift) / (1.0 - self.drift)) + self.margin

    @property
    def renew(self) -> int:
        return self.lease // 4

    @property
    def patience(self) -> int:
        """How long answers of voters are waited for."""
        return self.lease // 8

    @property
    def again(self) -> int:
        """Between two sendings of what has not been answered."""
        return self.lease // 24

    @property
    def replaced(self) -> int:
        """The bound on the time without a holder after one is lost, with a majority that hears each other."""
        return 2 * self.lease

    def fault(self) -> str | None:
        """Why these times cannot work, in one line."""
        if self.lease < LEAST_LEASE:
            return f"a lease of {self.lease} us is too short"
        if not 0.0 <= self.drift < 0.2:
            return f"a drift of {self.drift:g} is not from 0 to 0.2"
        if self.held < 2 * self.renew:
            return "drift and margin leave a holder less than two renewals"
        return None
