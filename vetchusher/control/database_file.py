"""The store's database file: whether it is ours, how a new one gets to its path, how it is opened."""

from __future__ import annotations

import os
import sqlite3
import struct
import time
from collections.abc import Callable, Iterable
from pathlib import Path

FILE_NAME = "comb.sqlite3"
FORMAT = (
    2  # 1: rows `promised`, `state`, `configuration`; 2: a row a field, sealed; the configuration in chunks
)
APPLICATION_ID = 0x56434D42
SQLITE_MAGIC = b"SQLite format 3\x00"
HEADER_BYTES, FORMAT_OFFSET, APPLICATION_OFFSET = 72, 60, 68  # of the file; sqlite.org/fileformat2.html
PAGE_BYTES = 4096
MIN_PAGES = 64  # whatever the disk, a small state has to fit
CHECKPOINT_PAGES = 256  # in the log before it is carried over
LOCK_TIMEOUT_S = 0.2  # that a folder's last process may take to end
MAX_LOG_BYTES = 2_000_000  # to which it is then cut
QUICK_CHECK_TIMEOUT_S = 0.2  # for sqlite's own check at the start; beyond it the rows' digests have to do
QUICK_CHECK_STEPS = 10_000  # of its machine's steps between two looks at the clock
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
CREATE_ROW_TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"
CREATE_CHUNK_TABLE = "CREATE TABLE chunk (name BLOB PRIMARY KEY, value BLOB NOT NULL)"


class FileError(Exception):
    """A file that must stay as it is; the text is one line."""


def is_corruption(error: sqlite3.Error) -> bool:
    """Return whether sqlite reports that the file itself is damaged."""
    return (getattr(error, "sqlite_errorcode", 0) & 0xFF) in CORRUPTION_CODES


def why_foreign(path: Path) -> str:
    """Return why a file is not ours to open; empty: it is, or there is none. The file is only read."""
    if not path.exists():
        return ""
    header = read_header(path)
    if len(header) < HEADER_BYTES or not header.startswith(SQLITE_MAGIC):
        return "is no store of this system"
    if struct.unpack_from(">I", header, APPLICATION_OFFSET)[0] != APPLICATION_ID:
        return "is a database of another program"
    return why_too_new(format_in_header(path))


def read_header(path: Path) -> bytes:
    """Return the first bytes of a database file."""
    with path.open("rb") as file:
        return file.read(HEADER_BYTES)


def format_in_header(path: Path) -> int:
    """Return the format by the file's header, without opening it; 0: it has none. A log beside it may know
    better.
    """
    header = read_header(path)
    return int(struct.unpack_from(">I", header, FORMAT_OFFSET)[0]) if len(header) == HEADER_BYTES else 0


def why_too_new(version: int) -> str:
    """Return why this release cannot read a format; empty: it can."""
    return f"format {version} is newer than {FORMAT}" if version > FORMAT else ""


def create_database(folder: Path, fill: Callable[[sqlite3.Connection], None] = lambda link: None) -> None:
    """Create an empty database beside its path and move it there: a loss of power leaves none, or a good one.

    :param fill: writes what it holds from the first
    """
    path, temporary = folder / FILE_NAME, folder / f"{FILE_NAME}.new"
    # Safety: sqlite would take a log left by a file that is gone for this one's.
    stale_suffixes = ("-wal", "-journal", ".new", ".new-wal", ".new-journal")
    for stale in (path.with_name(FILE_NAME + tail) for tail in stale_suffixes):
        stale.unlink(missing_ok=True)
    connection = sqlite3.connect(temporary, isolation_level=None)
    run_pragmas(connection, ["synchronous=OFF", "auto_vacuum=INCREMENTAL"])
    run_pragmas(connection, [f"application_id={APPLICATION_ID}", f"user_version={FORMAT}"])
    connection.execute(CREATE_ROW_TABLE)
    connection.execute(CREATE_CHUNK_TABLE)
    fill(connection)
    run_pragmas(connection, ["locking_mode=EXCLUSIVE", "journal_mode=WAL"])
    connection.close()
    fsync_path(temporary)
    temporary.replace(path)
    fsync_path(folder)


def set_aside_damaged(folder: Path) -> None:
    """Rename a file that cannot be used, for people to look at; there is never more than one."""
    if (folder / FILE_NAME).exists():
        (folder / FILE_NAME).replace(folder / f"{FILE_NAME}.bad")


def connect(path: Path, max_bytes: int = 0) -> sqlite3.Connection:
    """Open the database for this process alone.

    :raises FileError: it is of a newer format, which only its log says
    :raises sqlite3.DatabaseError: also where sqlite's own check finds damage
    """
    connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S)
    try:
        # Exclusive before anything is read: sqlite then keeps the log's index in the process, and makes no
        # file of it.
        run_pragmas(
            connection, ["locking_mode=EXCLUSIVE", "mmap_size=0", "journal_mode=WAL", "synchronous=FULL"]
        )
        run_pragmas(
            connection, [f"wal_autocheckpoint={CHECKPOINT_PAGES}", f"journal_size_limit={MAX_LOG_BYTES}"]
        )
        if max_bytes:
            run_pragmas(connection, [f"max_page_count={max(MIN_PAGES, max_bytes // PAGE_BYTES)}"])
        connection.execute("SELECT name FROM kept").fetchall()
        reason = why_too_new(stored_format(connection))
        if reason:
            raise FileError(reason)
        quick_check(connection)
        return connection
    except BaseException:
        connection.close()
        raise


def quick_check(connection: sqlite3.Connection) -> None:
    """Let sqlite check its own pages, for as long as a start can wait."""
    deadline = time.monotonic() + QUICK_CHECK_TIMEOUT_S
    connection.set_progress_handler(lambda: time.monotonic() > deadline, QUICK_CHECK_STEPS)
    try:
        result = connection.execute("PRAGMA quick_check(1)").fetchall()
    except sqlite3.OperationalError as error:
        if getattr(error, "sqlite_errorcode", 0) != sqlite3.SQLITE_INTERRUPT:
            raise
        return
    finally:
        connection.set_progress_handler(None, 0)
    if result != [("ok",)]:
        damage = sqlite3.DatabaseError(str(result[0][0]).splitlines()[0])
        damage.sqlite_errorcode = sqlite3.SQLITE_CORRUPT
        raise damage


def stored_format(connection: sqlite3.Connection) -> int:
    """Return the format that the database states."""
    ((version,),) = connection.execute("PRAGMA user_version").fetchall()
    return int(version)


def run_pragmas(connection: sqlite3.Connection, pragmas: Iterable[str]) -> None:
    """Run each pragma."""
    for pragma in pragmas:
        connection.execute(f"PRAGMA {pragma}").fetchall()


def fsync_path(path: Path) -> None:
    """Sync a file or folder."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
