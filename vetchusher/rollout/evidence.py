"""What an ingress observes of the two versions of a service, by route.

An answer is slow if it takes several times as long as the old version's answers usually take on the same
route. It is counted as soon as that time has passed, even if no answer has come, so that a version that hangs
is detected before its requests time out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from vetchusher.distribution import wire_pb2 as wire

SLOW_FACTOR = 3.0  # an answer is slow above this multiple of the old version's smoothed duration
MIN_SLOW_US = 50_000  # shorter answers never count as slow
SMOOTHING_RATIO = 0.1  # weight of the newest answer in the old version's smoothed duration
MAX_ROUTES = 64  # further routes are counted together as `OTHER_ROUTES`
OTHER_ROUTES = "other"


@dataclass(slots=True)
class VersionCounts:
    """Running counts of the answers of one version on one route."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, *, error: bool, slow: bool) -> None:
        """Count one answer."""
        self.answers += 1
        self.errors += error
        self.slow += slow

    def message(self) -> wire.VersionCounts:
        """Return the counts as the message that is reported."""
        return wire.VersionCounts(answers=self.answers, errors=self.errors, slow=self.slow)


@dataclass(slots=True)
class RouteEvidence:
    """Counts of both versions on one route.

    :param baseline_us: smoothed duration of the old version's answers; 0 before the first one
    """

    old: VersionCounts = field(default_factory=VersionCounts)
    new: VersionCounts = field(default_factory=VersionCounts)
    baseline_us: float = 0.0

    def is_slow(self, duration_us: int) -> bool:
        """Return whether an answer of this duration counts as slow."""
        return self.baseline_us > 0 and duration_us > max(MIN_SLOW_US, SLOW_FACTOR * self.baseline_us)


@dataclass(slots=True)
class OpenExposure:
    """A request at the new version that has not been answered yet.

    :param sent_at: when it was sent, in microseconds of the ingress's steady clock
    :param counted_slow: whether it was counted as slow before its answer came
    """

    route: str
    sent_at: int
    counted_slow: bool = False


class ServiceEvidence:
    """Counts of one roll-out at this ingress, by route, and the exposures that are still open."""

    def __init__(self) -> None:
        """Start without counts."""
        self.routes: dict[str, RouteEvidence] = {}
        self.open_exposures: dict[object, OpenExposure] = {}  # by attempt

    def _route_evidence(self, route: str) -> RouteEvidence:
        """Return the counts of a route; new routes beyond `MAX_ROUTES` share one entry."""
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self.routes.setdefault(route, RouteEvidence())

    def on_exposed(self, key: object, route: str, now: int) -> None:
        """Record that a request was sent to the new version.

        :param key: identifies the attempt
        :param now: current time, in microseconds of the steady clock
        """
        self.open_exposures[key] = OpenExposure(route, now)

    def on_old_answer(self, route: str, duration_us: int, *, error: bool) -> None:
        """Count an answer of the old version, and update the route's baseline unless it is an error."""
        evidence = self._route_evidence(route)
        evidence.old.add(error=error, slow=evidence.is_slow(duration_us))
        if not error:
            previous_us = evidence.baseline_us or float(duration_us)
            # Bounded so that one answer that hung doesn't raise the baseline far above the usual duration.
            bounded_us = min(float(duration_us), SLOW_FACTOR * previous_us)
            evidence.baseline_us = previous_us + SMOOTHING_RATIO * (bounded_us - previous_us)

    def on_new_answer(self, key: object, duration_us: int, *, error: bool) -> None:
        """Count an answer of the new version; an attempt that was not recorded as exposed is ignored."""
        exposure = self.open_exposures.pop(key, None)
        if exposure is None:
            return
        evidence = self._route_evidence(exposure.route)
        if exposure.counted_slow:
            evidence.new.errors += error
            return
        evidence.new.add(error=error, slow=evidence.is_slow(duration_us))

    def on_abandoned(self, key: object) -> None:
        """Forget an exposure whose end says nothing about the new version."""
        self.open_exposures.pop(key, None)

    def count_overdue(self, now: int) -> None:
        """Count the open exposures as slow that already take too long.

        :param now: current time, in microseconds of the steady clock
        """
        for exposure in self.open_exposures.values():
            evidence = self._route_evidence(exposure.route)
            if not exposure.counted_slow and evidence.is_slow(now - exposure.sent_at):
                exposure.counted_slow = True
                evidence.new.add(error=False, slow=True)

    def messages(self) -> Iterable[wire.RouteEvidence]:
        """Return the counts by route as the messages that are reported."""
        for route, evidence in self.routes.items():
            yield wire.RouteEvidence(
                route=route, old_version=evidence.old.message(), new_version=evidence.new.message()
            )
