"""The control state under faults: real core processes on loopback, and operators who race.

Usage:
  core_campaign play [--rounds N] [--tiers N] [--sizes LIST] [--seed N] [--jobs N] [--calm N] [--logs FOLDER]
                     [--keep FILE]
  core_campaign (-h | --help)

Each round plays every kind of fault once, in an order drawn from the seed.  All calls of a tier are checked
as one history (vetchusher/emulator/control/call_history.py).

Options:
  --rounds N     For each tier [default: 10].
  --tiers N      Of each size [default: 2].
  --sizes LIST   Core machines of a tier [default: 3,5].
  --seed N       The first tier's [default: 1].
  --jobs N       Tiers at the same time [default: 2].
  --calm N       Changes acknowledged while nothing is wrong, before the first fault [default: 200].
  --logs FOLDER  Logs and disks of tiers in which anything was wrong are kept there.
  --keep FILE    Write the table there, as Markdown.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from vetchusher.control import Timing
from vetchusher.emulator.control.process_faults import FAULTS, faults_for
from vetchusher.emulator.control.process_rig import CALL_TIMEOUT_S, CATCH_UP_S, CoreRig, RunResult

from .table import keep_table

T = Timing()
# Until the voters are free of the old lease; a candidate's pause; its questions, as the dead answer none.
TAKEOVER_S = (T.lease_duration_us + T.election_jitter_us + T.pre_vote_timeout_us) / 1e6
OTHERS = (
    "kill another",
    "wipe another",
    "stop another",
    "cut off another",
    "replace another",
    "replace another as planned",
)
# By the settings, from when a majority is up.  Of those others one may be the only one in a second zone.
BOUNDS_S = {kind: T.other_zone_timeout_us / 1e6 if kind in OTHERS else TAKEOVER_S for kind in FAULTS}
# It renews until the last answer has run out, and asks on for a while.
BOUNDS_S["the primary hears nobody"] += (T.answer_valid_us + T.lease_regain_us) / 1e6


def part(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def play(size: int, seed: int, rounds: int, calm: int, logs: str) -> RunResult:
    async def script(rig: CoreRig) -> None:
        await rig.measure_idle_changes(calm)
        kinds = faults_for(size)
        for _ in range(rounds):
            for kind in rig.rng.sample(kinds, len(kinds)):
                await rig.inject_fault(kind, FAULTS[kind])
                strikes = rig.result.kill_count + rig.result.replacement_count
                print(f"{size} machines, seed {seed}: {kind}; {strikes} in all", file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory() as folder:
        rig = CoreRig(pathlib.Path(folder), size, seed)
        try:
            asyncio.run(rig.run(script))
        except (TimeoutError, OSError) as end:
            rig.result.violations.append(f"the run ended: {str(end)[:2_000]!r}")
            rig.result.violations += rig.result.history.violations()
        if rig.result.violations and logs:
            shutil.copytree(folder, pathlib.Path(logs) / f"{size}-{seed}", dirs_exist_ok=True)
    return rig.result


def play_table(told: Mapping[str, Any]) -> list[str]:
    sizes, tiers = [int(size) for size in told["--sizes"].split(",")], int(told["--tiers"])
    runs = [(size, int(told["--seed"]) + n) for n in range(tiers) for size in sizes]
    rounds, calm = int(told["--rounds"]), int(told["--calm"])
    logs = [told["--logs"] or ""] * len(runs)
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        parts = zip(*runs, strict=True)
        found = list(pool.map(play, *parts, [rounds] * len(runs), [calm] * len(runs), logs))
    lines = [
        f"Load of the machine while it ran: {os.getloadavg()[1]:.0f} on {os.cpu_count()} processors.",
        "",
    ]
    for size in sizes:
        lines += size_table(size, [f for (s, _), f in zip(runs, found, strict=True) if s == size])
    return lines


def size_table(size: int, found: Sequence[RunResult]) -> list[str]:
    struck, replaced = sum(f.kill_count for f in found), sum(f.replacement_count for f in found)
    history = [f.history for f in found]
    acknowledged = sum(w.ended_s < float("inf") for h in history for w in h.writes)
    acknowledged += sum(o.acknowledged for h in history for o in h.orders)
    wrong = [line for f in found for line in f.violations]
    calm = [ms for f in found for ms in f.calm_ms]
    calls = Counter(a.status for f in found for a in f.call_results)
    lines = [
        f"## {size} core machines, {len(found)} tiers",
        "",
        f"{struck} processes killed or wiped, {replaced} machines replaced: {struck + replaced} in all; "
        f"{sum(len(h.writes) + len(h.orders) for h in history)} changes sent, "
        f"{acknowledged} acknowledged, {sum(len(h.reads) for h in history)} read back, "
        f"{sum(len(h.observations) for h in history)} looks at zones on the disks; "
        "lost, older or never sent: "
        f"{len(wrong)}.",
        *(f"WRONG: {line}" for line in wrong[:10]),
        "",
        f"A change, calm: median {part(calm, 0.5):.1f} ms, 99th percentile {part(calm, 0.99):.1f} ms; "
        f"{part([f.calm_bytes for f in found], 0.5) / 1e3:.1f} kB written for it, to sockets and files of "
        f"all, and {part([f.calm_syncs for f in found], 0.5):.1f} syncs of all disks.",
        "",
        "Seconds without an acknowledged change; *up*: from when a majority's doors are open.",
        "",
        "| fault | times | median | 99th | most | up: median | 99th | most | bound | above it |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for kind in faults_for(size):
        s = [o.duration_s for f in found for o in f.outages if o.kind == kind]
        up = [o.majority_up_s for f in found for o in f.outages if o.kind == kind]
        cells = [*(f"{part(x, q):.2f}" for x in (s, up) for q in (0.5, 0.99, 1.0)), f"{BOUNDS_S[kind]:.1f}"]
        above = sum(one > BOUNDS_S[kind] for one in up)
        lines.append(f"| {kind} | {len(s)} | {' | '.join(cells)} | {above} |")
    lines += successors(found)
    lines += [
        "",
        f"Answers at doors of running processes to callers who wait {CALL_TIMEOUT_S:g} s:",
        "",
        "| answer | times | median ms | 99th | most | with a time to return |",
        "| --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    for status in sorted(calls):
        ms = [a.ms for f in found for a in f.call_results if a.status == status]
        back = sum(a.has_retry_after for f in found for a in f.call_results if a.status == status)
        cells = [f"{part(ms, q):.1f}" for q in (0.5, 0.99, 1.0)]
        lines.append(f"| {status or 'none'} | {len(ms)} | {' | '.join(cells)} | {back} |")
    return [*lines, ""]


def successors(found: Sequence[RunResult]) -> list[str]:
    """How long a seat took to be handed on."""
    seats, leaves = (
        [one for f in found for one in f.voter_replacements],
        [one for f in found for one in f.exits],
    )
    lines = [
        "",
        "Seconds until a set of voters with the successor stood, none of those gone in it: from the start of "
        "its process, or from the SIGTERM to the one that it replaces as planned; *up*: from when its door "
        "is open.",
        "",
        "| replacement | seats | median | 99th | most | up: median | 99th | most | bound | above it |",
        "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ]
    for kind in sorted({one.kind for one in seats}):
        s = [one.duration_s for one in seats if one.kind == kind]
        up = [one.up_s for one in seats if one.kind == kind]
        cells = [f"{part(x, q):.2f}" for x in (s, up) for q in (0.5, 0.99, 1.0)]
        above = sum(one > CATCH_UP_S for one in s)
        lines.append(f"| {kind} | {len(s)} | {' | '.join(cells)} | {CATCH_UP_S:.1f} | {above} |")
    s, killed = [one.duration_s for one in leaves], sum(one.killed for one in leaves)
    return [
        *lines,
        "",
        f"{len(leaves)} machines left as planned: seconds from SIGTERM to the exit, median "
        f"{part(s, 0.5):.2f}, most {part(s, 1.0):.2f}; {killed} were killed as their grace was over.",
    ]


def main(argv: list[str]) -> int:
    return keep_table(__doc__, {"play": play_table}, argv, "core_campaign", ("WRONG",))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
