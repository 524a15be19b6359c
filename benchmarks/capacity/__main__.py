"""Tables of the slopes in `docs/CAPACITY.md`.

    python -m benchmarks.capacity measure fleet-ingresses --keep FILE
    python -m benchmarks.capacity every --only edge --folder benchmarks/results
    python -m benchmarks.capacity whole --keep FILE

`measure` runs one driver at its sizes, `every` all drivers whose names begin so, `whole` one ingress and one
control member at the target itself.  Each table says by which command it was made.
"""

from __future__ import annotations

import os
import platform
import resource
from pathlib import Path

import fire  # type: ignore[import-untyped]

from benchmarks.capacity.drivers import DRIVERS, Figures, control_alone, edge_alone, joining, whole_fleet
from benchmarks.capacity.fit import fit
from benchmarks.capacity.loopback import compared

LEAST = 1e-9


def shown(value: float) -> str:
    if value and abs(value) < 0.01:
        return f"{value:.5f}"
    return f"{value:,.3f}" if abs(value) < 10 else f"{value:,.1f}" if abs(value) < 1_000 else f"{value:,.0f}"


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    return ["| " + " | ".join(row) + " |" for row in (head, ["---"] * len(head), *rows)]


def told(name: str, command: str, lines: list[str], keep: str) -> None:
    print("\n".join(lines))
    if keep:
        load = f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f} at the end"
        title = f"# Capacity: {name}\n\n`{command}`, Python {platform.python_version()}, {load}.\n"
        Path(keep).write_text("\n".join([title, *lines]) + "\n")


def slopes(sizes: list[int], target: float, found: list[Figures]) -> list[str]:
    """A row a figure: at each size, and how it grows."""
    rows = []
    for name in found[-1]:
        values = [one.get(name, 0.0) for one in found]
        if max(abs(value) for value in values) < LEAST:
            continue
        how = fit([float(size) for size in sizes], values)
        line = f"{shown(how.base)} + {shown(how.slope)} n"
        if abs(how.slope) * target < LEAST or abs(how.slope) < 0.001:
            line = f"{shown(how.base)} + {how.slope:.3g} n"
        cells = [line, f"{how.error:.0%}", how.growth, f"{how.exponent:.2f}", shown(how.at(target))]
        rows.append([name, *map(shown, values), *cells])
    head = ["figure", *map(str, sizes), "line", "error", "growth", "exponent", f"line at {target:,.0f}"]
    return table(head, rows)


class Capacity:
    """Slopes of what each role holds, sends and costs."""

    def measure(self, driver: str, sizes: str = "", keep: str = "") -> None:
        """:param sizes: with commas, instead of the driver's own"""
        chosen = DRIVERS[driver]
        given = [int(n) for n in str(sizes).strip("()").replace(" ", "").split(",") if n]
        at = given or list(chosen.sizes)
        found = [chosen.measure(size) for size in at]
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        lines = [*slopes(at, chosen.target, found), "", f"Peak memory of the measuring process: {peak} MB."]
        told(driver, f"python -m benchmarks.capacity measure {driver}", lines, keep)

    def every(self, only: str = "", folder: str = "") -> None:
        for name in DRIVERS:
            if name.startswith(only):
                print(f"\n{name}", flush=True)
                self.measure(name, keep=f"{folder}/capacity-{name}.md" if folder else "")

    def joining(self, keep: str = "") -> None:
        """Whether machines beyond the three seeds become members, by regions (4 zones each)."""
        rows = []
        for regions in (1, 2, 4):
            for members in (5, 7):
                found = [joining(regions, members, seed) for seed in (1, 2, 3)]
                cells = [", ".join(str(count) for count, _ in found), ", ".join(f"{r:.1f}" for _, r in found)]
                rows.append([str(regions), str(members), *cells])
        head = ["regions", "machines", "members after 33 s, by seed", "records a second after"]
        told("joining", "python -m benchmarks.capacity joining", table(head, rows), keep)

    def fleet(self, servers: int = 1_300, keep: str = "") -> None:
        """640 ingresses, 7 members and half of the 2,600 servers, hollow, in one process: with all of them it
        takes more than 4 GB."""
        found = whole_fleet(servers)
        found["peak memory of the measuring process, MB"] = (
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        )
        lines = table(["figure", "value"], [[name, shown(value)] for name, value in found.items()])
        told("the fleet", "python -m benchmarks.capacity fleet", lines, keep)

    def loopback(self, sizes: str = "9,40,86", members: int = 5, keep: str = "") -> None:
        """Hollow processes against the same parts over the kernel's sockets."""
        rows = compared([int(n) for n in str(sizes).strip("()").replace(" ", "").split(",")], members)
        head = ["ingresses", "figure", "hollow", "over sockets", "difference"]
        told("hollow and sockets", "python -m benchmarks.capacity loopback", table(head, rows), keep)

    def whole(self, keep: str = "") -> None:
        """An ingress, and a control member, with all of the target's state."""
        edge, control = edge_alone(1_700, 130, 61_000, 2_600, 640), control_alone(1_700, 130, 61_000)
        lines = ["## An ingress", "", *table(["figure", "value"], [[k, shown(v)] for k, v in edge.items()])]
        lines += ["", "## A control member that is alone", ""]
        lines += table(["figure", "value"], [[k, shown(v)] for k, v in control.items()])
        told("the target's state", "python -m benchmarks.capacity whole", lines, keep)


if __name__ == "__main__":
    fire.Fire(Capacity)
