"""Stores snapshots of the published sources on a control node's disk, to be published again after a restart.

Only published rows are stored, so of the control state only committed ones. They may be older than the state
in force, but were in force once. The control state itself, and the protocol to commit it, is in `control/`.
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
FORMAT = 2  # 1: each source was one blob; 2: each row is a record, written when it changes
PAGE_BYTES = 4096
DISK_DIVISOR = 8  # the file may take this part of the disk; its write-ahead log may take as much again
MIN_PAGES = 64  # lower limit of the file's size, so that a small source fits even on a small disk
CHECKPOINT_PAGES = 256  # size of the write-ahead log at which sqlite starts a checkpoint
MAX_LOG_BYTES = 2_000_000  # size to which the log is truncated after a checkpoint
MAX_FREE_PAGES = 64  # free pages beyond these are given back to the file system
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
CHECKSUM_MODULUS = 1 << 128  # checksums are sums of digests modulo this
CREATE_SOURCE_TABLE = (
    "CREATE TABLE IF NOT EXISTS source (name TEXT PRIMARY KEY, epoch INTEGER, seq INTEGER, sum BLOB)"
)
CREATE_ROW_TABLE = (
    "CREATE TABLE IF NOT EXISTS row"
    " (source TEXT, key TEXT, value BLOB, digest BLOB, PRIMARY KEY (source, key)) WITHOUT ROWID"
)

# Names of sources in files of format 1.
FORMER_NAMES = {"comb": "control", "scouts": "discovery", "entrance": "directory"}


@dataclass(slots=True, frozen=True)
class StoredSource:
    """The stamp and checksum of one source on disk.

    :param checksum: sum of its rows' digests, which reveals a row that is missing or of another stamp
    """

    stamp: StampTuple
    checksum: int


class SnapshotStore:
    """Owner of one database file, with each source's stamp and its rows with their digests."""

    def __init__(self, path: str, max_bytes: int) -> None:
        """Open a file; `SnapshotStore.open` handles errors and is to be used instead.

        :param max_bytes: limit of the file's size; 0: none
        :raises sqlite3.Error: the file cannot be opened, or has an unknown format
        """
        self.path, self.max_bytes = path, max_bytes
        self.connection = _open_database(path, max_bytes)
        self.stored = _load_stored_sources(self.connection)

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[SnapshotStore, Error]:
        """Open the snapshots in a folder; STORAGE_ERROR if that fails.

        A file that is damaged, newer or of another kind is replaced by an empty one. That loses nothing that
        the protocol relies on, as votes are stored elsewhere.

        :param disk_mb: size of the whole disk in MiB; 0: unknown
        """
        path, max_bytes = os.path.join(folder, FILE_NAME), (disk_mb << 20) // DISK_DIVISOR
        try:
            return Success(SnapshotStore(path, max_bytes))
        except (sqlite3.Error, OSError):
            _remove_files(path)
        try:
            return Success(SnapshotStore(path, max_bytes))
        except (sqlite3.Error, OSError) as err:
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{path}: {err}"))

    def load(self, sources: Mapping[str, Source]) -> Result[list[str], Error]:
        """Load the stored rows into sources that are still empty; return the names of the sources loaded.

        A source with damaged rows is not loaded.
        """
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
        """Return all rows of a source; None if they are not the ones that were saved under its stamp."""
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
        """Return whether an update contains all changes between the rows on disk and its stamp."""
        stored = self.stored.get(update.source)
        return update.whole or (stored is not None and stamp_tuple(update.base) <= stored.stamp)

    def save(self, update: wire.SourceNews) -> Result[None, Error]:
        """Write an update, synced on return; STORAGE_ERROR leaves the stored rows as they were.

        A file that is found to be corrupt is replaced by an empty one.

        :param update: a delta since the stamp that was saved last, or a snapshot
        """
        if not self.continues_stored(update):
            return Failure(
                Error(ErrorCode.STORAGE_ERROR, f"{FILE_NAME}: news of {update.source} leave something out")
            )
        try:
            with self.connection:
                saved = self.write_rows(update)
            self.stored[update.source] = saved
            return Success(None)
        except sqlite3.Error as err:
            if (getattr(err, "sqlite_errorcode", 0) & 0xFF) in CORRUPTION_CODES:
                with contextlib.suppress(sqlite3.Error, OSError):  # the next save retries
                    self.recreate()
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{FILE_NAME}: {err}"))

    def write_rows(self, update: wire.SourceNews) -> StoredSource:
        """Write the rows of an update; return the source's new stamp and checksum.

        Old rows are deleted before new ones are inserted, so that their pages are reused.
        """
        source, saved, stamp = update.source, self.stored.get(update.source), stamp_tuple(update.stamp)
        checksum = 0 if update.whole or saved is None else saved.checksum
        if update.whole:
            self.connection.execute("DELETE FROM row WHERE source = ?", (source,))
        else:
            checksum -= self.remove_rows(source, [row.key for row in update.rows])
        rows = [
            (source, row.key, row.value, row_digest(source, row.key, row.value))
            for row in update.rows
            if not row.gone
        ]
        self.connection.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
        checksum = (checksum + sum(int.from_bytes(digest, "big") for *_, digest in rows)) % CHECKSUM_MODULUS
        self.connection.execute(
            "REPLACE INTO source VALUES (?, ?, ?, ?)", (source, *stamp, checksum.to_bytes(16, "big"))
        )
        ((free,),) = self.connection.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - MAX_FREE_PAGES):
            # One page at a time: `execute` runs only the first step of this statement, which frees one page.
            self.connection.execute("PRAGMA incremental_vacuum(1)")
        return StoredSource(stamp, checksum)

    def remove_rows(self, source: str, keys: Iterable[str]) -> int:
        """Delete rows, and return the sum of their digests."""
        checksum = 0
        for key in keys:
            primary_key = (source, key)
            found = self.connection.execute(
                "SELECT digest FROM row WHERE source = ? AND key = ?", primary_key
            )
            checksum += sum(int.from_bytes(digest, "big") for (digest,) in found.fetchall())
            self.connection.execute("DELETE FROM row WHERE source = ? AND key = ?", primary_key)
        return checksum

    def recreate(self) -> None:
        """Replace the file by an empty one."""
        self.connection.close()
        self.stored = {}
        _remove_files(self.path)
        self.connection = _open_database(self.path, self.max_bytes)

    def close(self) -> None:
        """Close the file."""
        self.connection.close()


