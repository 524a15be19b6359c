"""Schedules of faults of the quota counter: which fault, when, and for which callers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """A fault of the counter.  `EMPTY` and `REPLACED` happen at an instant, the others last for some time."""

    SILENT = "silent"  # accepts calls and never answers; nothing is added
    MUTE = "mute"  # adds, and never answers
    REFUSING = "refusing"  # rejects every call
    SLOW = "slow"  # the service time is `factor` times longer
    SPLIT = "split"  # callers reach the partition that `sides` gives; these share nothing
    SPOILT = "spoilt"  # adds, and answers with corrupted bytes
    EMPTY = "empty"  # loses every count
    REPLACED = "replaced"  # loses every count, and every connection is reset


INSTANT = frozenset((FaultKind.EMPTY, FaultKind.REPLACED))


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault.  Times are microseconds since the start of the schedule.

    :param ends_at: unused for faults that happen at an instant
    :param factor: of the service time, for `SLOW`
    :param sides: by caller: the partition that it reaches, for `SPLIT`
    :param keeps: every partition starts with a copy of the counts; otherwise only the first one has them
    :raises ValueError: if the fault ends before it begins, or a split names no sides
    """

    kind: FaultKind
    starts_at: int
    ends_at: int = 0
    factor: float = 1.0
    sides: tuple[int, ...] = ()
    keeps: bool = True

    def __post_init__(self) -> None:
        """Check the times and the sides."""
        if self.kind not in INSTANT and self.ends_at <= self.starts_at:
            raise ValueError(f"a fault of kind {self.kind.value} ends before it begins")
        if self.kind is FaultKind.SPLIT and not self.sides:
            raise ValueError("a split names no sides")


class Script:
    """The faults of one run, looked up by time."""

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        """:param faults: in any order"""
        self.faults = tuple(faults)
        self.pending = sorted((f for f in self.faults if f.kind in INSTANT), key=lambda f: f.starts_at)

    def active(self, at: int, kind: FaultKind) -> Fault | None:
        """Return the fault of a kind that lasts at a time."""
        return next((f for f in self.faults if f.kind is kind and f.starts_at <= at < f.ends_at), None)

    def take_instantaneous(self, at: int) -> list[Fault]:
        """Return the instantaneous faults since the last call; each is returned once."""
        happened = [f for f in self.pending if f.starts_at <= at]
        del self.pending[: len(happened)]
        return happened
