"""Rows of one source with the stamps of their last changes: a reader pulls what changed since its own.

A stamp is (epoch, seq), compared in that order.  A delta is told from `floor` on: whatever is older, or may
hold rows of which this ledger never heard, gets all rows.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import TypeAlias

from . import wire_pb2 as wire

Stamped: TypeAlias = tuple[int, int]
NEVER: Stamped = (0, 0)
MOST_GONE = 4096  # names of rows that are gone, kept for deltas; beyond these the oldest readers get all rows
MOST_ROWS = 65_536  # of one source; news of more is not taken


def stamp_of(message: wire.Stamp) -> Stamped:
    return message.epoch, message.seq


def message_of(stamp: Stamped) -> wire.Stamp:
    return wire.Stamp(epoch=stamp[0], seq=stamp[1])


def vector_of(sources: Mapping[str, Source]) -> list[wire.SourceAt]:
    """What a reader holds, one stamp for each source."""
    return [wire.SourceAt(source=name, stamp=message_of(led.stamp)) for name, led in sources.items()]


@dataclass(slots=True)
class StoredRow:
    value: bytes
    stamp: Stamped


@dataclass(slots=True, frozen=True)
class Told:
    """News of one source, sorted out: of 5,000 rows that takes longer than the loop should stop.

    :param size: bytes of the message
    """

    source: str
    stamp: Stamped
    base: Stamped
    whole: bool
    rows: dict[str, StoredRow]
    gone: tuple[str, ...]
    size: int


def sorted_out(news: wire.SourceNews) -> Told:
    stamp = stamp_of(news.stamp)
    rows = {row.key: StoredRow(row.value, stamp) for row in news.rows if not row.gone}
    gone = tuple(row.key for row in news.rows if row.gone) if len(rows) < len(news.rows) else ()
    return Told(news.source, stamp, stamp_of(news.base), news.whole, rows, gone, news.ByteSize())


def all_sorted_out(news: wire.News) -> list[Told]:
    return [sorted_out(source) for source in news.sources]


class Source:
    """Owner of a source's rows at one process: `publish` at its author, `take` at its readers."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.stamp: Stamped = NEVER
        self.floor: Stamped = NEVER
        self.rows: dict[str, StoredRow] = {}
        self.gone: dict[str, Stamped] = {}

    def values(self) -> dict[str, bytes]:
        return {key: kept.value for key, kept in self.rows.items()}

    def publish(self, stamp: Stamped, rows: Mapping[str, bytes]) -> bool:
        """All rows as they stand under a higher stamp; False if it is not higher.

        Danger: between two stamps that do not follow each other rows may have changed and changed back, which
        a comparison of the two does not show: readers of the stamps between get all rows.
        """
        if stamp <= self.stamp:
            return False
        follows = stamp == (self.stamp[0], self.stamp[1] + 1)
        for key in self.rows.keys() - rows.keys():
            self._strike(key, stamp)
        for key, value in rows.items():
            if (kept := self.rows.get(key)) is None or kept.value != value:
                self._set(key, value, stamp)
        self.stamp = stamp
        if not follows:
            self.floor = stamp
        return True

    def since(self, stamp: Stamped) -> wire.SourceNews | None:
        """What a reader at `stamp` lacks; nothing where it lacks nothing."""
        if stamp >= self.stamp:
            return None
        news = wire.SourceNews()
        self.fill(news, stamp)
        return news

    def fill(self, news: wire.SourceNews, stamp: Stamped) -> None:
        """The same into an empty message.  Rows are made where they stay: copies of 5,000 take 10 ms."""
        news.source, whole = self.source, stamp < self.floor or stamp == NEVER
        news.stamp.CopyFrom(message_of(self.stamp))
        news.whole = whole
        add = news.rows.add
        if not whole:
            news.base.CopyFrom(message_of(stamp))
            for key, at in self.gone.items():
                if at > stamp:
                    add(key=key, gone=True)
        for key, kept in self.rows.items():
            if whole or kept.stamp > stamp:
                add(key=key, value=kept.value)

    def take(self, news: wire.SourceNews) -> bool:
        """Merge what a peer told; False where it is not newer, or a delta that begins after this stamp."""
        return self.merge(sorted_out(news))

    def merge(self, told: Told) -> bool:
        """The same of what has been sorted out.

        A row that is told with the value it has gets the new stamp: it changed and changed back, and readers
        between the two must hear of it.
        """
        if told.stamp <= self.stamp or (not told.whole and told.base > self.stamp):
            return False
        if len(told.rows) > MOST_ROWS:
            return False
        # Danger: deltas would fill it beyond what any whole may have.
        if not told.whole and self.size_with(told) > MOST_ROWS:
            return False
        if told.whole:
            for key in self.rows.keys() - told.rows.keys():
                self._strike(key, told.stamp)
            self.floor = told.stamp
        for key in told.gone:
            self._strike(key, told.stamp)
        for key in self.gone.keys() & told.rows.keys():
            del self.gone[key]
        self.rows.update(told.rows)
        self.stamp = told.stamp
        return True

    def size_with(self, told: Told) -> int:
        """Rows after a delta; an upper bound where that is within what may be held."""
        size = len(self.rows) + len(told.rows)
        if size <= MOST_ROWS:
            return size
        return len((self.rows.keys() | told.rows.keys()) - set(told.gone))

    def _set(self, key: str, value: bytes, stamp: Stamped) -> None:
        self.gone.pop(key, None)
        self.rows[key] = StoredRow(value, stamp)

    def _strike(self, key: str, stamp: Stamped) -> None:
        """Danger: names of what is gone would grow for ever; the oldest go, and with them their deltas."""
        self.rows.pop(key, None)
        self.gone.pop(key, None)
        self.gone[key] = stamp
        if len(self.gone) > MOST_GONE:
            for old in list(islice(self.gone, MOST_GONE // 8)):
                self.floor = max(self.floor, self.gone.pop(old))


def news_for(sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> wire.News:
    """What the reader of that vector lacks, of the sources that it names."""
    told = wire.News()
    fill_news(told, sources, vector)
    return told


def fill_news(told: wire.News, sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> None:
    """The same into an empty message."""
    for at in vector:
        ledger = sources.get(at.source)
        if ledger is not None and stamp_of(at.stamp) < ledger.stamp:
            ledger.fill(told.sources.add(), stamp_of(at.stamp))
