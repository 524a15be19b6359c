"""Days made only of control troubles, drawn from a seed, and what became of them on the users' bench.

Usage:
  control_days draw SITE... --into FOLDER [--days N] [--seed N] [--traffic X]
  control_days play SITE... --into FOLDER --bench PROGRAM --why TEXT [--days N] [--seed N] [--traffic X]
               [--jobs N] [--keep FILE]
  control_days table REPORT... [--keep FILE]
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
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from benchmarks.table import keep_table

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


def days_table(reports: Sequence[pathlib.Path]) -> list[str]:
    """A line a day, and before them what they come to."""
    lines, broken, total = list[str](), Counter[str](), Counter[str]()
    for report in reports:
        day = tomllib.loads(report.with_suffix(".toml").read_text())
        total["days"] += 1
        struck = Counter(f"{one['kind']} {one['how']}".strip() for one in day["faults"])
        closing = day.get("closing", {})
        ended = f"{closing.get('kind', '')} {closing.get('how', '')}".strip() or "none"
        if not report.exists():
            total["not played"] += 1
            lines.append(f"| {report.stem} | {', '.join(struck)} | {ended} | NOT PLAYED | | | | |")
            continue
        found = json.loads(report.read_text())
        prices = {name: amount for name, amount, _ in found["prices"]}
        missed = int(prices.get("duties missed", 0))
        total["missed"] += missed
        broken.update(found["breaks"])
        total["gate"] += not (found["breaks"] or found["fault"] or found["short"])
        short = ", ".join(map(str, found["short"]))
        rules = ", ".join(found["breaks"]) or (found["fault"] and "FAULT") or "none"
        worth = next(part for name, _, part in found["parts"] if name == "whole day")
        worst = next(part for name, _, part in found["parts"] if name == "worst windows")
        lines.append(
            f"| {report.stem} | {', '.join(struck)} | {ended} | {rules} "
            f"| {short} | {missed} | {worth:.3f} | {worst:.3f} |"
        )
    said = ", ".join(f"{name} x {n}" for name, n in broken.items()) or "none"
    return [
        f"{total['days']} days, {total['not played']} not played, {total['gate']} past the gate; "
        f"rules broken: {said}; duties missed: {total['missed']}.",
        "",
        "| day | troubles | closing | rules broken | short of | duties missed | worth | worst windows |",
        "| --- | --- | --- | --- | --- | ---: | ---: | ---: |",
        *lines,
    ]


def draw_table(told: Mapping[str, Any]) -> list[str]:
    return [str(job.day) for job in drawn_jobs(told)]


def table_table(told: Mapping[str, Any]) -> list[str]:
    return days_table([pathlib.Path(one) for one in told["REPORT"]])


TABLES = {"draw": draw_table, "play": play_table, "table": table_table}


def main(argv: list[str]) -> int:
    return keep_table(__doc__, TABLES, argv, "control_days", ("NOT PLAYED", "FAULT"))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
