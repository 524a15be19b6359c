"""The control state under faults: random search in virtual time, all interleavings of small cases, and guards
taken out in turn.  `python -m benchmarks.control search|explore|planted --help` tells the flags.

`seeds` is one or more ranges, as 6000..7999,9000..9599; `keep` a file for the table, as Markdown.
"""

from __future__ import annotations

import importlib
import pathlib
import platform
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from functools import partial

import fire  # type: ignore[import-untyped]
import orjson
from more_itertools import chunked

from vetchusher.emulator.control.cases import CASES
from vetchusher.emulator.control.mutations import MUTATIONS, apply_mutation
from vetchusher.emulator.control.scenarios import Scenario
from vetchusher.emulator.control.search import FaultSearch, racing_settings, random_settings
from vetchusher.emulator.explorer import explore as explored
from vetchusher.emulator.explorer import wander

WALK = 120  # steps of a random walk
BAD = ("WRONG", "not found")


def kept(name: str, lines: list[str], keep: str) -> None:
    """Prints a table and keeps it; ends with 1 where a line of it holds one of the `BAD` words."""
    print("\n".join(lines))
    if keep:
        command = f"python -m benchmarks.control {' '.join(sys.argv[1:])}"
        title = f"# Control state: {name}\n\n`{command}`, Python {platform.python_version()}.\n"
        pathlib.Path(keep).write_text("\n".join([title, *lines]) + "\n")
    if any(word in line for line in lines for word in BAD):
        sys.exit(1)


def numbers(seeds: str | int | tuple[str, ...]) -> list[int]:
    parts = ",".join(seeds) if isinstance(seeds, tuple) else str(seeds)
    found: list[int] = []
    for part in parts.split(","):
        first, _, last = part.partition("..")
        found.extend(range(int(first), int(last or first) + 1))
    return found


# -- random search ---------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Run:
    """:param seconds: of virtual time
    :param calls: of operators, for configurations
    """

    seed: int
    machines: int
    seeds: int
    events: int
    seconds: float
    calls: int
    readings: int
    acknowledged: int
    takeovers: int
    wrong: list[str]


def searched(seed: int, races: bool = False) -> Run:
    trouble = FaultSearch(racing_settings(seed) if races else random_settings(seed))
    wrong = trouble.run()
    world = trouble.world
    writes, reads = world.history.writes, world.history.reads
    return Run(
        seed,
        len(world.machines),
        len(world.seeds),
        world.processed_events,
        world.now_us / 1e6,
        len(writes),
        len(reads),
        sum(w.ended_s < float("inf") for w in writes),
        world.event_counts["BECAME_PRIMARY"],
        wrong,
    )


KINDS = {
    "one number": ("with two bodies", "another body", "was refused", "is the newest committed"),
    "lost": (
        "was acknowledged",
        "not as acknowledged",
        "without a whole copy",
        "stands on",
        "may hold no copy",
    ),
    "read back older": ("a reading showed", "read r", "takes r"),
    "two primaries": ("two primaries", "hold at once"),
}


def kind(text: str) -> str:
    return next((name for name, words in KINDS.items() if any(w in text for w in words)), "another")


def all_searched(seeds: list[int], jobs: int, minutes: float, notes: str, races: bool) -> list[Run]:
    """What was noted, and the others as far as there is time; each is noted as it ends."""
    file = pathlib.Path(notes) if notes else None
    lines = file.read_text().splitlines() if file and file.exists() else []
    noted = {run.seed: run for run in (Run(**orjson.loads(line)) for line in lines)}
    runs = [noted[seed] for seed in seeds if seed in noted]
    left, ends = [seed for seed in seeds if seed not in noted], time.monotonic() + 60 * minutes
    with ProcessPoolExecutor(jobs) as pool:
        for part in chunked(left, 4 * jobs):
            if time.monotonic() >= ends:
                break
            for run in pool.map(partial(searched, races=races), part):
                runs.append(run)
                if file:
                    with file.open("ab") as out:
                        out.write(orjson.dumps(asdict(run)) + b"\n")
    return runs


def search(
    seeds: str = "1..100",
    jobs: int = 2,
    minutes: float = 600.0,
    notes: str = "",
    keep: str = "",
    races: bool = False,
) -> None:
    """Runs of random troubles, one a seed.

    :param races: with eight operators more, who choose one another's numbers
    :param minutes: after which no more are begun
    :param notes: a file of runs that were done already, of this very program; it grows
    """
    began = time.monotonic()
    runs = all_searched(numbers(seeds), jobs, minutes, notes, races)
    by_size: dict[tuple[int, int], list[Run]] = defaultdict(list)
    for run in runs:
        by_size[run.seeds, run.machines].append(run)
    lines = [
        "| members at the start | with joiners | runs | events | virtual hours | takeovers | changes "
        "| acknowledged | readings | " + " | ".join([*KINDS, "another"]) + " |",
        "| --- " * (9 + len(KINDS) + 1) + "|",
    ]
    for (members, machines), of_size in sorted(by_size.items()):
        wrong = Counter(kind(text) for run in of_size for text in run.wrong[:1])
        cells = [
            members,
            machines,
            len(of_size),
            sum(r.events for r in of_size),
            f"{sum(r.seconds for r in of_size) / 3600:.1f}",
            sum(r.takeovers for r in of_size),
            sum(r.calls for r in of_size),
            sum(r.acknowledged for r in of_size),
            sum(r.readings for r in of_size),
            *(wrong[name] for name in [*KINDS, "another"]),
        ]
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    events, bad = sum(r.events for r in runs), [r for r in runs if r.wrong]
    lines += [
        "",
        f"{events} events in {len(runs)} runs, {time.monotonic() - began:.0f} s on {jobs} cores; "
        f"runs in which something was wrong: {len(bad)}.",
        *(f"- WRONG: seed {r.seed}: {r.wrong[0]}" for r in bad[:30]),
    ]
    kept("random search", lines, keep)


