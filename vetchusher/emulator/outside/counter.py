"""A model of the quota counter, free of I/O: names, parts, a line of calls before each part, and faults.

`Counter` owns every count.  A count goes when the life that its first call gave it is over; the model looks
at `SWEPT` names a call for such ones, so it holds no more than those that live, and a few of the dead.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

from vetchusher.emulator.faults import FaultKind, Script

MOST_LIFE_US = 60_000_000
SWEPT = 4


class Reply(Enum):
    TOTAL = "total"
    TURNED_AWAY = "turned away"
    SPOILT = "spoilt"
    NOTHING = "nothing"  # no answer ever comes


@dataclass(slots=True, frozen=True)
class Answer:
    """What comes back, and when: microseconds on the caller's clock."""

    reply: Reply
    at: int
    total: float = 0.0


@dataclass(slots=True)
class Part:
    """One part of the counter: it serves its calls in turn."""

    free_at: int = 0


@dataclass(slots=True)
class Side:
    """The counts that callers on one side of a split share; without a split there is one."""

    counts: dict[str, tuple[float, int]] = field(default_factory=dict)  # total, end of its life
    parts: list[Part] = field(default_factory=list)


class Counter:
    """The counter that all ingresses share.

    :param per_second: calls that it serves in a second, over all parts
    :param queue_us: a call that would wait longer than this for its turn is turned away
    """

    def __init__(
        self, script: Script | None = None, per_second: float = 560.0, parts: int = 2, queue_us: int = 75_000
    ) -> None:
        self.script = script or Script()
        self.service_us = parts * 1e6 / per_second
        self.parts = parts
        self.queue_us = queue_us
        self.sides = [self.new_side()]
        self.divided = False
        self.calls = 0
        self.added = 0.0  # of all amounts that were ever added

    def new_side(self) -> Side:
        return Side(parts=[Part() for _ in range(self.parts)])

    def side_of(self, at: int, caller: int) -> Side:
        split = self.script.active(at, FaultKind.SPLIT)
        if split is None:
            if self.divided:  # healed: what the first side held goes on, the rest is lost
                self.sides, self.divided = self.sides[:1], False
            return self.sides[0]
        if not self.divided:
            self.divided = True
            whole = self.sides[0]
            for _ in range(max(split.sides)):
                side = self.new_side()
                side.counts = dict(whole.counts) if split.keeps else {}
                self.sides.append(side)
        return self.sides[split.sides[caller % len(split.sides)]]

    def call(self, at: int, caller: int, name: str, amount: float, life_us: int) -> Answer:
        """Take in one call that has arrived."""
        self.calls += 1
        for _ in self.script.happened(at):
            for side in self.sides:
                side.counts.clear()
        if self.script.active(at, FaultKind.SILENT):
            return Answer(Reply.NOTHING, at)
        if self.script.active(at, FaultKind.REFUSING):
            return Answer(Reply.TURNED_AWAY, at)
        side = self.side_of(at, caller)
        part = side.parts[part_of(name, self.parts)]
        slow = self.script.active(at, FaultKind.SLOW)
        begins = max(at, part.free_at)
        if begins - at > self.queue_us * (slow.factor if slow else 1.0):
            return Answer(Reply.TURNED_AWAY, at)
        part.free_at = begins + int(self.service_us * (slow.factor if slow else 1.0))
        total = self.add(side, at, name, amount, life_us)
        if self.script.active(at, FaultKind.MUTE):
            return Answer(Reply.NOTHING, at)
        spoilt = self.script.active(at, FaultKind.SPOILT)
        return Answer(Reply.SPOILT if spoilt else Reply.TOTAL, part.free_at, total)

    def add(self, side: Side, at: int, name: str, amount: float, life_us: int) -> float:
        for other in list(side.counts)[:SWEPT]:
            kept = side.counts.pop(other)
            if kept[1] > at:
                side.counts[other] = kept  # to the end of the line
        total, ends = side.counts.get(name, (0.0, 0))
        if ends <= at:
            total, ends = 0.0, at + min(MOST_LIFE_US, max(1_000, life_us))
        total += amount
        side.counts[name] = total, ends
        self.added += amount
        return float(f"{total:.7g}")


def part_of(name: str, parts: int) -> int:
    return blake2b(name.encode(), digest_size=2).digest()[0] % parts
