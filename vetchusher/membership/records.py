"""What is known about one member, and which of two records is the newer one.

A view keeps the greatest record by this order, so records merge to the same result in any order.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

HEARTBEAT_US = 100_000  # a member's heartbeat is its age in units of this length
MAX_HEARTBEAT = 0xFFFFFFFF  # the u32 of the wire format
MAX_INCARNATION = (1 << 48) - 1  # the u48 of the wire format


class State(IntEnum):
    """State of a member.

    The numbers are sent on the wire and must not change.  Of two records with the same heartbeat the one
    with the greater state supersedes the other.
    """

    UNKNOWN = 0  # no record of it has been received
    ALIVE = 1
    LEAVING = 2  # has been asked to stop; serves until its process exits
    SUSPECTED = 3
    DEAD = 4
    LEFT = 5


ACCUSATIONS = frozenset((State.SUSPECTED, State.DEAD))
LIVE_STATES = frozenset((State.ALIVE, State.LEAVING))
PRESENT_STATES = frozenset((State.ALIVE, State.LEAVING, State.SUSPECTED))  # members that are taken to serve


@dataclass(slots=True, frozen=True)
class Record:
    """One member as another member knows it.

    :param incarnation: when its process began (Unix ms); a later one supersedes an earlier one
    :param heartbeat: its age (tenths of a second) when it was last known to be alive; in an accusation
        the age from which on nothing has been received from it
    :param accuser: number of the accuser, in an accusation; otherwise 0
    """

    incarnation: int = 0
    heartbeat: int = 0
    state: State = State.UNKNOWN
    accuser: int = 0

    @property
    def key(self) -> tuple[int, bool, int, int]:
        """Sort key: of two records of a member the one with the greater key supersedes the other.

        LEFT stands above any heartbeat of the same incarnation: otherwise a delayed record would bring back a
        member that left in order.
        """
        return self.incarnation, self.state is State.LEFT, self.heartbeat, self.state


def newer(one: Record, other: Record) -> Record:
    """Return the record that supersedes the other.

    Records with equal keys differ only in their accuser; the lower number wins, so that the order in which
    accusations arrive makes no difference.
    """
    if one.key == other.key:
        return one if one.accuser <= other.accuser else other
    return one if one.key > other.key else other
