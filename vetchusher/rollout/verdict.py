"""The verdict on a new version, from the merged counts of its answers and of the old version's.

For each route, and for all routes together, errors and slow answers are each tested by a cumulative sum
(CUSUM, Page 1954) of the log likelihood ratio between two rates. The accepted rate is the old version's rate
on that route plus an allowance. The detected rate is higher by `DETECTED_ERROR_RATE` or `DETECTED_SLOW_RATE`.
A sum that reaches `ALARM_THRESHOLD` is evidence against the new version. A sum never falls below zero, so a
version that turns bad after a good start is detected as quickly as one that is bad from the start.

By Wald's bound, the sum of a good version reaches the threshold in fewer than one of exp(ALARM_THRESHOLD) =
160,000 restarts from zero. At the detected rate, an alarm takes about ALARM_THRESHOLD / divergence answers:
40 for errors, 70 for slow answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import log

ALARM_THRESHOLD = 12.0  # log likelihood ratio
# Differences to the old version's rate: one that is accepted, and one that is to be detected beyond it.
ALLOWED_ERROR_RATE, DETECTED_ERROR_RATE = 0.02, 0.15
ALLOWED_SLOW_RATE, DETECTED_SLOW_RATE = 0.06, 0.20
BASELINE_FACTOR = 1.5  # the accepted rate includes this multiple of the old version's rate
PRIOR_ANSWERS = 50  # assumed faultless answers of the old version: a few answers say little about its rate
MAX_RATE = 0.95
ALL_ROUTES = "*"


class Fault(Enum):
    """A kind of bad answer that is tested for; the value is its name in the log."""

    ERRORS = "errors"
    SLOW = "slow"


# By fault: the allowed and the detected difference to the old version's rate.
RATE_DIFFERENCES = {
    Fault.ERRORS: (ALLOWED_ERROR_RATE, DETECTED_ERROR_RATE),
    Fault.SLOW: (ALLOWED_SLOW_RATE, DETECTED_SLOW_RATE),
}


@dataclass(slots=True, frozen=True)
class Counts:
    """The number of answers of one version, and how many of them were errors or slow."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def __add__(self, other: Counts) -> Counts:
        """Return the sum of both counts."""
        return Counts(self.answers + other.answers, self.errors + other.errors, self.slow + other.slow)

    def __sub__(self, other: Counts) -> Counts:
        """Return the increase since `other`; each count is at least zero."""
        return Counts(
            max(0, self.answers - other.answers),
            max(0, self.errors - other.errors),
            max(0, self.slow - other.slow),
        )

    def faults(self, fault: Fault) -> int:
        """Return how many answers had a fault."""
        return self.errors if fault is Fault.ERRORS else self.slow


@dataclass(slots=True)
class RouteDetector:
    """The cumulative sums of one route by fault, and the total counts of both versions."""

    old: Counts = Counts()
    new: Counts = Counts()
    sums: dict[Fault, float] = field(default_factory=lambda: dict.fromkeys(Fault, 0.0))

    def add(self, old: Counts, new: Counts) -> None:
        """Add further answers of both versions to the totals and the sums."""
        self.old += old
        self.new += new
        for fault in Fault:
            accepted_rate, detected_rate = self.rates(fault)
            faults = min(new.faults(fault), new.answers)
            log_ratio = faults * log(detected_rate / accepted_rate)
            log_ratio += (new.answers - faults) * log((1 - detected_rate) / (1 - accepted_rate))
            self.sums[fault] = max(0.0, self.sums[fault] + log_ratio)

    def rates(self, fault: Fault) -> tuple[float, float]:
        """Return the accepted rate of a fault and the rate to be detected."""
        allowed, detected = RATE_DIFFERENCES[fault]
        baseline_rate = self.old.faults(fault) / (self.old.answers + PRIOR_ANSWERS)
        accepted_rate = min(MAX_RATE - detected, BASELINE_FACTOR * baseline_rate + allowed)
        return accepted_rate, accepted_rate + detected


@dataclass(slots=True, frozen=True)
class Alarm:
    """Why a version is bad: the fault, the route it was detected on, and that route's counts."""

    route: str
    fault: Fault
    new: Counts
    old: Counts


class RegressionDetector:
    """The detectors of one roll-out, by route."""

    def __init__(self) -> None:
        """Start without answers."""
        self.routes: dict[str, RouteDetector] = {}

    @property
    def total(self) -> RouteDetector:
        """The detector over all routes together."""
        return self.routes.setdefault(ALL_ROUTES, RouteDetector())

    def add(self, route: str, old: Counts, new: Counts) -> None:
        """Add further answers of both versions on one route."""
        self.total.add(old, new)
        self.routes.setdefault(route, RouteDetector()).add(old, new)

    def alarm(self) -> Alarm | None:
        """Return an alarm against the new version, preferably of a single route; None if there is none."""
        for route, detector in sorted(self.routes.items(), key=lambda item: item[0] == ALL_ROUTES):
            for fault, log_ratio in detector.sums.items():
                if log_ratio >= ALARM_THRESHOLD:
                    return Alarm(route, fault, detector.new, detector.old)
        return None
