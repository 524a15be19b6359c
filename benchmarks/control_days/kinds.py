"""Which kinds of trouble may come on a deployment, as the bench's `kinds` command lists them."""

from __future__ import annotations

import re
import subprocess
from dataclasses import dataclass

LATER_HEADING = "these may come too:"
KIND_LINE = re.compile(r"^([a-z][a-z_]*): ")


@dataclass(slots=True, frozen=True)
class ListedKinds:
    """Kinds of trouble of a deployment.

    :param named: those that its site file names
    :param further: those that its contracts allow besides
    """

    named: frozenset[str]
    further: frozenset[str]

    @property
    def all(self) -> frozenset[str]:
        return self.named | self.further


def parse_kinds(page: str) -> ListedKinds:
    """Read the output of `kinds`: a preface, a line a kind, a heading, and a line for each further kind."""
    before, _, after = page.partition(LATER_HEADING)
    return ListedKinds(_names(before), _names(after))


def _names(text: str) -> frozenset[str]:
    return frozenset(match[1] for line in text.splitlines() if (match := KIND_LINE.match(line)))


def listed_kinds(bench: str, site: str) -> ListedKinds:
    """Ask the bench.

    :param bench: the program
    :param site: path of the site file
    """
    command = [bench, "kinds", site]
    printed = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    return parse_kinds(printed)
