"""What is known of one member: a record, and which of two is the newer.  A view keeps the greatest, so
records merge in any order to the same."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

BEAT_US = 100_000  # a member's beat is its age in these
MOST_BEAT = 0xFFFFFFFF
MOST_LIFE = (1 << 48) - 1


class State(IntEnum):
    """By number on the wire, so numbers stay.  Of one beat the greater is the later."""

    UNKNOWN = 0  # never heard of
    ALIVE = 1
    LEAVING = 2  # told to end, and serves until it has
    SUSPECTED = 3
    DEAD = 4
    LEFT = 5


ACCUSATIONS = frozenset((State.SUSPECTED, State.DEAD))
LIVING = frozenset((State.ALIVE, State.LEAVING))
HERE = frozenset((State.ALIVE, State.LEAVING, State.SUSPECTED))  # taken to serve


@dataclass(slots=True, frozen=True)
class Record:
    """One member as somebody knows it.

    :param life: when it began (Unix ms); a later life supersedes an earlier one
    :param beat: its age (tenths of a second) when it was last known to live; of an accusation: since when it
        has not been heard
    :param by: the accuser, of an accusation
    """

    life: int = 0
    beat: int = 0
    state: State = State.UNKNOWN
    by: int = 0

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """Danger: who left in order must not come back by a word that was late on its way."""
        return self.life, self.state is State.LEFT, self.beat, self.state


def later(one: Record, other: Record) -> Record:
    """The record that stands when both are known; who accuses first makes no difference."""
    if one.key == other.key:
        return one if one.by <= other.by else other
    return one if one.key > other.key else other
