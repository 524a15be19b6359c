"""A model of the quota counter without I/O: names, shards with a queue of calls each, and faults.

`Counter` owns every count.  A count expires after the TTL that its first call stated.  Each call checks
`SWEPT_PER_CALL` names for expired counts, so that only a few of these stay in memory.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from vetchusher.emulator.faults import FaultKind, Script

MAX_TTL_US = 60_000_000
SWEPT_PER_CALL = 4


class Reply(Enum):
    """The kind of answer to a call."""

    TOTAL = "total"
    REJECTED = "turned away"
    CORRUPTED = "spoilt"
    NOTHING = "nothing"  # the call is never answered


@dataclass(slots=True, frozen=True)
class Answer:
    """The answer to a call.

    :param at: when it is sent, in microseconds on the caller's clock
    """

    reply: Reply
    at: int
    total: float = 0.0


@dataclass(slots=True)
class Shard:
    """One shard of the counter, which serves its calls one after the other.

    :param free_at: when its queue is empty, in microseconds
    """

    free_at: int = 0


@dataclass(slots=True)
class Partition:
    """The counts shared by the callers on one side of a network partition; one if there is none."""

    counts: dict[str, tuple[float, int]] = field(default_factory=dict)  # total, expiry in microseconds
    shards: list[Shard] = field(default_factory=list)


class Counter:
    """The counter that all ingresses share."""

    def __init__(
        self, faults: Script | None = None, per_second: float = 560.0, parts: int = 2, queue_us: int = 75_000
    ) -> None:
        """Create a counter without counts.

        :param per_second: calls that it serves per second, over all shards
        :param queue_us: a call that would wait longer than this is rejected
        """
        self.faults = faults or Script()
        self.service_us = parts * 1e6 / per_second
        self.shard_count = parts
        self.max_queue_us = queue_us
        self.partitions = [self.new_partition()]
        self.is_partitioned = False
        self.call_count = 0
        self.added = 0.0  # sum of all added amounts

    def new_partition(self) -> Partition:
        """Return a partition without counts."""
        return Partition(shards=[Shard() for _ in range(self.shard_count)])

    def partition_of(self, at: int, caller: int) -> Partition:
        """Return the partition that a caller reaches at a time, and begin or end a network partition."""
        fault = self.faults.active(at, FaultKind.SPLIT)
        if fault is None:
            if self.is_partitioned:  # healed: the counts of the first partition stay, the others are lost
                self.partitions, self.is_partitioned = self.partitions[:1], False
            return self.partitions[0]
        if not self.is_partitioned:
            self.is_partitioned = True
            original = self.partitions[0]
            for _ in range(max(fault.sides)):
                partition = self.new_partition()
                partition.counts = dict(original.counts) if fault.keeps else {}
                self.partitions.append(partition)
        return self.partitions[fault.sides[caller % len(fault.sides)]]

    def call(self, at: int, caller: int, name: str, amount: float, ttl_us: int) -> Answer:
        """Serve one call.

        :param at: when it arrives, in microseconds
        :param caller: the caller's number, which decides the partition that it reaches
        :param ttl_us: when a new count expires, in microseconds from now
        """
        self.call_count += 1
        for _ in self.faults.take_instantaneous(at):
            for partition in self.partitions:
                partition.counts.clear()
        if self.faults.active(at, FaultKind.SILENT):
            return Answer(Reply.NOTHING, at)
        if self.faults.active(at, FaultKind.REFUSING):
            return Answer(Reply.REJECTED, at)
        partition = self.partition_of(at, caller)
        shard = partition.shards[shard_of(name, self.shard_count)]
        slow_fault = self.faults.active(at, FaultKind.SLOW)
        started_at = max(at, shard.free_at)
        if started_at - at > self.max_queue_us * (slow_fault.factor if slow_fault else 1.0):
            return Answer(Reply.REJECTED, at)
        shard.free_at = started_at + int(self.service_us * (slow_fault.factor if slow_fault else 1.0))
        total = self.add(partition, at, name, amount, ttl_us)
        if self.faults.active(at, FaultKind.MUTE):
            return Answer(Reply.NOTHING, at)
        is_corrupted = self.faults.active(at, FaultKind.SPOILT)
        return Answer(Reply.CORRUPTED if is_corrupted else Reply.TOTAL, shard.free_at, total)

    def add(self, partition: Partition, at: int, name: str, amount: float, ttl_us: int) -> float:
        """Add an amount to a count; return its total with seven digits, as the protocol has it."""
        for other_name in list(partition.counts)[:SWEPT_PER_CALL]:
            count = partition.counts.pop(other_name)
            if count[1] > at:
                partition.counts[other_name] = (
                    count  # to the end of the dictionary, so that the next call checks others
                )
        total, expires_at = partition.counts.get(name, (0.0, 0))
        if expires_at <= at:
            total, expires_at = 0.0, at + min(MAX_TTL_US, max(1_000, ttl_us))
        total += amount
        partition.counts[name] = total, expires_at
        self.added += amount
        return float(f"{total:.7g}")


def shard_of(name: str, shard_count: int) -> int:
    """Return the number of the shard that holds a name."""
    return blake2b(name.encode(), digest_size=2).digest()[0] % shard_count
