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

from .chunks import listed, name_of, split
from .database_file import FORMAT, LOG_BYTES, NAME, FileError, connect, create, hurt, put_aside, strange
from .digests import LEAVES, Tree, digest, digests_of, leaf_of, small_rows, state_of
from .encoding import MANIFEST, SEAL, cells_of, check_of, kept_of, seal_of
from .formats import migrated
from .messages import PersistentState
from .state import Point, at, changed

IMPORTED = "imported"  # a row that only `archive` writes, and that goes with the next save
SLACK_PAGES = 64  # that may lie free in the file
SCAN_BYTES = 256 << 10  # of rows looked at in one go


@dataclass(frozen=True)
class Copy:
    """What a disk holds of the state, by its digests.

    :param digests: of its rows (`digests.digests_of`), by key
    :param written: grows whenever all of it is written again
    """

    stamp: Point
    digests: dict[str, bytes]
    written: int

    @cached_property
    def tree(self) -> Tree:
        """Made when it is first asked for: most copies are replaced before."""
        return Tree.over(self.digests)


@dataclass(slots=True, frozen=True)
class Scanned:
    """:param bad: rows that are not as they were written, a few of them
    :param whole: with this all of them have been looked at once more
    :param size: bytes looked at
    """

    bad: tuple[str, ...]
    whole: bool
    size: int


