"""Days of control troubles, drawn from a seed, and what became of them on the users' bench.

Usage:
  control_days draw SITE... --into FOLDER --bench PROGRAM [--days N] [--seed N] [--traffic X] [--replacement]
               [--halves] [--without KINDS]
  control_days play SITE... --into FOLDER --bench PROGRAM --why TEXT [--days N] [--seed N] [--traffic X]
               [--replacement] [--halves] [--without KINDS] [--jobs N] [--keep FILE]
  control_days table FOLDER [--before FOLDER] [--keep FILE]
  control_days (-h | --help)

Every variant of every kind that the bench's `kinds` lists for a site is drawn before any comes again.  Pairs
and triples are drawn on purpose: a loss during, as, or soon after another trouble of the core heals.  `table`
reads the reports that `play` left beside its days.

Options:
  --into FOLDER    Days, reports and what the bench printed go there.
  --bench PROGRAM  The users' bench.
  --why TEXT       Its reason for each run.
  --days N         Days for each site [default: 30].
  --seed N         The first day's seed [default: 1].
  --traffic X      Part of the site's own traffic [default: 0.3].
  --replacement    Every day begins with the replacement of a core machine.
  --halves         Every day begins with the core cut into two halves.
  --without KINDS  Kinds that are left out, with commas between them.
  --jobs N         Days at the same time [default: 2].
  --before FOLDER  Where the same days were played by an earlier program.
  --keep FILE      Write the table there, as Markdown.
"""

from __future__ import annotations

import pathlib
import sys
import tomllib
from collections.abc import Mapping
from typing import Any

from ..table import keep_table
from .draw import Request, drawn_days, written
from .kinds import listed_kinds
from .play import Job, play_all
from .table import days_table, read_days

SITE_NOTE = "sites.txt"  # beside the days: which site files they were drawn for


def drawn_jobs(arguments: Mapping[str, Any]) -> list[Job]:
    """Draw the days and write their files."""
    folder = pathlib.Path(arguments["--into"])
    folder.mkdir(parents=True, exist_ok=True)
    paths = [pathlib.Path(path) for path in arguments["SITE"]]
    jobs = []
    for path in paths:
        site = tomllib.loads(path.read_text())
        for day in drawn_days(site, request_of(arguments, path)):
            file = folder / f"{site['name']}-{day['name']}.toml"
            file.write_text(written(day))
            jobs.append(Job(path, file, day["seed"]))
    (folder / SITE_NOTE).write_text("".join(f"{path}\n" for path in paths))
    return sorted(jobs, key=lambda job: int(job.day.stem.rpartition("-")[2]))  # the sites in turn


def request_of(arguments: Mapping[str, Any], site: pathlib.Path) -> Request:
    kinds = listed_kinds(arguments["--bench"], str(site)).all
    return Request(
        kinds - frozenset((arguments["--without"] or "").split(",")),
        int(arguments["--days"]),
        int(arguments["--seed"]),
        float(arguments["--traffic"]),
        bool(arguments["--replacement"]),
        bool(arguments["--halves"]),
    )


def draw_table(arguments: Mapping[str, Any]) -> list[str]:
    return [str(job.day) for job in drawn_jobs(arguments)]


def play_table(arguments: Mapping[str, Any]) -> list[str]:
    jobs = drawn_jobs(arguments)
    play_all(jobs, arguments["--bench"], arguments["--why"], int(arguments["--jobs"]))
    return folder_table(pathlib.Path(arguments["--into"]))


def table_table(arguments: Mapping[str, Any]) -> list[str]:
    before = pathlib.Path(arguments["--before"]) if arguments["--before"] else None
    return folder_table(pathlib.Path(arguments["FOLDER"]), before)


def folder_table(folder: pathlib.Path, before: pathlib.Path | None = None) -> list[str]:
    return days_table(read_days(folder.glob("*.toml"), before), acknowledgement_bounds(folder))


def acknowledgement_bounds(folder: pathlib.Path) -> dict[str, float]:
    """`ack_ms` of the sites that the days of a folder were drawn for, as far as their files are there."""
    note = folder / SITE_NOTE
    paths = [pathlib.Path(line) for line in note.read_text().splitlines()] if note.exists() else []
    sites = [tomllib.loads(path.read_text()) for path in paths if path.exists()]
    return {site["name"]: float(site["bounds"]["ack_ms"]) for site in sites}


TABLES = {"draw": draw_table, "play": play_table, "table": table_table}


def main(argv: list[str]) -> int:
    return keep_table(__doc__, TABLES, argv, "control_days", ("NOT PLAYED", "FAULT"))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
