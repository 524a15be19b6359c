"""What played days come to, as Markdown: verdicts, times to acknowledge, coverage, and a line a day."""

from __future__ import annotations

import pathlib
import statistics
import tomllib
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .outcome import Outcome, read_outcome

REPLACEMENT = "replace_core"
DAY_HEADING = (
    "| day | troubles of the core, as played | closing | rules broken | short of "
    "| missed | worth | worst windows |"
)
DAY_NAME_WORDS = 3  # a file is named by its site, and by the kind of day, its seed and its number


@dataclass(slots=True, frozen=True)
class PlayedDay:
    """A day file with its outcome, and the outcome of an earlier program where it is known."""

    path: pathlib.Path
    day: Mapping[str, Any]
    outcome: Outcome | None
    before: Outcome | None

    @property
    def name(self) -> str:
        return self.path.stem

    @property
    def site(self) -> str:
        return self.name.rsplit("-", DAY_NAME_WORDS)[0]

    @property
    def closing(self) -> str:
        closing = self.day.get("closing", {})
        return f"{closing.get('kind', '')} {closing.get('how', '')}".strip() or "none"

    @property
    def has_replacement(self) -> bool:
        """Whether a core machine was replaced on the day as it was played."""
        return self.outcome is not None and any(one.kind == REPLACEMENT for one in self.outcome.events)


def read_days(files: Iterable[pathlib.Path], before: pathlib.Path | None = None) -> list[PlayedDay]:
    """Day files with what lies beside them, in order of their sites and numbers.

    :param before: a folder with the reports of an earlier program
    """
    return [
        PlayedDay(
            path,
            tomllib.loads(path.read_text()),
            read_outcome(path.with_suffix(".json")),
            read_outcome(before / f"{path.stem}.json") if before else None,
        )
        for path in sorted(files, key=_site_and_number)
    ]


def _site_and_number(path: pathlib.Path) -> tuple[str, int]:
    name, _, number = path.stem.rpartition("-")
    return name, int(number) if number.isdecimal() else 0


def days_table(days: Sequence[PlayedDay], ack_ms: Mapping[str, float] | None = None) -> list[str]:
    """All sections.

    :param ack_ms: by site, the time in which an order must be acknowledged while the core is settled
    """
    lines = [summary("Now", [one.outcome for one in days])]
    if any(one.before for one in days):
        lines.append(summary("Before, the same days", [one.before for one in days if one.outcome]))
    for site in sorted({one.site for one in days}):
        lines.append(site_line(site, [one for one in days if one.site == site], (ack_ms or {}).get(site)))
    played = [one.outcome for one in days if one.outcome]
    for section in (acknowledgement_lines(played), coverage_lines(days), pair_lines(played)):
        lines += ["", *section]
    lines += ["", DAY_HEADING]
    lines.append("| --- | --- | --- | --- | --- | ---: | ---: | ---: |")
    return [*lines, *(f"| {' | '.join(day_cells(one))} |" for one in days)]


def site_line(site: str, days: Sequence[PlayedDay], ack_ms: float | None) -> str:
    """How many days of a site were played and broken, and its longest times to acknowledge."""
    played = [one.outcome for one in days if one.outcome]
    broken = sum(bool(one.rules) for one in played)
    replaced = sum(one.has_replacement for one in days if one.outcome)
    longest = median_and_worst([one.acknowledged_ms for one in played])
    bound = f", ack_ms {ack_ms:.0f}" if ack_ms else ""
    return (
        f"{site}: {len(played)} of {len(days)} days played, {replaced} with a replacement, {broken} broken; "
        f"longest time from a change to its acknowledgement {longest} ms{bound}.  "
    )


def summary(name: str, outcomes: Sequence[Outcome | None]) -> str:
    """Counts and spreads over all days."""
    played = [one for one in outcomes if one is not None]
    broken = sum((Counter(one.rules) for one in played), Counter[str]())
    days_broken = sum(bool(one.rules) for one in played)
    passed = sum(not one.rules and not one.short for one in played)
    worth, worst = (sorted(getattr(one, name) for one in played) for name in ("worth", "worst"))
    return (
        f"{name}: {len(played)} days, {days_broken} with a rule broken, {passed} past the gate; "
        f"rules broken: {dict(broken) or 'none'}; orders missed: {sum(one.missed for one in played)}; "
        f"worth {spread(worth)}, worst windows {spread(worst)}.  "
    )