# -- all interleavings -----------------------------------------------------------------------------


def interleaved(name: str, delays: int | None, states: int, depth: int, steps: int) -> tuple[str, bool]:
    began = time.monotonic()
    found = explored(CASES[name].start(steps, delays), states, depth)
    seconds = time.monotonic() - began
    order = "any order" if delays is None else f"{delays} out of order"
    seen = f"{found.depth}{', to the end' * found.whole}"
    wrong = f"WRONG: {found.wrong}: {'; '.join(found.way)}" if found.wrong else "nothing"
    return f"| {name} | {order} | {found.states} | {seen} | {seconds:.0f} | {wrong} |", bool(found.wrong)


def walked(name: str, walks: int, seed: int) -> str:
    began = time.monotonic()
    start = CASES[name].start(steps=20, fault_factor=2)
    found = wander(lambda: start, walks, WALK, seed)
    wrong = f"WRONG: {found.wrong}: {'; '.join(found.way)}" if found.wrong else "nothing"
    return (
        f"| {name} | {walks} walks of {WALK} | {found.states} | | {time.monotonic() - began:.0f} | {wrong} |"
    )


def explore(
    states: int = 100_000,
    depth: int = 1_000,
    steps: int = 8,
    walks: int = 100,
    cases: str = "",
    jobs: int = 2,
    keep: str = "",
) -> None:
    """Each case in any order and nearly in order, breadth first, then by random walks.

    :param states: after which a case is left
    :param depth: of steps, likewise
    :param steps: of the clock, of half a second each
    :param cases: names, parted by commas; empty: all
    """
    names = cases.split(",") if cases else list(CASES)
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        jobs_ = [
            pool.submit(interleaved, name, delays, states, depth, steps)
            for name in names
            for delays in (None, 1, 0)
        ]
        walks_ = [pool.submit(walked, name, walks, 1) for name in names]
        rows = [job.result()[0] for job in jobs_] + [job.result() for job in walks_]
    lines = [
        "| start | order of what happens | states | depth seen whole | s | wrong |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    kept("explorer", lines + rows, keep)


# -- guards taken out ------------------------------------------------------------------------------


def by_explorer(states: int, walks: int) -> tuple[str, int]:
    """Which case and means found it, and after how many states in all; empty: none."""
    total = 0
    for name, case in CASES.items():
        try:
            for delays in (0, None):
                found = explored(case.start(8, delays), states)
                total += found.states
                if found.wrong:
                    order = "any order" if delays is None else "in order"
                    return f"{name}, {order}, {len(found.way)} steps", total
            start = case.start(steps=20, fault_factor=2)
            found = wander(partial(replace, start), walks, WALK, 1)
            total += found.states
            if found.wrong:
                return f"{name}, a walk of {found.depth} steps", total
        except AssertionError as error:
            return f"{name}, at its start: {error}", total
    return "", total


def by_search(seeds: Iterable[int]) -> tuple[str, int]:
    """The same, counted in events."""
    total = 0
    for number, seed in enumerate(seeds, 1):
        trouble = FaultSearch(random_settings(seed))
        wrong = trouble.run()
        total += trouble.world.processed_events
        if wrong:
            return f"run {number}", total
    return "", total


def by_stories(tries: int) -> tuple[str, int]:
    total = 0
    for seed in range(1, tries + 1):
        for name, (text, scene) in importlib.import_module("tests.test_control").STORIES.items():
            story = Scenario(text, replace(scene, seed=seed))
            wrong = story.run()
            total += story.world.processed_events
            if wrong:
                return name, total
    return "", total


def plant(name: str, states: int, walks: int, runs: int, tries: int) -> str:
    cells = []
    with apply_mutation(name):
        for how, count in (by_explorer(states, walks), by_search(range(1, runs + 1)), by_stories(tries)):
            cells.append(f"{how}: {count}" if how else f"- ({count})")
    found = sum(not cell.startswith("- ") for cell in cells)
    row = f"| {name} | {' | '.join(cells)} | {found or 'not found'} |"
    print(row, flush=True)  # long before the table
    return row


def planted_(
    states: int = 2_000,
    walks: int = 25,
    runs: int = 20,
    tries: int = 3,
    only: str = "",
    jobs: int = 2,
    keep: str = "",
) -> None:
    """Each guard taken out, and sought by each of the three means.

    :param states: of each case, in order and in any order, before random walks
    :param runs: of the random search
    :param tries: seeds with which each story is played
    :param only: the guard's name
    """
    names = [only] if only else list(MUTATIONS)
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(partial(plant, states=states, walks=walks, runs=runs, tries=tries), names))
    lines = [
        "| guard taken out | explorer: states | random search: events | stories: events | means |",
        "| --- | --- | --- | --- | --- |",
    ]
    kept("guards taken out", [*lines, *rows, "", "In brackets: how much was looked at in vain."], keep)


if __name__ == "__main__":
    fire.Fire({"search": search, "explore": explore, "planted": planted_})
