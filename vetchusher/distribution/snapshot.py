"""What a machine with a disk has told, kept there: after a loss of power it tells that much at once.

Only news goes here, so for the control state only what was committed: it may be older than what is in force,
never something that is not.  The control state itself, and who may settle it, is `control/`.
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

from vetchusher.kinds import Fault, Kind

from . import wire_pb2 as wire
from .source import NEVER, Source, Stamped, message_of, stamp_of

FILE = "told.sqlite3"
FORM = 2  # 1: a source in one piece; 2: a line a row, written as it changes
PAGE = 4096
PART_OF_DISK = 8  # of the disk: this file; as much is left for its log
LEAST_PAGES = 64  # whatever the disk, a small source has to fit
PAGES_LEFT = 256  # in the log before it is carried over
LOG_BYTES = 2_000_000  # to which it is then cut
SLACK_PAGES = 64  # that may lie free in the file
SPOILT = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
SUMS = 1 << 128  # sums of digests are counted modulo this
SOURCES = "CREATE TABLE IF NOT EXISTS source (name TEXT PRIMARY KEY, epoch INTEGER, seq INTEGER, sum BLOB)"
ROWS = (
    "CREATE TABLE IF NOT EXISTS row"
    " (source TEXT, key TEXT, value BLOB, digest BLOB, PRIMARY KEY (source, key)) WITHOUT ROWID"
)

# Names of sources in files of form 1.
FORMER_NAMES = {"comb": "control", "scouts": "discovery", "entrance": "directory"}


@dataclass(slots=True, frozen=True)
class Saved:
    """What lies on the disk of one source.

    :param total: sum of its rows' digests: a row that is missing, or of another save, shows
    """

    stamp: Stamped
    total: int


class SnapshotStore:
    """Owner of one file: of each source its stamp, and its rows with their digests."""

    def __init__(self, path: str, most_bytes: int) -> None:
        """:raises sqlite3.Error: it cannot be opened, or is none of ours"""
        self.path, self.most_bytes = path, most_bytes
        self.base = _opened(path, most_bytes)
        self.saved = _saved(self.base)

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[SnapshotStore, Fault]:
        """A file that is none of ours, newer or torn is begun anew: it holds nothing that was promised.

        :param disk_mb: of the whole disk; 0: unknown
        """
        path, most_bytes = os.path.join(folder, FILE), (disk_mb << 20) // PART_OF_DISK
        try:
            return Success(SnapshotStore(path, most_bytes))
        except (sqlite3.Error, OSError):
            _removed(path)
        try:
            return Success(SnapshotStore(path, most_bytes))
        except (sqlite3.Error, OSError) as err:
            return Failure(Fault(Kind.BAD_STORE, f"{path}: {err}"))

    def load(self, sources: Mapping[str, Source]) -> Result[list[str], Fault]:
        """Put the rows that are whole into ledgers that hold nothing yet; the names of those."""
        loaded = []
        try:
            for name, saved in self.saved.items():
                ledger = sources.get(name)
                news = self.news(name, saved) if ledger is not None else None
                if ledger is not None and news is not None and ledger.take(news):
                    loaded.append(name)
        except (sqlite3.Error, ValueError, TypeError) as err:
            return Failure(Fault(Kind.BAD_STORE, f"{FILE}: {err}"))
        return Success(loaded)

    def news(self, name: str, saved: Saved) -> wire.SourceNews | None:
        """All rows of a source; None where they are not what was saved under its stamp."""
        news = wire.SourceNews(source=name, stamp=message_of(saved.stamp), whole=True)
        total = 0
        for key, value, digest in self.base.execute(
            "SELECT key, value, digest FROM row WHERE source = ?", (name,)
        ):
            if digest_of(name, key, value) != digest:
                return None
            total += int.from_bytes(digest, "big")
            news.rows.add(key=key, value=value)
        return news if total % SUMS == saved.total else None

    def follows(self, news: wire.SourceNews) -> bool:
        """Whether the news are all that lies between the rows on the disk and their stamp."""
        saved = self.saved.get(news.source)
        return news.whole or (saved is not None and stamp_of(news.base) <= saved.stamp)

    def save(self, news: wire.SourceNews) -> Result[None, Fault]:
        """Synced on return.  After a failure the file holds what it held.

        :param news: what a reader that holds what was saved last lacks, or all rows
        """
        if not self.follows(news):
            return Failure(Fault(Kind.BAD_STORE, f"{FILE}: news of {news.source} leave something out"))
        try:
            with self.base:
                saved = self.write(news)
            self.saved[news.source] = saved
            return Success(None)
        except sqlite3.Error as err:
            if (getattr(err, "sqlite_errorcode", 0) & 0xFF) in SPOILT:
                with contextlib.suppress(sqlite3.Error, OSError):  # the next save tries again
                    self.begin_anew()
            return Failure(Fault(Kind.BAD_STORE, f"{FILE}: {err}"))

    def write(self, news: wire.SourceNews) -> Saved:
        """What is gone goes first: its pages are used again."""
        source, saved, stamp = news.source, self.saved.get(news.source), stamp_of(news.stamp)
        total = 0 if news.whole or saved is None else saved.total
        if news.whole:
            self.base.execute("DELETE FROM row WHERE source = ?", (source,))
        else:
            total -= self.strike(source, [row.key for row in news.rows])
        rows = [
            (source, row.key, row.value, digest_of(source, row.key, row.value))
            for row in news.rows
            if not row.gone
        ]
        self.base.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
        total = (total + sum(int.from_bytes(digest, "big") for *_, digest in rows)) % SUMS
        self.base.execute(
            "REPLACE INTO source VALUES (?, ?, ?, ?)", (source, *stamp, total.to_bytes(16, "big"))
        )
        ((free,),) = self.base.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - SLACK_PAGES):
            self.base.execute("PRAGMA incremental_vacuum(1)")  # Python takes one step of it: a page each
        return Saved(stamp, total)

    def strike(self, source: str, keys: Iterable[str]) -> int:
        """Remove rows; the sum of their digests."""
        total = 0
        for key in keys:
            place = (source, key)
            found = self.base.execute("SELECT digest FROM row WHERE source = ? AND key = ?", place)
            total += sum(int.from_bytes(digest, "big") for (digest,) in found.fetchall())
            self.base.execute("DELETE FROM row WHERE source = ? AND key = ?", place)
        return total

    def begin_anew(self) -> None:
        self.base.close()
        self.saved = {}
        _removed(self.path)
        self.base = _opened(self.path, self.most_bytes)

    def close(self) -> None:
        self.base.close()


def whole(ledger: Source) -> wire.SourceNews | None:
    """All that a ledger holds, as a reader gets it that holds nothing."""
    return ledger.since(NEVER)


def digest_of(source: str, key: str, value: bytes) -> bytes:
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
        base.execute(f"PRAGMA wal_autocheckpoint={PAGES_LEFT}")
        base.execute(f"PRAGMA journal_size_limit={LOG_BYTES}")
        if most_bytes:
            base.execute(f"PRAGMA max_page_count={max(LEAST_PAGES, most_bytes // PAGE)}").fetchall()
        (form,) = base.execute("PRAGMA user_version").fetchone()
        if form not in (0, 1, FORM):
            raise sqlite3.DatabaseError(f"form {form}")
        if form != FORM:
            _migrate(base)
        return base
    except BaseException:
        base.close()
        raise


def _migrate(base: sqlite3.Connection) -> None:
    """An empty file, or one of form 1, in one transaction."""
    found = []
    if base.execute("SELECT 1 FROM sqlite_master WHERE name = 'told'").fetchone():
        found = base.execute("SELECT source, sum, news FROM told").fetchall()
    base.execute("BEGIN IMMEDIATE")
    base.execute(SOURCES)
    base.execute(ROWS)
    for name, total, raw in found:
        _migrate_source(base, name, total, raw)
    base.execute("DROP TABLE IF EXISTS told")
    base.execute(f"PRAGMA user_version={FORM}")
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
    rows = [(name, row.key, row.value, digest_of(name, row.key, row.value)) for row in news.rows]
    base.executemany("INSERT INTO row VALUES (?, ?, ?, ?)", rows)
    summed = sum(int.from_bytes(digest, "big") for *_, digest in rows) % SUMS
    base.execute(
        "INSERT INTO source VALUES (?, ?, ?, ?)", (name, *stamp_of(news.stamp), summed.to_bytes(16, "big"))
    )


def _saved(base: sqlite3.Connection) -> dict[str, Saved]:
    found = base.execute("SELECT name, epoch, seq, sum FROM source").fetchall()
    return {name: Saved((epoch, seq), int.from_bytes(total, "big")) for name, epoch, seq, total in found}


def _removed(path: str) -> None:
    for end in ("", "-wal", "-journal"):
        try:
            os.unlink(path + end)
        except OSError:
            continue
