"""Rows of a source with the stamps of their last changes, from which a subscriber pulls deltas.

A stamp is (epoch, sequence number), compared in that order. A subscriber whose stamp is `deltas_since` or
newer gets a delta with the changes since its stamp. An older one gets a snapshot, as it may hold rows that
this process never knew.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

from . import wire_pb2 as wire
from .stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple

MAX_REMOVED_KEYS = 4096  # stored for deltas; subscribers older than the oldest of them get a snapshot
MAX_ROWS = 65_536  # rows of one source; an update that would exceed this is not applied


def version_vector(sources: Mapping[str, Source]) -> list[wire.SourceAt]:
    """Return the version vector of a subscriber: the stamp of each of its sources."""
    return [wire.SourceAt(source=name, stamp=stamp_message(source.stamp)) for name, source in sources.items()]


@dataclass(slots=True)
class StoredRow:
    """A row's value, and the stamp of its last change."""

    value: bytes
    stamp: StampTuple


@dataclass(slots=True, frozen=True)
class SourceUpdate:
    """A parsed update of one source.

    Updates can be parsed in a thread, as parsing 5,000 rows would block the loop for too long.

    :param base: stamp from which a delta contains the changes
    :param is_snapshot: `rows` are all rows of the source
    :param removed: keys of the rows that were removed
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
    """Owner of a source's rows in one process: the author calls `publish`, subscribers call `apply`."""

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
        """Replace all rows under a higher stamp; return False, without a change, if it is not higher.

        Safety: if the new stamp is not the direct successor, rows may have changed and changed back at stamps
        between, which the comparison here does not show. Subscribers at those stamps get a snapshot.
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
        """Return the update that a subscriber at a stamp lacks; None if it lacks nothing."""
        if stamp >= self.stamp:
            return None
        update = wire.SourceNews()
        self.fill_update(update, stamp)
        return update

    def fill_update(self, update: wire.SourceNews, stamp: StampTuple) -> None:
        """Fill an empty message with the update that a subscriber at a stamp lacks.

        Rows are created inside the message, because copying 5,000 of them takes 10 ms.
        """
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
        """Apply an encoded update; return whether it was applied, see `apply`."""
        return self.apply(parse_source_update(message))

    def apply(self, update: SourceUpdate) -> bool:
        """Apply a parsed update; return whether it was applied.

        It is not applied if it is not newer, is a delta from a later stamp than the one held here, or exceeds
        `MAX_ROWS`. A row in it whose value is the same as here still gets the new stamp: it has changed and
        changed back, and subscribers at stamps between must receive it.
        """
        if update.stamp <= self.stamp or (not update.is_snapshot and update.base > self.stamp):
            return False
        if len(update.rows) > MAX_ROWS:
            return False
        # Safety: without this check deltas could exceed the limit step by step. The source could then not be
        # sent as a snapshot, as no subscriber would apply it.
        if not update.is_snapshot and self.row_count_after(update) > MAX_ROWS:
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

    def row_count_after(self, update: SourceUpdate) -> int:
        """Return the number of rows after a delta; only an upper bound if that is within `MAX_ROWS`."""
        size = len(self.rows) + len(update.rows)
        if size <= MAX_ROWS:
            return size
        return len((self.rows.keys() | update.rows.keys()) - set(update.removed))

    def _set(self, key: str, value: bytes, stamp: StampTuple) -> None:
        """Add or replace a row."""
        self.removed.pop(key, None)
        self.rows[key] = StoredRow(value, stamp)

    def _remove(self, key: str, stamp: StampTuple) -> None:
        """Remove a row and store its key for deltas.

        Beyond `MAX_REMOVED_KEYS` the oldest keys are dropped, and subscribers from before their removal get a
        snapshot.
        """
        self.rows.pop(key, None)
        self.removed.pop(key, None)
        self.removed[key] = stamp
        if len(self.removed) > MAX_REMOVED_KEYS:
            for old in list(islice(self.removed, MAX_REMOVED_KEYS // 8)):
                self.deltas_since = max(self.deltas_since, self.removed.pop(old))


def updates_for(sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> wire.News:
    """Return the updates that the holder of a version vector lacks, of the sources in the vector."""
    updates = wire.News()
    fill_updates(updates, sources, vector)
    return updates


def fill_updates(updates: wire.News, sources: Mapping[str, Source], vector: Iterable[wire.SourceAt]) -> None:
    """Fill an empty message with the updates that `updates_for` returns."""
    for at in vector:
        source = sources.get(at.source)
        if source is not None and stamp_tuple(at.stamp) < source.stamp:
            source.fill_update(updates.sources.add(), stamp_tuple(at.stamp))
