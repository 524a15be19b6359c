"""What a member keeps on its disk: sqlite3 in WAL, one small table of rows with checksums.

Synchronous; whoever uses it gives it a thread of its own.  Every `save` is synced on return: a later loss
of power leaves the last one saved, or one begun after it, whole.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import struct
from pathlib import Path

from blake3 import blake3
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind
from vetchusher.waggle.wire_pb2 import CombState

from .acts import Kept
from .state import changed

NAME = "comb.sqlite3"
FORMAT = 1  # 1: rows `promised`, `state`, `configuration`
APPLICATION = 0x56434D42
HEADER = b"SQLite format 3\x00"
HEADER_BYTES, FORMAT_AT, APPLICATION_AT = 72, 60, 68  # of the file; sqlite.org/fileformat2.html
PAGES_LEFT = 256  # in the log before it is carried over
TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"


class Store:
    """One folder's.  It owns the file and its log; the log is carried over every `PAGES_LEFT` pages."""

    def __init__(self, folder: Path, link: sqlite3.Connection) -> None:
        self.folder = folder
        self.link = link
        self.broken = False  # nothing in the file can be trusted: the next save begins a new one
        self.configuration: bytes | None = None  # digest of the row on disk

    @staticmethod
    def open(folder: str) -> Result[Store, Fault]:
        """Of a folder that is empty or ours.  One of another kind, or of a newer format, is left as it
        was."""
        place = Path(folder)
        try:
            place.mkdir(parents=True, exist_ok=True)
            fault = strange(place / NAME)
            if fault:
                return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {fault}"))
            if not (place / NAME).exists():
                create(place)
            return Success(Store(place, connect(place / NAME)))
        except (OSError, sqlite3.Error) as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place}: {error}"))

    def load(self) -> Result[Kept | None, Fault]:
        """What was saved last; None: nothing ever was.

        On a failure the caller goes on as with an empty disk (`first_start` false: forgetful, and all
        others are asked); the file is put aside as `comb.sqlite3.bad` by the next save.
        """
        kept = self.read()
        self.broken = not isinstance(kept, Success)
        return kept

    def read(self) -> Result[Kept | None, Fault]:
        try:
            rows = self.link.execute("SELECT name, value, digest FROM kept").fetchall()
            for name, value, told in rows:
                if not isinstance(value, bytes) or digest(name, value) != told:
                    return self.bad(f"row {name!r} is not as it was written")
            found = {name: value for name, value, _ in rows}
            if not found:
                return Success(None)
            state = CombState.FromString(found["state"])
            if state.configuration_left_out:
                state = changed(state)
                state.configuration, state.configuration_left_out = found["configuration"], False
                self.configuration = digest("configuration", found["configuration"])
            return Success(Kept(int(found["promised"]), state))
        except (sqlite3.Error, DecodeError, KeyError, ValueError) as error:
            return self.bad(f"{type(error).__name__} {error}")

    def bad(self, text: str) -> Result[Kept | None, Fault]:
        return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {text}"))

    def save(self, kept: Kept) -> Result[None, Fault]:
        """Synced on return.  After a failure the disk holds what it held, or this."""
        try:
            if self.broken:
                self.begin_anew()
            self.write(kept)
            return Success(None)
        except (OSError, sqlite3.Error) as error:
            with contextlib.suppress(sqlite3.Error):
                self.link.execute("ROLLBACK")
            self.configuration = None
            return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {error}"))

    def write(self, kept: Kept) -> None:
        """The configuration's row only where it changed: a promise costs a page or two."""
        head, body = changed(kept.state), kept.state.configuration
        head.configuration, head.configuration_left_out = b"", True
        rows = {"promised": b"%d" % kept.promised, "state": head.SerializeToString(), "configuration": body}
        known = digest("configuration", body)
        if known == self.configuration:
            del rows["configuration"]
        self.link.execute("BEGIN IMMEDIATE")
        for name, value in rows.items():
            self.link.execute("REPLACE INTO kept VALUES (?, ?, ?)", (name, value, digest(name, value)))
        self.link.execute("COMMIT")
        self.configuration = known

    def begin_anew(self) -> None:
        self.link.close()
        path = self.folder / NAME
        if path.exists():
            path.replace(path.with_name(f"{NAME}.bad"))
        create(self.folder)
        self.link = connect(path)
        self.broken, self.configuration = False, None

    def close(self) -> None:
        self.link.close()


def digest(name: str, value: bytes) -> bytes:
    return blake3(name.encode() + b"\0" + value).digest(16)


def strange(path: Path) -> str:
    """Why a file is not ours to open; empty: it is, or there is none.  It is only read."""
    if not path.exists():
        return ""
    with path.open("rb") as file:
        header = file.read(HEADER_BYTES)
    if len(header) < HEADER_BYTES or not header.startswith(HEADER):
        return "is no store of this system"
    version, application = (struct.unpack_from(">I", header, at)[0] for at in (FORMAT_AT, APPLICATION_AT))
    if application != APPLICATION:
        return "is a database of another program"
    return f"format {version} is newer than {FORMAT}" if version > FORMAT else ""


def create(folder: Path) -> None:
    """An empty store, made beside its place and moved there whole: a loss of power leaves none, or a good
    one."""
    path, made = folder / NAME, folder / f"{NAME}.new"
    # Danger: sqlite would take a log left by a file that is gone for this one's.
    for old in (
        made,
        *(path.with_name(NAME + tail) for tail in ("-wal", "-journal", ".new-wal", ".new-journal")),
    ):
        old.unlink(missing_ok=True)
    link = connect(made)
    link.execute(f"PRAGMA application_id={APPLICATION}")
    link.execute(f"PRAGMA user_version={FORMAT}")
    link.execute(TABLE)
    link.close()
    sync(made)
    made.replace(path)
    sync(folder)


def connect(path: Path) -> sqlite3.Connection:
    link = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    # Exclusive before anything is read: sqlite then keeps the log's index in the process, and makes no file
    # of it.
    for line in ("locking_mode=EXCLUSIVE", "mmap_size=0", "journal_mode=WAL", "synchronous=FULL"):
        link.execute(f"PRAGMA {line}").fetchall()
    link.execute(f"PRAGMA wal_autocheckpoint={PAGES_LEFT}").fetchall()
    return link


def sync(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
