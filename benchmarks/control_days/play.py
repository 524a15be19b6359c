"""Plays days on the users' bench; reports and what was printed lie beside the day files."""

from __future__ import annotations

import pathlib
import subprocess
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

PLAY_S = 900  # a day that takes longer is given up, and the table says so


@dataclass(slots=True, frozen=True)
class Job:
    """A day to play.

    :param site: path of the site file
    :param day: path of the day file
    """

    site: pathlib.Path
    day: pathlib.Path
    seed: int

    def beside(self, suffix: str) -> pathlib.Path:
        return self.day.with_suffix(suffix)


def played(job: Job, bench: str, why: str) -> None:
    """One day; its report and what was printed lie beside it afterwards.

    :param bench: the program
    :param why: for its journal
    """
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


def play_all(jobs: Sequence[Job], bench: str, why: str, at_once: int) -> None:
    """All the days, some of them at the same time."""
    with ThreadPoolExecutor(at_once) as pool:
        for _ in pool.map(lambda job: played(job, bench, why), jobs):
            pass
