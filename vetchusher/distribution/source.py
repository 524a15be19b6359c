"""Rows of one source with the stamps of their last changes: a subscriber pulls what changed since its own
stamp.

A stamp is (epoch, sequence number), compared in that order. A delta is sent from `deltas_since` on: a
subscriber whose stamp is older, or who may hold rows of which this source was never told, gets a snapshot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

from . import wire_pb2 as wire
from .stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple

MAX_REMOVED_KEYS = 4096  # kept for deltas; beyond these the oldest subscribers get a snapshot
MAX_ROWS = 65_536  # of one source; an update with more is not applied


def version_vector(sources: Mapping[str, Source]) -> list[wire.SourceAt]:
    """Return what a subscriber holds: one stamp for each source."""
    return [wire.SourceAt(source=name, stamp=stamp_message(led.stamp)) for name, led in sources.items()]


@dataclass(slots=True)
class StoredRow:
    """A row's value, and the stamp of its last change."""

    value: bytes
    stamp: StampTuple


@dataclass(slots=True, frozen=True)
class SourceUpdate:
    """A parsed update of one source: of 5,000 rows, parsing takes longer than the loop should stop.

    :param base: stamp on which a delta builds
    :param is_snapshot: these are all rows
    :param removed: keys of rows that are gone
    :param size: bytes of the message
    """

    source: str
    stamp: StampTuple
    base: StampTuple
    is_snapshot: bool
    rows: dict[str, StoredRow]
    removed: tuple[str, ...]
    size: int


def parse_source_update(message: wire.SourceNews) -> SourceUpdate:
    """Parse the update of one source."""
    stamp = stamp_tuple(message.stamp)
    rows = {row.key: StoredRow(row.value, stamp) for row in message.rows if not row.gone}
    removed = tuple(row.key for row in message.rows if row.gone) if len(rows) < len(message.rows) else ()
    return SourceUpdate(
        message.source, stamp, stamp_tuple(message.base), message.whole, rows, removed, message.ByteSize()
    )


def parse_updates(message: wire.News) -> list[SourceUpdate]:
    """Parse the updates of all sources in a message."""
    return [parse_source_update(source) for source in message.sources]


class Source:
    """Owner of a source's rows at one process: `publish` at its author, `apply` at its subscribers."""

    def __init__(self, name: str) -> None:
        """Begin without rows."""
        self.name = name
        self.stamp: StampTuple = ZERO_STAMP
        self.deltas_since: StampTuple = ZERO_STAMP
        self.rows: dict[str, StoredRow] = {}
        self.removed: dict[str, StampTuple] = {}

    def values(self) -> dict[str, bytes]:
        """Return the rows by key."""
        return {key: row.value for key, row in self.rows.items()}

    def publish(self, stamp: StampTuple, rows: Mapping[str, bytes]) -> bool:
        """Publish all rows as they stand under a higher stamp; return False if it is not higher.

        Safety: between two stamps that do not follow each other rows may have changed and changed back, which
        a comparison of the two does not show. Subscribers of the stamps between get a snapshot.
        """
        if stamp <= self.stamp:
            return False
        is_next = stamp == (self.stamp[0], self.stamp[1] + 1)
        for key in self.rows.keys() - rows.keys():
            self._remove(key, stamp)
        for key, value in rows.items():
            if (row := self.rows.get(key)) is None or row.value != value:
                self._set(key, value, stamp)
        self.stamp = stamp
        if not is_next:
            self.deltas_since = stamp
        return True

    def update_since(self, stamp: StampTuple) -> wire.SourceNews | None:
        """Return what a subscriber at a stamp lacks; None where it lacks nothing."""
        if stamp >= self.stamp:
            return None
        update = wire.SourceNews()
        self.fill_update(update, stamp)
        return update

    def fill_update(self, update: wire.SourceNews, stamp: StampTuple) -> None:
        """Fill an empty message with the same. Rows are made where they stay: copies of 5,000 take 10 ms."""
        update.source, is_snapshot = self.name, stamp < self.deltas_since or stamp == ZERO_STAMP
        update.stamp.CopyFrom(stamp_message(self.stamp))
        update.whole = is_snapshot
        add = update.rows.add
        if not is_snapshot:
            update.base.CopyFrom(stamp_message(stamp))
            for key, removed_at in self.removed.items():
                if removed_at > stamp:
                    add(key=key, gone=True)
        for key, row in self.rows.items():
            if is_snapshot or row.stamp > stamp:
                add(key=key, value=row.value)

    def apply_message(self, message: wire.SourceNews) -> bool:
        """Apply an update; return False where it is not newer, or a delta that begins after this stamp."""
        return self.apply(parse_source_update(message))

    def apply(self, update: SourceUpdate) -> bool:
        """Apply a parsed update; return whether it was applied.

        A row that comes with the value it has gets the new stamp: it changed and changed back, and
        subscribers between the two must be told.
        """
        if update.stamp <= self.stamp or (not update.is_snapshot and update.base > self.stamp):
            return False
        if len(update.rows) > MAX_ROWS:
            return False
        # Safety: deltas would fill it beyond what any whole may have.
        if not update.is_snapshot and self.size_with(update) > MAX_ROWS:
            return False
        if update.is_snapshot:
            for key in self.rows.keys() - update.rows.keys():
                self._remove(key, update.stamp)
            self.deltas_since = update.stamp
        for key in update.removed:
            self._remove(key, update.stamp)
        for key in self.removed.keys() & update.rows.keys():
            del self.removed[key]
        self.rows.update(update.rows)
        self.stamp = update.stamp
        return True

    def size_with(self, update: SourceUpdate) -> int:
        """Return the number of rows after a delta; an upper bound where that is within what may be held."""
        size = len(self.rows) + len(update.rows)
        if size <= MAX_ROWS:
            return size
        return len((self.rows.keys() | update.rows.keys()) - set(update.removed))

    def _set(self, key: str, value: bytes, stamp: StampTuple) -> None:
        self.removed.pop(key, None)
        self.rows[key] = StoredRow(value, stamp)

    def _remove(self, key: str, stamp: StampTuple) -> None:
        """Remove a row. Removed keys are kept for deltas, in a bounded number: the oldest go, and with them
        their deltas.
        """
        self.rows.pop(key, None)
        self.removed.pop(key, None)
        self.removed[key] = stamp
        if len(self.removed) > MAX_REMOVED_KEYS:
            for old in list(islice(self.removed, MAX_REMOVED_KEYS // 8)):
                self.deltas_since = max(self.deltas_since, self.removed.pop(old))


def updates_for(sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> wire.News:
    """Return what the holder of a version vector lacks, of the sources that it names."""
    updates = wire.News()
    fill_updates(updates, sources, vector)
    return updates


def fill_updates(updates: wire.News, sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> None:
    """Fill an empty message with the same."""
    for at in vector:
        source = sources.get(at.source)
        if source is not None and stamp_tuple(at.stamp) < source.stamp:
            source.fill_update(updates.sources.add(), stamp_tuple(at.stamp))
