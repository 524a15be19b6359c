"""Hundreds of changes of the configuration: what each costs, what stays behind, and who falls behind.

Usage:
  control_changes all [--changes LIST] [--routes LIST] [--seeds N] [--jobs N] [--keep FILE] [--chart FILE]
  control_changes (-h | --help)

Options:
  --changes LIST  Numbers of changes after which it is measured, with commas [default: 100,400,1500].
  --routes LIST   Routes of the configuration, with commas [default: 100,1000,5000].
  --seeds N       Days in virtual time for each size and core [default: 2].
  --jobs N        Runs at the same time [default: 3].
  --keep FILE     Write the tables there, as Markdown.
  --chart FILE    Draw them there, as PNG.

On disk: the real stores in a folder of their own, in a process of its own.  One change: a route changed, one
added, one gone.  Virtual time: `vetchusher/emulator/control/changes.py`.
"""

from __future__ import annotations

import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from statistics import median
from typing import Any

from vetchusher.control import PersistentState, ReplaceOrder, Store
from vetchusher.control.state import apply_order, initial_replica_set, initial_state, state_stamp
from vetchusher.control.state_copy import copy_state
from vetchusher.distribution.rows import encode_rows
from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.distribution.source import Source
from vetchusher.distribution.stamps import ZERO_STAMP
from vetchusher.emulator.control.changes import FAULTS, ChangeRun, Recovery, deployment_settings
from vetchusher.settings.configuration import read_configuration

from .table import keep_table

DISK_MB = 256
ZONES = {3: ("east", "east", "west"), 5: ("east", "east", "east", "west", "west")}
LEVEL_MS = 2000  # the bound for a machine that comes back


# -- on disk ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class OnDisk:
    """After so many changes, with medians of what one cost since the figure before.

    :param control: bytes of the control state's file and log; `told`: the same of what has been told
    :param control_written: bytes written for a change, `told_written`: the same
    :param delta: bytes of the news to a reader that has the version before; `whole`: to one that has none
    :param gone: names of rows that are gone
    :param memory: kB resident, of the process that runs all this
    :param reopened_ms: to open and load both files again
    """

    routes: int
    changes: int
    body: int
    control: int
    told: int
    control_written: float
    told_written: float
    control_ms: float
    told_ms: float
    delta: float
    whole: int
    gone: int
    memory: int
    reopened_ms: float


def body_of(version: int, routes: int) -> bytes:
    """One route changed, one added and one gone from one version to the next."""
    rows = [
        {
            "host": f"host{number}.example",
            "path_prefix": f"/path{number}/",
            "route_type": "safe",
            "service": "service",
            "timeout_ms": 1000 + (version if number == version + routes // 2 else 0),
            "max_attempts": 2,
        }
        for number in range(version, version + routes)
    ]
    services = [{"name": "service"}]
    return json.dumps({"version": f"r{version}", "routes": rows, "services": services}).encode()


def written() -> int:
    """Bytes that this process has written."""
    lines = pathlib.Path("/proc/self/io").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("wchar"))


def resident() -> int:
    lines = pathlib.Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))


def size_of(folder: str, name: str) -> int:
    return sum(path.stat().st_size for path in pathlib.Path(folder).glob(f"{name}*"))


