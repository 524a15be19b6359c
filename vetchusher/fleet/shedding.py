"""What share of the commands is refused while the fleet as a whole is late.

One number for all instances: many ingresses with little traffic each jam a fleet, and none of them sees
one instance often enough to know. Nothing here does I/O.
"""

from __future__ import annotations

from math import sqrt

LATE_TARGET = 0.35  # share of late attempts, over all workers: more is a jam; lost answers alone stay below
LATE_US, LATE_GAIN_LEAST, LATE_GAIN_MOST = 2_000_000, 0.02, 0.4  # us of memory, and what one may weigh
SHED_STEP, SHED_MOST = 0.8, 1.0  # gain of the shed share on the excess of late ones, and its bound
SHED_FIRST, SHED_HALF = 0.3, 20.0  # shed at birth, as it may be into a jam; gateways at which half of that
SHED_NOW, SHED_ODDS_MOST = 1.5, 0.95  # what that excess adds at once; some pass to tell when a jam is over
SHED_SPAN = 0.6  # kept from customers by how much of their quota is used: of odds here, of a worker's limit
SPARE_LATE = 0.15  # share of late attempts below which the fleet has room for free excess


class Shedding:
    """The share of late attempts and what is shed for it; a handful of numbers and no map."""

    def __init__(self, gateways: int) -> None:
        self.late = LATE_TARGET
        self.shed = SHED_FIRST * gateways / (gateways + SHED_HALF)
        self.excess = 0.0  # of late attempts over the target, beyond what chance makes of so few
        self.judged_at = 0

    def judge(self, now: int, late: bool) -> None:
        """Danger: many gateways with little traffic each jam the whole fleet, and none sees one worker often
        enough to know.  All attempts here count as one sample, whatever made them late: surges, costly
        requests, lost workers.  Harm: where most answers are lost, some is refused that would be served."""
        span = (now - self.judged_at) / LATE_US if self.judged_at else 0.0
        gain = min(LATE_GAIN_MOST, max(LATE_GAIN_LEAST, span))
        self.judged_at = now
        self.late += gain * (late - self.late)
        # Danger: the fewer attempts a share rests on, the more of it is chance; many gateways with little
        # traffic each shed by turns what the fleet could well serve.
        chance = sqrt(gain / (2.0 - gain)) - sqrt(LATE_GAIN_LEAST / (2.0 - LATE_GAIN_LEAST))
        self.excess = self.late - LATE_TARGET - chance * sqrt(LATE_TARGET * (1.0 - LATE_TARGET))
        # By time, not by attempts: what is shed leaves few attempts to tell that the jam is over.
        step = SHED_STEP * min(2.0, span) * self.excess
        self.shed = min(SHED_MOST, max(0.0, self.shed + step))

    def sheds(self, usage: float, luck: float) -> bool:
        """Refuse some, those with more of their quota used first."""
        push = self.shed + SHED_NOW * max(0.0, self.excess)
        odds = min(SHED_ODDS_MOST, push * (1.0 - SHED_SPAN * (1.0 - min(1.0, usage))))
        return luck < odds

    def jammed(self) -> bool:
        """Whether a further attempt would only find the next full queue."""
        return self.late >= LATE_TARGET

    def spare(self) -> bool:
        """Whether the fleet has room for what earns little."""
        return self.shed <= 0.0 and self.late < SPARE_LATE
