"""What an ingress sees of the two versions of a service, side by side on the same routes.

An answer is slow if it takes several times what the old version usually takes on its route, and counts as
soon as it is that late, so that a version that hangs shows before its answers are due.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from vetchusher.distribution import wire_pb2 as wire

SLOW_FACTOR = 3.0  # times the old version's smoothed time
MIN_SLOW_US = 50_000  # a shorter time is never slow
SMOOTHING = 0.1  # weight of the newest answer of the old version
MAX_ROUTES = 64  # that are told apart; the others share `OTHER_ROUTES`
OTHER_ROUTES = "other"


@dataclass(slots=True)
class VersionCounts:
    """Running counts of the answers of one version on one route."""

    answers: int = 0
    errors: int = 0
    slow: int = 0

    def add(self, *, error: bool, slow: bool) -> None:
        """Count an answer."""
        self.answers += 1
        self.errors += error
        self.slow += slow

    def message(self) -> wire.VersionCounts:
        """Return the counts as they are reported."""
        return wire.VersionCounts(answers=self.answers, errors=self.errors, slow=self.slow)


@dataclass(slots=True)
class RouteEvidence:
    """What was seen on one route.

    :param usual_us: smoothed time of the old version's answers; 0: none yet
    """

    old: VersionCounts = field(default_factory=VersionCounts)
    new: VersionCounts = field(default_factory=VersionCounts)
    usual_us: float = 0.0

    def is_slow(self, took_us: int) -> bool:
        """Return whether an answer that took so long is slow."""
        return self.usual_us > 0 and took_us > max(MIN_SLOW_US, SLOW_FACTOR * self.usual_us)


@dataclass(slots=True)
class OpenExposure:
    """A request that is open at the new version."""

    route: str
    sent_at: int
    counted: bool = False  # as slow, before its answer


class ServiceEvidence:
    """Owner of what was seen during one roll-out."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.routes: dict[str, RouteEvidence] = {}
        self.open: dict[object, OpenExposure] = {}

    def _of(self, route: str) -> RouteEvidence:
        if route not in self.routes and len(self.routes) >= MAX_ROUTES:
            route = OTHER_ROUTES
        return self.routes.setdefault(route, RouteEvidence())

    def on_exposed(self, key: object, route: str, now: int) -> None:
        """Note that a request was sent to the new version.

        :param key: names the attempt
        """
        self.open[key] = OpenExposure(route, now)

    def on_old_answer(self, route: str, took_us: int, *, error: bool) -> None:
        """Take an answer of the old version."""
        seen = self._of(route)
        seen.old.add(error=error, slow=seen.is_slow(took_us))
        if not error:
            before = seen.usual_us or float(took_us)
            bounded = min(float(took_us), SLOW_FACTOR * before)  # one that hung does not make others usual
            seen.usual_us = before + SMOOTHING * (bounded - before)

    def on_new_answer(self, key: object, took_us: int, *, error: bool) -> None:
        """Take an answer of the new version."""
        exposure = self.open.pop(key, None)
        if exposure is None:
            return
        seen = self._of(exposure.route)
        if exposure.counted:
            seen.new.errors += error
            return
        seen.new.add(error=error, slow=seen.is_slow(took_us))

    def on_abandoned(self, key: object) -> None:
        """Take that an exposure ended without saying anything of the version."""
        self.open.pop(key, None)

    def count_overdue(self, now: int) -> None:
        """Count exposures that are late already."""
        for exposure in self.open.values():
            seen = self._of(exposure.route)
            if not exposure.counted and seen.is_slow(now - exposure.sent_at):
                exposure.counted = True
                seen.new.add(error=False, slow=True)

    def messages(self) -> Iterable[wire.RouteEvidence]:
        """Return the counts by route as they are reported."""
        for route, seen in self.routes.items():
            yield wire.RouteEvidence(
                route=route, old_version=seen.old.message(), new_version=seen.new.message()
            )
