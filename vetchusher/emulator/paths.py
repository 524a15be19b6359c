"""Faults of the datagrams between each two processes, each direction apart, free of I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True)
class Paths:
    """Decides for each datagram when it arrives: never, once or twice.  What holds now is set by a script.

    It keeps no record of datagrams; the sets hold what the script put there until it takes it out.
    """

    rng: random.Random
    least_us: int = 1_000
    most_us: int = 8_000
    loss: float = 0.02
    doubled: float = 0.0
    late: float = 0.0  # share that takes up to `late_us`: overtaken by what was sent after it
    late_us: int = 300_000
    deaf: set[int] = field(default_factory=set)  # hear nobody
    unheard: set[int] = field(default_factory=set)  # are heard by nobody
    cut: set[tuple[int, int]] = field(default_factory=set)  # from, to
    sides: tuple[int, ...] = ()  # by number: only those of one side reach each other
    bytes: int = 0
    sent: int = 0

    def arrivals(self, now: int, sender: int, receiver: int, size: int) -> list[int]:
        """The times (us) at which it arrives."""
        self.sent += 1
        self.bytes += size
        rng = self.rng
        apart = bool(self.sides) and self.sides[sender] != self.sides[receiver]
        if apart or sender in self.unheard or receiver in self.deaf or (sender, receiver) in self.cut:
            return []
        times = []
        for _ in range(1 + (rng.random() < self.doubled)):
            if rng.random() >= self.loss:
                most = self.late_us if rng.random() < self.late else self.most_us
                times.append(now + rng.randint(self.least_us, max(self.least_us, most)))
        return times

    def heal(self) -> None:
        """All paths as they were."""
        self.deaf.clear()
        self.unheard.clear()
        self.cut.clear()
        self.sides = ()
        self.loss, self.doubled, self.late = 0.02, 0.0, 0.0
