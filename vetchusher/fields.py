"""Reads fields of a JSON tree by type and range, and names the place of the first one that cannot be used.

Standard library only, and no schema: every start of an ingress and every instance of the adapter reads its
settings, and loading a schema library would cost more than all the rest of the reading.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

T = TypeVar("T")
MOST = 1e15  # of any number: microseconds of thirty years
SHOWN = 40  # characters of a value that a message quotes


class FieldError(ValueError):
    """A field cannot be used; the text is one plain line that begins with its place."""


class Fields:
    """One object of the tree and its place in it, such as `settings.classes[0]`.

    A field that is absent or null has its default; one without a default must be there. Unknown fields are
    never looked at.
    """

    def __init__(self, tree: Any, place: str) -> None:
        if not isinstance(tree, dict):
            raise FieldError(f"{place}: {shown(tree)} is no object")
        self.tree: dict[str, Any] = tree
        self.place = place

    def fault(self, name: str, text: str) -> FieldError:
        return FieldError(f"{self.place}.{name}: {text}")

    def value(self, name: str) -> Any:
        return self.tree.get(name)

    def number(
        self,
        name: str,
        default: float | None = None,
        least: float = 0.0,
        most: float = MOST,
        above: bool = False,
    ) -> float:
        """A finite number from `least` (or above it) to `most`."""
        value = self.value(name)
        if value is None:
            if default is None:
                raise self.fault(name, "is missing")
            return default
        if type(value) is not int and not (type(value) is float and math.isfinite(value)):
            raise self.fault(name, f"{shown(value)} is no number")
        if value < least or (above and value == least) or value > most:
            bound = f"above {least:g}" if above else f"at least {least:g}"
            raise self.fault(name, f"{shown(value)} is not {bound} and at most {most:g}")
        return float(value)

    def whole(self, name: str, default: int | None = None, least: int = 0, most: float = MOST) -> int:
        """A whole number, or one with decimals cut to its whole part."""
        return int(self.number(name, default, least, most))

    def positive(self, name: str, default: int) -> int:
        """The same, where nothing (0) stands for the default."""
        return self.whole(name, default) or default

    def flag(self, name: str, default: bool = False) -> bool:
        value = self.value(name)
        if value is None:
            return default
        if not isinstance(value, bool) and value not in (0, 1):
            raise self.fault(name, f"{shown(value)} is neither true nor false")
        return bool(value)

    def text(self, name: str, default: str = "") -> str:
        value = self.value(name)
        if value is None:
            return default
        if not isinstance(value, str):
            raise self.fault(name, f"{shown(value)} is no text")
        return value

    def choice(self, name: str, known: Mapping[str, T], default: str | None = None) -> T:
        value = self.value(name)
        value = default if value is None else value
        if value is None:
            raise self.fault(name, "is missing")
        if not isinstance(value, str) or value not in known:
            raise self.fault(name, f"{shown(value)} is none of {', '.join(known)}")
        return known[value]

    def object(self, name: str) -> Fields:
        value = self.value(name)
        return Fields({} if value is None else value, f"{self.place}.{name}")

    def list(self, name: str, needed: bool = False) -> list[Any]:
        value = self.value(name)
        if value is None and needed:
            raise self.fault(name, "is missing")
        if value is not None and not isinstance(value, list):
            raise self.fault(name, f"{shown(value)} is no list")
        return value or []

    def objects(self, name: str, needed: bool = False) -> Iterator[Fields]:
        for number, item in enumerate(self.list(name, needed)):
            yield Fields(item, f"{self.place}.{name}[{number}]")

    def texts(self, name: str) -> tuple[str, ...]:
        items = self.list(name)
        for number, item in enumerate(items):
            if not isinstance(item, str):
                raise FieldError(f"{self.place}.{name}[{number}]: {shown(item)} is no text")
        return tuple(items)


def shown(value: object) -> str:
    """A value as a message quotes it: short, and on one line."""
    text = repr(value)
    return text if len(text) <= SHOWN else text[:SHOWN] + "..."
