"""The store of a control node: sqlite3 in WAL mode, small rows with checksums, the configuration in chunks.

Synchronous; whoever uses it gives it a thread of its own.  Every `save` is synced on return: a later loss of
power leaves the last one saved, or one begun after it, complete.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterable
from pathlib import Path

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode

from .chunks import chunk_digest, parse_manifest, split_chunks
from .database_file import (
    FILE_NAME,
    FileError,
    connect,
    create_database,
    is_corruption,
    set_aside_damaged,
    why_foreign,
)
from .digests import CHUNK, row_digests
from .encoding import MANIFEST, SEAL, decode_rows, encode_rows, row_checksum, seal_checksum
from .messages import PersistentState
from .migration import migrate
from .state import state_stamp
from .stored_rows import StoredCopy, StoredRows, chunk_label, is_chunk_intact, read_small_rows

IMPORTED_ROW = "imported"  # only `archive` writes this row; the next save removes it
MAX_FREE_PAGES = 64  # that may lie unused in the file


class Store(StoredRows):
    """Owner of one folder's database and of its log."""

    def __init__(self, folder: Path, connection: sqlite3.Connection | None, max_bytes: int = 0) -> None:
        """Use `Store.open` instead.

        :param max_bytes: bound of the file; 0: none
        """
        super().__init__(connection)
        self.folder = folder
        self.max_bytes = max_bytes
        self.imported_state: PersistentState | None = None  # what an import brought, until the first save

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[Store, Error]:
        """Open the store of a folder that is empty or ours; one of an older format is migrated.

        A failure says in a line what stands in the way: a file of another kind or of a newer format, which is
        left as it was; another process that uses it; a disk that does not answer.  A store of ours that is
        damaged opens, and fails at `load`.

        :param disk_mb: size of the whole disk; 0: unknown.  A quarter is for the file, as much for its log,
            as much for a damaged file set aside; what does not fit is refused as by a full disk
        """
        path, max_bytes = Path(folder), (disk_mb << 20) // 4
        file = path / FILE_NAME
        try:
            if not path.exists():
                path.mkdir(parents=True)
            fault = why_foreign(file)
            if fault:
                return Failure(Error(ErrorCode.STORAGE_ERROR, f"{file}: {fault}"))
            if not file.exists():
                create_database(path)
            connection = connect(file, max_bytes)
            store = Store(path, connection, max_bytes)
            store.is_damaged = not migrate(connection)
            return Success(store)
        except FileError as error:
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{file}: {error}"))
        except sqlite3.DatabaseError as error:
            if is_corruption(error):
                return Success(Store(path, None, max_bytes))
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{file}: {error}"))
        except OSError as error:
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{path}: {error}"))

    # -- reading -------------------------------------------------------------------------------

    def load(self) -> Result[PersistentState | None, Error]:
        """Return what was saved last; None: nothing ever was, or the folder was imported (`imported_state`).

        On a failure the caller goes on as with an empty disk (an amnesiac, which asks all others).  The next
        save sets the file aside as `comb.sqlite3.bad`.
        """
        if self.is_damaged or self.connection is None:
            outcome = self.damaged("is spoilt")
        else:
            outcome = self.read(self.connection)
        self.is_damaged = not isinstance(outcome, Success)
        return outcome

    def read(self, connection: sqlite3.Connection) -> Result[PersistentState | None, Error]:
        """Read and check all rows."""
        self.forget_rows()
        try:
            rows, fault = read_small_rows(connection)
            if fault:
                return self.damaged(fault)
            if not rows:
                return Success(None)
            chunks = {}
            for name, value in connection.execute("SELECT name, value FROM chunk"):
                if not is_chunk_intact(name, value):
                    label = chunk_label(name)
                    return self.damaged(f"a chunk of the configuration is not as it was written: {label}")
                chunks[name] = value
            manifest = rows.get(MANIFEST, b"")
            contents = decode_rows(rows, b"".join(chunks[name] for name in parse_manifest(manifest)))
            checksums = {name: row_checksum(name, value) for name, value in rows.items()}
            body_digest = chunk_digest(contents.state.configuration)
            self.remember_rows(contents, body_digest, checksums, manifest, set(chunks))
            # Safety: an old vote must not count again, and an old copy must not pass for a copy.
            self.imported_state = contents if IMPORTED_ROW in rows else None
            return Success(None if self.imported_state else contents)
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError) as error:
            return self.damaged(f"{type(error).__name__} {error}")

    def damaged(self, text: str) -> Result[PersistentState | None, Error]:
        """Return the failure of a store that cannot be read."""
        return Failure(Error(ErrorCode.STORAGE_ERROR, f"{self.folder / FILE_NAME}: {text}"))

    def remember_rows(
        self,
        contents: PersistentState,
        body_digest: bytes,
        checksums: dict[str, bytes],
        manifest: bytes,
        chunk_digests: set[bytes],
    ) -> None:
        """Note what lies on the disk now."""
        self.checksums, self.chunk_digests, self.body_digest = checksums, chunk_digests, body_digest
        digests = row_digests(contents.state, parse_manifest(manifest))
        self.copy = StoredCopy(state_stamp(contents.state), digests, self.generation)

    # -- writing -------------------------------------------------------------------------------

    def save(self, contents: PersistentState) -> Result[None, Error]:
        """Write the contents, synced on return.  After a failure the disk holds what it held, or these."""
        try:
            if self.is_damaged or self.connection is None:
                self.connection = self.recreate()
            self.write(self.connection, contents)
            self.imported_state = None
            return Success(None)
        except (OSError, sqlite3.Error) as error:
            self.recover_from(error)
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{self.folder / FILE_NAME}: {error}"))

    def recover_from(self, error: OSError | sqlite3.Error) -> None:
        """Get ready for the next save after one that failed."""
        self.forget_rows()
        if self.connection is not None and self.connection.in_transaction:
            with contextlib.suppress(sqlite3.Error):
                self.connection.execute("ROLLBACK")
        if isinstance(error, sqlite3.Error) and is_corruption(error):
            self.is_damaged = True
        with contextlib.suppress(OSError):  # the file set aside may be what fills the disk
            (self.folder / f"{FILE_NAME}.bad").unlink(missing_ok=True)

    def write(
        self, connection: sqlite3.Connection, contents: PersistentState, empty_rows: Iterable[str] = ()
    ) -> None:
        """Write only what differs from what lies there: a vote costs a page or two, a route its chunk.

        :param empty_rows: names of empty rows to write beside
        """
        rows, body = encode_rows(contents)
        rows |= dict.fromkeys(empty_rows, b"")
        checksums = {name: row_checksum(name, value) for name, value in rows.items()}
        chunk_digests, body_digest = self.chunk_digests, chunk_digest(body)
        is_same_body = body_digest == self.body_digest
        self.generation += not self.checksums
        connection.execute("BEGIN IMMEDIATE")
        if is_same_body:
            rows[MANIFEST] = b""  # it stays as it lies there
            checksums[MANIFEST] = self.checksums[MANIFEST]
        else:
            rows[MANIFEST], chunk_digests = self.write_chunks(connection, body)
            checksums[MANIFEST] = row_checksum(MANIFEST, rows[MANIFEST])
        rows[SEAL] = seal_checksum(checksums)
        checksums[SEAL] = row_checksum(SEAL, rows[SEAL])
        self.write_rows(connection, rows, checksums)
        connection.execute("COMMIT")
        manifest = self.stored_manifest() if is_same_body and self.copy is not None else rows[MANIFEST]
        self.remember_rows(contents, body_digest, checksums, manifest, chunk_digests)

    def write_rows(
        self, connection: sqlite3.Connection, rows: dict[str, bytes], checksums: dict[str, bytes]
    ) -> None:
        """Write the small rows whose checksums differ, and remove those that are gone."""
        if not self.checksums:
            connection.execute("DELETE FROM kept")
        for name, checksum in checksums.items():
            if checksum != self.checksums.get(name):
                connection.execute("REPLACE INTO kept VALUES (?, ?, ?)", (name, rows[name], checksum))
        removed = [(name,) for name in self.checksums.keys() - checksums.keys()]
        connection.executemany("DELETE FROM kept WHERE name = ?", removed)

    def stored_manifest(self) -> bytes:
        """Return the manifest of the configuration on disk."""
        assert self.copy is not None
        return b"".join(name for key, name in sorted(self.copy.digests.items()) if key.startswith(CHUNK))

    def write_chunks(self, connection: sqlite3.Connection, body: bytes) -> tuple[bytes, set[bytes]]:
        """Write the chunks of a configuration that are not on disk.

        Those that are gone are deleted first, so that their pages are used again.

        :returns: the manifest, and the digests of all chunks on disk
        """
        chunks = split_chunks(body)
        order = [chunk_digest(chunk) for chunk in chunks]
        named = dict(zip(order, chunks, strict=True))
        if self.chunk_digests:
            removed = [(name,) for name in self.chunk_digests - named.keys()]
            connection.executemany("DELETE FROM chunk WHERE name = ?", removed)
        else:
            connection.execute("DELETE FROM chunk")
        new = [(name, chunk) for name, chunk in named.items() if name not in self.chunk_digests]
        connection.executemany("INSERT INTO chunk VALUES (?, ?)", new)
        ((free,),) = connection.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - MAX_FREE_PAGES):
            connection.execute(
                "PRAGMA incremental_vacuum(1)"
            )  # Python takes one step of it, so one page each
        return b"".join(order), set(named)

    def recreate(self) -> sqlite3.Connection:
        """Set a damaged file aside and begin a new one."""
        self.close()
        set_aside_damaged(self.folder)
        create_database(self.folder)
        self.is_damaged = False
        self.forget_rows()
        return connect(self.folder / FILE_NAME, self.max_bytes)

    def close(self) -> None:
        """Close the database."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
