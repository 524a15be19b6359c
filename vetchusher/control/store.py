"""What a member keeps on its disk: sqlite3 in WAL, small rows with checksums, the configuration in chunks.

Synchronous; whoever uses it gives it a thread of its own.  Every `save` is synced on return: a later loss
of power leaves the last one saved, or one begun after it, whole.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path

from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import ControlState
from vetchusher.kinds import Fault, Kind

from .chunks import chunk_digest, parse_manifest, split_chunks
from .database_file import (
    FILE_NAME,
    FORMAT,
    MAX_LOG_BYTES,
    FileError,
    connect,
    create_database,
    is_corruption,
    set_aside_damaged,
    why_foreign,
)
from .digests import LEAVES, DigestTree, digest, field_rows, leaf_of, row_digests, state_from_rows
from .encoding import MANIFEST, SEAL, decode_rows, encode_rows, row_checksum, seal_checksum
from .formats import migrate
from .messages import PersistentState
from .state import StampTuple, copy_state, state_stamp

IMPORTED_ROW = "imported"  # a row that only `archive` writes, and that goes with the next save
MAX_FREE_PAGES = 64  # that may lie free in the file
SCAN_STEP_BYTES = 256 << 10  # of rows looked at in one go


@dataclass(frozen=True)
class StoredCopy:
    """What a disk holds of the state, by its digests.

    :param digests: of its rows (`digests.digests_of`), by key
    :param written: grows whenever all of it is written again
    """

    stamp: StampTuple
    digests: dict[str, bytes]
    generation: int

    @cached_property
    def tree(self) -> DigestTree:
        """Made when it is first asked for: most copies are replaced before."""
        return DigestTree.of_rows(self.digests)


@dataclass(slots=True, frozen=True)
class ScanResult:
    """:param bad: rows that are not as they were written, a few of them
    :param whole: with this all of them have been looked at once more
    :param size: bytes looked at
    """

    damaged: tuple[str, ...]
    pass_completed: bool
    bytes_read: int


class Store:
    """One folder's.  It owns the file and its log, and knows by digest each row that lies there."""

    def __init__(self, folder: Path, connection: sqlite3.Connection | None, max_bytes: int = 0) -> None:
        self.folder, self.connection, self.max_bytes = folder, connection, max_bytes
        self.is_damaged = False  # nothing in the file can be trusted: the next save begins a new one
        self.imported_state: PersistentState | None = (
            None  # what an import brought (`archive`), until the first save
        )
        self.generation = 0
        self.forget_rows()

    def forget_rows(self) -> None:
        """Whatever lies on the disk, the next save writes all of it again."""
        self.checksums: dict[str, bytes] = {}  # of the small rows on disk
        self.chunk_digests: set[bytes] = set()  # names of those on disk
        self.body_digest: bytes | None = None  # digest of the configuration on disk
        self.copy: StoredCopy | None = None
        self.scan_position = b""  # name of the chunk that was looked at last

    @staticmethod
    def open(folder: str, disk_mb: int = 0) -> Result[Store, Fault]:
        """Of a folder that is empty or ours; one of an older format is brought up to this one.

        A failure says in a line what stands in the way: a file of another kind or of a newer format, which is
        left as it was; another process that uses it; a disk that does not answer.  Ours, but spoilt, opens,
        and fails at `load`.

        :param disk_mb: of the whole disk; 0: unknown.  A quarter is for the file, as much for its log, as
            much for a spoilt file put aside; what does not fit is refused as by a full disk
        """
        place, most_bytes = Path(folder), (disk_mb << 20) // 4
        try:
            if not place.exists():
                place.mkdir(parents=True)
            fault = why_foreign(place / FILE_NAME)
            if fault:
                return Failure(Fault(Kind.BAD_STORE, f"{place / FILE_NAME}: {fault}"))
            if not (place / FILE_NAME).exists():
                create_database(place)
            link = connect(place / FILE_NAME, most_bytes)
            store = Store(place, link, most_bytes)
            store.is_damaged = not migrate(link)
            return Success(store)
        except FileError as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place / FILE_NAME}: {error}"))
        except sqlite3.DatabaseError as error:
            if is_corruption(error):
                return Success(Store(place, None, most_bytes))
            return Failure(Fault(Kind.BAD_STORE, f"{place / FILE_NAME}: {error}"))
        except OSError as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place}: {error}"))

    # -- reading -------------------------------------------------------------------------------

    def load(self) -> Result[PersistentState | None, Fault]:
        """What was saved last; None: nothing ever was, or the folder was imported (`floor`).

        On a failure the caller goes on as with an empty disk (`first_start` false: amnesiac, and all others
        are asked); the file is put aside as `comb.sqlite3.bad` by the next save.
        """
        kept = (
            self.damaged("is spoilt")
            if self.is_damaged or self.connection is None
            else self.read(self.connection)
        )
        self.is_damaged = not isinstance(kept, Success)
        return kept

    def read(self, link: sqlite3.Connection) -> Result[PersistentState | None, Fault]:
        self.forget_rows()
        try:
            rows, fault = read_small_rows(link)
            if fault:
                return self.damaged(fault)
            if not rows:
                return Success(None)
            chunks = {}
            for name, value in link.execute("SELECT name, value FROM chunk"):
                if not is_chunk_intact(name, value):
                    return self.damaged(
                        f"a chunk of the configuration is not as it was written: {chunk_label(name)}"
                    )
                chunks[name] = value
            manifest = rows.get(MANIFEST, b"")
            kept = decode_rows(rows, b"".join(chunks[name] for name in parse_manifest(manifest)))
            checks = {name: row_checksum(name, value) for name, value in rows.items()}
            self.remember_rows(kept, chunk_digest(kept.state.configuration), checks, manifest, set(chunks))
            # Danger: an old promise must not vote again, and an old copy must not count as one.
            self.imported_state = kept if IMPORTED_ROW in rows else None
            return Success(None if self.imported_state else kept)
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError) as error:
            return self.damaged(f"{type(error).__name__} {error}")

    def damaged(self, text: str) -> Result[PersistentState | None, Fault]:
        return Failure(Fault(Kind.BAD_STORE, f"{self.folder / FILE_NAME}: {text}"))

    def remember_rows(
        self,
        kept: PersistentState,
        body: bytes,
        checks: dict[str, bytes],
        manifest: bytes,
        chunks: set[bytes],
    ) -> None:
        """:param body: the digest of the configuration"""
        self.checksums, self.chunk_digests, self.body_digest = checks, chunks, body
        digests = row_digests(kept.state, parse_manifest(manifest))
        self.copy = StoredCopy(state_stamp(kept.state), digests, self.generation)

    # -- writing -------------------------------------------------------------------------------

    def save(self, kept: PersistentState) -> Result[None, Fault]:
        """Synced on return.  After a failure the disk holds what it held, or this."""
        try:
            if self.is_damaged or self.connection is None:
                self.connection = self.recreate()
            self.write(self.connection, kept)
            self.imported_state = None
            return Success(None)
        except (OSError, sqlite3.Error) as error:
            self.forget_rows()
            if self.connection is not None and self.connection.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    self.connection.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error) and is_corruption(error):
                self.is_damaged = True
            with contextlib.suppress(OSError):  # it may be what fills the disk
                (self.folder / f"{FILE_NAME}.bad").unlink(missing_ok=True)
            return Failure(Fault(Kind.BAD_STORE, f"{self.folder / FILE_NAME}: {error}"))

    def write(self, link: sqlite3.Connection, kept: PersistentState, more: Iterable[str] = ()) -> None:
        """Only what differs from what lies there: a promise costs a page or two, a route its chunk.

        :param more: names of empty rows beside
        """
        rows, body = encode_rows(kept)
        rows |= dict.fromkeys(more, b"")
        checks = {name: row_checksum(name, value) for name, value in rows.items()}
        chunks, known = self.chunk_digests, chunk_digest(body)
        self.generation += not self.checksums
        link.execute("BEGIN IMMEDIATE")
        if known == self.body_digest:
            rows[MANIFEST] = b""  # as it lies there
            checks[MANIFEST] = self.checksums[MANIFEST]
        else:
            rows[MANIFEST], chunks = self.write_chunks(link, body)
            checks[MANIFEST] = row_checksum(MANIFEST, rows[MANIFEST])
        rows[SEAL] = seal_checksum(checks)
        checks[SEAL] = row_checksum(SEAL, rows[SEAL])
        if not self.checksums:
            link.execute("DELETE FROM kept")
        for name, check in checks.items():
            if check != self.checksums.get(name):
                link.execute("REPLACE INTO kept VALUES (?, ?, ?)", (name, rows[name], check))
        link.executemany(
            "DELETE FROM kept WHERE name = ?", [(n,) for n in self.checksums.keys() - checks.keys()]
        )
        link.execute("COMMIT")
        if known == self.body_digest and self.copy is not None:
            manifest = b"".join(v for k, v in sorted(self.copy.digests.items()) if k.startswith("chunk/"))
        else:
            manifest = rows[MANIFEST]
        self.remember_rows(kept, known, checks, manifest, chunks)

    def write_chunks(self, link: sqlite3.Connection, body: bytes) -> tuple[bytes, set[bytes]]:
        """The manifest, and the names of what is on disk with it.  What is gone goes first: its pages are
        used again."""
        pieces = split_chunks(body)
        order = [chunk_digest(piece) for piece in pieces]
        named = dict(zip(order, pieces, strict=True))
        if self.chunk_digests:
            link.executemany(
                "DELETE FROM chunk WHERE name = ?", [(n,) for n in self.chunk_digests - named.keys()]
            )
        else:
            link.execute("DELETE FROM chunk")
        new = [(name, piece) for name, piece in named.items() if name not in self.chunk_digests]
        link.executemany("INSERT INTO chunk VALUES (?, ?)", new)
        ((free,),) = link.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - MAX_FREE_PAGES):
            link.execute("PRAGMA incremental_vacuum(1)")  # Python takes one step of it, so one page each
        return b"".join(order), set(named)

    def recreate(self) -> sqlite3.Connection:
        self.close()
        set_aside_damaged(self.folder)
        create_database(self.folder)
        self.is_damaged = False
        self.forget_rows()
        return connect(self.folder / FILE_NAME, self.max_bytes)

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    # -- looking after what lies there ---------------------------------------------------------

    def scan(self) -> ScanResult:
        """The next part of the rows on disk, held to their digests; the small ones with each part."""
        if self.connection is None or self.is_damaged or self.copy is None:
            return ScanResult((), True, 0)
        try:
            rows, fault = read_small_rows(self.connection)
            bad = [fault] if fault else []
            held = {name: row_checksum(name, value) for name, value in rows.items()}
            # The seal has been held to all others.
            bad += [
                name for name, check in self.checksums.items() if name != SEAL and held.get(name) != check
            ]
            size, last = sum(map(len, rows.values())), b""
            query = "SELECT name, value FROM chunk WHERE name > ? ORDER BY name"
            for name, value in self.connection.execute(query, (self.scan_position,)):
                last = name
                size += len(value)
                if not is_chunk_intact(name, value):
                    bad.append(chunk_label(name))
                if size >= SCAN_STEP_BYTES:
                    break
            else:
                last = b""
            if not last:
                on_disk = {name for (name,) in self.connection.execute("SELECT name FROM chunk")}
                bad += [chunk_label(name) for name in self.chunk_digests - on_disk]
            self.scan_position = last
            return ScanResult(tuple(bad[:8]), not last, size)
        except sqlite3.Error as error:
            self.is_damaged = is_corruption(error)
            return ScanResult((f"{type(error).__name__} {error}",), True, 0)

    def read_leaves(self, stamp: StampTuple, leaves: Container[int]) -> dict[str, bytes] | None:
        """Rows of the state in those leaves (`digests`), read from the disk; None: the copy has another
        stamp, or one of them is not as it was written."""
        copy, link = self.copy, self.connection
        if copy is None or link is None or self.is_damaged or copy.stamp != stamp:
            return None
        try:
            heads, fault = read_small_rows(link)
            if fault:
                return None
            found = field_rows(decode_rows(heads, b"").state)
            wanted = {key: name for key, name in copy.digests.items() if leaf_of(key) in leaves}
            for key in wanted.keys() - found.keys():
                row = link.execute("SELECT value FROM chunk WHERE name = ?", (wanted[key],)).fetchone()
                found[key] = row[0] if row is not None else b""
            rows = {key: found[key] for key in wanted}
            whole = all(isinstance(v, bytes) and digest(v) == wanted[key] for key, v in rows.items())
            return rows if whole else None
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError):
            return None

    def repaired_state(
        self, stamp: StampTuple, leaves: Container[int], told: Mapping[str, bytes], root: bytes
    ) -> ControlState | None:
        """The copy of that stamp with what was told in those leaves; None where it has not that root."""
        others = [leaf for leaf in range(LEAVES) if leaf not in leaves]
        own = self.read_leaves(stamp, others)
        if own is None or any(leaf_of(key) not in leaves for key in told):
            return None
        try:
            state = copy_state(state_from_rows({**own, **told}), stamped=stamp)
        except DecodeError:
            return None
        names = [chunk_digest(chunk) for chunk in split_chunks(state.configuration)]
        return state if DigestTree.of_rows(row_digests(state, names)).root == root else None


def read_small_rows(link: sqlite3.Connection) -> tuple[dict[str, bytes], str]:
    """The small rows but for the seal, and what is wrong with them."""
    rows = {}
    for name, value, told in link.execute("SELECT name, value, digest FROM kept"):
        if not isinstance(value, bytes) or row_checksum(name, value) != told:
            return {}, f"row {name!r} is not as it was written"
        rows[name] = value
    seal = rows.pop(SEAL, None)
    if (rows or seal) and seal != seal_checksum(
        {name: row_checksum(name, value) for name, value in rows.items()}
    ):
        return {}, "the rows are of more than one save"
    return rows, ""


def is_chunk_intact(name: object, value: object) -> bool:
    return isinstance(name, bytes) and isinstance(value, bytes) and chunk_digest(value) == name


def chunk_label(name: object) -> str:
    return f"chunk {name.hex() if isinstance(name, bytes) else name!r}"


__all__ = ["FILE_NAME", "FORMAT", "MAX_LOG_BYTES", "ScanResult", "Store", "StoredCopy"]
