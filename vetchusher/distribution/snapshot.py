"""What a machine with a disk has told, kept there: after a loss of power it tells that much at once.

Only news goes here, so for the control state only what was committed: it may be older than what is in force,
never something that is not.  The control state itself, and who may settle it, is `comb/`.
"""

from __future__ import annotations

import os
import sqlite3
import zlib
from collections.abc import Mapping

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind

from . import wire_pb2 as wire
from .source import NEVER, Source

FILE = "told.sqlite3"
FORM = 1

# Names of sources in files of earlier releases.
FORMER_NAMES = {"comb": "control", "scouts": "discovery", "entrance": "directory"}


class SnapshotStore:
    """Owner of one file: a row a source, written whole, with a checksum."""

    def __init__(self, base: sqlite3.Connection) -> None:
        self.base = base

    @staticmethod
    def open(folder: str) -> Result[SnapshotStore, Fault]:
        """A file that is none of ours, newer or torn is begun anew: it holds nothing that was promised."""
        path = os.path.join(folder, FILE)
        for attempt in range(2):
            try:
                return Success(SnapshotStore(_opened(path)))
            except (sqlite3.Error, OSError) as err:
                if attempt:
                    return Failure(Fault(Kind.BAD_STORE, f"{path}: {err}"))
                for end in ("", "-wal", "-journal"):
                    try:
                        os.unlink(path + end)
                    except OSError:
                        continue
        raise AssertionError("unreachable")

    def load(self, sources: Mapping[str, Source]) -> Result[list[str], Fault]:
        """Put the rows that are whole into ledgers that hold nothing yet; the names of those."""
        loaded = []
        try:
            kept = self.base.execute("SELECT source, sum, news FROM told").fetchall()
        except sqlite3.Error as err:
            return Failure(Fault(Kind.BAD_STORE, f"{FILE}: {err}"))
        for stored_name, total, raw in kept:
            source = FORMER_NAMES.get(stored_name, stored_name)
            ledger = sources.get(source)
            if ledger is None or zlib.crc32(raw) != total:
                continue
            try:
                news = wire.SourceNews.FromString(raw)
            except DecodeError:
                continue
            if news.whole and news.source == stored_name and ledger.take(news):
                loaded.append(source)
        return Success(loaded)

    def save(self, news: wire.SourceNews) -> Result[None, Fault]:
        """:param news: all rows of a source, as told to a reader that holds none"""
        raw = news.SerializeToString()
        try:
            with self.base:
                self.base.execute(
                    "INSERT OR REPLACE INTO told VALUES (?, ?, ?)", (news.source, zlib.crc32(raw), raw)
                )
            return Success(None)
        except sqlite3.Error as err:
            return Failure(Fault(Kind.BAD_STORE, f"{FILE}: {err}"))

    def close(self) -> None:
        self.base.close()


def whole(ledger: Source) -> wire.SourceNews | None:
    """All that a ledger holds, as a reader gets it that holds nothing."""
    return ledger.since(NEVER)


def _opened(path: str) -> sqlite3.Connection:
    base = sqlite3.connect(path, check_same_thread=False, isolation_level="IMMEDIATE")
    base.execute("PRAGMA locking_mode=exclusive")  # before anything else: no file beside it that is mapped
    base.execute("PRAGMA mmap_size=0")
    base.execute("PRAGMA journal_mode=wal")
    base.execute("PRAGMA synchronous=full")
    (form,) = base.execute("PRAGMA user_version").fetchone()
    if form not in (0, FORM):
        base.close()
        raise sqlite3.DatabaseError(f"form {form}")
    base.execute("CREATE TABLE IF NOT EXISTS told (source TEXT PRIMARY KEY, sum INTEGER, news BLOB)")
    base.execute(f"PRAGMA user_version={FORM}")
    base.commit()
    return base
