"""Reads a JSON settings file and validates it against its JSON Schema (draft 2020-12)."""

from __future__ import annotations

import json
import pathlib
from typing import Any

from jsonschema import Draft202012Validator
from jsonschema.exceptions import best_match

from .errors import SettingsError

SCHEMA_DIRECTORY = pathlib.Path(__file__).parent.parent.parent / "deploy"
MAX_FILE_BYTES = 1 << 20
MAX_MESSAGE_CHARACTERS = 300  # an error message quotes the file's content, which may be long


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Build a JSON object, and reject one that repeats a key.

    The parser would silently use the last value of a repeated key, while a reader of the file may rely on the
    first.

    :raises ValueError: if a key is repeated
    """
    members = dict(pairs)
    if len(members) < len(pairs):
        duplicate = next(name for name, _ in pairs if sum(name == other for other, _ in pairs) > 1)
        raise ValueError(f"{duplicate!r} stands there twice")
    return members


def reject_non_finite(name: str) -> None:
    """Reject NaN and the infinities, which Python's parser accepts and JSON does not have.

    :raises ValueError: always
    """
    raise ValueError(f"{name} is no number of JSON's")


def read_document(path: str, schema: str) -> dict[str, Any]:
    """Return the content of a JSON file that conforms to its schema.

    :param schema: name of the schema file in deploy/
    :raises SettingsError: with the file and the path of the first invalid value
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise SettingsError(f"{path}: {len(raw)} bytes exceed the size limit")
    try:
        tree = json.loads(raw, object_pairs_hook=reject_duplicate_keys, parse_constant=reject_non_finite)
    except (ValueError, RecursionError) as err:
        raise SettingsError(f"{path}: {' '.join(str(err).split())[:MAX_MESSAGE_CHARACTERS]}") from None
    violation = first_violation(tree, SCHEMA_DIRECTORY / schema)
    if violation is not None:
        raise SettingsError(f"{path}: {violation}")
    assert isinstance(tree, dict)  # every schema in deploy/ requires an object at the top level
    return tree


def first_violation(tree: Any, schema: pathlib.Path) -> str | None:
    """Return the path of the first value that violates the schema, and why; None if the tree conforms."""
    rules = json.loads(schema.read_bytes())
    violation = best_match(Draft202012Validator(rules).iter_errors(tree))
    if violation is None:
        return None
    path = violation.json_path.removeprefix("$").removeprefix(".") or "the whole"
    return f"{path}: {' '.join(violation.message.split())[:MAX_MESSAGE_CHARACTERS]}"
