"""Probes in flight, the own one and indirect ones for others; and paths on which direct pings fail."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .messages import NEVER_HEARD
from .rules import PATH_FAILURE_LIMIT

MAX_WATCHED_PATHS = 32  # failures on further paths are ignored
MAX_INDIRECT_PROBES = 128  # in flight for others; requests beyond these are ignored


class BadDirection(Enum):
    """Which direction of a path is bad, as far as is known; the values are shown to operators."""

    TO = "it does not hear us"
    FROM = "we do not hear it"


class Step(Enum):
    """What a probe does next; see `rules.PING_RETRY_RATIO` and the constants below it."""

    PING = 1
    INDIRECT = 2
    FINAL = 3
    RESULT = 4


@dataclass(slots=True)
class Probe:
    """The one probe of a period.

    :param started_at: when it was sent (us)
    :param claimed_heartbeat: a heartbeat that the target had reached at `started_at`
    :param steps: the times (us) of the steps to come, ending with the result
    :param helpers: members that were asked for an indirect probe
    :param answered: whether any member has answered since it began, so that this member is not cut off
    :param reached: whether another member has reached the target
    """

    target: int
    sequence: int
    started_at: int
    claimed_heartbeat: int
    steps: list[tuple[int, Step]]
    helpers: set[int] = field(default_factory=set)
    answered: bool = False
    reached: bool = False


@dataclass(slots=True, frozen=True)
class IndirectProbe:
    """A ping made for another member; removed when it is answered, or after a period.

    :param requester: the member that asked for it
    :param sequence: sequence number of the requester's probe
    """

    requester: int
    sequence: int
    target: int
    began: int


@dataclass(slots=True)
class Path:
    """A path on which direct pings have failed.

    :param failures: in a row
    :param bad_since: us; -1: not yet taken to be bad
    """

    failures: int = 0
    direction: BadDirection = BadDirection.TO
    bad_since: int = -1


@dataclass(slots=True)
class Paths:
    """Bad paths, to members that other members reach.

    :param watched: failures by member; removed when the member answers directly or is no longer present
    :param reported: by member, when it last reported that it does not receive our answers; removed
        `reported_us` after the last report
    """

    watched: dict[int, Path] = field(default_factory=dict)
    reported: dict[int, int] = field(default_factory=dict)

    def add_failure(self, now: int, member: int, direction: BadDirection | None = None) -> bool:
        """Count a direct failure.  Returns whether the path has just become bad."""
        path = self.watched.get(member)
        if path is None:
            if len(self.watched) >= MAX_WATCHED_PATHS:
                return False
            path = self.watched[member] = Path()
        path.failures += 1
        path.direction = direction or path.direction
        if path.bad_since < 0 and path.failures >= PATH_FAILURE_LIMIT:
            path.bad_since = now
            return True
        return False

    def record_success(self, member: int) -> bool:
        """Forget the failures of a member that answered directly.  Returns whether its path was bad."""
        path = self.watched.pop(member, None)
        return path is not None and path.bad_since >= 0

    def bad(self, now: int, member: int, reported_us: int) -> str:
        """Return why the path to a member is taken to be bad, or an empty string.

        :param reported_us: for how long a report of the member counts
        """
        path = self.watched.get(member)
        if path is not None and path.bad_since >= 0:
            return path.direction.value
        reported_at = self.reported.get(member, -1)
        return BadDirection.FROM.value if reported_at >= 0 and now - reported_at < reported_us else ""

    def sweep(self, now: int, present: set[int], reported_us: int) -> None:
        """Remove the paths to members that are no longer present, and outdated reports."""
        for member in [m for m in self.watched if m not in present]:
            del self.watched[member]
        for member in [m for m, at in self.reported.items() if now - at >= reported_us]:
            del self.reported[member]


def bad_direction(last_contact_ms: int, probing_us: int) -> BadDirection:
    """Return which direction of the path to a member is bad.

    If the member received a message from us while we probed it, its answers are what is lost.

    :param last_contact_ms: how long ago the member last received a message from us, as it reports
    :param probing_us: how long ago our probe of it began
    """
    return (
        BadDirection.FROM
        if last_contact_ms != NEVER_HEARD and last_contact_ms * 1000 <= probing_us
        else BadDirection.TO
    )
