"""The rows of a store as they lie on the disk: checked one after another, read by leaves, put together anew.

Synchronous, like `store.py`; each row is held to the checksum that was computed when it was written.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Container, Mapping
from dataclasses import dataclass
from functools import cached_property

from google.protobuf.message import DecodeError

from vetchusher.distribution.stamps import StampTuple
from vetchusher.distribution.wire_pb2 import ControlState

from .chunks import chunk_digest, split_chunks
from .database_file import is_corruption
from .digests import LEAVES, DigestTree, digest, field_rows, leaf_of, row_digests, state_from_rows
from .encoding import SEAL, decode_rows, row_checksum, seal_checksum
from .state_copy import copy_state

SCAN_STEP_BYTES = 256 << 10
MAX_DAMAGED_LISTED = 8


@dataclass(frozen=True)
class StoredCopy:
    """What a disk holds of the state, by its digests.

    :param digests: of its rows (`digests.row_digests`), by key
    :param generation: grows whenever all of it is written again
    """

    stamp: StampTuple
    digests: dict[str, bytes]
    generation: int

    @cached_property
    def tree(self) -> DigestTree:
        """The digest tree; built when it is first asked for, as most copies are replaced before."""
        return DigestTree.of_rows(self.digests)


@dataclass(slots=True, frozen=True)
class ScanResult:
    """The result of one scan step.

    :param damaged: rows that are not as they were written, a few of them
    :param pass_completed: with this step all rows have been checked once more
    :param bytes_read: in this step
    """

    damaged: tuple[str, ...]
    pass_completed: bool
    bytes_read: int


class StoredRows:
    """Owner of what is known of the rows on one disk."""

    def __init__(self, connection: sqlite3.Connection | None) -> None:
        """Begin with nothing known of the disk."""
        self.connection = connection
        self.is_damaged = False  # nothing in the file can be trusted: the next save creates a new one
        self.generation = 0
        self.forget_rows()

    def forget_rows(self) -> None:
        """Forget what lies on the disk: the next save writes all of it again."""
        self.checksums: dict[str, bytes] = {}  # of the small rows
        self.chunk_digests: set[bytes] = set()
        self.body_digest: bytes | None = None  # of the configuration
        self.copy: StoredCopy | None = None
        self.scan_position = b""  # digest of the chunk that was checked last

    def scan(self) -> ScanResult:
        """Check the next few chunks on disk, and all small rows with each step."""
        if self.connection is None or self.is_damaged or self.copy is None:
            return ScanResult((), pass_completed=True, bytes_read=0)
        try:
            rows, fault = read_small_rows(self.connection)
            damaged = [fault] if fault else []
            damaged += self._damaged_small_rows(rows)
            bytes_read = sum(map(len, rows.values()))
            bytes_read, damaged_chunks = self._scan_chunks(self.connection, bytes_read)
            damaged += damaged_chunks
            if not self.scan_position:
                damaged += self._missing_chunks(self.connection)
            return ScanResult(tuple(damaged[:MAX_DAMAGED_LISTED]), not self.scan_position, bytes_read)
        except sqlite3.Error as error:
            self.is_damaged = is_corruption(error)
            return ScanResult((f"{type(error).__name__} {error}",), pass_completed=True, bytes_read=0)

    def _damaged_small_rows(self, rows: Mapping[str, bytes]) -> list[str]:
        """Return the rows that are not as they were written; the seal was checked as they were read."""
        found = {name: row_checksum(name, value) for name, value in rows.items()}
        return [name for name, known in self.checksums.items() if name != SEAL and found.get(name) != known]

    def _scan_chunks(self, connection: sqlite3.Connection, bytes_read: int) -> tuple[int, list[str]]:
        """Check chunks from the scan position on; it is empty where this was the last of them.

        :returns: the bytes read so far, and labels of damaged chunks
        """
        damaged, last = [], b""
        query = "SELECT name, value FROM chunk WHERE name > ? ORDER BY name"
        for name, value in connection.execute(query, (self.scan_position,)):
            last = name
            bytes_read += len(value)
            if not is_chunk_intact(name, value):
                damaged.append(chunk_label(name))
            if bytes_read >= SCAN_STEP_BYTES:
                break
        else:
            last = b""
        self.scan_position = last
        return bytes_read, damaged

    def _missing_chunks(self, connection: sqlite3.Connection) -> list[str]:
        on_disk = {name for (name,) in connection.execute("SELECT name FROM chunk")}
        return [chunk_label(name) for name in self.chunk_digests - on_disk]

    def read_leaves(self, stamp: StampTuple, leaves: Container[int]) -> dict[str, bytes] | None:
        """Return the rows of some leaves (`digests.py`) from the disk.

        :returns: None: the copy has another stamp, or one of the rows is damaged
        """
        copy, connection = self.copy, self.connection
        if copy is None or connection is None or self.is_damaged or copy.stamp != stamp:
            return None
        try:
            small_rows, fault = read_small_rows(connection)
            if fault:
                return None
            found = field_rows(decode_rows(small_rows, b"").state)
            wanted = {key: name for key, name in copy.digests.items() if leaf_of(key) in leaves}
            for key in wanted.keys() - found.keys():
                row = connection.execute("SELECT value FROM chunk WHERE name = ?", (wanted[key],)).fetchone()
                found[key] = row[0] if row is not None else b""
            rows = {key: found[key] for key in wanted}
            is_intact = all(isinstance(v, bytes) and digest(v) == wanted[key] for key, v in rows.items())
            return rows if is_intact else None
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError):
            return None

    def repaired_state(
        self, stamp: StampTuple, leaves: Container[int], rows: Mapping[str, bytes], root: bytes
    ) -> ControlState | None:
        """Return the copy of a stamp with other rows in some leaves.

        :param rows: the rows of those leaves, from another machine
        :param root: root digest that the result must have
        :returns: None: the result has another root, or its own rows are damaged
        """
        other_leaves = [leaf for leaf in range(LEAVES) if leaf not in leaves]
        own_rows = self.read_leaves(stamp, other_leaves)
        if own_rows is None or any(leaf_of(key) not in leaves for key in rows):
            return None
        try:
            state = copy_state(state_from_rows({**own_rows, **rows}), stamped=stamp)
        except DecodeError:
            return None
        digests = [chunk_digest(chunk) for chunk in split_chunks(state.configuration)]
        return state if DigestTree.of_rows(row_digests(state, digests)).root == root else None


def read_small_rows(connection: sqlite3.Connection) -> tuple[dict[str, bytes], str]:
    """Return the small rows but for the seal, and what is wrong with them; empty: nothing."""
    rows = {}
    for name, value, checksum in connection.execute("SELECT name, value, digest FROM kept"):
        if not isinstance(value, bytes) or row_checksum(name, value) != checksum:
            return {}, f"row {name!r} is not as it was written"
        rows[name] = value
    seal = rows.pop(SEAL, None)
    checksums = {name: row_checksum(name, value) for name, value in rows.items()}
    if (rows or seal) and seal != seal_checksum(checksums):
        return {}, "the rows are of more than one save"
    return rows, ""


def is_chunk_intact(name: object, value: object) -> bool:
    """Return whether a chunk's content is the one that its name, a digest, states."""
    return isinstance(name, bytes) and isinstance(value, bytes) and chunk_digest(value) == name


def chunk_label(name: object) -> str:
    """Return how the log names a chunk."""
    return f"chunk {name.hex() if isinstance(name, bytes) else name!r}"
