"""Scripts of faults: what goes wrong with an outside system, when, and for whom."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What a counter may do to its callers.  The first five last; the others happen at an instant."""

    SILENT = "silent"  # takes calls and never answers; nothing is added
    MUTE = "mute"  # adds, and keeps its answers to itself
    REFUSING = "refusing"  # turns every call away
    SLOW = "slow"  # serves `factor` times slower
    SPLIT = "split"  # callers reach the part that `sides` names for them; parts know nothing of each other
    SPOILT = "spoilt"  # adds, and answers what cannot be read
    EMPTY = "empty"  # forgets every count
    REPLACED = "replaced"  # the same, and every connection breaks


INSTANT = frozenset((FaultKind.EMPTY, FaultKind.REPLACED))


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault.  Times are microseconds since the start of the script."""

    kind: FaultKind
    begins: int
    ends: int = 0  # of no meaning for what happens at an instant
    factor: float = 1.0
    sides: tuple[int, ...] = ()  # by caller: the side of a split that it reaches
    keeps: bool = True  # a split's sides begin with the counts there were; else only side 0 does

    def __post_init__(self) -> None:
        if self.kind not in INSTANT and self.ends <= self.begins:
            raise ValueError(f"a fault of kind {self.kind.value} ends before it begins")
        if self.kind is FaultKind.SPLIT and not self.sides:
            raise ValueError("a split names no sides")


class Script:
    """The faults of one run, asked by time."""

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self.faults = tuple(faults)
        self.pending = sorted((f for f in self.faults if f.kind in INSTANT), key=lambda f: f.begins)

    def active(self, at: int, kind: FaultKind) -> Fault | None:
        return next((f for f in self.faults if f.kind is kind and f.begins <= at < f.ends), None)

    def happened(self, at: int) -> list[Fault]:
        """What has happened at an instant since the last time this was asked; each is told once."""
        done = [f for f in self.pending if f.begins <= at]
        del self.pending[: len(done)]
        return done
