"""What other ingresses report to have passed, firm by firm and window by window.

Each ingress alone writes its own sum, once for each of its lives, and sums only grow: merging takes the
larger of two, so nothing counts twice, in whatever order and however often messages come.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MOST_RECORDS = 16_384  # the one heard of longest ago goes first
MOST_LIVES = 64  # sums in one record: ingresses of a set, and former lives of those killed within a window

Place = tuple[int, int]  # firm, number of the window
Writer = tuple[int, int]  # ingress, life


@dataclass(slots=True)
class Record:
    """What the others passed for one firm in one window."""

    until: int  # us: it counts no longer
    sums: dict[Writer, float] = field(default_factory=dict)
    total: float = 0.0


class Spends:
    """Owner of all records.  One goes when its window counts no longer (`sweep`), or when there are more
    than `most` of them."""

    def __init__(self, most: int = MOST_RECORDS) -> None:
        self.most = most
        self.records: OrderedDict[Place, Record] = OrderedDict()

    def note(self, place: Place, writer: Writer, amount: float, until: int) -> float:
        """Take in a sum; gives the new total of all writers for that firm and window."""
        record = self.records.get(place)
        if record is None:
            if len(self.records) >= self.most:
                self.records.popitem(last=False)
            record = self.records[place] = Record(until)
        else:
            self.records.move_to_end(place)
        old = record.sums.get(writer, 0.0)
        if amount > old and (old or len(record.sums) < MOST_LIVES):
            record.sums[writer] = amount
            record.total += amount - old
        return record.total

    def total(self, place: Place) -> float:
        record = self.records.get(place)
        return record.total if record is not None else 0.0

    def former(self, place: Place, ingress: int, life: int) -> float:
        """What an ingress passed there in other lives than this one."""
        record = self.records.get(place)
        if record is None:
            return 0.0
        return sum(v for (who, when), v in record.sums.items() if who == ingress and when != life)

    def sweep(self, now: int, looks: int = 8) -> None:
        """Look at a few records and drop those that count no longer."""
        for place in [p for p, _ in zip(self.records, range(looks), strict=False)]:
            if self.records[place].until <= now:
                del self.records[place]
            else:
                self.records.move_to_end(place)
