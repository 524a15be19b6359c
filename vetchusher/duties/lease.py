"""Ballots, and the times that follow from a lease and a bound on clock drift.

A ballot is era << 32 | round << 10 | member number.
"""

from __future__ import annotations

from dataclasses import dataclass

ERA_SHIFT, ROUND_SHIFT = 32, 10
MAX_MEMBERS = 1 << ROUND_SHIFT
ROUNDS_PER_ERA = 1 << (ERA_SHIFT - ROUND_SHIFT)
# Incarnation of a successor that the last holder named, until the successor states its own in its first TAKE.
ANY_INCARNATION = 0
MIN_LEASE_US = 50_000  # below this the event loop's own pauses are a large part of a lease


def holder_of(ballot: int) -> int:
    """Return the number of the candidate that a ballot belongs to."""
    return ballot & (MAX_MEMBERS - 1)


def era_of(ballot: int) -> int:
    """Return the era of a ballot.

    It rises when a majority of voters has lost its memory, and after the last round of an era.
    """
    return ballot >> ERA_SHIFT


def next_ballot(ballot: int, number: int) -> int:
    """Return a candidate's next ballot above one that it has seen.

    It is in the next round; after the last round of an era that is the first one of the next era.
    """
    return ((ballot >> ROUND_SHIFT) + 1) << ROUND_SHIFT | number


@dataclass(slots=True, frozen=True)
class Timing:
    """Times in us, each on the clock of the ingress that measures it.

    :param lease_us: how long voters grant a term for
    :param drift: greatest relative error of any clock
    :param margin_us: between a holder's check of its clock and the end of the action it then begins
    """

    lease_us: int
    drift: float = 0.02
    margin_us: int = 10_000

    @property
    def holder_lease_us(self) -> int:
        """How long a holder may rely on its lease after sending TAKE.

        By every clock it ends before the voters let the lease expire.
        """
        return int(self.lease_us * (1.0 - self.drift) / (1.0 + self.drift)) - self.margin_us

    @property
    def voter_wait_us(self) -> int:
        """How long a voter without memory must not vote: any lease that it granted has expired by then."""
        return int(self.lease_us * (1.0 + self.drift) / (1.0 - self.drift)) + self.margin_us

    @property
    def renewal_interval(self) -> int:
        """Time between two renewals of a lease."""
        return self.lease_us // 4

    @property
    def answer_timeout(self) -> int:
        """How long to wait for the answers of voters."""
        return self.lease_us // 8

    @property
    def resend_interval(self) -> int:
        """Time between two sendings of a message that has not been answered."""
        return self.lease_us // 24

    @property
    def max_vacancy_us(self) -> int:
        """Upper bound on the time without a holder after one is lost.

        It holds while a majority of the voters can exchange messages with each other and with a candidate.
        """
        return 2 * self.lease_us

    def fault(self) -> str | None:
        """Return why these times can't work, in one line, or None if they can."""
        if self.lease_us < MIN_LEASE_US:
            return f"a lease of {self.lease_us} us is too short"
        if not 0.0 <= self.drift < 0.2:
            return f"a drift of {self.drift:g} is not from 0 to 0.2"
        if self.holder_lease_us < 2 * self.renewal_interval:
            return "drift and margin leave a holder less than two renewals"
        return None
