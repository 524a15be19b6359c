"""Days made only of control troubles, drawn from a seed, and what became of them on the users' bench.

Usage:
  control_days draw SITE... --into FOLDER [--days N] [--seed N] [--traffic X]
  control_days play SITE... --into FOLDER --bench PROGRAM --why TEXT [--days N] [--seed N] [--traffic X]
               [--jobs N] [--keep FILE]
  control_days table FOLDER [--before FOLDER] [--keep FILE]
  control_days (-h | --help)

Every way of a trouble that a site offers is dealt before any comes again.  A day borrows its traffic, floors
and marks from the site file, as it stands when the day is drawn; nothing of that file is kept.  `table` reads
the reports that `play` left beside its days.

Options:
  --into FOLDER    Days, reports and what the bench printed go there.
  --bench PROGRAM  The users' bench.
  --why TEXT       Its reason for each run.
  --days N         Days for each site [default: 30].
  --seed N         The first day's seed [default: 1].
  --traffic X      Part of the site's own traffic [default: 0.3].
  --jobs N         Days at the same time [default: 2].
  --before FOLDER  Where the same days were played by an earlier program.
  --keep FILE      Write the table there, as Markdown.
"""

from __future__ import annotations

import json
import pathlib
import random
import subprocess
import sys
import tomllib
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from .table import keep_table

Entry = dict[str, Any]
PLAY_S = 900  # a day that takes longer is given up, and the table says so
FIRST_S, LAST_S = 5.0, 27.0  # of traffic: when troubles begin
APART_S = (1.5, 7.0)  # from one trouble's beginning to the next one's
CARRIERS = ("timeout", "idle", "weights", "route", "quota")  # changes that something can be done to
CUTS = (
    "",
    "one_way",
    "leader",
    "leader one_way",
    "leader refuse",
    "leader reset",
    "one_way reset",
    "seed",
    "leader race",
    "meet drain",
    "leader meet drain",
    "leader one_way meet drain",
)
KILLS = ("", "leader", "power", "power leader", "leader race", "leader race drain", "meet drain", "seed")
CLOSINGS: tuple[Entry, ...] = (
    {"kind": "power_off_all"},
    {"kind": "wipe_after_ack"},
    {"kind": "wipe_after_ack", "how": "aimed"},
    {"kind": "kill_all"},
)


def ways() -> list[Entry]:
    """Every way of every control trouble that strikes unannounced; lengths are drawn when it is dealt."""
    return [
        *({"kind": "core_cut", "count": 1, "how": how} for how in CUTS),
        *({"kind": "node_kill", "on": "core", "count": 1, "how": how} for how in KILLS),
        *({"kind": "after_ack_kill", "how": how} for how in ("", "kill")),
        *({"kind": "after_ack_wipe", "how": how} for how in ("", "kill")),
        *({"kind": "disk_stall", "count": 1, "how": how} for how in ("", "leader")),
        *({"kind": "herd_kill", "on": "core", "how": how} for how in ("", "power", "race drain")),
        *({"kind": "clock_step", "share": 0.4, "how": how} for how in ("", "back", "ahead", "leader")),
    ]


def planned(invalid: Sequence[str]) -> list[Entry]:
    """Every way of those that an operator or the platform sets out to do."""
    return [
        {"kind": "seed_turnover"},
        {"kind": "config_race", "count": 3, "gap_s": 1.0},
        {"kind": "config_race", "count": 2, "gap_s": 0.4},
        *({"kind": "bad_config", "how": how, "count": 2, "gap_s": 0.7} for how in invalid),
        {"kind": "big_config", "count": 250},
    ]


class Deck:
    """Deals all of its cards before any again, in a fresh order each time."""

    def __init__(self, rng: random.Random, cards: Sequence[Entry]) -> None:
        self.rng, self.cards, self.left = rng, cards, list[Entry]()

    def deal(self) -> Entry:
        if not self.left:
            self.left = self.rng.sample(self.cards, len(self.cards))
        return dict(self.left.pop())


