"""The rows of a stored or exported state: a small row for each field, and the configuration's body apart.

Each field of `PersistentState` is one row. `STORED_NAMES` maps fields to names of rows, so that fields can be
renamed without a change of files and exports. A new field with a default value needs no change here: a folder
without its row loads with the default.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Mapping
from typing import Any, NamedTuple

from blake3 import blake3
from google.protobuf.message import Message

from .messages import PersistentState
from .state_copy import copy_state

STATE = "state"
MANIFEST = "manifest"  # row with the digests of the configuration's chunks, in their order
SEAL = "seal"  # row with a checksum over all other rows, which detects rows of different saves
CHECKSUM_BYTES = 16

# Maps fields of `PersistentState` to names of rows. The names are a file format and never change.
STORED_NAMES = {
    "voted_epoch": "promised",
    "state": STATE,
    "voted_for": "owner",
    "replica_set": "record",
    "has_copy": "copy",
}


class EncodedState(NamedTuple):
    """An encoded state.

    :param rows: small rows, by name
    :param body: bytes of the configuration
    """

    rows: dict[str, bytes]
    body: bytes


def encode_rows(contents: PersistentState) -> EncodedState:
    """Encode a state; the row `STATE` does not contain the configuration.

    :raises TypeError: there is no encoding for the type of a field
    """
    rows = {}
    for field in dataclasses.fields(contents):
        value = getattr(contents, field.name)
        if value is not None and field.name != STATE:
            rows[stored_name(field.name)] = encode_value(value)
    state, body = copy_state(contents.state), contents.state.configuration
    state.configuration, state.configuration_left_out = b"", True
    rows[STATE] = state.SerializeToString(deterministic=True)
    return EncodedState(rows, body)


def decode_rows(rows: Mapping[str, bytes], body: bytes) -> PersistentState:
    """Decode the result of `encode_rows`; rows with unknown names are ignored.

    :raises ValueError, DecodeError, KeyError, TypeError: the rows were not made by `encode_rows`
    """
    hints = typing.get_type_hints(PersistentState)
    names = [field.name for field in dataclasses.fields(PersistentState)]
    values = {
        name: decode_value(hints[name], rows[stored_name(name)])
        for name in names
        if stored_name(name) in rows
    }
    state = copy_state(values[STATE])
    state.configuration, state.configuration_left_out = body, False
    return PersistentState(**{**values, STATE: state})


def stored_name(field: str) -> str:
    """Return the name of the row that holds a field of `PersistentState`."""
    return STORED_NAMES.get(field, field)


def encode_value(value: Any) -> bytes:
    """Return the bytes of one field's value.

    :raises TypeError: there is no encoding for a value of this type
    """
    match value:
        case Message():
            return bytes(value.SerializeToString(deterministic=True))
        case int():
            return b"%d" % value
        case str():
            return value.encode()
        case bytes():
            return value
    raise TypeError(f"there is no encoding for the type {type(value).__name__}")


def decode_value(hint: Any, raw: bytes) -> Any:
    """Decode one field's value by the field's type; of an optional type, by the type that is not None.

    :raises ValueError, DecodeError: the bytes are malformed
    """
    if isinstance(hint, types.UnionType):
        hint = next(part for part in typing.get_args(hint) if part is not types.NoneType)
    if hint is bytes:
        return raw
    if hint is str:
        return raw.decode()
    if hint is bool:
        return bool(int(raw))
    return int(raw) if hint is int else hint.FromString(raw)


def row_checksum(name: str, value: bytes) -> bytes:
    """Return the checksum that is stored with a row.

    It covers the name as well, so that the value of another row is detected.
    """
    return blake3(name.encode() + b"\0" + value).digest(CHECKSUM_BYTES)


def seal_checksum(checksums: Mapping[str, bytes]) -> bytes:
    """Return the value of the row `SEAL`, from the checksums of all other rows by name."""
    rows = b"".join(name.encode() + b"\0" + checksum for name, checksum in sorted(checksums.items()))
    return blake3(rows).digest(CHECKSUM_BYTES)
