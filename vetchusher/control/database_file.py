"""The store's file: whether one is ours, how a new one comes to its place, how it is opened."""

from __future__ import annotations

import os
import sqlite3
import struct
import time
from collections.abc import Callable, Iterable
from pathlib import Path

NAME = "comb.sqlite3"
FORMAT = (
    2  # 1: rows `promised`, `state`, `configuration`; 2: a row a field, sealed; the configuration in chunks
)
APPLICATION = 0x56434D42
HEADER = b"SQLite format 3\x00"
HEADER_BYTES, FORMAT_AT, APPLICATION_AT = 72, 60, 68  # of the file; sqlite.org/fileformat2.html
PAGE = 4096
LEAST_PAGES = 64  # whatever the disk, a small state has to fit
PAGES_LEFT = 256  # in the log before it is carried over
LOCKED_S = 0.2  # that a folder's last process may take to end
LOG_BYTES = 2_000_000  # to which it is then cut
CHECK_S = 0.2  # for sqlite's own check at the start; beyond it the rows' digests have to do
CHECK_STEP = 10_000  # of its machine's steps between two looks at the clock
SPOILT = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
KEPT = "CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"
CHUNK = "CREATE TABLE chunk (name BLOB PRIMARY KEY, value BLOB NOT NULL)"


class FileError(Exception):
    """A file that must stay as it is; one line."""


def hurt(error: sqlite3.Error) -> bool:
    """Whether sqlite says that the file itself is damaged."""
    return (getattr(error, "sqlite_errorcode", 0) & 0xFF) in SPOILT


def strange(path: Path) -> str:
    """Why a file is not ours to open; empty: it is, or there is none.  It is only read."""
    if not path.exists():
        return ""
    header = head_of(path)
    if len(header) < HEADER_BYTES or not header.startswith(HEADER):
        return "is no store of this system"
    if struct.unpack_from(">I", header, APPLICATION_AT)[0] != APPLICATION:
        return "is a database of another program"
    return newer(format_told(path))


def head_of(path: Path) -> bytes:
    with path.open("rb") as file:
        return file.read(HEADER_BYTES)


def format_told(path: Path) -> int:
    """The format by the file's head, without opening it; 0: it has none.  A log beside it may know better."""
    header = head_of(path)
    return int(struct.unpack_from(">I", header, FORMAT_AT)[0]) if len(header) == HEADER_BYTES else 0


def newer(version: int) -> str:
    return f"format {version} is newer than {FORMAT}" if version > FORMAT else ""


def create(folder: Path, fill: Callable[[sqlite3.Connection], None] = lambda link: None) -> None:
    """An empty store, made beside its place and moved there whole: a loss of power leaves none, or a good
    one.

    :param fill: writes what it holds from the first
    """
    path, made = folder / NAME, folder / f"{NAME}.new"
    # Danger: sqlite would take a log left by a file that is gone for this one's.
    left = ("-wal", "-journal", ".new", ".new-wal", ".new-journal")
    for old in (path.with_name(NAME + tail) for tail in left):
        old.unlink(missing_ok=True)
    link = sqlite3.connect(made, isolation_level=None)
    settle(link, ["synchronous=OFF", "auto_vacuum=INCREMENTAL"])
    settle(link, [f"application_id={APPLICATION}", f"user_version={FORMAT}"])
    link.execute(KEPT)
    link.execute(CHUNK)
    fill(link)
    settle(link, ["locking_mode=EXCLUSIVE", "journal_mode=WAL"])
    link.close()
    sync(made)
    made.replace(path)
    sync(folder)


def put_aside(folder: Path) -> None:
    """A file that cannot be used, for people to look at; there is never more than one."""
    if (folder / NAME).exists():
        (folder / NAME).replace(folder / f"{NAME}.bad")


def connect(path: Path, most_bytes: int = 0) -> sqlite3.Connection:
    """:raises FileError: it is of a newer format, which only its log says
    :raises sqlite3.DatabaseError: also where sqlite's own check finds damage
    """
    link = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCKED_S)
    try:
        # Exclusive before anything is read: sqlite then keeps the log's index in the process, and makes no
        # file of it.
        settle(link, ["locking_mode=EXCLUSIVE", "mmap_size=0", "journal_mode=WAL", "synchronous=FULL"])
        settle(link, [f"wal_autocheckpoint={PAGES_LEFT}", f"journal_size_limit={LOG_BYTES}"])
        if most_bytes:
            settle(link, [f"max_page_count={max(LEAST_PAGES, most_bytes // PAGE)}"])
        link.execute("SELECT name FROM kept").fetchall()
        fault = newer(format_of(link))
        if fault:
            raise FileError(fault)
        quick_check(link)
        return link
    except BaseException:
        link.close()
        raise


def quick_check(link: sqlite3.Connection) -> None:
    """sqlite's look at its own pages, for as long as a start can wait."""
    end = time.monotonic() + CHECK_S
    link.set_progress_handler(lambda: time.monotonic() > end, CHECK_STEP)
    try:
        found = link.execute("PRAGMA quick_check(1)").fetchall()
    except sqlite3.OperationalError as error:
        if getattr(error, "sqlite_errorcode", 0) != sqlite3.SQLITE_INTERRUPT:
            raise
        return
    finally:
        link.set_progress_handler(None, 0)
    if found != [("ok",)]:
        damage = sqlite3.DatabaseError(str(found[0][0]).splitlines()[0])
        damage.sqlite_errorcode = sqlite3.SQLITE_CORRUPT
        raise damage


def format_of(link: sqlite3.Connection) -> int:
    ((version,),) = link.execute("PRAGMA user_version").fetchall()
    return int(version)


def settle(link: sqlite3.Connection, pragmas: Iterable[str]) -> None:
    for pragma in pragmas:
        link.execute(f"PRAGMA {pragma}").fetchall()


def sync(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
