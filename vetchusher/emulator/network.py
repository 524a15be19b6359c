"""A model of the datagrams between ingresses without I/O: latency, loss, partitions, receive rate limit."""

from __future__ import annotations

import random
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Cut:
    """A partition: no datagram passes between ingresses of different sides.

    :param starts_at: microseconds
    :param ends_at: microseconds
    :param sides: by ingress: its side
    """

    starts_at: int
    ends_at: int
    sides: tuple[int, ...]


@dataclass(slots=True)
class Datagrams:
    """Decides when each datagram arrives, or that it is lost.

    :param loss: ratio of lost datagrams
    :param least_us: minimum latency
    :param most_us: maximum latency
    :param max_received_per_s: each receiver accepts so many datagrams per second; others are dropped
    :param receiver_free_at: by receiver: when its rate limiter admits the next datagram (us)
    """

    rng: random.Random
    loss: float = 0.07
    least_us: int = 3_600
    most_us: int = 23_000
    max_received_per_s: float = 100.0
    partitions: tuple[Cut, ...] = ()
    sent_count: int = 0
    lost_count: int = 0
    byte_count: int = 0
    receiver_free_at: dict[int, float] = field(default_factory=dict)

    def arrivals(self, now: int, sender: int, receiver: int, size: int) -> list[int]:
        """Return the times (us) at which a datagram arrives: none or one."""
        at = self.arrival(now, sender, receiver, size)
        return [] if at is None else [at]

    def arrival(self, now: int, sender: int, receiver: int, size: int) -> int | None:
        """Return the time (us) at which a datagram arrives, or None if it is lost."""
        self.sent_count += 1
        self.byte_count += size
        is_partitioned = any(
            c.starts_at <= now < c.ends_at
            and c.sides[sender % len(c.sides)] != c.sides[receiver % len(c.sides)]
            for c in self.partitions
        )
        if is_partitioned or self.rng.random() < self.loss:
            self.lost_count += 1
            return None
        at = now + self.rng.randint(self.least_us, self.most_us)
        # The rate limiter allows a burst of a quarter of a second; the excess is dropped.
        free_at = max(float(at), self.receiver_free_at.get(receiver, 0.0))
        if free_at - at > 250_000:
            self.lost_count += 1
            return None
        self.receiver_free_at[receiver] = free_at + 1e6 / self.max_received_per_s
        return at