class Disk:
    """Both stores in one folder, and the source of what is told."""

    def __init__(self, folder: str, routes: int) -> None:
        self.folder, self.routes = folder, routes
        self.store = Store.open(folder, DISK_MB).unwrap()
        self.snapshot = SnapshotStore.open(folder, DISK_MB).unwrap()
        self.source = Source("control")
        self.state = copy_state(initial_state(), (1, 0))
        self.costs: list[tuple[int, float, int, float, int]] = []

    def change(self, version: int) -> None:
        body = body_of(version, self.routes)
        self.state = apply_order(copy_state(self.state, (1, version)), ReplaceOrder(version, body)).unwrap()
        rows = encode_rows(read_configuration(body).unwrap(), body, {})
        before, began = written(), time.perf_counter()
        self.store.save(PersistentState(1, self.state, "1", initial_replica_set("123"))).unwrap()
        between, saved = written(), time.perf_counter()
        last = self.source.stamp
        self.source.publish(state_stamp(self.state), rows)
        news = self.source.update_since(last)
        assert news is not None
        told = time.perf_counter()
        self.snapshot.save(news).unwrap()
        ended = time.perf_counter()
        self.costs.append(
            (between - before, saved - began, written() - between, ended - told, news.ByteSize())
        )

    def measure(self, changes: int) -> OnDisk:
        control_written, control_s, told_written, told_s, delta = (
            median(cost) for cost in zip(*self.costs, strict=True)
        )
        self.costs.clear()
        whole = self.source.update_since(ZERO_STAMP)
        assert whole is not None
        return OnDisk(
            self.routes,
            changes,
            len(self.state.configuration),
            size_of(self.folder, "comb.sqlite3"),
            size_of(self.folder, "told.sqlite3"),
            control_written,
            told_written,
            1000 * control_s,
            1000 * told_s,
            delta,
            whole.ByteSize(),
            len(self.source.removed),
            resident(),
            self.reopen(),
        )

    def reopen(self) -> float:
        """Milliseconds until both have been read again, which must be what was saved."""
        self.store.close()
        self.snapshot.close()
        began = time.perf_counter()
        self.store = Store.open(self.folder, DISK_MB).unwrap()
        kept = self.store.load().unwrap()
        self.snapshot = SnapshotStore.open(self.folder, DISK_MB).unwrap()
        again = Source("control")
        self.snapshot.load({"control": again}).unwrap()
        took = time.perf_counter() - began
        assert kept is not None and kept.state == self.state, "the control state is not what was saved"
        assert (again.stamp, again.values()) == (self.source.stamp, self.source.values()), "news differ"
        return 1000 * took


def on_disk(routes: int, steps: list[int]) -> list[OnDisk]:
    found = []
    with tempfile.TemporaryDirectory() as folder:
        disk = Disk(folder, routes)
        for version in range(1, max(steps) + 1):
            disk.change(version)
            if version in steps:
                found.append(disk.measure(version))
    return found


# -- in virtual time -------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Day:
    """:param waits: ms that changes waited, by the trouble that they were sent in
    :param sent: bytes between core machines, by kind of message
    """

    routes: int
    machines: int
    changes: int
    wrong: list[str]
    waits: dict[str, list[float]]
    returns: list[Recovery]
    sent: dict[str, int]
    whole_writes: int
    syncs: int
    entries: int


def day(routes: int, machines: int, changes: int, seed: int) -> Day:
    """The longer a day, the more troubles it has, each at least once in 100 changes."""
    played = ChangeRun(deployment_settings(routes, seed, ZONES[machines]), changes)
    wrong = played.run()
    waits = {kind: [us / 1000 for us in times] for kind, times in played.wait_times_us().items()}
    traffic = played.traffic
    return Day(
        routes,
        machines,
        changes,
        wrong,
        waits,
        played.recoveries,
        dict(traffic.sent_bytes),
        traffic.messages["write: whole"],
        traffic.syncs,
        played.max_retained_entries(),
    )


# -- tables ----------------------------------------------------------------------------------------


def kilo(number: float) -> str:
    return f"{number / 1000:,.1f}"


