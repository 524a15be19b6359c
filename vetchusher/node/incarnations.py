"""Which incarnation of a process speaks: what arrives late from an earlier one is no longer true."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MACHINES = 4_096  # machines remembered


@dataclass(slots=True, frozen=True)
class Incarnation:
    """The newest incarnation of one machine.

    :param number: drawn by the process at its start
    :param first_connection: number of the first connection on which it was heard
    """

    number: int
    first_connection: int


class IncarnationTracker:
    """Owner of the newest incarnation of each machine; beyond `MAX_MACHINES` the one first heard is
    forgotten.

    Incarnations are drawn and have no order, but connections have one: those of an incarnation come after
    those of the ones before. What an earlier one wrote may still lie on a connection that is read only now,
    when a later one was heard on a connection of its own.
    """

    def __init__(self) -> None:
        """Begin with no machine known."""
        self.latest: dict[tuple[str, str], Incarnation] = {}

    def is_current(self, role: str, machine: str, incarnation: int, connection: int) -> bool:
        """Return whether a message is of the newest incarnation, which it may make known.

        :param role: kind of message; machines have one incarnation for each
        :param incarnation: 0: the sender tells none
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
