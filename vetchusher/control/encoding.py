"""What a machine keeps, as small named rows and the configuration's body.

Each field of `PersistentState` is a row of its name; the configuration goes apart, in chunks.  A new
field of `PersistentState` with a default needs nothing here: folders without its row load with the default.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from collections.abc import Mapping
from typing import Any

from blake3 import blake3
from google.protobuf.message import Message

from .messages import PersistentState
from .state import changed

STATE = "state"
MANIFEST = "manifest"  # names of the configuration's chunks, in their order
SEAL = "seal"  # over all other rows: one of another save shows


def cells_of(kept: PersistentState) -> tuple[dict[str, bytes], bytes]:
    """Rows by name, and the body of the configuration."""
    rows = {}
    for field in dataclasses.fields(kept):
        value = getattr(kept, field.name)
        if value is not None and field.name != STATE:
            rows[field.name] = raw_of(value)
    head, body = changed(kept.state), kept.state.configuration
    head.configuration, head.configuration_left_out = b"", True
    rows[STATE] = head.SerializeToString(deterministic=True)
    return rows, body


def kept_of(rows: Mapping[str, bytes], body: bytes) -> PersistentState:
    """:raises ValueError, DecodeError, KeyError, TypeError: rows that no `cells_of` made"""
    hints = typing.get_type_hints(PersistentState)
    names = {field.name for field in dataclasses.fields(PersistentState)}
    found = {name: value_of(hints[name], raw) for name, raw in rows.items() if name in names}
    state = changed(found[STATE])
    state.configuration, state.configuration_left_out = body, False
    return PersistentState(**{**found, STATE: state})


def raw_of(value: Any) -> bytes:
    match value:
        case Message():
            return bytes(value.SerializeToString(deterministic=True))
        case int():
            return b"%d" % value
        case str():
            return value.encode()
        case bytes():
            return value
    raise TypeError(f"no row is made of {type(value).__name__}")


def value_of(hint: Any, raw: bytes) -> Any:
    """:param hint: the field's type; of one that may be None its other half counts"""
    if isinstance(hint, types.UnionType):
        hint = next(part for part in typing.get_args(hint) if part is not types.NoneType)
    if hint is bytes:
        return raw
    if hint is str:
        return raw.decode()
    return bool(int(raw)) if hint is bool else int(raw) if hint is int else hint.FromString(raw)


def check_of(name: str, value: bytes) -> bytes:
    """What stands beside a row so that a torn or foreign one shows; 16 bytes."""
    return blake3(name.encode() + b"\0" + value).digest(16)


def seal_of(checks: Mapping[str, bytes]) -> bytes:
    """:param checks: of all rows but the seal"""
    told = b"".join(name.encode() + b"\0" + check for name, check in sorted(checks.items()))
    return blake3(told).digest(16)
