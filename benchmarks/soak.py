"""Soak of real processes on this machine, seed by seed; a table of what was played and what was broken."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys

from docopt import docopt

from vetchusher.emulator.system.soak import Soak, SoakSize

from .table import markdown_table, seed_range

USAGE = """Usage: benchmarks.soak [options]

Each process takes some 50 MB: have --core and --edge fit into half of the memory.

  --seeds=RANGE  of the runs [default: 1..10]
  --core=N       control nodes [default: 3]
  --edge=N       ingresses [default: 4]
  --length=S     seconds of faults in a run [default: 12]
  --folder=DIR   settings, disks and logs of broken runs stay below it [default: /tmp/vetchusher-soak]
  --keep=FILE    a file for the table
"""
HEAD = ["seed", "core", "edge", "requests", "closed", "503", "term", "kill", "hup", "change", "broken"]


def play(seed: int, shape: SoakSize, length_s: float, below: pathlib.Path) -> list[object]:
    """Play one run; return its row.  The folder of a whole run is removed."""
    folder = below / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)

    async def run() -> tuple[Soak, list[str]]:
        soak = Soak(seed, shape, length_s)
        return soak, await soak.run(folder)

    soak, broken = asyncio.run(run())
    for line in broken:
        print(f"seed {seed}: {line}", flush=True)
    if not broken:
        shutil.rmtree(folder)
    seen, faults = soak.statuses, soak.faults
    counts = [len(soak.requests), seen["closed"], seen["503"]]
    done = [faults[name] for name in ("term", "kill", "hup", "change")]
    return [seed, shape.core, shape.edge, *counts, *done, len(broken)]


def main(argv: list[str]) -> int:
    """Play the seeds; return 1 if anything was broken."""
    told = docopt(USAGE, argv)
    shape = SoakSize(int(told["--core"]), int(told["--edge"]))
    rows: list[list[object]] = []
    for seed in seed_range(told["--seeds"]):
        rows.append(play(seed, shape, float(told["--length"]), pathlib.Path(told["--folder"])))
        print(" ".join(str(cell) for cell in rows[-1]), flush=True)
    lines = markdown_table(HEAD, rows)
    if told["--keep"]:
        pathlib.Path(told["--keep"]).write_text("\n".join(lines) + "\n")
    return 1 if any(row[-1] for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