def drawn_days(site: Mapping[str, Any], count: int, seed: int, traffic: float) -> Iterator[Entry]:
    """Days of a site, each with a name, three or four troubles, three plans, and a closing fault or none.

    :param site: the site file as read
    :param traffic: part of the borrowed day's requests
    """
    rng = random.Random(f"{site['name']} {seed}")
    offered = {trouble["kind"] for trouble in site["troubles"]}
    faults = Deck(rng, [way for way in ways() if way["kind"] in offered])
    plans = Deck(rng, [way for way in planned(site["config"]["invalid"]) if way["kind"] in offered])
    closings = Deck(rng, [*CLOSINGS, {}])
    borrowed = [day for day in site["day"] if day["slot"] == "trouble"]
    zones = [zone["name"] for zone in site["zones"]]
    for number in range(count):
        day = dict(rng.choice(borrowed))
        day |= {"name": f"control-{seed}-{number + 1}", "seed": rng.randrange(1, 1 << 28)}
        day["traffic"] = [one | {"per_s": round(one["per_s"] * traffic, 2)} for one in day["traffic"]]
        at, struck = FIRST_S + rng.uniform(0, 3), list[Entry]()
        while at < LAST_S:
            way = faults.deal()
            length = 0.5 + 5.0 * rng.random()
            if way["kind"] == "clock_step":
                way["x"] = rng.choice((800.0, 2_500.0, 9_000.0))
            struck.append({"at": round(at, 2), **way, "for_s": round(length, 1)})
            at += rng.uniform(*APART_S)
        plan = [{"at": round(rng.uniform(1.0, 28.0), 2), **plans.deal()} for _ in range(3)]
        # Danger: a trouble that waits for an acknowledgement waits in vain where nothing is changed.
        for entry in struck:
            plan.append({"at": entry["at"], "kind": "config_change", "how": rng.choice(CARRIERS)})
        if "evacuate" in offered:
            evacuation = {"kind": "evacuate", "zone": rng.choice(zones), "how": rng.choice(("", "warm"))}
            plan.append({"at": round(rng.uniform(2.0, 20.0), 2), **evacuation, "for_s": 6.0})
        day["faults"], day["plan"] = struck, sorted(plan, key=lambda entry: float(entry["at"]))
        day.pop("closing", None)
        closing = closings.deal()
        if closing:
            day["closing"] = closing | {"down_s": round(rng.uniform(0.5, 1.6), 2)}
        yield day


def written(day: Mapping[str, Any]) -> str:
    """The day as TOML; its tables stand inside lines, as the users write them."""
    return "".join(f"{name} = {value(held)}\n" for name, held in day.items())


def value(held: object) -> str:
    if isinstance(held, Mapping):
        return "{ " + ", ".join(f"{name} = {value(x)}" for name, x in held.items()) + " }"
    if isinstance(held, list):
        return "[" + ", ".join(map(value, held)) + "]"
    return json.dumps(held)


# -- played ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Job:
    site: pathlib.Path
    day: pathlib.Path
    seed: int

    def beside(self, suffix: str) -> pathlib.Path:
        return self.day.with_suffix(suffix)


def drawn_jobs(told: Mapping[str, Any]) -> list[Job]:
    folder = pathlib.Path(told["--into"])
    folder.mkdir(parents=True, exist_ok=True)
    jobs = []
    for path in map(pathlib.Path, told["SITE"]):
        site = tomllib.loads(path.read_text())
        for day in drawn_days(site, int(told["--days"]), int(told["--seed"]), float(told["--traffic"])):
            file = folder / f"{site['name']}-{day['name']}.toml"
            file.write_text(written(day))
            jobs.append(Job(path, file, day["seed"]))
    return sorted(jobs, key=lambda job: int(job.day.stem.rpartition("-")[2]))  # the sites in turn


