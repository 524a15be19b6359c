"""Days made of what strains quotas, drawn from a seed, and what became of them on the users' bench.

    python -m benchmarks.quota_days draw SITE... --into FOLDER [--days N] [--seed N] [--first N]
    python -m benchmarks.quota_days play SITE... --into FOLDER --bench PROGRAM --why TEXT [--jobs N]
    python -m benchmarks.quota_days table REPORT... [--keep FILE]

Three of four days have a hot tenant beside what cuts or kills; each fourth has no cut and nobody hot, for
what is refused within quotas.  Only troubles that the site offers are drawn; traffic, floors and marks are
borrowed from the site file as it stands.
"""

from __future__ import annotations

import json
import pathlib
import random
import tomllib
from collections.abc import Iterator, Mapping
from typing import Any

import fire  # type: ignore[import-untyped]

from .control_days.draw import written
from .control_days.play import Job, play_all
from .control_days.shuffled import ShuffledCycle
from .control_days.table import days_table, read_days
from .totals import told

Entry = dict[str, Any]

CUTS: tuple[Entry, ...] = (
    {"kind": "node_cut", "share": 0.17},
    {"kind": "node_cut", "share": 0.3, "how": "one_way"},
    {"kind": "node_cut", "share": 0.5},
    {"kind": "zone_loss"},
    {"kind": "herd_kill", "share": 0.55, "how": "power"},
    {"kind": "herd_kill", "share": 0.4},
    {"kind": "core_cut", "count": 1, "how": "leader"},
    {"kind": "core_cut", "count": 1, "how": "leader one_way"},
    {"kind": "cold_return", "how": "dark"},
    {"kind": "cold_return"},
    {"kind": "answer_lost", "share": 0.5, "x": 0.05, "how": "reset"},
)
QUIET: tuple[Entry, ...] = (
    {"kind": "cold_return"},
    {"kind": "answer_lost", "share": 0.3, "x": 0.02},
    {"kind": "answer_lost", "share": 0.5, "x": 0.03, "how": "reset"},
)


def drawn_days(site: Mapping[str, Any], count: int, seed: int) -> Iterator[Entry]:
    """Days of a site, each with a name.

    :param site: the site file as read
    """
    rng = random.Random(f"quota {site['name']} {seed}")
    offered = {trouble["kind"] for trouble in site["troubles"]}
    cuts = ShuffledCycle(rng, [entry for entry in CUTS if entry["kind"] in offered])
    quiet = ShuffledCycle(rng, [entry for entry in QUIET if entry["kind"] in offered])
    borrowed = [day for day in site["day"] if day["slot"] in ("trouble", "scale")]
    zones = [zone["name"] for zone in site["zones"]]
    for number in range(count):
        hot = number % 4 != 3
        day = dict(rng.choice(borrowed if hot else [day for day in site["day"] if day["slot"] == "quiet"]))
        day |= {"name": f"quota-{seed}-{number + 1}", "seed": rng.randrange(1, 1 << 28)}
        struck = []
        if hot and "hot_tenant" in offered:
            begins, lasts = rng.uniform(8.0, 14.0), rng.uniform(4.0, 9.0)
            heat = {"kind": "hot_tenant", "x": rng.choice((7.0, 8.0, 9.3)), "count": rng.choice((1, 1, 2, 4))}
            struck.append({"at": round(begins, 2), **heat, "for_s": round(lasts, 1)})
        for _ in range(rng.randrange(1, 4)):
            entry = (cuts if hot else quiet).draw()
            if entry["kind"] in ("cold_return", "zone_loss"):
                entry["zone"] = rng.choice(zones)
            at, lasts = rng.uniform(8.0, 18.0), rng.uniform(2.5, 6.0)
            struck.append({"at": round(at, 2), **entry, "for_s": round(lasts, 1)})
        change = {"kind": "config_change", "how": "quota"}
        plan = [{"at": round(rng.uniform(3.0, 22.0), 2), **change} for _ in range(2)]
        if "evacuate" in offered and rng.random() < 0.7:
            evacuation = {"kind": "evacuate", "zone": rng.choice(zones), "how": rng.choice(("", "warm"))}
            plan.append({"at": round(rng.uniform(4.0, 16.0), 2), **evacuation, "for_s": 6.0})
        day["faults"] = sorted(
            ({"how": "", **entry} for entry in struck), key=lambda entry: float(entry["at"])
        )
        day["plan"] = sorted(plan, key=lambda entry: float(entry["at"]))
        day.pop("closing", None)
        yield day


def drawn_jobs(sites: tuple[str, ...], into: str, days: int, seed: int, first: int) -> list[Job]:
    folder = pathlib.Path(into)
    folder.mkdir(parents=True, exist_ok=True)
    jobs = []
    for path in map(pathlib.Path, sites):
        site = tomllib.loads(path.read_text())
        for day in list(drawn_days(site, first + days, seed))[first:]:
            file = folder / f"{site['name']}-{day['name']}.toml"
            file.write_text(written(day))
            jobs.append(Job(path, file, day["seed"]))
    return sorted(jobs, key=lambda job: int(job.day.stem.rpartition("-")[2]))  # the sites in turn


def refused(reports: list[pathlib.Path]) -> list[str]:
    """What was refused on the days without a cut and with nobody hot."""
    lines = []
    for report in reports:
        day = tomllib.loads(report.with_suffix(".toml").read_text())
        if any(one["kind"] == "hot_tenant" for one in day["faults"]) or not report.exists():
            continue
        found = json.loads(report.read_text())
        lines.append(f"{report.stem}: refused {found.get('refused', 'not told')}")
    return lines


class Days:
    """Days that strain quotas."""

    def draw(self, *sites: str, into: str, days: int = 8, seed: int = 1, first: int = 0) -> None:
        for job in drawn_jobs(sites, into, days, seed, first):
            print(job.day)

    def play(
        self,
        *sites: str,
        into: str,
        bench: str,
        why: str,
        days: int = 8,
        seed: int = 1,
        first: int = 0,
        jobs: int = 2,
        keep: str = "",
    ) -> None:
        work = drawn_jobs(sites, into, days, seed, first)
        play_all(work, bench, why, jobs)
        self.table(*(str(job.beside(".json")) for job in work), keep=keep)

    def table(self, *reports: str, keep: str = "") -> None:
        paths = [pathlib.Path(one) for one in reports]
        told(
            "quota days",
            [*days_table(read_days(path.with_suffix(".toml") for path in paths)), "", *refused(paths)],
            keep,
        )


if __name__ == "__main__":
    fire.Fire(Days)
