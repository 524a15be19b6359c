"""Schemas as code: the one place of a form's structure is its schema, and this holds a tree to it.

fastjsonschema makes Python code of a schema. That takes 60 ms of processor, so the build writes the code down
once (`compiling.py`) and a process only imports it. Where that has not been done, or was done for another
schema, the code is made when it is first needed.

In the schemas two keywords serve refusals: `refusals` gives, by rule, the whole text; of a value that is
`writeOnly` nothing is shown.
"""

from __future__ import annotations

import functools
import importlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from vetchusher.fields import FieldError, shown

from .schemas import PACKAGE, MisfitError, digest, schema_of

SAID = {"number": "number", "integer": "whole number", "string": "text", "array": "list", "object": "object"}


@dataclass(slots=True, frozen=True)
class Form:
    """:param names: all names of fields that the schema knows
    :param definitions: parts of the schema, as far as a refusal needs them
    """

    names: frozenset[str]
    definitions: tuple[Mapping[str, Any], ...]
    validate: Callable[[Any, Mapping[str, Any], str], Any]

    def check(self, tree: Any, place: str) -> None:
        """:param place: of the whole tree
        :raises FieldError: one line that names the first place that is not as the schema says
        """
        try:
            self.validate(tree, {}, place)
        except MisfitError as err:
            text = refusal(err.value, err.name, self.definitions[err.definition], err.rule)
            raise FieldError(" ".join(text.split())) from None


def refusal(value: Any, name: str, definition: Mapping[str, Any], rule: str) -> str:
    told = "this" if definition.get("writeOnly") else shown(value)
    own = definition.get("refusals", {}).get(rule)
    if own is not None:
        return str(own).replace("{name}", name, 1).replace("{value}", told, 1)
    if rule == "required":
        return f"{name}.{next(f for f in definition['required'] if f not in value)}: is missing"
    if rule == "type":
        kind = definition["type"]
        return f"{name}: {told} is no {SAID[kind if isinstance(kind, str) else kind[0]]}"
    if rule == "minLength":
        return f"{name}: is missing"
    if rule in ("minimum", "exclusiveMinimum", "maximum"):
        above = definition.get("exclusiveMinimum")
        least = f"at least {definition['minimum']:g}" if above is None else f"above {above:g}"
        return f"{name}: {told} is not {least} and at most {definition['maximum']:g}"
    if rule == "enum":
        return f"{name}: {told} is none of {', '.join(map(str, definition['enum']))}"
    return f"{name}: {told} is not as {rule} says"


@functools.cache
def form(name: str) -> Form:
    """The form of `name.schema.json` beside this file."""
    schema = schema_of(name)
    try:
        found = vars(importlib.import_module(f"{PACKAGE}.{name}"))
    except ImportError:
        found = {}
    # Danger: code that an older build wrote down would hold settings to older rules.
    if found.get("SCHEMA") != digest(schema):
        from .compiling import source_of

        found = {}
        exec(compile(source_of(schema), name, "exec"), found)
    return Form(found["NAMES"], found["DEFINITIONS"], found["validate"])