def played(job: Job, bench: str, why: str) -> None:
    """One day; its report and what was printed lie beside it afterwards."""
    report = job.beside(".json")
    report.unlink(missing_ok=True)
    command = [bench, "run", str(job.site), str(job.day), "--seed", str(job.seed), "--jobs", "1"]
    with open(job.beside(".txt"), "wb") as printed:
        try:
            subprocess.run(
                [*command, "--report", str(report), "--why", why],
                stdout=printed,
                stderr=printed,
                timeout=PLAY_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            printed.write(b"\ngiven up\n")


def play_table(told: Mapping[str, Any]) -> list[str]:
    jobs = drawn_jobs(told)
    with ThreadPoolExecutor(int(told["--jobs"])) as pool:
        for _ in pool.map(lambda job: played(job, told["--bench"], told["--why"]), jobs):
            pass
    return days_table([job.beside(".json") for job in jobs])


@dataclass(slots=True, frozen=True)
class Outcome:
    """What a report says of a day.

    :param rules: broken, with how often; `FAULT` where the program itself ended the day
    :param short: what it fell short of at the gate
    :param missed: orders without an acknowledgement
    :param worth: earned of what was owed, over the whole day
    :param worst: the same in the two worst windows
    """

    rules: dict[str, int]
    short: list[str]
    missed: int
    worth: float
    worst: float

    @staticmethod
    def of(report: pathlib.Path) -> Outcome | None:
        if not report.exists():
            return None
        told = json.loads(report.read_text())
        parts = {name: part for name, _, part in told["parts"]}
        prices = {name: amount for name, amount, _ in told["prices"]}
        return Outcome(
            told["breaks"] | ({"FAULT": 1} if told["fault"] else {}),
            [str(one) for one in told["short"]],
            int(prices.get("duties missed", 0)),
            parts["whole day"],
            parts["worst windows"],
        )


def ways_of(day: Mapping[str, Any]) -> list[str]:
    return [f"{one['kind']} {one['how']}".strip() for one in day["faults"]]


def closing_of(day: Mapping[str, Any]) -> str:
    closing = day.get("closing", {})
    return f"{closing.get('kind', '')} {closing.get('how', '')}".strip() or "none"


def number_of(report: pathlib.Path) -> tuple[str, int]:
    site, _, number = report.stem.rpartition("-")
    return site, int(number)


def days_table(reports: Sequence[pathlib.Path], before: pathlib.Path | None = None) -> list[str]:
    """What the days come to, how often each way struck, and a line a day."""
    days = {
        one: tomllib.loads(one.with_suffix(".toml").read_text()) for one in sorted(reports, key=number_of)
    }
    found = {one: Outcome.of(one) for one in days}
    old = {one: Outcome.of(before / one.name) if before else None for one in days}
    struck = Counter(way for one, day in days.items() if found[one] for way in ways_of(day))
    struck.update(f"closing {closing_of(day)}" for one, day in days.items() if found[one])
    struck.update(way["kind"] for one, day in days.items() if found[one] for way in day["plan"])
    lines = [summary("Now", list(found.values()))]
    if before:
        lines.append(summary("Before", [old[one] for one in days]))
    lines += ["", "Struck: " + ", ".join(f"{way} {times}" for way, times in sorted(struck.items())) + ".", ""]
    lines.append("| day | troubles | closing | rules broken | short of | missed | worth | worst windows |")
    lines.append("| --- | --- | --- | --- | --- | ---: | ---: | ---: |")
    for one, day in days.items():
        cells = [one.stem, ", ".join(ways_of(day)), closing_of(day), *told(found[one], old[one])]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def summary(name: str, outcomes: Sequence[Outcome | None]) -> str:
    played = [one for one in outcomes if one is not None]
    broken = sum((Counter(one.rules) for one in played), Counter[str]())
    passed = sum(not one.rules and not one.short for one in played)
    worth, worst = (sorted(getattr(one, f) for one in played) for f in ("worth", "worst"))
    return (
        f"{name}: {len(played)} days, {passed} past the gate; rules broken: {dict(broken) or 'none'}; "
        f"orders missed: {sum(one.missed for one in played)}; "
        f"worth {spread(worth)}, worst windows {spread(worst)}.  "
    )


def spread(values: Sequence[float]) -> str:
    """Median, least and most of what is in order."""
    if not values:
        return "unknown"
    return f"{values[len(values) // 2]:.3f} ({values[0]:.3f} to {values[-1]:.3f})"


def told(now: Outcome | None, before: Outcome | None) -> list[str]:
    """Cells of a day; what was before stands in brackets where it is known."""
    if now is None:
        return ["NOT PLAYED", "", "", "", ""]

    def cell(of: Callable[[Outcome], str]) -> str:
        return f"{of(now)} ({of(before)})" if before else of(now)

    return [
        cell(lambda one: ", ".join(one.rules) or "none"),
        ", ".join(now.short),
        cell(lambda one: str(one.missed)),
        cell(lambda one: f"{one.worth:.3f}"),
        cell(lambda one: f"{one.worst:.3f}"),
    ]


def draw_table(told: Mapping[str, Any]) -> list[str]:
    return [str(job.day) for job in drawn_jobs(told)]


def table_table(told: Mapping[str, Any]) -> list[str]:
    before = pathlib.Path(told["--before"]) if told["--before"] else None
    return days_table(list(pathlib.Path(told["FOLDER"]).glob("*.json")), before)


TABLES = {"draw": draw_table, "play": play_table, "table": table_table}


def main(argv: list[str]) -> int:
    return keep_table(__doc__, TABLES, argv, "control_days", ("NOT PLAYED", "FAULT"))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
