"""The schema files, their digests, and the error of compiled code: shared by `compiled` and `compiling`."""

from __future__ import annotations

import hashlib
import pathlib
from typing import Any

HERE = pathlib.Path(__file__).parent
PACKAGE = "vetchusher_forms"  # of the code that the build writes down


class MisfitError(ValueError):
    """A value that a schema does not allow, as the compiled code raises it.

    :param name: its place
    :param definition: number of the part of the schema that holds the rule
    """

    def __init__(self, value: Any, name: str, definition: int, rule: str) -> None:
        super().__init__(name)
        self.value, self.name, self.definition, self.rule = value, name, definition, rule


def digest(schema: bytes) -> str:
    return hashlib.blake2b(schema, digest_size=16).hexdigest()


def schema_of(name: str) -> bytes:
    return (HERE / f"{name}.schema.json").read_bytes()
