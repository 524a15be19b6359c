"""Overspend and shortfall while the counter is lost, slow, emptied, replaced or split.

Usage:
  counter_loss virtual [options]
  counter_loss sockets [options]
  counter_loss (-h | --help)

`virtual` plays the decision module alone, in virtual time; `sockets` real ingresses on loopback, among
stand-ins.  Each run lasts a minute, with the fault from second 20 to 32.  Overspend is a part of a firm's
allowance over a minute.

Options:
  --seeds N      Runs of each row [default: 28].
  --ingresses N  Ingresses of the cluster [default: 3].
  --firms N      Member firms [default: 48].
  --rows LIST    Names of rows, with commas between them; without it, all.
  --wrong-views  Each ingress is told another drawn view of who lives, each second (virtual time only).
  --deaf         The ingresses may not send one another datagrams.
  --deployment NAME  The shape of the deployment, first or second (units settled, a ceiling) [default: first].
  --jobs N       Runs at the same time [default: 4].
  --keep FILE    Write the table there, as Markdown.
"""

from __future__ import annotations

import asyncio
import pathlib
import platform
import sys
import tempfile
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import fmean, median

from docopt import docopt

from vetchusher.emulator.faults import Fault, FaultKind, Script
from vetchusher.emulator.network import Cut
from vetchusher.emulator.quota.audit import Findings
from vetchusher.emulator.quota.demand import SECOND
from vetchusher.emulator.quota.deployments import DEPLOYMENTS
from vetchusher.emulator.quota.virtual import Outage, Scene, World
from vetchusher.emulator.rig import Rig

BEGINS, ENDS = 20 * SECOND, 32 * SECOND
SIDES = tuple(range(16))


def lasting(kind: FaultKind, factor: float = 1.0, sides: tuple[int, ...] = ()) -> Fault:
    return Fault(kind, BEGINS, ENDS, factor=factor, sides=sides)


SILENT = lasting(FaultKind.SILENT)
ROWS: dict[str, tuple[tuple[Fault, ...], dict[str, object]]] = {
    "none": ((), {}),
    "silent": ((SILENT,), {}),
    "mute": ((lasting(FaultKind.MUTE),), {}),
    "refusing": ((lasting(FaultKind.REFUSING),), {}),
    "slow": ((lasting(FaultKind.SLOW, factor=8.0),), {}),
    "emptied": ((Fault(FaultKind.EMPTY, BEGINS), Fault(FaultKind.EMPTY, 26 * SECOND)), {}),
    "silent-then-empty": ((SILENT, Fault(FaultKind.EMPTY, ENDS - SECOND)), {}),
    "replaced": ((Fault(FaultKind.REPLACED, BEGINS),), {}),
    "spoilt": ((lasting(FaultKind.SPOILT),), {}),
    "split": ((lasting(FaultKind.SPLIT, sides=SIDES),), {}),
    "split-pair": ((lasting(FaultKind.SPLIT, sides=(0, 1, 1, 0)),), {}),
    "split-and-cut": ((lasting(FaultKind.SPLIT, sides=SIDES),), {"cuts": (Cut(BEGINS, ENDS, SIDES),)}),
    "restart": ((SILENT,), {"outages": (Outage(1, 23 * SECOND, 25 * SECOND),)}),
    "clocks": ((SILENT,), {"clock_spread": 50_000}),
}


@dataclass(slots=True, frozen=True)
class Run:
    findings: Findings
    calls_each: float
    bytes_each: float


def scene_of(
    row: str, seed: int, ingresses: int, firms: int, deaf: bool, deployment: str, wrong_views: bool
) -> Scene:
    faults, changed = ROWS[row]
    base = Scene(seed=seed, ingresses=ingresses, firms=firms, script=Script(faults), peers=not deaf)
    base.deployment, base.wrong_views = DEPLOYMENTS[deployment], wrong_views
    for name, value in changed.items():
        setattr(base, name, value)
    return base


def play_virtual(scene: Scene) -> Run:
    done = World(scene).run()
    return Run(done.findings, done.calls_each, done.bytes_each)


def play_sockets(scene: Scene) -> Run:
    with tempfile.TemporaryDirectory() as folder:
        done = asyncio.run(Rig(scene, pathlib.Path(folder)).run())
    return Run(done.findings, done.calls_each, done.bytes_each)


HEAD = (
    "| fault | overspend: worst | median run | mean firm | twice their quota: sent | least "
    "| below half: lost | most | calls a command | peer bytes |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def line(row: str, runs: list[Run]) -> str:
    found = [r.findings for r in runs]
    cells = [
        f"{max(f.worst for f in found):.3f}",
        f"{median(f.worst for f in found):.3f}",
        f"{fmean(f.mean for f in found):.4f}",
        f"{fmean(f.heavy_sent for f in found):.3f}",
        f"{min(f.heavy_sent for f in found):.3f}",
        f"{fmean(f.light_lost for f in found):.4f}",
        f"{max(f.light_lost for f in found):.3f}",
        f"{fmean(r.calls_each for r in runs):.2f}",
        f"{fmean(r.bytes_each for r in runs):.1f}",
    ]
    return f"| {row} | " + " | ".join(cells) + " |"


def tables(play: Callable[[Scene], Run], told: dict[str, object], rows: list[str]) -> list[str]:
    seeds, ingresses, firms = (int(str(told[n])) for n in ("--seeds", "--ingresses", "--firms"))
    deployment, deaf, wrong = str(told["--deployment"]), bool(told["--deaf"]), bool(told["--wrong-views"])
    lines = HEAD.split("\n")
    print("\n".join(lines), flush=True)
    with ProcessPoolExecutor(int(str(told["--jobs"]))) as pool:
        due = {
            row: [
                pool.submit(play, scene_of(row, seed, ingresses, firms, deaf, deployment, wrong))
                for seed in range(1, seeds + 1)
            ]
            for row in rows
        }
        for row, runs in due.items():
            lines.append(line(row, [run.result() for run in runs]))
            print(lines[-1], flush=True)
    return lines


def main(argv: list[str]) -> int:
    told = docopt(__doc__, argv)
    # Processes on one machine share its clock.
    possible = [row for row in ROWS if told["virtual"] or "clock_spread" not in ROWS[row][1]]
    rows = str(told["--rows"]).split(",") if told["--rows"] else possible
    if unknown := [r for r in rows if r not in possible]:
        print(f"counter_loss: no such row: {unknown[0]}; there are {', '.join(possible)}", file=sys.stderr)
        return 2
    if told["--deployment"] not in DEPLOYMENTS:
        print(f"counter_loss: no such deployment: {told['--deployment']}", file=sys.stderr)
        return 2
    mode = "virtual" if told["virtual"] else "sockets"
    lines = tables(play_virtual if mode == "virtual" else play_sockets, told, rows)
    if told["--keep"]:
        peers = "no messages" if told["--deaf"] else "messages, 7% lost"
        peers += ", views drawn anew each second" if told["--wrong-views"] else ""
        title = (
            f"# Counter loss, {mode}: {told['--ingresses']} ingresses, {told['--firms']} firms, "
            f"{told['--seeds']} seeds, {told['--deployment']} deployment, {peers}\n\n"
            f"`python -m benchmarks.counter_loss {' '.join(argv)}`, Python {platform.python_version()}.\n"
        )
        pathlib.Path(str(told["--keep"])).write_text("\n".join([title, *lines]) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
