"""Requests under way: the own probe, indirect probes for others, and paths that fail directly."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .messages import FOREVER
from .rules import PATH_FAILURES

MOST_WATCHED = 32  # paths; beyond them the next failures are not looked into
MAX_INDIRECT_PROBES = 128  # under way for others; requests beyond these are ignored


class BadDirection(Enum):
    """Which direction of a path is bad, as far as is known."""

    TO = "it does not hear us"
    FROM = "we do not hear it"


class Step(Enum):
    PING = 1
    HELP = 2
    LAST = 3
    VERDICT = 4


@dataclass(slots=True)
class Probe:
    """The one probe of a period.

    :param claim: a beat that the target had when it began, at the latest
    :param steps: when what is done next, ending in the verdict
    :param answered: somebody has answered since it began, so this member is heard
    """

    target: int
    sequence: int
    began: int
    claim: int
    steps: list[tuple[int, Step]]
    helpers: set[int] = field(default_factory=set)
    answered: bool = False
    reached: bool = False  # through others


@dataclass(slots=True, frozen=True)
class IndirectProbe:
    """A ping made for another member; gone when answered, or after a period."""

    asker: int
    sequence: int  # of the asker's probe
    target: int
    began: int


@dataclass(slots=True)
class Path:
    failures: int = 0
    way: BadDirection = BadDirection.TO
    bad_since: int = -1


@dataclass(slots=True)
class Paths:
    """Paths to members that others reach.

    An entry is removed when the member answers directly or is gone; what the other end reported is removed
    `told_us` after its last report.
    """

    watched: dict[int, Path] = field(default_factory=dict)
    told: dict[int, int] = field(default_factory=dict)  # by member: when it said that it lacks our answers

    def add_failure(self, now: int, member: int, way: BadDirection | None = None) -> bool:
        """Count a direct failure; true if the path has just become bad."""
        path = self.watched.get(member)
        if path is None:
            if len(self.watched) >= MOST_WATCHED:
                return False
            path = self.watched[member] = Path()
        path.failures += 1
        path.way = way or path.way
        if path.bad_since < 0 and path.failures >= PATH_FAILURES:
            path.bad_since = now
            return True
        return False

    def good(self, member: int) -> bool:
        """It answered directly; true if the path had been bad."""
        path = self.watched.pop(member, None)
        return path is not None and path.bad_since >= 0

    def bad(self, now: int, member: int, told_us: int) -> str:
        """Why the path to a member is taken to be bad; empty: it is not."""
        path = self.watched.get(member)
        if path is not None and path.bad_since >= 0:
            return path.way.value
        told = self.told.get(member, -1)
        return BadDirection.FROM.value if told >= 0 and now - told < told_us else ""

    def sweep(self, now: int, here: set[int], told_us: int) -> None:
        for member in [m for m in self.watched if m not in here]:
            del self.watched[member]
        for member in [m for m, at in self.told.items() if now - at >= told_us]:
            del self.told[member]


def bad_direction(heard_ms: int, asked_us: int) -> BadDirection:
    """From how long ago the member says it heard us last, and since when we ask it."""
    return BadDirection.FROM if heard_ms != FOREVER and heard_ms * 1000 <= asked_us else BadDirection.TO
