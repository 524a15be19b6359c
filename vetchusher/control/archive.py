"""Export of a state to one file, and import of such a file into an empty folder.

An import contains no votes. A process that starts on an imported folder neither votes nor has a copy until it
has recovered from the other control nodes (`amnesia.py`): as far as these are intact, their state is used.
Only if none is intact, the system starts from the imported state instead of an empty one, in epochs that no
process has used before.
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
    """Return the bytes of an export.

    They are a line with the format, a line with a digest of all bytes that follow, and the rows.
    """
    rows, body = encode_rows(contents)
    export = SourceNews(source="control", whole=True, stamp=contents.state.stamp)
    export.rows.extend(Row(key=name, value=value) for name, value in {**rows, BODY_ROW: body}.items())
    raw = export.SerializeToString(deterministic=True)
    return EXPORT_PREFIX + b"%d\n" % EXPORT_FORMAT + blake3(raw).hexdigest().encode() + b"\n" + raw


def decode_export(data: bytes) -> Result[PersistentState, Error]:
    """Return the contents of an export; a change of any byte is a failure with one line of text."""
    header, _, remainder = data.partition(b"\n")
    if not header.startswith(EXPORT_PREFIX) or not header.removeprefix(EXPORT_PREFIX).isdigit():
        return failure("is not an export of this system")
    version = int(header.removeprefix(EXPORT_PREFIX))
    if version > EXPORT_FORMAT:
        return failure(f"format {version} is newer than {EXPORT_FORMAT}")
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
    """Return whether an export of the contents has exactly these bytes, including the digest."""
    return encode_export(contents) == data


def write_export(path: Path, contents: PersistentState) -> Result[None, Error]:
    """Write a complete export and sync it, or write nothing; an existing file is not overwritten."""
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
    """Read an export from a file."""
    try:
        return decode_export(path.read_bytes())
    except OSError as error:
        return failure(error.strerror or str(error))


def import_into(folder: Path, imported_state: PersistentState) -> Result[None, Error]:
    """Write a complete imported state into an empty or absent folder and sync it, or write nothing."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.iterdir()):
            return failure("is not empty")
        create_database(
            folder,
            lambda connection: Store(folder, connection).write(connection, imported_state, (IMPORTED_ROW,)),
        )
        return Success(None)
    except (OSError, sqlite3.Error) as error:
        return failure(getattr(error, "strerror", None) or str(error))


def failure(text: str) -> Failure[Error]:
    """Return a failure with the code `STORAGE_ERROR`."""
    return Failure(Error(ErrorCode.STORAGE_ERROR, text))
