"""Tracks the newest incarnation of each process, so that late messages of earlier ones can be dropped."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MACHINES = 4_096  # limit of tracked pairs of message kind and machine


@dataclass(slots=True, frozen=True)
class Incarnation:
    """The newest incarnation of one machine.

    :param number: drawn at random by the process at its start
    :param first_connection: number of the first connection on which a message of it arrived
    """

    number: int
    first_connection: int


class IncarnationTracker:
    """Owner of the newest incarnation of each machine; beyond `MAX_MACHINES` the oldest entry is removed.

    Incarnation numbers are random and have no order. Connections do: those of an incarnation are accepted
    after those of earlier incarnations. Data that an earlier incarnation wrote may be read from its
    connection only after a message of the later one has arrived on another connection.
    """

    def __init__(self) -> None:
        """Begin with no machine known."""
        self.latest: dict[tuple[str, str], Incarnation] = {}

    def is_current(self, role: str, machine: str, incarnation: int, connection: int) -> bool:
        """Return whether a message is of its sender's newest incarnation; a new incarnation is recorded.

        :param role: kind of the message; incarnations are tracked separately for each kind
        :param incarnation: the sender's number; 0: it sends none, and its messages count as current
        :param connection: number of the connection, in the order in which connections were accepted
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