class Store:
    """One folder's.  It owns the file and its log, and knows by digest each row that lies there."""

    def __init__(self, folder: Path, link: sqlite3.Connection | None, most_bytes: int = 0) -> None:
        self.folder, self.link, self.most_bytes = folder, link, most_bytes
        self.broken = False  # nothing in the file can be trusted: the next save begins a new one
        self.floor: PersistentState | None = None  # what an import brought (`archive`), until the first save
        self.written = 0
        self.forget()

    def forget(self) -> None:
        """Whatever lies on the disk, the next save writes all of it again."""
        self.checks: dict[str, bytes] = {}  # of the small rows on disk
        self.chunks: set[bytes] = set()  # names of those on disk
        self.body: bytes | None = None  # digest of the configuration on disk
        self.copy: Copy | None = None
        self.scanned = b""  # name of the chunk that was looked at last

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
            fault = strange(place / NAME)
            if fault:
                return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {fault}"))
            if not (place / NAME).exists():
                create(place)
            link = connect(place / NAME, most_bytes)
            store = Store(place, link, most_bytes)
            store.broken = not migrated(link)
            return Success(store)
        except FileError as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {error}"))
        except sqlite3.DatabaseError as error:
            if hurt(error):
                return Success(Store(place, None, most_bytes))
            return Failure(Fault(Kind.BAD_STORE, f"{place / NAME}: {error}"))
        except OSError as error:
            return Failure(Fault(Kind.BAD_STORE, f"{place}: {error}"))

    # -- reading -------------------------------------------------------------------------------

    def load(self) -> Result[PersistentState | None, Fault]:
        """What was saved last; None: nothing ever was, or the folder was imported (`floor`).

        On a failure the caller goes on as with an empty disk (`first_start` false: amnesiac, and all others
        are asked); the file is put aside as `comb.sqlite3.bad` by the next save.
        """
        kept = self.bad("is spoilt") if self.broken or self.link is None else self.read(self.link)
        self.broken = not isinstance(kept, Success)
        return kept

    def read(self, link: sqlite3.Connection) -> Result[PersistentState | None, Fault]:
        self.forget()
        try:
            rows, fault = small(link)
            if fault:
                return self.bad(fault)
            if not rows:
                return Success(None)
            chunks = {}
            for name, value in link.execute("SELECT name, value FROM chunk"):
                if not sound(name, value):
                    return self.bad(f"a chunk of the configuration is not as it was written: {text(name)}")
                chunks[name] = value
            manifest = rows.get(MANIFEST, b"")
            kept = kept_of(rows, b"".join(chunks[name] for name in listed(manifest)))
            checks = {name: check_of(name, value) for name, value in rows.items()}
            self.know(kept, name_of(kept.state.configuration), checks, manifest, set(chunks))
            # Danger: an old promise must not vote again, and an old copy must not count as one.
            self.floor = kept if IMPORTED in rows else None
            return Success(None if self.floor else kept)
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError) as error:
            return self.bad(f"{type(error).__name__} {error}")

    def bad(self, text: str) -> Result[PersistentState | None, Fault]:
        return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {text}"))

    def know(
        self,
        kept: PersistentState,
        body: bytes,
        checks: dict[str, bytes],
        manifest: bytes,
        chunks: set[bytes],
    ) -> None:
        """:param body: the digest of the configuration"""
        self.checks, self.chunks, self.body = checks, chunks, body
        digests = digests_of(kept.state, listed(manifest))
        self.copy = Copy(at(kept.state), digests, self.written)

    # -- writing -------------------------------------------------------------------------------

    def save(self, kept: PersistentState) -> Result[None, Fault]:
        """Synced on return.  After a failure the disk holds what it held, or this."""
        try:
            if self.broken or self.link is None:
                self.link = self.begin_anew()
            self.write(self.link, kept)
            self.floor = None
            return Success(None)
        except (OSError, sqlite3.Error) as error:
            self.forget()
            if self.link is not None and self.link.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    self.link.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error) and hurt(error):
                self.broken = True
            with contextlib.suppress(OSError):  # it may be what fills the disk
                (self.folder / f"{NAME}.bad").unlink(missing_ok=True)
            return Failure(Fault(Kind.BAD_STORE, f"{self.folder / NAME}: {error}"))

    def write(self, link: sqlite3.Connection, kept: PersistentState, more: Iterable[str] = ()) -> None:
        """Only what differs from what lies there: a promise costs a page or two, a route its chunk.

        :param more: names of empty rows beside
        """
        rows, body = cells_of(kept)
        rows |= dict.fromkeys(more, b"")
        checks = {name: check_of(name, value) for name, value in rows.items()}
        chunks, known = self.chunks, name_of(body)
        self.written += not self.checks
        link.execute("BEGIN IMMEDIATE")
        if known == self.body:
            rows[MANIFEST] = b""  # as it lies there
            checks[MANIFEST] = self.checks[MANIFEST]
        else:
            rows[MANIFEST], chunks = self.write_chunks(link, body)
            checks[MANIFEST] = check_of(MANIFEST, rows[MANIFEST])
        rows[SEAL] = seal_of(checks)
        checks[SEAL] = check_of(SEAL, rows[SEAL])
        if not self.checks:
            link.execute("DELETE FROM kept")
        for name, check in checks.items():
            if check != self.checks.get(name):
                link.execute("REPLACE INTO kept VALUES (?, ?, ?)", (name, rows[name], check))
        link.executemany(
            "DELETE FROM kept WHERE name = ?", [(n,) for n in self.checks.keys() - checks.keys()]
        )
        link.execute("COMMIT")
        if known == self.body and self.copy is not None:
            manifest = b"".join(v for k, v in sorted(self.copy.digests.items()) if k.startswith("chunk/"))
        else:
            manifest = rows[MANIFEST]
        self.know(kept, known, checks, manifest, chunks)

    def write_chunks(self, link: sqlite3.Connection, body: bytes) -> tuple[bytes, set[bytes]]:
        """The manifest, and the names of what is on disk with it.  What is gone goes first: its pages are
        used again."""
        pieces = split(body)
        order = [name_of(piece) for piece in pieces]
        named = dict(zip(order, pieces, strict=True))
        if self.chunks:
            link.executemany("DELETE FROM chunk WHERE name = ?", [(n,) for n in self.chunks - named.keys()])
        else:
            link.execute("DELETE FROM chunk")
        new = [(name, piece) for name, piece in named.items() if name not in self.chunks]
        link.executemany("INSERT INTO chunk VALUES (?, ?)", new)
        ((free,),) = link.execute("PRAGMA freelist_count").fetchall()
        for _ in range(free - SLACK_PAGES):
            link.execute("PRAGMA incremental_vacuum(1)")  # Python takes one step of it, so one page each
        return b"".join(order), set(named)

    def begin_anew(self) -> sqlite3.Connection:
        self.close()
        put_aside(self.folder)
        create(self.folder)
        self.broken = False
        self.forget()
        return connect(self.folder / NAME, self.most_bytes)

    def close(self) -> None:
        if self.link is not None:
            self.link.close()
            self.link = None

    # -- looking after what lies there ---------------------------------------------------------

    def scan(self) -> Scanned:
        """The next part of the rows on disk, held to their digests; the small ones with each part."""
        if self.link is None or self.broken or self.copy is None:
            return Scanned((), True, 0)
        try:
            rows, fault = small(self.link)
            bad = [fault] if fault else []
            held = {name: check_of(name, value) for name, value in rows.items()}
            # The seal has been held to all others.
            bad += [name for name, check in self.checks.items() if name != SEAL and held.get(name) != check]
            size, last = sum(map(len, rows.values())), b""
            query = "SELECT name, value FROM chunk WHERE name > ? ORDER BY name"
            for name, value in self.link.execute(query, (self.scanned,)):
                last = name
                size += len(value)
                if not sound(name, value):
                    bad.append(text(name))
                if size >= SCAN_BYTES:
                    break
            else:
                last = b""
            if not last:
                on_disk = {name for (name,) in self.link.execute("SELECT name FROM chunk")}
                bad += [text(name) for name in self.chunks - on_disk]
            self.scanned = last
            return Scanned(tuple(bad[:8]), not last, size)
        except sqlite3.Error as error:
            self.broken = hurt(error)
            return Scanned((f"{type(error).__name__} {error}",), True, 0)

    def rows(self, stamp: Point, leaves: Container[int]) -> dict[str, bytes] | None:
        """Rows of the state in those leaves (`digests`), read from the disk; None: the copy has another
        stamp, or one of them is not as it was written."""
        copy, link = self.copy, self.link
        if copy is None or link is None or self.broken or copy.stamp != stamp:
            return None
        try:
            heads, fault = small(link)
            if fault:
                return None
            found = small_rows(kept_of(heads, b"").state)
            wanted = {key: name for key, name in copy.digests.items() if leaf_of(key) in leaves}
            for key in wanted.keys() - found.keys():
                row = link.execute("SELECT value FROM chunk WHERE name = ?", (wanted[key],)).fetchone()
                found[key] = row[0] if row is not None else b""
            rows = {key: found[key] for key in wanted}
            whole = all(isinstance(v, bytes) and digest(v) == wanted[key] for key, v in rows.items())
            return rows if whole else None
        except (sqlite3.Error, DecodeError, KeyError, ValueError, TypeError):
            return None

    def mended(
        self, stamp: Point, leaves: Container[int], told: Mapping[str, bytes], root: bytes
    ) -> ControlState | None:
        """The copy of that stamp with what was told in those leaves; None where it has not that root."""
        others = [leaf for leaf in range(LEAVES) if leaf not in leaves]
        own = self.rows(stamp, others)
        if own is None or any(leaf_of(key) not in leaves for key in told):
            return None
        try:
            state = changed(state_of({**own, **told}), stamped=stamp)
        except DecodeError:
            return None
        names = [name_of(chunk) for chunk in split(state.configuration)]
        return state if Tree.over(digests_of(state, names)).root == root else None


def small(link: sqlite3.Connection) -> tuple[dict[str, bytes], str]:
    """The small rows but for the seal, and what is wrong with them."""
    rows = {}
    for name, value, told in link.execute("SELECT name, value, digest FROM kept"):
        if not isinstance(value, bytes) or check_of(name, value) != told:
            return {}, f"row {name!r} is not as it was written"
        rows[name] = value
    seal = rows.pop(SEAL, None)
    if (rows or seal) and seal != seal_of({name: check_of(name, value) for name, value in rows.items()}):
        return {}, "the rows are of more than one save"
    return rows, ""


def sound(name: object, value: object) -> bool:
    return isinstance(name, bytes) and isinstance(value, bytes) and name_of(value) == name


def text(name: object) -> str:
    return f"chunk {name.hex() if isinstance(name, bytes) else name!r}"


__all__ = ["FORMAT", "LOG_BYTES", "NAME", "Copy", "Scanned", "Store"]
