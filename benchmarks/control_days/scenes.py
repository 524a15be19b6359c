"""Parts of a day: troubles that follow each other on purpose, at the moments that matter for the core."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from .shuffled import GroupedCycle, ShuffledCycle
from .variants import CHANGE_HOWS, Group, Value, Variant

FIRST_S, LAST_S = 1.5, 27.0  # of traffic: when troubles begin
APART_S = (0.8, 6.0)  # from the beginning of one trouble to that of the next, outside pairs
BEFORE_PAIR_S = (0.5, 3.0)
LENGTH_S = (0.5, 5.0)
LONG_CUT_S = (18.0, 25.0)
MANY_CHANGES = 190
LAST_ENTRY_S = 30.0
CHANGES_IN_HALVES = 4
CHAIN_LENGTHS = (2, 3, 3, 4)  # of troubles that begin with a replacement
SUCCESSOR_AFTER_S = (0.3, 1.0, 3.0, 8.0)  # from the end of a replaced machine to the start of the next
CLOCK_STEP_MS = (800.0, 2_500.0, 9_000.0)
WHOLE_ZONE_KINDS = ("evacuate", "cold_return", "zone_loss", "zone_cut")
CORE_ZONE_SHARE = 0.7  # of the lost or cut zones, so many hold core machines at least
LATE_S = 0.05  # a moment "as a link heals" lies this much before or after


@dataclass(slots=True, frozen=True)
class Entry:
    """A trouble with its moment, as a day file holds it."""

    at: float
    variant: Variant
    fields: tuple[tuple[str, Value], ...] = ()

    @property
    def ends(self) -> float:
        """When the machine that was harmed is back, or its successor starts."""
        own = dict(self.fields)
        return self.at + float(own.get("for_s", own.get("x", 0.0) if self.variant.lasts is False else 0.0))


class Moment(Enum):
    """When the second trouble of a pair begins, seen from the first."""

    DURING = "during"
    AS_IT_HEALS = "as it heals"
    SOON_AFTER = "0.1 s after"
    IN_CATCH_UP = "in catch-up"
    AT_CATCH_UP = "at catch_up_s"
    LATER = "up to 8 s after"


@dataclass(slots=True, frozen=True)
class Deployment:
    """What the drawing needs to know of a site.

    :param losses: core machines that may be lost at once
    :param catch_up_s: after which a returned machine counts again
    :param core_zones: those that hold core machines
    """

    losses: int
    catch_up_s: float
    zones: tuple[str, ...]
    core_zones: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Choices:
    """What a day is drawn from; every cycle goes on from day to day."""

    rng: random.Random
    deployment: Deployment
    repairs: GroupedCycle[Variant]
    replacements: ShuffledCycle[Variant]
    losses: GroupedCycle[Variant]
    cuts: ShuffledCycle[Variant]
    halves: ShuffledCycle[Variant]
    everything: GroupedCycle[Variant]
    moments: ShuffledCycle[Moment]
    carriers: ShuffledCycle[Variant]

    def entry(self, variant: Variant, at: float) -> Entry:
        """The variant at a moment, its length and strength drawn."""
        return Entry(round(at, 2), variant, tuple(self._drawn_fields(variant)))

    def _drawn_fields(self, variant: Variant) -> list[tuple[str, Value]]:
        fields: list[tuple[str, Value]] = []
        if variant.lasts:
            fields.append(("for_s", round(self.rng.uniform(*LENGTH_S), 1)))
        if variant.counted:
            fields.append(("count", self.rng.randint(1, self.deployment.losses)))
        if variant.kind == "replace_core":
            fields.append(("x", self.rng.choice(SUCCESSOR_AFTER_S)))
        if variant.kind == "clock_step":
            fields.append(("x", self.rng.choice(CLOCK_STEP_MS)))
        if variant.kind in WHOLE_ZONE_KINDS:
            near_core = variant.group is Group.LOSS and self.rng.random() < CORE_ZONE_SHARE
            zones = self.deployment.core_zones if near_core else self.deployment.zones
            fields.append(("zone", self.rng.choice(zones)))
        return fields

    def carrier(self, at: float) -> Entry:
        """A change of configuration; a trouble that waits for an acknowledgement strikes at it."""
        return self.entry(self.carriers.draw(), at)

    def after(self, first: Entry, moment: Moment) -> float:
        """When a trouble begins that follows `first` at a moment."""
        catch_up = self.deployment.catch_up_s
        offsets = {
            Moment.DURING: (first.at - first.ends) * self.rng.uniform(0.2, 0.8),
            Moment.AS_IT_HEALS: self.rng.choice((-LATE_S, 0.0, LATE_S)),
            Moment.SOON_AFTER: 0.1,
            Moment.IN_CATCH_UP: self.rng.uniform(0.3, catch_up),
            Moment.AT_CATCH_UP: catch_up,
            Moment.LATER: self.rng.uniform(catch_up, 8.0),
        }
        return max(first.at, first.ends + offsets[moment])


@dataclass(slots=True)
class Timeline:
    """Entries of a day as it is drawn, and where the next may begin."""

    entries: list[Entry]
    at: float

    def add(self, entry: Entry) -> None:
        self.entries.append(entry)
        self.at = max(self.at, entry.ends)


Scene = Callable[[Choices, Timeline], None]


def chain(choices: Choices, timeline: Timeline, first: Variant, length: int) -> None:
    """A trouble and, at moments drawn, `length - 1` losses, each seen from the one before."""
    entry = choices.entry(first, timeline.at + choices.rng.uniform(*BEFORE_PAIR_S))
    timeline.add(choices.carrier(entry.at))
    timeline.add(entry)
    for _ in range(length - 1):
        at = choices.after(entry, choices.moments.draw())
        entry = choices.entry(choices.losses.draw(), at)
        timeline.add(choices.carrier(max(0.5, entry.at - choices.rng.uniform(0.0, 0.4))))
        timeline.add(entry)


def pair(choices: Choices, timeline: Timeline) -> None:
    chain(choices, timeline, choices.repairs.draw(), 2)


def triple(choices: Choices, timeline: Timeline) -> None:
    chain(choices, timeline, choices.repairs.draw(), 3)


def long_cut(choices: Choices, timeline: Timeline) -> None:
    """A cut of twenty seconds with changes in it, and a loss as it heals."""
    at = round(timeline.at + choices.rng.uniform(0.0, 2.0), 2)
    length = round(choices.rng.uniform(*LONG_CUT_S), 1)
    cut = Entry(at, choices.cuts.draw(), (("for_s", length), ("count", 1)))
    timeline.add(cut)
    for _ in range(5):
        timeline.add(choices.carrier(choices.rng.uniform(cut.at, cut.ends)))
    timeline.add(choices.entry(choices.losses.draw(), choices.after(cut, Moment.AS_IT_HEALS)))


def two_halves(choices: Choices, timeline: Timeline) -> None:
    """The core in two halves, changes meanwhile, and a loss at a moment seen from the cut."""
    cut = choices.entry(choices.halves.draw(), timeline.at + choices.rng.uniform(*BEFORE_PAIR_S))
    timeline.add(cut)
    for _ in range(CHANGES_IN_HALVES):
        timeline.add(choices.carrier(choices.rng.uniform(cut.at, cut.ends)))
    timeline.add(choices.entry(choices.losses.draw(), choices.after(cut, choices.moments.draw())))


def halves_in_turn(choices: Choices, timeline: Timeline) -> None:
    """Two cuts into halves, a replacement between them, and changes all along."""
    two_halves(choices, timeline)
    timeline.add(choices.entry(choices.replacements.draw(), timeline.at + choices.rng.uniform(0.0, 2.0)))
    two_halves(choices, timeline)


def many_changes(choices: Choices, timeline: Timeline) -> None:
    """Changes all day long, and losses in between."""
    many_changes_only(choices, timeline)
    pair(choices, timeline)


def many_changes_only(choices: Choices, timeline: Timeline) -> None:
    """Changes all day long, several under way at once; what comes next may begin beside them."""
    for _ in range(MANY_CHANGES):
        timeline.entries.append(choices.carrier(choices.rng.uniform(FIRST_S, LAST_ENTRY_S)))


def several(choices: Choices, timeline: Timeline) -> None:
    """Troubles of all kinds until the day is full."""
    at = timeline.at
    while True:
        at += choices.rng.uniform(*APART_S)
        if at >= LAST_S:
            return
        timeline.add(choices.entry(choices.everything.draw(), at))
        timeline.add(choices.carrier(at))


def replacement_and_losses(choices: Choices, timeline: Timeline) -> None:
    """A replacement and one to three losses, each soon after the one before."""
    chain(choices, timeline, choices.replacements.draw(), choices.rng.choice(CHAIN_LENGTHS))


def loss_and_replacement(choices: Choices, timeline: Timeline) -> None:
    """A loss, a replacement as its machine is back, and another loss."""
    loss = choices.entry(choices.losses.draw(), timeline.at + choices.rng.uniform(*BEFORE_PAIR_S))
    timeline.add(choices.carrier(loss.at))
    timeline.add(loss)
    timeline.at = choices.after(loss, choices.moments.draw())
    chain(choices, timeline, choices.replacements.draw(), 2)


def replacements_in_turn(choices: Choices, timeline: Timeline) -> None:
    """Two or three replacements, each at a moment of the one before, and a loss."""
    at = timeline.at + choices.rng.uniform(*BEFORE_PAIR_S)
    for _ in range(choices.rng.choice((1, 2))):
        entry = choices.entry(choices.replacements.draw(), at)
        timeline.add(choices.carrier(max(FIRST_S, at - choices.rng.uniform(0.0, 0.4))))
        timeline.add(entry)
        at = choices.after(entry, choices.moments.draw())
    timeline.at = at
    chain(choices, timeline, choices.replacements.draw(), 2)


def replacement_among_changes(choices: Choices, timeline: Timeline) -> None:
    """A replacement and losses while changes are sent all day long."""
    many_changes_only(choices, timeline)
    replacement_and_losses(choices, timeline)


REPLACEMENT_SCENES: tuple[Scene, ...] = (
    replacement_and_losses,
    replacement_and_losses,
    replacement_and_losses,
    loss_and_replacement,
    replacements_in_turn,
    replacements_in_turn,
    replacement_among_changes,
)
HALVES_SCENES: tuple[Scene, ...] = (two_halves, two_halves, halves_in_turn)
SCENES: tuple[Scene, ...] = (pair, pair, triple, triple, long_cut, many_changes, several)


def choices_of(rng: random.Random, deployment: Deployment, variants: Sequence[Variant]) -> Choices:
    """Cycles over the variants; those that are losses of core machines also serve as second troubles."""
    core = [one for one in variants if one.group in (Group.REPLACEMENT, Group.LOSS, Group.STRAIN)]
    losses = [one for one in variants if one.group in (Group.REPLACEMENT, Group.LOSS)]
    carriers = [one for one in variants if one.kind == "config_change" and one.how in CHANGE_HOWS]
    return Choices(
        rng,
        deployment,
        repairs=by_kind(rng, core),
        replacements=ShuffledCycle(rng, [one for one in losses if one.group is Group.REPLACEMENT]),
        losses=by_kind(rng, losses),
        cuts=ShuffledCycle(rng, [one for one in losses if one.kind == "core_cut"]),
        halves=ShuffledCycle(rng, [one for one in variants if one.group is Group.HALVES]),
        everything=by_kind(rng, [one for one in variants if one.kind != "config_change"]),
        moments=ShuffledCycle(rng, list(Moment)),
        carriers=ShuffledCycle(rng, carriers),
    )


def by_kind(rng: random.Random, variants: Sequence[Variant]) -> GroupedCycle[Variant]:
    """Variants by kind, so that kinds with many of them do not crowd out the others."""
    kinds = sorted({one.kind for one in variants})
    return GroupedCycle(rng, [[one for one in variants if one.kind == kind] for kind in kinds])
