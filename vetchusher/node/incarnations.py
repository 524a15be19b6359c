"""Which life of a process speaks: what comes late of one before it is no longer true."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MACHINES = 4_096  # machines remembered


@dataclass(slots=True, frozen=True)
class Incarnation:
    """:param since: number of the first connection on which this life was heard"""

    number: int
    first_connection: int


class IncarnationTracker:
    """It owns who spoke last of each machine; the one first heard is forgotten beyond `MOST`.

    Lives are drawn and have no order, but connections have one: a life's come after those of the lives before
    it.  What an earlier one wrote may still lie on a connection that is read only now, when a later one has
    spoken on a connection of its own.
    """

    def __init__(self) -> None:
        self.latest: dict[tuple[str, str], Incarnation] = {}

    def is_current(self, role: str, machine: str, incarnation: int, connection: int) -> bool:
        """Whether what came on a connection is of the newest life heard, which it may make known.

        :param life: 0: the sender tells none
        :param connection: connections are numbered as they are accepted
        """
        if not incarnation:
            return True
        known = self.latest.get((role, machine))
        if known is not None and (incarnation == known.number or connection < known.first_connection):
            return incarnation == known.number
        self.latest[role, machine] = Incarnation(incarnation, connection)
        if len(self.latest) > MAX_MACHINES:
            del self.latest[next(iter(self.latest))]
        return True
