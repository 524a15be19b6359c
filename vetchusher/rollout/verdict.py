"""The verdict on a new version, from merged counts of its answers and of the old version's.

For each route, and for all together, errors and slow answers are each watched by a cumulative sum (CUSUM,
Page 1954) of the log likelihood ratio between two rates: the old version's on that route, with an allowance,
and one that is higher by `DETECTED_ERRORS` or `DETECTED_SLOW`.  A sum that reaches `ALARM` speaks against the
new version.  A sum never falls below zero, so that a version that turns bad after a good beginning is noticed
as soon as one that was bad from the start.

By Wald's bound a sum of a good version reaches `ALARM` in less than one of exp(ALARM) = 160,000 of its
beginnings anew.  A rate at the detected difference needs about ALARM / divergence answers: 40 for errors, 70
for slow ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import log

ALARM = 12.0
ALLOWED_ERRORS, DETECTED_ERRORS = 0.02, 0.15  # beyond the old version's rate: borne, and looked for
ALLOWED_SLOW, DETECTED_SLOW = 0.06, 0.20
BASELINE_FACTOR = 1.5  # times the old version's rate is borne
PRIOR_ANSWERS = 50  # of the old version, without fault: few answers say little of its rate
MAX_RATE = 0.95
ALL_ROUTES = "*"


class Fault(Enum):
    """What is looked for; the value is what the log says."""

    ERRORS = "errors"
    SLOW = "slow"


ALLOWANCE = {
    Fault.ERRORS: (ALLOWED_ERRORS, DETECTED_ERRORS),
    Fault.SLOW: (ALLOWED_SLOW, DETECTED_SLOW),
}


@dataclass(slots=True, frozen=True)
class Counts:
    """Answers of one version, and how many of them were errors or slow."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def __add__(self, other: Counts) -> Counts:
        """Return the sum of both."""
        return Counts(self.answers + other.answers, self.errors + other.errors, self.slow + other.slow)

    def __sub__(self, other: Counts) -> Counts:
        """Return what came since `other`; never below zero."""
        return Counts(
            max(0, self.answers - other.answers),
            max(0, self.errors - other.errors),
            max(0, self.slow - other.slow),
        )

    def faults(self, fault: Fault) -> int:
        """Return how many answers had a fault."""
        return self.errors if fault is Fault.ERRORS else self.slow


@dataclass(slots=True)
class RouteWatch:
    """The sums of one route, and the totals that they rest on."""

    old: Counts = Counts()
    new: Counts = Counts()
    sums: dict[Fault, float] = field(default_factory=lambda: dict.fromkeys(Fault, 0.0))

    def add(self, old: Counts, new: Counts) -> None:
        """Take further answers of both versions."""
        self.old += old
        self.new += new
        for fault in Fault:
            borne, detected = self.rates(fault)
            faults = min(new.faults(fault), new.answers)
            evidence = faults * log(detected / borne)
            evidence += (new.answers - faults) * log((1 - detected) / (1 - borne))
            self.sums[fault] = max(0.0, self.sums[fault] + evidence)

    def rates(self, fault: Fault) -> tuple[float, float]:
        """Return the rate of a fault that is borne, and the one that is looked for."""
        allowed, detected = ALLOWANCE[fault]
        usual = self.old.faults(fault) / (self.old.answers + PRIOR_ANSWERS)
        borne = min(MAX_RATE - detected, BASELINE_FACTOR * usual + allowed)
        return borne, borne + detected


@dataclass(slots=True, frozen=True)
class Alarm:
    """Why a version is bad: the route, what was seen there, and in how many of its answers."""

    route: str
    fault: Fault
    new: Counts
    old: Counts


class Watch:
    """Owner of the watches of one roll-out, by route."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.routes: dict[str, RouteWatch] = {}

    @property
    def total(self) -> RouteWatch:
        """All routes together."""
        return self.routes.setdefault(ALL_ROUTES, RouteWatch())

    def add(self, route: str, old: Counts, new: Counts) -> None:
        """Take further answers on one route."""
        self.total.add(old, new)
        self.routes.setdefault(route, RouteWatch()).add(old, new)

    def alarm(self) -> Alarm | None:
        """Return what speaks against the new version; None: nothing does."""
        for route, watch in sorted(self.routes.items(), key=lambda item: item[0] == ALL_ROUTES):
            for fault, evidence in watch.sums.items():
                if evidence >= ALARM:
                    return Alarm(route, fault, watch.new, watch.old)
        return None
