"""Reads one settings file and holds it to its JSON Schema (draft 2020-12)."""

from __future__ import annotations

import json
import pathlib
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import best_match

from .errors import SettingsError

SCHEMAS = pathlib.Path(__file__).parent.parent.parent / "deploy"
MOST_BYTES = 1 << 20
MOST_TEXT = 300  # characters of a message: it quotes what the file says


def no_twins(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Danger: of two values under one name a reader may mean the first, and the program takes the last."""
    found = dict(pairs)
    if len(found) < len(pairs):
        twice = next(name for name, _ in pairs if sum(name == other for other, _ in pairs) > 1)
        raise ValueError(f"{twice!r} stands there twice")
    return found


def no_constants(name: str) -> None:
    raise ValueError(f"{name} is no number of JSON's")


def read_document(path: str, schema: str) -> dict[str, Any]:
    """The file's content, if its schema allows it.

    :param schema: name of the schema file in deploy/
    :raises SettingsError: with the path of the first value at fault
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}") from None
    if len(raw) > MOST_BYTES:
        raise SettingsError(f"{path}: {len(raw)} bytes are too many")
    try:
        tree = json.loads(raw, object_pairs_hook=no_twins, parse_constant=no_constants)
    except (ValueError, RecursionError) as err:
        raise SettingsError(f"{path}: {' '.join(str(err).split())[:MOST_TEXT]}") from None
    fault = misfit(tree, SCHEMAS / schema)
    if fault is not None:
        raise SettingsError(f"{path}: {fault}")
    assert isinstance(tree, dict)  # every schema of ours says so
    return tree


def misfit(tree: Any, schema: pathlib.Path) -> str | None:
    """The place of the first value that the schema does not allow, and why; None: it allows the tree."""
    rules = json.loads(schema.read_bytes())
    fault = best_match(Draft202012Validator(rules).iter_errors(tree))
    if fault is None:
        return None
    place = fault.json_path.removeprefix("$").removeprefix(".") or "the whole"
    return f"{place}: {' '.join(fault.message.split())[:MOST_TEXT]}"
