"""Export of a state as one file, and import of such a file into an empty folder.

An import brings no votes. A process that starts on it votes for nothing and holds nothing until it has
recovered from the others (`amnesia.py`): as far as they are intact, they are followed. Only where nobody is,
the system begins anew, from the imported state instead of from nothing, in epochs that no process has ever
seen.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from blake3 import blake3
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import Row, SourceNews
from vetchusher.errors import Error, ErrorCode

from .database_file import create_database, fsync_path
from .encoding import decode_rows, encode_rows
from .messages import PersistentState
from .store import IMPORTED_ROW, Store

EXPORT_PREFIX = b"vetchusher comb export "
EXPORT_FORMAT = 1
BODY_ROW = "configuration"


def encode_export(contents: PersistentState) -> bytes:
    """Return the bytes of an export: a line with the format, a line with a digest of all that follows, and
    the rows.
    """
    rows, body = encode_rows(contents)
    export = SourceNews(source="control", whole=True, stamp=contents.state.stamp)
    export.rows.extend(Row(key=name, value=value) for name, value in {**rows, BODY_ROW: body}.items())
    raw = export.SerializeToString(deterministic=True)
    return EXPORT_PREFIX + b"%d\n" % EXPORT_FORMAT + blake3(raw).hexdigest().encode() + b"\n" + raw


def decode_export(data: bytes) -> Result[PersistentState, Error]:
    """Return what `encode_export` was given; any other byte anywhere is a failure of one line."""
    header, _, remainder = data.partition(b"\n")
    if not header.startswith(EXPORT_PREFIX) or not header.removeprefix(EXPORT_PREFIX).isdigit():
        return failure("is no export of this system")
    version = int(header.removeprefix(EXPORT_PREFIX))
    if version > EXPORT_FORMAT:
        return failure(f"form {version} is newer than {EXPORT_FORMAT}")
    _, _, raw = remainder.partition(b"\n")
    try:
        export = SourceNews.FromString(raw)
        rows = {row.key: row.value for row in export.rows}
        body = rows.pop(BODY_ROW)
        contents = decode_rows(rows, body)
    except (DecodeError, KeyError, ValueError, TypeError) as error:
        return failure(f"{type(error).__name__} {error}")
    return Success(contents) if is_intact(data, contents) else failure("is not as it was written")


def is_intact(data: bytes, contents: PersistentState) -> bool:
    """Return whether nothing else could have been written; the digest is part of it."""
    return encode_export(contents) == data


def write_export(path: Path, contents: PersistentState) -> Result[None, Error]:
    """Write an export completely and synced, or nothing; a file that exists stays."""
    temporary = path.with_name(f"{path.name}.new")
    try:
        if path.exists():
            return failure("exists already")
        temporary.write_bytes(encode_export(contents))
        fsync_path(temporary)
        temporary.replace(path)
        fsync_path(path.parent)
        return Success(None)
    except OSError as error:
        return failure(error.strerror or str(error))
    finally:
        temporary.unlink(missing_ok=True)


def read_export(path: Path) -> Result[PersistentState, Error]:
    """Read an export."""
    try:
        return decode_export(path.read_bytes())
    except OSError as error:
        return failure(error.strerror or str(error))


def import_into(folder: Path, imported_state: PersistentState) -> Result[None, Error]:
    """Write an imported state into a folder that is empty or absent: completely and synced, or nothing."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            return failure("is not empty")
        create_database(folder, lambda link: Store(folder, link).write(link, imported_state, (IMPORTED_ROW,)))
        return Success(None)
    except (OSError, sqlite3.Error) as error:
        return failure(getattr(error, "strerror", None) or str(error))


def failure(text: str) -> Failure[Error]:
    """Return a failure of the kind `BAD_STORE`."""
    return Failure(Error(ErrorCode.STORAGE_ERROR, text))
