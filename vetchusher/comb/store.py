"""What a member keeps on its disk: sqlite3 in WAL, one small table of rows with checksums.

Synchronous; whoever uses it gives it a thread of its own.  Every `save` is synced on return: a later loss
of power leaves the last one saved, or one begun after it, whole.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import struct
from collections.abc import Iterable
from pathlib import Path

from blake3 import blake3
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.kinds import Fault, Kind
from vetchusher.waggle.wire_pb2 import CombOffice, CombState

from .acts import Kept
from .state import changed

NAME = "comb.sqlite3"
FORMAT = 1  # 1: rows `promised`, `state`, `configuration`, `office`
APPLICATION = 0x56434D42
HEADER = b"SQLite format 3\x00"
HEADER_BYTES, FORMAT_AT, APPLICATION_AT = 72, 60, 68  # of the file; sqlite.org/fileformat2.html
PAGES_LEFT = 256  # in the log before it is carried over
LOCKED_S = 0.2  # that a folder's last process may take to end
LOG_BYTES = 2_000_000  # to which it is then cut
SPOILT = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"


class Store:
    """One folder's.  It owns the file and its log; the log is carried over every `PAGES_LEFT` pages."""

    def __init__(self, folder: Path, link: sqlite3.Connection | None) -> None:
        self.folder = folder
        self.link = link
        self.broken = False  # nothing in the file can be trusted: the next save begins a new one
        self.configuration: bytes | None = None  # digest of the row on disk

    @staticmethod
    def open(folder: str) -> Result[Store, Fault]:
        """Of a folder that is empty or ours.

        A failure says in a line what stands in the way: a file of another kind or of a newer format, which is
        left as it was; another process that uses it; a disk that does not answer.  Ours, but spoilt, opens,
        and fails at `load`.
        """
        place = Path(folder)
        try:
            if not place.exists():
                place.mkdir(parents=True)
            fault = strange(place / NAME)
            if fault:
                return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {fault}"))
            if not (place / NAME).exists():
                create(place)
            return Success(Store(place, connect(place / NAME)))
        except sqlite3.DatabaseError as error:
            if getattr(error, "sqlite_errorcode", 0) in SPOILT:
                return Success(Store(place, None))
            return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {error}"))
        except OSError as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place}: {error}"))

    def load(self) -> Result[Kept | None, Fault]:
        """What was saved last; None: nothing ever was.

        On a failure the caller goes on as with an empty disk (`first_start` false: forgetful, and all others
        are asked); the file is put aside as `comb.sqlite3.bad` by the next save.
        """
        kept = self.read()
        self.broken = not isinstance(kept, Success)
        return kept

    def read(self) -> Result[Kept | None, Fault]:
        if self.link is None:
            return self.bad("is spoilt")
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
            office = CombOffice.FromString(found["office"]) if "office" in found else CombOffice(copy=True)
            promised = int(found["promised"])
            return Success(Kept(promised, state, office.owner, office.record, office.copy))
        except (sqlite3.Error, DecodeError, KeyError, ValueError) as error:
            return self.bad(f"{type(error).__name__} {error}")

    def bad(self, text: str) -> Result[Kept | None, Fault]:
        return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {text}"))

    def save(self, kept: Kept) -> Result[None, Fault]:
        """Synced on return.  After a failure the disk holds what it held, or this."""
        try:
            if self.broken or self.link is None:
                self.link = self.begin_anew()
            self.write(self.link, kept)
            return Success(None)
        except (OSError, sqlite3.Error) as error:
            self.configuration = None
            if self.link is not None and self.link.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    self.link.execute("ROLLBACK")
            return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {error}"))

    def write(self, link: sqlite3.Connection, kept: Kept) -> None:
        """The configuration's row only where it changed: a promise costs a page or two."""
        head, body = changed(kept.state), kept.state.configuration
        head.configuration, head.configuration_left_out = b"", True
        office = CombOffice(owner=kept.owner, record=kept.record, copy=kept.copy)
        rows = {"promised": b"%d" % kept.promised, "state": head.SerializeToString(), "configuration": body}
        rows["office"] = office.SerializeToString()
        known = digest("configuration", body)
        if known == self.configuration:
            del rows["configuration"]
        link.execute("BEGIN IMMEDIATE")
        for name, value in rows.items():
            link.execute("REPLACE INTO kept VALUES (?, ?, ?)", (name, value, digest(name, value)))
        link.execute("COMMIT")
        self.configuration = known

    def begin_anew(self) -> sqlite3.Connection:
        self.close()
        path = self.folder / NAME
        if path.exists():
            path.replace(path.with_name(f"{NAME}.bad"))
        create(self.folder)
        self.broken, self.configuration = False, None
        return connect(path)

    def close(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None


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
    left = ("-wal", "-journal", ".new", ".new-wal", ".new-journal")
    for old in (path.with_name(NAME + tail) for tail in left):
        old.unlink(missing_ok=True)
    link = sqlite3.connect(made, isolation_level=None)
    settle(link, ["synchronous=OFF", f"application_id={APPLICATION}", f"user_version={FORMAT}"])
    link.execute(TABLE)
    settle(link, ["locking_mode=EXCLUSIVE", "journal_mode=WAL"])
    link.close()
    sync(made)
    made.replace(path)
    sync(folder)


def connect(path: Path) -> sqlite3.Connection:
    link = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCKED_S)
    # Exclusive before anything is read: sqlite then keeps the log's index in the process, and makes no file
    # of it.
    settle(link, ["locking_mode=EXCLUSIVE", "mmap_size=0", "journal_mode=WAL", "synchronous=FULL"])
    settle(link, [f"wal_autocheckpoint={PAGES_LEFT}", f"journal_size_limit={LOG_BYTES}"])
    link.execute("SELECT name FROM kept").fetchall()
    return link


def settle(link: sqlite3.Connection, pragmas: Iterable[str]) -> None:
    for pragma in pragmas:
        link.execute(f"PRAGMA {pragma}").fetchall()


def sync(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