def spread(values: Sequence[float]) -> str:
    """Median, least and most of what is in order."""
    if not values:
        return "unknown"
    return f"{values[len(values) // 2]:.3f} ({values[0]:.3f} to {values[-1]:.3f})"


def median_and_worst(values: Sequence[float | None]) -> str:
    known = [one for one in values if one is not None]
    return f"{statistics.median(known):.0f} (worst {max(known):.0f})" if known else "unknown"


def acknowledgement_lines(played: Sequence[Outcome]) -> Iterator[str]:
    """Longest times without an acknowledgement on the days on which a kind struck, unsettled times too."""
    by_kind: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in played:
        for kind in {event.kind for event in outcome.events if event.core}:
            by_kind[kind].append(outcome)
    yield "Longest times without an acknowledgement on a day with each kind, settled or not."
    yield "The time after a kill includes the wait for the next change."
    yield ""
    yield "| kind | days | broken | change to acknowledgement, ms | kill to next acknowledgement, ms |"
    yield "| --- | ---: | ---: | ---: | ---: |"
    for kind, outcomes in sorted(by_kind.items()):
        changes = median_and_worst([one.acknowledged_ms for one in outcomes])
        kills = median_and_worst([one.after_kill_ms for one in outcomes])
        broken = sum(bool(one.rules) for one in outcomes)
        yield f"| {kind} | {len(outcomes)} | {broken} | {changes} | {kills} |"


def coverage_lines(days: Sequence[PlayedDay]) -> Iterator[str]:
    """How often each kind and variant was played."""
    events = [event for one in days if one.outcome for event in one.outcome.events]
    closings = Counter(one.closing for one in days if one.outcome)
    yield f"Kinds played: {counted(Counter(event.kind for event in events))}."
    yield ""
    yield f"Variants played: {counted(Counter(event.name for event in events))}."
    yield ""
    yield f"Variants drawn that the report does not repeat: {counted(unrepeated(days))}."
    yield ""
    yield f"Closing faults: {counted(closings)}."


def unrepeated(days: Sequence[PlayedDay]) -> Counter[str]:
    """Variants in the day files of kinds whose variant no event of the reports names."""
    played = [one for one in days if one.outcome]
    named = {event.kind for one in played if one.outcome for event in one.outcome.events if event.how}
    drawn = [entry for one in played for entry in (*one.day["faults"], *one.day["plan"])]
    return Counter(
        f"{one['kind']} {one['how']}" for one in drawn if one.get("how") and one["kind"] not in named
    )


def pair_lines(played: Sequence[Outcome]) -> Iterator[str]:
    """How often each kind followed each other on the core, during it or up to 8 s after its end."""
    pairs = Counter(pair for one in played for pair in one.core_pairs())
    yield f"Ordered pairs on the core, the second within 8 s: {len(pairs)} different, {pairs.total()} in all."
    yield ""
    for first in sorted({pair[0] for pair in pairs}):
        seconds = Counter({second: times for (one, second), times in pairs.items() if one == first})
        yield f"- {first}, then: {counted(seconds)}."


def counted(counter: Counter[str]) -> str:
    return ", ".join(f"{name} {times}" for name, times in sorted(counter.items())) or "none"


def day_cells(one: PlayedDay) -> list[str]:
    """Cells of a day; what was before stands in brackets where it is known."""
    now, before = one.outcome, one.before
    if now is None:
        return [one.name, "", one.closing, "NOT PLAYED", "", "", "", ""]

    def cell(of: Callable[[Outcome], str]) -> str:
        return f"{of(now)} ({of(before)})" if before else of(now)

    return [
        one.name,
        ", ".join(event.name for event in now.events if event.core),
        one.closing,
        cell(lambda outcome: ", ".join(outcome.rules) or "none"),
        ", ".join(now.short),
        cell(lambda outcome: str(outcome.missed)),
        cell(lambda outcome: f"{outcome.worth:.3f}"),
        cell(lambda outcome: f"{outcome.worst:.3f}"),
    ]
