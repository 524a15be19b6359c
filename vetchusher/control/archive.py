"""A copy of the state as one file: taken out of a folder, and brought into an empty one as a floor.

What is brought in is no memory.  A process that starts on it votes for nothing and holds nothing until it has
heard the others (`recall`): as far as they remember, they are followed.  Only where nobody remembers anything
the system begins anew, from the floor instead of from nothing, in epochs that no process has ever seen.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from blake3 import blake3
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import Row, SourceNews
from vetchusher.kinds import Fault, Kind

from .database_file import create, sync
from .encoding import cells_of, kept_of
from .messages import PersistentState
from .store import IMPORTED, Store

FIRST_LINE = b"vetchusher comb export "
FORM = 1
BODY = "configuration"


def packed(kept: PersistentState) -> bytes:
    """A line that names the form, a line with the digest of all that follows, and the rows."""
    rows, body = cells_of(kept)
    told = SourceNews(source="control", whole=True, stamp=kept.state.stamp)
    told.rows.extend(Row(key=name, value=value) for name, value in {**rows, BODY: body}.items())
    raw = told.SerializeToString(deterministic=True)
    return FIRST_LINE + b"%d\n" % FORM + blake3(raw).hexdigest().encode() + b"\n" + raw


def unpacked(data: bytes) -> Result[PersistentState, Fault]:
    """What `packed` was given; any other byte anywhere is a failure in a line."""
    first, _, rest = data.partition(b"\n")
    if not first.startswith(FIRST_LINE) or not first.removeprefix(FIRST_LINE).isdigit():
        return bad("is no export of this system")
    form = int(first.removeprefix(FIRST_LINE))
    if form > FORM:
        return bad(f"form {form} is newer than {FORM}")
    _, _, raw = rest.partition(b"\n")
    try:
        news = SourceNews.FromString(raw)
        rows = {row.key: row.value for row in news.rows}
        body = rows.pop(BODY)
        kept = kept_of(rows, body)
    except (DecodeError, KeyError, ValueError, TypeError) as error:
        return bad(f"{type(error).__name__} {error}")
    return Success(kept) if intact(data, kept) else bad("is not as it was written")


def intact(data: bytes, kept: PersistentState) -> bool:
    """Whether nothing else could have been written; the digest is part of it."""
    return packed(kept) == data


def write_file(path: Path, kept: PersistentState) -> Result[None, Fault]:
    """Whole and synced, or nothing; a file that is there stays."""
    made = path.with_name(f"{path.name}.new")
    try:
        if path.exists():
            return bad("exists already")
        made.write_bytes(packed(kept))
        sync(made)
        made.replace(path)
        sync(path.parent)
        return Success(None)
    except OSError as error:
        return bad(error.strerror or str(error))
    finally:
        made.unlink(missing_ok=True)


def read_file(path: Path) -> Result[PersistentState, Fault]:
    try:
        return unpacked(path.read_bytes())
    except OSError as error:
        return bad(error.strerror or str(error))


def bring_in(folder: Path, floor: PersistentState) -> Result[None, Fault]:
    """Into a folder that is empty or absent: whole and synced, or nothing."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            return bad("is not empty")
        create(folder, lambda link: Store(folder, link).write(link, floor, (IMPORTED,)))
        return Success(None)
    except (OSError, sqlite3.Error) as error:
        return bad(getattr(error, "strerror", None) or str(error))


def bad(text: str) -> Failure[Fault]:
    return Failure(Fault(Kind.BAD_STORE, text))
