"""Schema files, their digests, and the exception that generated validators raise.

Both `compiled` and `compiling` use this module.
"""

from __future__ import annotations

import hashlib
import pathlib
from typing import Any

SCHEMA_DIRECTORY = pathlib.Path(__file__).parent
GENERATED_PACKAGE = "vetchusher_forms"  # package of the validators that the build generates


class MisfitError(ValueError):
    """A value violates a schema; raised by the generated validators, which refer to this class by name.

    :param value: the offending value
    :param name: path of the value in the document
    :param definition: index of the subschema with the violated rule in the validator's `DEFINITIONS`
    :param rule: the violated JSON Schema keyword
    """

    def __init__(self, value: Any, name: str, definition: int, rule: str) -> None:
        """Store the details; the exception's text is the path of the value."""
        super().__init__(name)
        self.value, self.name, self.definition, self.rule = value, name, definition, rule


def schema_digest(schema: bytes) -> str:
    """Return the hexadecimal digest that ties a generated validator to the schema it was generated from."""
    return hashlib.blake2b(schema, digest_size=16).hexdigest()


def read_schema(name: str) -> bytes:
    """Return the content of `NAME.schema.json` in this directory.

    :raises OSError: if the file cannot be read
    """
    return (SCHEMA_DIRECTORY / f"{name}.schema.json").read_bytes()