def disk_lines(found: list[OnDisk]) -> list[str]:
    lines = [
        "## On disk, in memory, to an ingress",
        "",
        "| routes | changes | body, kB | control, kB | told, kB | control: kB, ms a change"
        " | told: kB, ms a change | news, kB: one version, all | names gone | resident, MB"
        " | opened again, ms |",
        "| ---: " * 11 + "|",
    ]
    for one in found:
        cells = [
            f"{one.routes:,}",
            f"{one.changes:,}",
            kilo(one.body),
            kilo(one.control),
            kilo(one.told),
            f"{kilo(one.control_written)}, {one.control_ms:.1f}",
            f"{kilo(one.told_written)}, {one.told_ms:.1f}",
            f"{kilo(one.delta)}, {kilo(one.whole)}",
            f"{one.gone:,}",
            kilo(one.memory),
            f"{one.reopened_ms:.0f}",
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def shown(times: list[float]) -> str:
    return f"{median(times):,.0f}, {max(times):,.0f}" if times else "-"


def traffic_lines(days: list[Day]) -> list[str]:
    lines = [
        "## Between core machines, in virtual time",
        "",
        "| routes | machines | changes | kB a change: deltas, wholes, others | whole bodies | syncs a change"
        " | most entries of one machine | broken |",
        "| ---: " * 8 + "|",
    ]
    for one in days:
        sent = [
            one.sent.get("write: delta", 0),
            one.sent.get("write: whole", 0),
            one.sent.get("others", 0) + one.sent.get("write: no body", 0),
        ]
        cells = [
            f"{one.routes:,}",
            f"{one.machines}",
            f"{one.changes:,}",
            ", ".join(kilo(part / one.changes) for part in sent),
            f"{one.whole_writes:,}",
            f"{one.syncs / one.changes:.1f}",
            f"{one.entries}",
            ("; ".join(one.wrong) and f"WRONG {one.wrong[0]}") or "0",
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def return_lines(days: list[Day]) -> list[str]:
    lines = [
        "## Machines that came back, and changes meanwhile",
        "",
        "Level: what was newest as it came back is told there, and on its disk where it holds a copy. Waits:"
        " from the first sending of a change to its acknowledgement. Milliseconds, median and worst.",
        "",
        "| routes | machines | trouble | times | missed changes, most | level as a reader | level as a copy"
        " | waits |",
        "| ---: " * 8 + "|",
    ]
    for routes, machines in dict.fromkeys((one.routes, one.machines) for one in days):
        group = [one for one in days if (one.routes, one.machines) == (routes, machines)]
        for trouble in FAULTS:
            back = [each for one in group for each in one.returns if each.fault == trouble]
            reads = [each.read_catch_up_us / 1000 for each in back if each.read_catch_up_us is not None]
            copies = [each.copy_catch_up_us / 1000 for each in back if each.copy_catch_up_us is not None]
            waits = [each for one in group for each in one.waits.get(trouble, [])]
            late = "NOT LEVEL " if len(reads) < len(back) or max([0, *reads, *copies]) > LEVEL_MS else ""
            missed = max((each.missed_changes for each in back), default=0)
            cells = [f"{routes:,}", f"{machines}", trouble, f"{len(back)}", f"{missed}"]
            cells += [late + shown(reads), shown(copies), shown(waits)]
            lines.append(f"| {' | '.join(cells)} |")
    return lines


def numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


def every(told: Any) -> list[str]:
    steps, sizes = numbers(told["--changes"]), numbers(told["--routes"])
    plans = list(product(sizes, ZONES, steps, range(1, int(told["--seeds"]) + 1)))
    with ProcessPoolExecutor(int(told["--jobs"]), max_tasks_per_child=1) as pool:
        disks = [pool.submit(on_disk, routes, steps) for routes in sizes]
        days = [pool.submit(day, *plan) for plan in plans]
        found = [line for one in disks for line in one.result()]
        played = [one.result() for one in days]
    if told["--chart"]:
        draw(found, played, told["--chart"])
    parts = (disk_lines(found), traffic_lines(played), return_lines(played))
    return [line for part in parts for line in (*part, "")]


def draw(found: list[OnDisk], days: list[Day], file: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 4, figsize=(17, 4))
    for routes in dict.fromkeys(one.routes for one in found):
        line = [one for one in found if one.routes == routes]
        x = [one.changes for one in line]
        label = f"{routes:,} routes"
        axes[0].plot(x, [(one.control + one.told) / 1e6 for one in line], "o-", label=label)
        axes[1].plot(x, [one.memory / 1000 for one in line], "o-", label=label)
        for machines in ZONES:
            points = list(bytes_a_change(days, routes, machines))
            style = "o-" if machines == 3 else "o--"
            axes[2].plot(*zip(*points, strict=True), style, label=f"{label}, {machines} machines")
            worst = [(x, level_of(days, routes, machines, x)) for x, _ in points]
            axes[3].plot(*zip(*worst, strict=True), style, label=f"{label}, {machines} machines")
    titles = (
        "disk of a core machine, MB",
        "resident, MB",
        "sent between core machines, kB a change",
        "longest until level, ms",
    )
    for axis, title in zip(axes, titles, strict=True):
        axis.set_title(title)
        axis.set_xlabel("changes")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(file, dpi=80)


def bytes_a_change(days: list[Day], routes: int, machines: int) -> Iterator[tuple[int, float]]:
    group = [one for one in days if (one.routes, one.machines) == (routes, machines)]
    for changes in dict.fromkeys(one.changes for one in group):
        part = [sum(one.sent.values()) / changes / 1000 for one in group if one.changes == changes]
        yield changes, median(part)


def level_of(days: list[Day], routes: int, machines: int, changes: int) -> float:
    group = [one for one in days if (one.routes, one.machines, one.changes) == (routes, machines, changes)]
    back = [each for one in group for each in one.returns]
    times = [
        us / 1000 for each in back for us in (each.read_catch_up_us, each.copy_catch_up_us) if us is not None
    ]
    return max(times, default=0.0)


TABLES = {"all": every}


def main(argv: list[str]) -> int:
    return keep_table(__doc__, TABLES, argv, "control_changes", bad=("WRONG", "NOT LEVEL"))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
