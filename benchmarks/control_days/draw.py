"""Days of a deployment, drawn from a seed, and their files.

A day borrows its traffic, floors and marks from the site file, as it stands when the day is drawn; nothing of
that file is kept.
"""

from __future__ import annotations

import json
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .scenes import (
    FIRST_S,
    HALVES_SCENES,
    LAST_ENTRY_S,
    REPLACEMENT_SCENES,
    SCENES,
    Deployment,
    Entry,
    Scene,
    Timeline,
    choices_of,
    several,
)
from .shuffled import ShuffledCycle
from .variants import CLOSINGS, Closing, variants_of

DayFile = dict[str, Any]
CORE_CLASS = "core"
DOWN_S = (0.5, 1.6)  # how long a closing fault lasts


@dataclass(slots=True, frozen=True)
class Request:
    """What is to be drawn.

    :param kinds: of trouble that may come on the deployment
    :param traffic: part of the borrowed day's requests
    :param replacement: every day has the replacement of a core machine
    :param halves: every day has the core cut into two halves
    """

    kinds: frozenset[str]
    count: int
    seed: int
    traffic: float
    replacement: bool = False
    halves: bool = False

    def scenes(self) -> tuple[Scene, ...]:
        """The scenes that a day may begin with."""
        if self.halves:
            return HALVES_SCENES
        return REPLACEMENT_SCENES if self.replacement else SCENES


def deployment_of(site: Mapping[str, Any]) -> Deployment:
    zones = tuple(zone["name"] for zone in site["zones"])
    core_zones = tuple(one["zone"] for one in site["machines"] if one["class"] == CORE_CLASS)
    return Deployment(site["tolerate"]["machines"], site["timing"]["catch_up_s"], zones, core_zones)


def drawn_days(site: Mapping[str, Any], request: Request) -> Iterator[DayFile]:
    """Days of a site, each with a name; the same request gives the same days.

    :param site: the site file as read
    """
    rng = random.Random(f"{site['name']} {request.seed} {request.replacement}")
    variants = variants_of(request.kinds, site["config"]["invalid"])
    choices = choices_of(rng, deployment_of(site), variants)
    scenes = ShuffledCycle(rng, request.scenes())
    closings = ShuffledCycle(rng, CLOSINGS)
    borrowed = [day for day in site["day"] if day["slot"] == "trouble"]
    for number in range(request.count):
        timeline = Timeline([], FIRST_S)
        scenes.draw()(choices, timeline)
        several(choices, timeline)
        day = borrowed_day(rng.choice(borrowed), request.traffic)
        day["name"] = f"control-{request.seed}-{number + 1}"
        day["seed"] = rng.randrange(1, 1 << 28)
        put_entries(day, timeline.entries, closings.draw(), rng)
        yield day


def borrowed_day(day: Mapping[str, Any], traffic: float) -> DayFile:
    """A day of the site without its troubles, with part of its traffic."""
    kept = {name: held for name, held in day.items() if name != "closing"}
    kept["traffic"] = [one | {"per_s": round(one["per_s"] * traffic, 2)} for one in day["traffic"]]
    return kept


def put_entries(day: DayFile, entries: Sequence[Entry], closing: Closing, rng: random.Random) -> None:
    """Put entries into a day: planned work and troubles, each in order of time, and its closing fault.

    What begins after the day's traffic has nearly ended is left out.
    """
    ordered = sorted((one for one in entries if one.at <= LAST_ENTRY_S), key=lambda entry: entry.at)
    day["faults"] = [entry_fields(entry) for entry in ordered if not entry.variant.planned]
    day["plan"] = [entry_fields(entry) for entry in ordered if entry.variant.planned]
    if closing.kind:
        day["closing"] = {"kind": closing.kind, "how": closing.how, "down_s": round(rng.uniform(*DOWN_S), 2)}


def entry_fields(entry: Entry) -> DayFile:
    """An entry as its line in a day file."""
    variant = entry.variant
    return {
        "at": entry.at,
        "kind": variant.kind,
        "how": variant.how,
        **dict(variant.fields),
        **dict(entry.fields),
    }


def written(day: Mapping[str, Any]) -> str:
    """The day as TOML; its tables stand inside lines, as the users write them."""
    return "".join(f"{name} = {_value(held)}\n" for name, held in day.items())


def _value(held: object) -> str:
    if isinstance(held, Mapping):
        return "{ " + ", ".join(f"{name} = {_value(inner)}" for name, inner in held.items()) + " }"
    if isinstance(held, list):
        return "[" + ", ".join(map(_value, held)) + "]"
    return json.dumps(held)
