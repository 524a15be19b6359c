"""Calm days of deployments, played by a bench and compared: refusals break no rule, and so hunts miss them.

Each seed draws a day without plan or fault.  The table lists each with its worth, the share served, refused
and failed, and marks a day that is below the others.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass

from docopt import docopt

from .table import markdown_table, seed_range

USAGE = """Usage: benchmarks.calm_days BENCH SITE... [options]

BENCH is the program that plays days, SITE the file of a deployment.

  --seeds=RANGE  seeds of the days [default: 530000..530019]
  --until=S      seconds that are played [default: 12]
  --jobs=N       days at a time [default: 2]
  --why=TEXT     for the bench's journal [default: calm days compared]
  --keep=FILE    a file for the table
"""
DAY = 'name = "calm"\nslot = "trouble"\nseed = {seed}\nplan = []\nfaults = []\n'
WORTH_BELOW = 0.05  # of the median of the days: such a day is marked
REFUSED_ABOVE = 0.002  # of the requests owed: such a day is marked
RUN_TIMEOUT_S = 900


@dataclass(slots=True, frozen=True)
class CalmDay:
    """What a bench reported of one day; shares of what was owed."""

    site: str
    seed: int
    worth: float
    served: float
    refused: float
    failed: float
    fault: str

    def is_low(self, median: float) -> bool:
        """Return whether it is below the others."""
        return self.worth < median - WORTH_BELOW or self.refused > REFUSED_ABOVE or bool(self.fault)


def play(bench: str, site: pathlib.Path, seed: int, until_s: int, why: str) -> CalmDay:
    """Play one day; a day without a report is one with a fault."""
    with tempfile.TemporaryDirectory() as folder:
        day, report = pathlib.Path(folder, "day.toml"), pathlib.Path(folder, "report.json")
        day.write_text(DAY.format(seed=seed))
        command = [bench, "run", str(site), str(day), "--until", str(until_s), "--report", str(report)]
        done = subprocess.run(
            [*command, "--why", why], capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
        )
        if not report.exists():
            lines = (done.stdout + done.stderr).strip().splitlines()
            return CalmDay(site.stem, seed, 0.0, 0.0, 0.0, 0.0, lines[-1] if lines else "no report")
        told = json.loads(report.read_text())
        broken = told.get("fault") or ""
        return CalmDay(
            site.stem, seed, told["G"], told["served"], told["refused"], told["failed"], str(broken)
        )


def rows_of(days: Sequence[CalmDay]) -> list[list[object]]:
    """Return the rows of the table, the days below the others marked."""
    rows: list[list[object]] = []
    for site in sorted({day.site for day in days}):
        of_site = [day for day in days if day.site == site]
        median = statistics.median(day.worth for day in of_site)
        for day in sorted(of_site, key=lambda one: one.worth):
            shares = [f"{share:.3f}" for share in (day.worth, day.served, day.refused, day.failed)]
            rows.append([site, day.seed, *shares, "low" if day.is_low(median) else "", day.fault])
    return rows


def lines_of(days: Sequence[CalmDay]) -> list[str]:
    """Return the table in Markdown."""
    head = ["deployment", "seed", "worth", "served", "refused", "failed", "", "fault"]
    return markdown_table(head, rows_of(days))


def main(argv: list[str]) -> int:
    """Play the days and print the table; return 1 if any is low."""
    told = docopt(USAGE, argv)
    with concurrent.futures.ThreadPoolExecutor(int(told["--jobs"])) as pool:
        runs = [
            pool.submit(play, told["BENCH"], pathlib.Path(site), seed, int(told["--until"]), told["--why"])
            for site in told["SITE"]
            for seed in seed_range(told["--seeds"])
        ]
        lines = lines_of([run.result() for run in runs])
    print("\n".join(lines))
    if told["--keep"]:
        pathlib.Path(told["--keep"]).write_text("\n".join(lines) + "\n")
    return 1 if any(" low " in line for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
