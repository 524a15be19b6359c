"""Load shedding: the ratio of commands refused while the fleet as a whole answers late.

One ratio covers all instances: many gateways with little traffic each can overload a fleet, and none of them
sees a single instance often enough to detect it.  The module does no I/O.
"""

from __future__ import annotations

from math import sqrt

# Late attempts of all workers above which the fleet is overloaded; lost answers alone stay below it.
OVERLOAD_LATE_RATIO = 0.35
# Averaging time of the late ratio, and bounds on the weight of one attempt.
LATE_AVERAGE_US, MIN_LATE_GAIN_RATIO, MAX_LATE_GAIN_RATIO = 2_000_000, 0.02, 0.4
SHED_GAIN_RATIO, MAX_SHED_RATIO = 0.8, 1.0  # gain of the shed ratio on the excess late ratio; its maximum
# Shed ratio after a start, which may be amid an overload, and number of gateways at which it is halved.
INITIAL_SHED_RATIO, HALF_INITIAL_SHED_GATEWAYS = 0.3, 20.0
# Immediate gain on the excess late ratio, and the greatest refusal odds: some commands must be served for the
# end of an overload to be detected.
IMMEDIATE_SHED_GAIN_RATIO, MAX_REFUSAL_RATIO = 1.5, 0.95
# Part of the refusal odds, and of a worker's limit, that depends on the customer's quota usage.
USAGE_WEIGHT = 0.6
SPARE_CAPACITY_LATE_RATIO = 0.15  # below this late ratio, commands beyond the quota may be served as well


class LoadShedder:
    """The ratio of late attempts and the shed ratio derived from it; its memory is a fixed set of numbers."""

    def __init__(self, gateways: int) -> None:
        """Start with a shed ratio that depends on the number of gateways."""
        self.late_ratio = OVERLOAD_LATE_RATIO
        self.shed_ratio = INITIAL_SHED_RATIO * gateways / (gateways + HALF_INITIAL_SHED_GATEWAYS)
        self.excess_late_ratio = 0.0  # late ratio above `OVERLOAD_LATE_RATIO`, less random variation
        self.updated_at = 0

    def record_attempt(self, now: int, late: bool) -> None:
        """Record whether an attempt was late and update the shed ratio.

        Many gateways with little traffic each can overload the whole fleet while none sees a single worker
        often enough to detect it.  All attempts here therefore count as one sample, whatever made them late:
        surges, costly requests, lost workers.  As a drawback, where most answers are lost some commands are
        refused that would be served.
        """
        elapsed_ratio = (now - self.updated_at) / LATE_AVERAGE_US if self.updated_at else 0.0
        gain = min(MAX_LATE_GAIN_RATIO, max(MIN_LATE_GAIN_RATIO, elapsed_ratio))
        self.updated_at = now
        self.late_ratio += gain * (late - self.late_ratio)
        # The fewer attempts a ratio is based on, the greater its random variation.  Without this allowance,
        # many gateways with little traffic would in turn shed commands that the fleet could serve.
        random_variation = sqrt(gain / (2.0 - gain)) - sqrt(MIN_LATE_GAIN_RATIO / (2.0 - MIN_LATE_GAIN_RATIO))
        self.excess_late_ratio = (
            self.late_ratio
            - OVERLOAD_LATE_RATIO
            - random_variation * sqrt(OVERLOAD_LATE_RATIO * (1.0 - OVERLOAD_LATE_RATIO))
        )
        # The step depends on time, not on attempts: shedding leaves few attempts to detect that the overload
        # has ended.
        step = SHED_GAIN_RATIO * min(2.0, elapsed_ratio) * self.excess_late_ratio
        self.shed_ratio = min(MAX_SHED_RATIO, max(0.0, self.shed_ratio + step))

    def sheds(self, usage: float, random_value: float) -> bool:
        """Return whether to refuse a command; customers that have used more of their quota are refused first.

        :param usage: used part of the customer's quota
        :param random_value: uniform in [0, 1)
        """
        pressure = self.shed_ratio + IMMEDIATE_SHED_GAIN_RATIO * max(0.0, self.excess_late_ratio)
        odds = min(MAX_REFUSAL_RATIO, pressure * (1.0 - USAGE_WEIGHT * (1.0 - min(1.0, usage))))
        return random_value < odds

    def overloaded(self) -> bool:
        """Return whether the fleet is overloaded, so that a retry would only meet the next full queue."""
        return self.late_ratio >= OVERLOAD_LATE_RATIO

    def has_spare_capacity(self) -> bool:
        """Return whether the fleet has capacity for commands that earn little."""
        return self.shed_ratio <= 0.0 and self.late_ratio < SPARE_CAPACITY_LATE_RATIO
