"""The commands for data folders: check, inspect, export and import.

A folder is read from a temporary copy, because opening a store repairs it and creates files beside it. An
import creates a new folder.
"""

from __future__ import annotations

import json
import pathlib
import shutil
import tempfile
import time
from collections.abc import Callable
from typing import Any, TypeAlias, TypeVar

from returns.result import Failure, Result, Success

from vetchusher.control import PersistentState, Store, archive
from vetchusher.control.database_file import FILE_NAME, format_in_header
from vetchusher.control.digests import FAN_OUT
from vetchusher.control.imported_state import imported_state_of
from vetchusher.distribution.rows import digest
from vetchusher.errors import Error, ErrorCode
from vetchusher.settings.configuration import read_configuration

Found = TypeVar("Found")
Reader: TypeAlias = Callable[[Store | None, PersistentState | None, dict[str, int]], Found]


def check_folder(folder: str) -> Result[str, Error]:
    """Return one line that summarises a folder's contents."""
    return read_folder(folder, summary).map(
        lambda found: f"{folder}: {json.dumps(found) if found else 'nothing yet'}"
    )


def inspect_folder(folder: str) -> Result[str, Error]:
    """Return a summary of a folder's contents as indented JSON."""
    return read_folder(folder, summary).map(lambda found: json.dumps(found, indent=2))


def export_folder(folder: str, file: str) -> Result[str, Error]:
    """Write the state in a folder to a new file; return a line that describes it.

    STORAGE_ERROR if the folder holds no copy of the control state.
    """
    path = pathlib.Path(file)
    contents = read_contents(folder)
    if isinstance(contents, Failure):
        return contents
    found = contents.unwrap()
    if found is None:
        return Failure(Error(ErrorCode.STORAGE_ERROR, f"{folder}: nothing yet"))
    if not found.has_copy:
        return Failure(
            Error(
                ErrorCode.STORAGE_ERROR,
                f"{folder}: holds no copy; one of {', '.join(found.replica_set.copies)} does",
            )
        )
    state = found.state
    return with_path(file, archive.write_export(path, found)).map(
        lambda _: (
            f"{file}: r{state.version} at {state.stamp.epoch}.{state.stamp.seq}, {path.stat().st_size} bytes"
        )
    )


def import_file(file: str, folder: str) -> Result[str, Error]:
    """Create a data folder from an exported file; return a line that describes it."""
    contents = with_path(file, archive.read_export(pathlib.Path(file)).bind(check_configuration))
    if isinstance(contents, Failure):
        return contents
    imported_state = imported_state_of(contents.unwrap(), int(time.time()))
    return with_path(folder, archive.import_into(pathlib.Path(folder), imported_state)).map(
        lambda _: (
            f"{folder}: r{imported_state.state.version} as a floor, epochs from {imported_state.voted_epoch}"
        )
    )


def check_configuration(contents: PersistentState) -> Result[PersistentState, Error]:
    """Reject a state whose configuration is invalid: a system started from it could not serve requests."""
    if not contents.state.version:
        return Success(contents)
    return read_configuration(contents.state.configuration).map(lambda _: contents)


def with_path(path: str, outcome: Result[Found, Error]) -> Result[Found, Error]:
    """Prefix the text of an error with a path."""
    return outcome.alt(lambda fault: Error(fault.code, f"{path}: {fault.text}"))


def read_contents(folder: str) -> Result[PersistentState | None, Error]:
    """Return the state in a folder, stored or imported; None if there is none."""
    return read_folder(
        folder, lambda store, stored, files: stored or (store.imported_state if store else None)
    )


def read_folder(folder: str, read: Reader[Found]) -> Result[Found, Error]:
    """Open a copy of a folder's store and return what `read` returns for it.

    :param read: called with the open store, the state in it (None: there is none), and the sizes of the
        folder's files in bytes with the entry `format`; with None, None and {} if the folder is empty
    """
    try:
        if not any(pathlib.Path(folder).iterdir()):
            return Success(read(None, None, {}))
        if not (pathlib.Path(folder) / FILE_NAME).exists():
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"{folder}: there is no {FILE_NAME} in it"))
        with tempfile.TemporaryDirectory() as place:
            copy = shutil.copytree(folder, pathlib.Path(place) / "copy")
            files = {each.name: each.stat().st_size for each in copy.iterdir()}
            files["format"] = format_in_header(copy / FILE_NAME)
            return with_path(folder, Store.open(str(copy)).bind(lambda store: load_copy(store, read, files)))
    except (OSError, shutil.Error) as err:
        return Failure(Error(ErrorCode.STORAGE_ERROR, f"{folder}: {getattr(err, 'strerror', None) or err}"))


def load_copy(store: Store, read: Reader[Found], files: dict[str, int]) -> Result[Found, Error]:
    """Load a store, return what `read` returns for it, and close it."""
    try:
        return store.load().map(lambda stored: read(store, stored, files))
    finally:
        store.close()


def summary(
    store: Store | None, stored: PersistentState | None, files: dict[str, int]
) -> dict[str, Any] | None:
    """Return a summary of a folder's contents; None if it holds no state."""
    contents = stored or (store.imported_state if store is not None else None)
    if store is None or contents is None:
        return None
    state = contents.state
    return {
        "format": files.pop("format"),
        "imported": stored is None,
        "promised": contents.voted_epoch,
        "stamp": f"{state.stamp.epoch}.{state.stamp.seq}",
        "version": f"r{state.version}" if state.version else None,
        "bytes": len(state.configuration),
        "digest": digest(state.configuration) if state.configuration else None,
        "evacuations": {e.zone: f"{'on' if e.on else 'off'}, order {e.order}" for e in state.evacuations},
        "copy": contents.has_copy,
        "owner": contents.voted_for,
        "record": f"{contents.replica_set.epoch}.{contents.replica_set.number}",
        "copies": list(contents.replica_set.copies),
        "members": list(contents.replica_set.members),
        "chunks": len(store.chunk_digests),
        "ranges": range_digests(store),
        "files": files,
    }


def range_digests(store: Store) -> dict[str, str]:
    """Return the digests of the copy and of its sixteen ranges; empty without a copy."""
    if store.copy is None:
        return {}
    nodes = store.copy.tree.levels[1]
    return {"all": store.copy.tree.root.hex()} | {f"{n:x}": nodes[n].hex() for n in range(FAN_OUT)}
