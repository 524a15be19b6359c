"""A model of the datagrams between ingresses, free of I/O: late, lost, cut off, too many."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Cut:
    """From `begins` to `ends` (us) no datagram passes between ingresses of different `sides`."""

    begins: int
    ends: int
    sides: tuple[int, ...]


@dataclass(slots=True)
class Datagrams:
    """Decides for each datagram when it arrives, or that it never does.

    It keeps one stamp for each receiver: when its line of datagrams taken in is next free.
    """

    rng: random.Random
    loss: float = 0.07
    least_us: int = 3_600
    most_us: int = 23_000
    inbox_per_s: float = 100.0
    cuts: tuple[Cut, ...] = ()
    sent: int = 0
    lost: int = 0
    bytes: int = 0
    inbox: dict[int, float] = field(default_factory=dict)

    def arrivals(self, now: int, sender: int, receiver: int, size: int) -> list[int]:
        """The times (us) at which it arrives: none or one."""
        at = self.arrival(now, sender, receiver, size)
        return [] if at is None else [at]

    def arrival(self, now: int, sender: int, receiver: int, size: int) -> int | None:
        """The time (us) of its arrival, or None."""
        self.sent += 1
        self.bytes += size
        severed = any(
            c.begins <= now < c.ends and c.sides[sender % len(c.sides)] != c.sides[receiver % len(c.sides)]
            for c in self.cuts
        )
        if severed or self.rng.random() < self.loss:
            self.lost += 1
            return None
        at = now + self.rng.randint(self.least_us, self.most_us)
        # A bucket of a quarter second's worth: what arrives faster than that is dropped.
        room = max(float(at), self.inbox.get(receiver, 0.0))
        if room - at > 250_000:
            self.lost += 1
            return None
        self.inbox[receiver] = room + 1e6 / self.inbox_per_s
        return at
