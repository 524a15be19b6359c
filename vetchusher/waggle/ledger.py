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


def vector_of(sources: Mapping[str, Ledger]) -> list[wire.SourceAt]:
    """What a reader holds, one stamp for each source."""
    return [wire.SourceAt(source=name, stamp=message_of(led.stamp)) for name, led in sources.items()]


@dataclass(slots=True)
class Kept:
    value: bytes
    stamp: Stamped


class Ledger:
    """Owner of a source's rows at one process: `publish` at its author, `take` at its readers."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.stamp: Stamped = NEVER
        self.floor: Stamped = NEVER
        self.rows: dict[str, Kept] = {}
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
        news = wire.SourceNews(source=self.source, stamp=message_of(self.stamp))
        news.whole = stamp < self.floor or stamp == NEVER
        if not news.whole:
            news.base.CopyFrom(message_of(stamp))
            news.rows.extend(wire.Row(key=k, gone=True) for k, at in self.gone.items() if at > stamp)
        news.rows.extend(
            wire.Row(key=key, value=kept.value)
            for key, kept in self.rows.items()
            if news.whole or kept.stamp > stamp
        )
        return news

    def take(self, news: wire.SourceNews) -> bool:
        """Merge what a fellow told; False where it is not newer, or a delta that begins after this stamp."""
        stamp, base = stamp_of(news.stamp), stamp_of(news.base)
        if stamp <= self.stamp or (not news.whole and base > self.stamp):
            return False
        if len(news.rows) > MOST_ROWS:
            return False
        if news.whole:
            named = {row.key for row in news.rows}
            for key in self.rows.keys() - named:
                self._strike(key, stamp)
            self.floor = stamp
        for row in news.rows:
            if row.gone:
                self._strike(row.key, stamp)
            elif (kept := self.rows.get(row.key)) is None or kept.value != row.value:
                self._set(row.key, row.value, stamp)
            else:
                kept.stamp = stamp  # it changed and changed back: readers between the two must hear of it
        self.stamp = stamp
        return True

    def _set(self, key: str, value: bytes, stamp: Stamped) -> None:
        self.gone.pop(key, None)
        self.rows[key] = Kept(value, stamp)

    def _strike(self, key: str, stamp: Stamped) -> None:
        """Danger: names of what is gone would grow for ever; the oldest go, and with them their deltas."""
        self.rows.pop(key, None)
        self.gone.pop(key, None)
        self.gone[key] = stamp
        if len(self.gone) > MOST_GONE:
            for old in list(islice(self.gone, MOST_GONE // 8)):
                self.floor = max(self.floor, self.gone.pop(old))


def news_for(sources: Mapping[str, Ledger], vector: Iterable[wire.SourceAt]) -> wire.News:
    """What the reader of that vector lacks, of the sources that it names."""
    told = wire.News()
    for at in vector:
        ledger = sources.get(at.source)
        news = ledger.since(stamp_of(at.stamp)) if ledger is not None else None
        if news is not None:
            told.sources.append(news)
    return told
