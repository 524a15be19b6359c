"""Reads fields of a JSON tree by type and range, and names the place of the first one that cannot be used.

It uses the standard library only and no schema: every ingress and every instance of the adapter reads its
settings at its start, and loading a schema library would take longer than the rest of the reading.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

T = TypeVar("T")
MAX_NUMBER = 1e15  # 30 years in microseconds
MAX_SHOWN_CHARS = 40  # of a value quoted in a message


class FieldError(ValueError):
    """A field cannot be used; the text is one line that starts with its place."""


class Fields:
    """One object of the tree and its place in it, such as `settings.classes[0]`.

    A field that is absent or null takes its default; one without a default is required. Unknown fields are
    ignored. All methods that read a field raise `FieldError` if it cannot be used.
    """

    def __init__(self, tree: Any, path: str) -> None:
        """Wrap a JSON object.

        :param path: its place, for messages
        :raises FieldError: if `tree` is not an object
        """
        if not isinstance(tree, dict):
            raise FieldError(f"{path}: {quoted_value(tree)} is no object")
        self.tree: dict[str, Any] = tree
        self.path = path

    def error(self, name: str, text: str) -> FieldError:
        """Return the error for a field of this object; the caller raises it."""
        return FieldError(f"{self.path}.{name}: {text}")

    def value(self, name: str) -> Any:
        """Return a field unchecked, or None if it is absent."""
        return self.tree.get(name)

    def number(
        self,
        name: str,
        default: float | None = None,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
        exclusive: bool = False,
    ) -> float:
        """Return a finite number from `minimum` to `maximum`; `exclusive` excludes the minimum itself."""
        value = self.value(name)
        if value is None:
            if default is None:
                raise self.error(name, "is missing")
            return default
        if type(value) is not int and not (type(value) is float and math.isfinite(value)):
            raise self.error(name, f"{quoted_value(value)} is no number")
        if value < minimum or (exclusive and value == minimum) or value > maximum:
            bound = f"above {minimum:g}" if exclusive else f"at least {minimum:g}"
            raise self.error(name, f"{quoted_value(value)} is not {bound} and at most {maximum:g}")
        return float(value)

    def integer(
        self, name: str, default: int | None = None, minimum: int = 0, maximum: float = MAX_NUMBER
    ) -> int:
        """Return a number truncated to an integer."""
        return int(self.number(name, default, minimum, maximum))

    def positive(self, name: str, default: int) -> int:
        """Return a number truncated to an integer, or the default if that is 0."""
        return self.integer(name, default) or default

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a boolean; 0 and 1 are accepted too."""
        value = self.value(name)
        if value is None:
            return default
        if not isinstance(value, bool) and value not in (0, 1):
            raise self.error(name, f"{quoted_value(value)} is neither true nor false")
        return bool(value)

    def text(self, name: str, default: str = "") -> str:
        """Return a string."""
        value = self.value(name)
        if value is None:
            return default
        if not isinstance(value, str):
            raise self.error(name, f"{quoted_value(value)} is no text")
        return value

    def choice(self, name: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """Return the value of `choices` whose key is the field's string."""
        value = self.value(name)
        value = default if value is None else value
        if value is None:
            raise self.error(name, "is missing")
        if not isinstance(value, str) or value not in choices:
            raise self.error(name, f"{quoted_value(value)} is none of {', '.join(choices)}")
        return choices[value]

    def object(self, name: str) -> Fields:
        """Return an object; an absent one is empty."""
        value = self.value(name)
        return Fields({} if value is None else value, f"{self.path}.{name}")

    def list(self, name: str, required: bool = False) -> list[Any]:
        """Return a list; an absent one is empty, unless it is required."""
        value = self.value(name)
        if value is None and required:
            raise self.error(name, "is missing")
        if value is not None and not isinstance(value, list):
            raise self.error(name, f"{quoted_value(value)} is no list")
        return value or []

    def objects(self, name: str, required: bool = False) -> Iterator[Fields]:
        """Yield the objects of a list."""
        for number, item in enumerate(self.list(name, required)):
            yield Fields(item, f"{self.path}.{name}[{number}]")

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings."""
        items = self.list(name)
        for number, item in enumerate(items):
            if not isinstance(item, str):
                raise FieldError(f"{self.path}.{name}[{number}]: {quoted_value(item)} is no text")
        return tuple(items)


def quoted_value(value: object) -> str:
    """Return a value as messages quote it: on one line, cut to MAX_SHOWN_CHARS."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
