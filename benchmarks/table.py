"""What the benchmarks have in common: one table a command, printed and kept as Markdown."""

from __future__ import annotations

import pathlib
import platform
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from docopt import docopt

Table = Callable[[Any], list[str]]


def keep_table(
    usage: str, tables: Mapping[str, Table], argv: list[str], name: str, bad: tuple[str, ...]
) -> int:
    """Make the table that the arguments name; 1 where a line of it holds one of the `bad` words.

    :param name: of the benchmark's module, for the title and the command to run it again
    """
    told = docopt(usage, argv)
    table = next(n for n in tables if told[n])
    lines = tables[table](told)
    print("\n".join(lines))
    if told["--keep"]:
        command = f"python -m benchmarks.{name} {' '.join(argv)}"
        title = f"# {name.capitalize()}: {table}\n\n`{command}`, Python {platform.python_version()}.\n"
        pathlib.Path(told["--keep"]).write_text("\n".join([title, *lines]) + "\n")
    return 1 if any(word in line for line in lines for word in bad) else 0


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table in Markdown."""
    lines: list[Sequence[object]] = [head, ["---"] * len(head), *rows]
    return ["| " + " | ".join(str(cell) for cell in line) + " |" for line in lines]


def seed_range(text: str) -> range:
    """Return the seeds of `FIRST..LAST`, or of `FIRST` alone."""
    first, _, last = text.partition("..")
    return range(int(first), int(last or first) + 1)