def snapshot_of(source: Source) -> wire.SourceNews | None:
    """Return an update with all rows of a source; None if it is empty."""
    return source.update_since(ZERO_STAMP)


def row_digest(source: str, key: str, value: bytes) -> bytes:
    """Return the digest of a row in 16 bytes, which is stored with the row."""
    return blake3(b"\0".join((source.encode(), key.encode(), value))).digest(16)


def _open_database(path: str, max_bytes: int) -> sqlite3.Connection:
    """Open or create a file and convert an earlier format.

    :raises sqlite3.Error: the file cannot be opened, or has an unknown format
    """
    connection = sqlite3.connect(path, check_same_thread=False, isolation_level="IMMEDIATE")
    try:
        # Set first: with an exclusive lock, write-ahead logging needs no file that is mapped into memory.
        connection.execute("PRAGMA locking_mode=exclusive")
        connection.execute("PRAGMA mmap_size=0")
        connection.execute("PRAGMA auto_vacuum=incremental")
        connection.execute("PRAGMA journal_mode=wal")
        connection.execute("PRAGMA synchronous=full")
        connection.execute(f"PRAGMA wal_autocheckpoint={CHECKPOINT_PAGES}")
        connection.execute(f"PRAGMA journal_size_limit={MAX_LOG_BYTES}")
        if max_bytes:
            connection.execute(f"PRAGMA max_page_count={max(MIN_PAGES, max_bytes // PAGE_BYTES)}").fetchall()
        (file_format,) = connection.execute("PRAGMA user_version").fetchone()
        if file_format not in (0, 1, FORMAT):
            raise sqlite3.DatabaseError(f"unknown format {file_format}")
        if file_format != FORMAT:
            _migrate(connection)
        return connection
    except BaseException:
        connection.close()
        raise


def _migrate(connection: sqlite3.Connection) -> None:
    """Create the tables in an empty file, or convert one of format 1, in one transaction."""
    found = []
    if connection.execute("SELECT 1 FROM sqlite_master WHERE name = 'told'").fetchone():
        found = connection.execute("SELECT source, sum, news FROM told").fetchall()
    connection.execute("BEGIN IMMEDIATE")
    connection.execute(CREATE_SOURCE_TABLE)
    connection.execute(CREATE_ROW_TABLE)
    for name, checksum, raw in found:
        _migrate_source(connection, name, checksum, raw)
    connection.execute("DROP TABLE IF EXISTS told")
    connection.execute(f"PRAGMA user_version={FORMAT}")
    connection.commit()
    ((auto_vacuum,),) = connection.execute("PRAGMA auto_vacuum").fetchall()
    if not auto_vacuum:  # the setting takes effect on an existing file only with a complete VACUUM
        connection.execute("PRAGMA auto_vacuum=incremental")
        connection.execute("VACUUM")


def _migrate_source(connection: sqlite3.Connection, name: str, checksum: int, raw: bytes) -> None:
    """Convert one source of format 1; one that is damaged or not complete is left out."""
    if not isinstance(raw, bytes) or zlib.crc32(raw) != checksum:
        return
    try:
        update = wire.SourceNews.FromString(raw)
    except DecodeError:
        return
    if not update.whole or update.source != name:
        return
    name = FORMER_NAMES.get(name, name)
    rows = [(name, row.key, row.value, row_digest(name, row.key, row.value)) for row in update.rows]
    connection.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
    new_checksum = sum(int.from_bytes(digest, "big") for *_, digest in rows) % CHECKSUM_MODULUS
    connection.execute(
        "INSERT INTO source VALUES (?, ?, ?, ?)",
        (name, *stamp_tuple(update.stamp), new_checksum.to_bytes(16, "big")),
    )


def _load_stored_sources(connection: sqlite3.Connection) -> dict[str, StoredSource]:
    """Return the stamps and checksums in a file, by source."""
    found = connection.execute("SELECT name, epoch, seq, sum FROM source").fetchall()
    return {
        name: StoredSource((epoch, seq), int.from_bytes(checksum, "big"))
        for name, epoch, seq, checksum in found
    }


def _remove_files(path: str) -> None:
    """Remove a database file and its logs; those that do not exist are skipped."""
    for suffix in ("", "-wal", "-journal"):
        try:
            os.unlink(path + suffix)
        except OSError:
            continue
