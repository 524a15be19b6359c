"""The store of a control node: sqlite3 in WAL mode, small rows with checksums, the configuration in chunks.

All calls block, so the caller runs the store in a thread of its own. A `save` is synced when it returns.
After a power loss the store holds the contents of the last completed save, or of one that was started after
it, in either case complete.
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
    foreign_file_reason,
    is_corruption,
    set_aside_damaged,
)
from .digests import CHUNK_PREFIX, row_digests
from .encoding import MANIFEST, SEAL, decode_rows, encode_rows, row_checksum, seal_checksum
from .messages import PersistentState
from .migration import migrate
from .state import state_stamp
from .stored_rows import StoredCopy, StoredRows, chunk_label, is_chunk_intact, read_small_rows

IMPORTED_ROW = "imported"  # row that `archive` writes at an import; the next save removes it
MAX_FREE_PAGES = 64  # unused pages that stay in the file; more are returned to the file system


class Store(StoredRows):
    """The store in one folder: the database file and its write-ahead log."""

    def __init__(self, folder: Path, connection: sqlite3.Connection | None, max_bytes: int = 0) -> None:
        """Create a store on an open connection; callers use `Store.open`.

        :param connection: None if the file is damaged
        :param max_bytes: maximum size of the database file; 0: unlimited
        """
        super().__init__(connection)
        self.folder = folder
        self.max_bytes = max_bytes
        self.imported_state: PersistentState | None = None  # set at `load`, until the first save

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[Store, Error]:
        """Open the store of a folder that is empty or holds a store; an older format is migrated.

        A failure states the reason in one line: the file is of another kind or of a newer format, and is left
        unchanged; another process uses it; the disk returns an error. A damaged store opens successfully, and
        fails at `load`.

        :param disk_mb: size of the whole disk in MiB; 0: unknown. The database file may use a quarter of it;
            its log and a damaged file that was set aside need as much each. A save that does not fit fails as
            on a full disk
        """
        path, max_bytes = Path(folder), (disk_mb << 20) // 4
        file = path / FILE_NAME
        try:
            if not path.exists():
                path.mkdir(parents=True)
            reason = foreign_file_reason(file)
            if reason:
                return Failure(Error(ErrorCode.STORAGE_ERROR, f"{file}: {reason}"))
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

    # -- load ----------------------------------------------------------------------------------

    def load(self) -> Result[PersistentState | None, Error]:
        """Return the contents saved last; None if nothing was saved yet, or only an import was written.

        After an import, `imported_state` holds the imported contents.

        After a failure the caller continues as with an empty disk, and recovers its votes from the other
        control nodes. The next save renames the damaged file to `comb.sqlite3.bad`.
        """
        if self.is_damaged or self.connection is None:
            outcome = self.load_failure("is corrupted")
        else:
            outcome = self.read(self.connection)
        self.is_damaged = not isinstance(outcome, Success)
        return outcome

    def read(self, connection: sqlite3.Connection) -> Result[PersistentState | None, Error]:
        """Read and verify all rows, and remember their digests; None as at `load`."""
        self.forget_rows()
        try:
            rows, damage = read_small_rows(connection)
            if damage:
                return self.load_failure(damage)
            if not rows:
                return Success(None)
            chunks = {}
            for name, value in connection.execute("SELECT name, value FROM chunk"):
                if not is_chunk_intact(name, value):
                    label = chunk_label(name)
                    return self.load_failure(
                        f"a chunk of the configuration does not match its digest: {label}"
                    )
                chunks[name] = value
            manifest = rows.get(MANIFEST, b"")
            contents = decode_rows(rows, b"".join(chunks[name] for name in parse_manifest(manifest)))
            checksums = {name: row_checksum(name, value) for name, value in rows.items()}
            body_digest = chunk_digest(contents.state.configuration)
            self.remember_rows(contents, body_digest, checksums, manifest, set(chunks))
            # Safety: an import is no memory of this machine. Its votes must not count again, and its state,
            # which may be outdated, must not count as a copy.
            self.imported_state = contents if IMPORTED_ROW in rows else None
            return Success(None if self.imported_state else contents)
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError) as error:
            return self.load_failure(f"{type(error).__name__} {error}")

    def load_failure(self, text: str) -> Result[PersistentState | None, Error]:
        """Return the failure of a store that cannot be read.

        :param text: the reason, in one line
        """
        return Failure(Error(ErrorCode.STORAGE_ERROR, f"{self.folder / FILE_NAME}: {text}"))

    def remember_rows(
        self,
        contents: PersistentState,
        body_digest: bytes,
        checksums: dict[str, bytes],
        manifest: bytes,
        chunk_digests: set[bytes],
    ) -> None:
        """Remember the checksums and digests of what is on disk now.

        :param body_digest: digest of the whole configuration
        :param checksums: checksums of the small rows, by name
        :param manifest: digests of the configuration's chunks, in their order
        :param chunk_digests: digests of all chunks on disk
        """
        self.checksums, self.chunk_digests, self.body_digest = checksums, chunk_digests, body_digest
        digests = row_digests(contents.state, parse_manifest(manifest))
        self.copy = StoredCopy(state_stamp(contents.state), digests, self.generation)

    # -- save ----------------------------------------------------------------------------------

    def save(self, contents: PersistentState) -> Result[None, Error]:
        """Write the contents and sync them.

        After a failure the disk holds either its previous contents or these, complete.
        """
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
        """Prepare for the next save after one that failed: it writes everything again."""
        self.forget_rows()
        if self.connection is not None and self.connection.in_transaction:
            with contextlib.suppress(sqlite3.Error):
                self.connection.execute("ROLLBACK")
        if isinstance(error, sqlite3.Error) and is_corruption(error):
            self.is_damaged = True
        with contextlib.suppress(OSError):  # the damaged file that was set aside may fill the disk
            (self.folder / f"{FILE_NAME}.bad").unlink(missing_ok=True)

    def write(
        self, connection: sqlite3.Connection, contents: PersistentState, empty_rows: Iterable[str] = ()
    ) -> None:
        """Write the rows and chunks that differ from those on disk, in one transaction.

        A vote writes one or two pages; a changed route writes the chunk that contains it.

        :param empty_rows: names of further rows, which are written empty
        """
        rows, body = encode_rows(contents)
        rows |= dict.fromkeys(empty_rows, b"")
        checksums = {name: row_checksum(name, value) for name, value in rows.items()}
        chunk_digests, body_digest = self.chunk_digests, chunk_digest(body)
        is_same_body = body_digest == self.body_digest
        self.generation += not self.checksums
        connection.execute("BEGIN IMMEDIATE")
        if is_same_body:
            rows[MANIFEST] = b""  # only a placeholder: the row on disk stays unchanged
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
        """Write the small rows whose checksums differ from those on disk, and delete obsolete ones."""
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
        return b"".join(
            name for key, name in sorted(self.copy.digests.items()) if key.startswith(CHUNK_PREFIX)
        )

    def write_chunks(self, connection: sqlite3.Connection, body: bytes) -> tuple[bytes, set[bytes]]:
        """Write the chunks of a configuration that are not on disk, and delete those it does not contain.

        Chunks are deleted first, so that their pages are reused.

        :returns: the manifest, and the digests of all chunks on disk
        """
        chunks = split_chunks(body)
        digests = [chunk_digest(chunk) for chunk in chunks]
        chunks_by_digest = dict(zip(digests, chunks, strict=True))
        if self.chunk_digests:
            removed = [(name,) for name in self.chunk_digests - chunks_by_digest.keys()]
            connection.executemany("DELETE FROM chunk WHERE name = ?", removed)
        else:
            connection.execute("DELETE FROM chunk")
        new = [(name, chunk) for name, chunk in chunks_by_digest.items() if name not in self.chunk_digests]
        connection.executemany("INSERT INTO chunk VALUES (?, ?)", new)
        ((free_pages,),) = connection.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free_pages - MAX_FREE_PAGES):
            # `execute` takes only the first step of a statement, which frees one page.
            connection.execute("PRAGMA incremental_vacuum(1)")
        return b"".join(digests), set(chunks_by_digest)

    def recreate(self) -> sqlite3.Connection:
        """Rename the damaged file, create a new one and open it."""
        self.close()
        set_aside_damaged(self.folder)
        create_database(self.folder)
        self.is_damaged = False
        self.forget_rows()
        return connect(self.folder / FILE_NAME, self.max_bytes)

    def close(self) -> None:
        """Close the database; nothing happens if it is closed."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
