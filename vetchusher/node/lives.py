"""Which life of a process speaks: what comes late of one before it is no longer true."""

from __future__ import annotations

from dataclasses import dataclass

MOST = 4_096  # machines remembered


@dataclass(slots=True, frozen=True)
class Speaker:
    """:param since: number of the first connection on which this life was heard"""

    life: int
    since: int


class Lives:
    """It owns who spoke last of each machine; the one first heard is forgotten beyond `MOST`.

    Lives are drawn and have no order, but connections have one: a life's come after those of the lives before
    it.  What an earlier one wrote may still lie on a connection that is read only now, when a later one has
    spoken on a connection of its own.
    """

    def __init__(self) -> None:
        self.speakers: dict[tuple[str, str], Speaker] = {}

    def current(self, role: str, machine: str, life: int, connection: int) -> bool:
        """Whether what came on a connection is of the newest life heard, which it may make known.

        :param life: 0: the sender tells none
        :param connection: connections are numbered as they are accepted
        """
        if not life:
            return True
        known = self.speakers.get((role, machine))
        if known is not None and (life == known.life or connection < known.since):
            return life == known.life
        self.speakers[role, machine] = Speaker(life, connection)
        if len(self.speakers) > MOST:
            del self.speakers[next(iter(self.speakers))]
        return True
