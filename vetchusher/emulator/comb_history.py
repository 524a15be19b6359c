"""Histories of operators' calls, checked for order: the configuration is a register in which the highest
version wins.

A call is told by when it was made and when it was answered, if it clearly was.  The history is in order if
each call can be given a moment between the two at which it happened at once; one without a clear answer may
have happened at any moment after it was made, or never.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True)
class Call:
    """:param version: that was to be set; or that was read, 0: none was in force
    :param answered: None: without a clear answer
    """

    reads: bool
    version: int
    made: int
    answered: int | None = None

    def __str__(self) -> str:
        until = "" if self.answered is None else f"{self.answered / 1e6:.3f}"
        return f"{'reading of' if self.reads else 'order'} r{self.version} ({self.made / 1e6:.3f}-{until} s)"


def disorder(calls: Iterable[Call]) -> str | None:
    """The first call that cannot be put in order; of n calls in n log n steps.

    Sound and whole: readings and the orders they show are put in order of their versions.  That fails only
    where a reading ends before what it shows was ordered, or where something higher was certainly in force
    before the reading, and what it shows, could have begun.  An order that no reading shows happens last
    thing, or changes nothing.
    """
    calls = list(calls)
    first_made: dict[int, int] = {0: -1}
    for call in calls:
        if not call.reads:
            first_made[call.version] = min(call.made, first_made.get(call.version, call.made))
    ended = sorted((c for c in calls if c.answered is not None), key=lambda c: c.answered or 0)
    readings = []
    for call in ended:
        if call.reads:
            made = first_made.get(call.version)
            if made is None or (call.answered is not None and made > call.answered):
                return f"{call} shows what nobody had ordered"
            readings.append((max(made, call.made), call))
    readings.sort(key=lambda pair: pair[0])
    place, floor = 0, None
    for began, call in readings:
        while place < len(ended) and (ended[place].answered or 0) < began:
            if floor is None or ended[place].version > floor.version:
                floor = ended[place]
            place += 1
        if floor is not None and call.version < floor.version:
            return f"{call} after {floor}"
    return None
