"""What the bench's report says of a day."""

from __future__ import annotations

import json
import pathlib
import re
from dataclasses import dataclass
from typing import Any

from .variants import CORE_ROWS, TRAFFIC_ROWS

NEAR_S = 8.0  # a trouble that begins so soon after another's end makes an ordered pair with it
KIND_AND_HOW = re.compile(r"^(\w+)(?: \((.*)\))?$")
CORE_KINDS = frozenset(row.kind for row in CORE_ROWS)
SHARED_KINDS = CORE_KINDS & {row.kind for row in TRAFFIC_ROWS}  # of the core or of ingresses
CORE_MACHINE = re.compile(r"\bcore-")


@dataclass(slots=True, frozen=True)
class Event:
    """A trouble as it was played; the bench may have made it wait.

    :param core: it struck machines of the core, or what the core depends on
    """

    start: float
    end: float
    kind: str
    how: str
    core: bool

    @property
    def name(self) -> str:
        place = "core" if self.core and self.kind in SHARED_KINDS else ""
        return " ".join(word for word in (self.kind, place, self.how) if word)

    @staticmethod
    def of(told: dict[str, Any]) -> Event:
        """Read an event of a report."""
        match = KIND_AND_HOW.match(told["kind"].strip())
        kind, how = (match[1], match[2] or "") if match else (told["kind"], "")
        on_core = kind not in SHARED_KINDS or bool(CORE_MACHINE.search(told["what"]))
        return Event(told["at_s"], told["to_s"], kind, how.strip(), kind in CORE_KINDS and on_core)


@dataclass(slots=True, frozen=True)
class Outcome:
    """A day's verdict and figures.

    :param rules: broken, with how often; `FAULT` where the program itself ended the day
    :param short: what it fell short of at the gate
    :param missed: orders without an acknowledgement
    :param worth: earned of what was owed, over the whole day
    :param worst: the same in the two worst windows
    :param acknowledged_ms: the longest time from a change of configuration to its acknowledgement
    :param after_kill_ms: the longest time from the kill of a core machine to the next acknowledgement
    """

    rules: dict[str, int]
    short: list[str]
    missed: int
    worth: float
    worst: float
    acknowledged_ms: float | None
    after_kill_ms: float | None
    events: tuple[Event, ...]

    def core_pairs(self) -> list[tuple[str, str]]:
        """Kinds of troubles of the core that followed each other closely, in their order."""
        core = sorted((one for one in self.events if one.core), key=lambda one: one.start)
        return [
            (first.kind, second.kind)
            for place, first in enumerate(core)
            for second in core[place + 1 :]
            if second.start <= first.end + NEAR_S
        ]


def read_outcome(report: pathlib.Path) -> Outcome | None:
    """The outcome of a day; None if there is no report."""
    if not report.exists():
        return None
    told = json.loads(report.read_text())
    parts = {name: part for name, _, part in told["parts"]}
    prices = {name: amount for name, amount, _ in told["prices"]}
    return Outcome(
        told["breaks"] | ({"FAULT": 1} if told["fault"] else {}),
        [str(one) for one in told["short"]],
        int(prices.get("duties missed", 0)),
        parts.get("whole day", 0.0),
        parts.get("worst windows", 0.0),
        _worst(told["times"].get("config acked")),
        _worst(told["times"].get("next ack after a core kill")),
        tuple(Event.of(event) for event in told["events"]),
    )


def _worst(spread: list[float] | None) -> float | None:
    """The second of a median and a maximum."""
    return spread[1] if spread else None
