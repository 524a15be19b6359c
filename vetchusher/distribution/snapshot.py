"""Snapshots of the published sources on a control node's disk: after a loss of power they are published at
once.

Only published rows go here, so of the control state only what was committed. They may be older than what is
in force, never something that is not. The control state itself, and who may commit to it, is `control/`.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from blake3 import blake3
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode

from . import wire_pb2 as wire
from .source import Source
from .stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple

FILE_NAME = "told.sqlite3"
FORMAT = 2  # 1: a source in one piece; 2: a line a row, written as it changes
PAGE_BYTES = 4096
DISK_FRACTION = 8  # of the disk: this file; as much is left for its log
MIN_PAGES = 64  # whatever the disk, a small source has to fit
CHECKPOINT_PAGES = 256  # in the log before it is carried over
MAX_LOG_BYTES = 2_000_000  # to which it is then cut
MAX_FREE_PAGES = 64  # that may lie free in the file
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
CHECKSUM_MODULUS = 1 << 128  # sums of digests are counted modulo this
CREATE_SOURCE_TABLE = (
    "CREATE TABLE IF NOT EXISTS source (name TEXT PRIMARY KEY, epoch INTEGER, seq INTEGER, sum BLOB)"
)
CREATE_ROW_TABLE = (
    "CREATE TABLE IF NOT EXISTS row"
    " (source TEXT, key TEXT, value BLOB, digest BLOB, PRIMARY KEY (source, key)) WITHOUT ROWID"
)

# Names of sources in files of form 1.
FORMER_NAMES = {"comb": "control", "scouts": "discovery", "entrance": "directory"}


@dataclass(slots=True, frozen=True)
class StoredSource:
    """What lies on the disk of one source.

    :param checksum: sum of its rows' digests: a row that is missing, or of another save, shows
    """

    stamp: StampTuple
    checksum: int


class SnapshotStore:
    """Owner of one file: of each source its stamp, and its rows with their digests."""

    def __init__(self, path: str, max_bytes: int) -> None:
        """Open a file; use `SnapshotStore.open` instead.

        :raises sqlite3.Error: it cannot be opened, or is none of ours
        """
        self.path, self.max_bytes = path, max_bytes
        self.connection = _opened(path, max_bytes)
        self.stored = _saved(self.connection)

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[SnapshotStore, Error]:
        """Open the snapshots of a folder; a file that is none of ours, newer or damaged is begun anew: it
        holds no votes.

        :param disk_mb: size of the whole disk; 0: unknown
        """
        path, max_bytes = os.path.join(folder, FILE_NAME), (disk_mb << 20) // DISK_FRACTION
        try:
            return Success(SnapshotStore(path, max_bytes))
        except (sqlite3.Error, OSError):
            _removed(path)
        try:
            return Success(SnapshotStore(path, max_bytes))
        except (sqlite3.Error, OSError) as err:
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{path}: {err}"))

    def load(self, sources: Mapping[str, Source]) -> Result[list[str], Error]:
        """Load intact rows into sources that hold nothing yet; return the names of those."""
        loaded = []
        try:
            for name, stored in self.stored.items():
                source = sources.get(name)
                update = self.read_source(name, stored) if source is not None else None
                if source is not None and update is not None and source.apply_message(update):
                    loaded.append(name)
        except (sqlite3.Error, ValueError, TypeError) as err:
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{FILE_NAME}: {err}"))
        return Success(loaded)

    def read_source(self, name: str, stored: StoredSource) -> wire.SourceNews | None:
        """Return all rows of a source; None where they are not what was saved under its stamp."""
        update = wire.SourceNews(source=name, stamp=stamp_message(stored.stamp), whole=True)
        checksum = 0
        for key, value, digest in self.connection.execute(
            "SELECT key, value, digest FROM row WHERE source = ?", (name,)
        ):
            if row_digest(name, key, value) != digest:
                return None
            checksum += int.from_bytes(digest, "big")
            update.rows.add(key=key, value=value)
        return update if checksum % CHECKSUM_MODULUS == stored.checksum else None

    def continues_stored(self, update: wire.SourceNews) -> bool:
        """Return whether an update is all that lies between the rows on the disk and its stamp."""
        stored = self.stored.get(update.source)
        return update.whole or (stored is not None and stamp_tuple(update.base) <= stored.stamp)

    def save(self, update: wire.SourceNews) -> Result[None, Error]:
        """Write an update, synced on return. After a failure the file holds what it held.

        :param update: what a subscriber that holds what was saved last lacks, or a snapshot
        """
        if not self.continues_stored(update):
            return Failure(
                Error(ErrorCode.STORAGE_ERROR, f"{FILE_NAME}: news of {update.source} leave something out")
            )
        try:
            with self.connection:
                saved = self.write(update)
            self.stored[update.source] = saved
            return Success(None)
        except sqlite3.Error as err:
            if (getattr(err, "sqlite_errorcode", 0) & 0xFF) in CORRUPTION_CODES:
                with contextlib.suppress(sqlite3.Error, OSError):  # the next save tries again
                    self.recreate()
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{FILE_NAME}: {err}"))

    def write(self, update: wire.SourceNews) -> StoredSource:
        """Write the rows of an update. Those that are gone are deleted first, so that their pages are used
        again.
        """
        source, saved, stamp = update.source, self.stored.get(update.source), stamp_tuple(update.stamp)
        total = 0 if update.whole or saved is None else saved.checksum
        if update.whole:
            self.connection.execute("DELETE FROM row WHERE source = ?", (source,))
        else:
            total -= self.remove_row(source, [row.key for row in update.rows])
        rows = [
            (source, row.key, row.value, row_digest(source, row.key, row.value))
            for row in update.rows
            if not row.gone
        ]
        self.connection.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
        total = (total + sum(int.from_bytes(digest, "big") for *_, digest in rows)) % CHECKSUM_MODULUS
        self.connection.execute(
            "REPLACE INTO source VALUES (?, ?, ?, ?)", (source, *stamp, total.to_bytes(16, "big"))
        )
        ((free,),) = self.connection.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - MAX_FREE_PAGES):
            self.connection.execute(
                "PRAGMA incremental_vacuum(1)"
            )  # Python takes one step of it: a page each
        return StoredSource(stamp, total)

    def remove_row(self, source: str, keys: Iterable[str]) -> int:
        """Remove rows; the sum of their digests."""
        total = 0
        for key in keys:
            place = (source, key)
            found = self.connection.execute("SELECT digest FROM row WHERE source = ? AND key = ?", place)
            total += sum(int.from_bytes(digest, "big") for (digest,) in found.fetchall())
            self.connection.execute("DELETE FROM row WHERE source = ? AND key = ?", place)
        return total

    def recreate(self) -> None:
        """Begin a new file."""
        self.connection.close()
        self.stored = {}
        _removed(self.path)
        self.connection = _opened(self.path, self.max_bytes)

    def close(self) -> None:
        """Close the file."""
        self.connection.close()


def snapshot_of(source: Source) -> wire.SourceNews | None:
    """Return all rows of a source."""
    return source.update_since(ZERO_STAMP)


def row_digest(source: str, key: str, value: bytes) -> bytes:
    """Return the digest of a row, stored beside it; 16 bytes."""
    return blake3(b"\0".join((source.encode(), key.encode(), value))).digest(16)


def _opened(path: str, most_bytes: int) -> sqlite3.Connection:
    base = sqlite3.connect(path, check_same_thread=False, isolation_level="IMMEDIATE")
    try:
        base.execute(
            "PRAGMA locking_mode=exclusive"
        )  # before anything else: no file beside it that is mapped
        base.execute("PRAGMA mmap_size=0")
        base.execute("PRAGMA auto_vacuum=incremental")
        base.execute("PRAGMA journal_mode=wal")
        base.execute("PRAGMA synchronous=full")
        base.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT_PAGES}")
        base.execute(f"PRAGMA journal_size_limit={MAX_LOG_BYTES}")
        if most_bytes:
            base.execute(f"PRAGMA max_page_count={max(MIN_PAGES, most_bytes // PAGE_BYTES)}").fetchall()
        (form,) = base.execute("PRAGMA user_version").fetchone()
        if form not in (0, 1, FORMAT):
            raise sqlite3.DatabaseError(f"form {form}")
        if form != FORMAT:
            _migrate(base)
        return base
    except BaseException:
        base.close()
        raise


def _migrate(base: sqlite3.Connection) -> None:
    """Prepare an empty file, or one of format 1, in one transaction."""
    found = []
    if base.execute("SELECT 1 FROM sqlite_master WHERE name = 'told'").fetchone():
        found = base.execute("SELECT source, sum, news FROM told").fetchall()
    base.execute("BEGIN IMMEDIATE")
    base.execute(CREATE_SOURCE_TABLE)
    base.execute(CREATE_ROW_TABLE)
    for name, total, raw in found:
        _migrate_source(base, name, total, raw)
    base.execute("DROP TABLE IF EXISTS told")
    base.execute(f"PRAGMA user_version={FORMAT}")
    base.commit()
    ((vacuums,),) = base.execute("PRAGMA auto_vacuum").fetchall()
    if not vacuums:  # a file that can give pages back
        base.execute("PRAGMA auto_vacuum=incremental")
        base.execute("VACUUM")


def _migrate_source(base: sqlite3.Connection, name: str, total: int, raw: bytes) -> None:
    """One that is torn is left out."""
    if not isinstance(raw, bytes) or zlib.crc32(raw) != total:
        return
    try:
        news = wire.SourceNews.FromString(raw)
    except DecodeError:
        return
    if not news.whole or news.source != name:
        return
    name = FORMER_NAMES.get(name, name)
    rows = [(name, row.key, row.value, row_digest(name, row.key, row.value)) for row in news.rows]
    base.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
    summed = sum(int.from_bytes(digest, "big") for *_, digest in rows) % CHECKSUM_MODULUS
    base.execute(
        "INSERT INTO source VALUES (?, ?, ?, ?)", (name, *stamp_tuple(news.stamp), summed.to_bytes(16, "big"))
    )


def _saved(base: sqlite3.Connection) -> dict[str, StoredSource]:
    found = base.execute("SELECT name, epoch, seq, sum FROM source").fetchall()
    return {
        name: StoredSource((epoch, seq), int.from_bytes(total, "big")) for name, epoch, seq, total in found
    }


def _removed(path: str) -> None:
    for end in ("", "-wal", "-journal"):
        try:
            os.unlink(path + end)
        except OSError:
            continue
