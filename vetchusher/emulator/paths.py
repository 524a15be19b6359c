"""A model of the datagrams between processes with faults per direction, without I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class Paths:
    """Decides for each datagram when it arrives: never, once or twice.  A script sets the present faults.

    It keeps no record of datagrams; an entry stays in a set until the script removes it.

    :param loss: ratio of lost datagrams
    :param doubled: ratio of duplicated datagrams
    :param late: ratio of datagrams delayed by up to `late_us`, so that later ones arrive before them
    :param deaf: processes that receive nothing
    :param unheard: processes whose datagrams are dropped
    :param cut: pairs of sender and receiver without datagrams
    :param sides: by process: its side of a partition; empty without one
    """

    rng: random.Random
    least_us: int = 1_000
    most_us: int = 8_000
    loss: float = 0.02
    doubled: float = 0.0
    late: float = 0.0
    late_us: int = 300_000
    deaf: set[int] = field(default_factory=set)
    unheard: set[int] = field(default_factory=set)
    cut: set[tuple[int, int]] = field(default_factory=set)
    sides: tuple[int, ...] = ()
    bytes: int = 0
    sent: int = 0

    def arrivals(self, now: int, sender: int, receiver: int, size: int) -> list[int]:
        """Return the times (us) at which a datagram arrives."""
        self.sent += 1
        self.bytes += size
        rng = self.rng
        is_partitioned = bool(self.sides) and self.sides[sender] != self.sides[receiver]
        if (
            is_partitioned
            or sender in self.unheard
            or receiver in self.deaf
            or (sender, receiver) in self.cut
        ):
            return []
        times = []
        for _ in range(1 + (rng.random() < self.doubled)):
            if rng.random() >= self.loss:
                max_us = self.late_us if rng.random() < self.late else self.most_us
                times.append(now + rng.randint(self.least_us, max(self.least_us, max_us)))
        return times

    def heal(self) -> None:
        """End all faults."""
        self.deaf.clear()
        self.unheard.clear()
        self.cut.clear()
        self.sides = ()
        self.loss, self.doubled, self.late = 0.02, 0.0, 0.0
