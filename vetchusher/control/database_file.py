"""The store's database file: recognising it, creating it and opening it."""

from __future__ import annotations

import os
import sqlite3
import struct
import time
from collections.abc import Callable, Iterable
from pathlib import Path

FILE_NAME = "comb.sqlite3"
# Format 1: rows `promised`, `state`, `configuration`. Format 2: one row per field, with a seal over all rows,
# and the configuration in chunks.
FORMAT = 2
APPLICATION_ID = 0x56434D42
SQLITE_MAGIC = b"SQLite format 3\x00"
# The header of a database file, with the offsets of `user_version` and `application_id`. Source:
# sqlite.org/fileformat2.html.
HEADER_BYTES, FORMAT_OFFSET, APPLICATION_OFFSET = 72, 60, 68
PAGE_BYTES = 4096
MIN_PAGES = 64  # lower bound of the file's limit: a small state has to fit on any disk
CHECKPOINT_PAGES = 256  # pages in the write-ahead log at which sqlite checkpoints it
LOCK_TIMEOUT_S = 0.2  # time for the previous process of this folder to exit
MAX_LOG_BYTES = 2_000_000  # size to which the log file is truncated after a checkpoint
# For sqlite's own check at the start. If it takes longer, only the checksums of rows detect damage.
QUICK_CHECK_TIMEOUT_S = 0.2
DEADLINE_CHECK_INSTRUCTIONS = 10_000  # sqlite virtual machine instructions between checks of the deadline
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
CREATE_ROW_TABLE = "CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL, digest BLOB NOT NULL)"
CREATE_CHUNK_TABLE = "CREATE TABLE chunk (name BLOB PRIMARY KEY, value BLOB NOT NULL)"


class FileError(Exception):
    """A file that cannot be used and must be left unchanged; the text is one line."""


def is_corruption(error: sqlite3.Error) -> bool:
    """Return whether sqlite reports that the file itself is damaged."""
    return (getattr(error, "sqlite_errorcode", 0) & 0xFF) in CORRUPTION_CODES


def foreign_file_reason(path: Path) -> str:
    """Return why a file is no store that this release can open; empty if it is one, or does not exist.

    The file is only read, not opened by sqlite.
    """
    if not path.exists():
        return ""
    header = read_header(path)
    if len(header) < HEADER_BYTES or not header.startswith(SQLITE_MAGIC):
        return "is no store of this system"
    if struct.unpack_from(">I", header, APPLICATION_OFFSET)[0] != APPLICATION_ID:
        return "is a database of another program"
    return newer_format_reason(format_in_header(path))


def read_header(path: Path) -> bytes:
    """Return the first `HEADER_BYTES` of a database file, or fewer if the file is shorter."""
    with path.open("rb") as file:
        return file.read(HEADER_BYTES)


def format_in_header(path: Path) -> int:
    """Return the format in the file's header, read without sqlite; 0 if the file is too short.

    A write-ahead log beside the file may hold a newer header.
    """
    header = read_header(path)
    return int(struct.unpack_from(">I", header, FORMAT_OFFSET)[0]) if len(header) == HEADER_BYTES else 0


def newer_format_reason(version: int) -> str:
    """Return why this release cannot read a format; empty if it can."""
    return f"format {version} is newer than {FORMAT}" if version > FORMAT else ""


def create_database(
    folder: Path, fill: Callable[[sqlite3.Connection], None] = lambda connection: None
) -> None:
    """Create a database under a temporary name and rename it.

    A power loss leaves no database or a complete one.

    :param fill: writes the initial contents
    :raises OSError: the disk returns an error
    :raises sqlite3.Error: likewise, from sqlite
    """
    path, temporary = folder / FILE_NAME, folder / f"{FILE_NAME}.new"
    # Safety: sqlite would apply a log that an earlier file of this name left behind to the new file.
    stale_suffixes = ("-wal", "-journal", ".new", ".new-wal", ".new-journal")
    for stale in (path.with_name(FILE_NAME + suffix) for suffix in stale_suffixes):
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
    """Rename a damaged file for later inspection; it replaces an earlier one."""
    if (folder / FILE_NAME).exists():
        (folder / FILE_NAME).replace(folder / f"{FILE_NAME}.bad")


def connect(path: Path, max_bytes: int = 0) -> sqlite3.Connection:
    """Open the database, locked exclusively for this process.

    :param max_bytes: maximum size of the file; 0: unlimited
    :raises FileError: the format is newer than this release's; only the log may say so
    :raises sqlite3.DatabaseError: the file is locked, unreadable or damaged
    """
    connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S)
    try:
        # With the exclusive lock set before the first read, sqlite keeps the index of the log in memory
        # instead of in a file of shared memory.
        run_pragmas(
            connection, ["locking_mode=EXCLUSIVE", "mmap_size=0", "journal_mode=WAL", "synchronous=FULL"]
        )
        run_pragmas(
            connection, [f"wal_autocheckpoint={CHECKPOINT_PAGES}", f"journal_size_limit={MAX_LOG_BYTES}"]
        )
        if max_bytes:
            run_pragmas(connection, [f"max_page_count={max(MIN_PAGES, max_bytes // PAGE_BYTES)}"])
        connection.execute("SELECT name FROM kept").fetchall()
        reason = newer_format_reason(stored_format(connection))
        if reason:
            raise FileError(reason)
        quick_check(connection)
        return connection
    except BaseException:
        connection.close()
        raise


def quick_check(connection: sqlite3.Connection) -> None:
    """Let sqlite check the structure of the file; the check is abandoned after `QUICK_CHECK_TIMEOUT_S`.

    :raises sqlite3.DatabaseError: the file is damaged
    """
    deadline = time.monotonic() + QUICK_CHECK_TIMEOUT_S
    connection.set_progress_handler(lambda: time.monotonic() > deadline, DEADLINE_CHECK_INSTRUCTIONS)
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
    """Return the format of an open database."""
    ((version,),) = connection.execute("PRAGMA user_version").fetchall()
    return int(version)


def run_pragmas(connection: sqlite3.Connection, pragmas: Iterable[str]) -> None:
    """Run each pragma, given as `name=value`, in order."""
    for pragma in pragmas:
        connection.execute(f"PRAGMA {pragma}").fetchall()


def fsync_path(path: Path) -> None:
    """Sync a file or folder to the disk.

    :raises OSError: the disk returns an error
    """
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
