"""The rows of a store on disk: they are scanned for damage, read for other machines, and repaired.

All calls block, as in `store.py`. Each row that is read is verified by the checksum that was computed when it
was written.
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

SCAN_STEP_BYTES = 256 << 10  # a scan step ends with the chunk that reaches this size
MAX_DAMAGED_LISTED = 8  # damaged rows that are named in a scan's result


@dataclass(frozen=True)
class StoredCopy:
    """The copy of the state on a disk, described by digests.

    :param digests: digests of its rows (`digests.row_digests`), by key
    :param generation: counts how often the whole copy was written
    """

    stamp: StampTuple
    digests: dict[str, bytes]
    generation: int

    @cached_property
    def tree(self) -> DigestTree:
        """The digest tree; built at the first use, because most copies are replaced before it is needed."""
        return DigestTree.of_rows(self.digests)


@dataclass(slots=True, frozen=True)
class ScanResult:
    """The result of one scan step.

    :param damaged: labels of damaged or missing rows, `MAX_DAMAGED_LISTED` at most
    :param pass_completed: whether this step completed a pass through all rows
    :param bytes_read: bytes of rows read in this step
    """

    damaged: tuple[str, ...]
    pass_completed: bool
    bytes_read: int


class StoredRows:
    """The known rows on one disk, with their checksums and digests."""

    def __init__(self, connection: sqlite3.Connection | None) -> None:
        """Start without known rows.

        :param connection: None if the file is damaged
        """
        self.connection = connection
        self.is_damaged = False  # the file cannot be trusted, and the next save creates a new one
        self.generation = 0
        self.forget_rows()

    def forget_rows(self) -> None:
        """Forget all known rows, so that the next save writes everything again."""
        self.checksums: dict[str, bytes] = {}  # of the small rows
        self.chunk_digests: set[bytes] = set()
        self.body_digest: bytes | None = None  # of the configuration
        self.copy: StoredCopy | None = None
        self.scan_position = b""  # digest of the chunk that was checked last

    def scan(self) -> ScanResult:
        """Check all small rows and the next few chunks on disk; sqlite's errors are reported as damage."""
        if self.connection is None or self.is_damaged or self.copy is None:
            return ScanResult((), pass_completed=True, bytes_read=0)
        try:
            rows, damage = read_small_rows(self.connection)
            damaged = [damage] if damage else []
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
        """Return the names of rows that differ from those written; `read_small_rows` verifies the seal."""
        actual = {name: row_checksum(name, value) for name, value in rows.items()}
        return [
            name for name, expected in self.checksums.items() if name != SEAL and actual.get(name) != expected
        ]

    def _scan_chunks(self, connection: sqlite3.Connection, bytes_read: int) -> tuple[int, list[str]]:
        """Check chunks from the scan position on; the position is empty again after the last chunk.

        :param bytes_read: bytes read before in this step
        :returns: the bytes read so far in this step, and labels of damaged chunks
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
        """Return labels of the chunks that were written and are not on disk."""
        on_disk = {name for (name,) in connection.execute("SELECT name FROM chunk")}
        return [chunk_label(name) for name in self.chunk_digests - on_disk]

    def read_leaves(self, stamp: StampTuple, leaves: Container[int]) -> dict[str, bytes] | None:
        """Read the rows of some leaves of the digest tree (`digests.py`) from the disk.

        :returns: the rows by key; None if the copy has another stamp, or one of the rows is damaged
        """
        copy, connection = self.copy, self.connection
        if copy is None or connection is None or self.is_damaged or copy.stamp != stamp:
            return None
        try:
            small_rows, damage = read_small_rows(connection)
            if damage:
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
        """Return the copy of a stamp with the rows of some leaves replaced.

        :param rows: the rows of those leaves, from another machine
        :param root: root digest that the result must have
        :returns: None if the result has another root digest, or a row of another leaf is damaged here
        """
        other_leaves = [leaf for leaf in range(LEAVES) if leaf not in leaves]
        own_rows = self.read_leaves(stamp, other_leaves)
        if own_rows is None or any(leaf_of(key) not in leaves for key in rows):
            return None
        try:
            state = copy_state(state_from_rows({**own_rows, **rows}), stamp=stamp)
        except DecodeError:
            return None
        digests = [chunk_digest(chunk) for chunk in split_chunks(state.configuration)]
        return state if DigestTree.of_rows(row_digests(state, digests)).root == root else None


def read_small_rows(connection: sqlite3.Connection) -> tuple[dict[str, bytes], str]:
    """Return the small rows without the seal, and a description of damage; it is empty if there is none.

    :raises sqlite3.Error: the rows cannot be read
    """
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
    """Return whether a chunk's content has the digest that is its name."""
    return isinstance(name, bytes) and isinstance(value, bytes) and chunk_digest(value) == name


def chunk_label(name: object) -> str:
    """Return the name of a chunk for the log."""
    return f"chunk {name.hex() if isinstance(name, bytes) else name!r}"
