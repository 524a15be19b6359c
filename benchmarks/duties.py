"""Duties under faults: real processes, virtual time, all interleavings, and guards taken out in turn.

Usage:
  duties processes [--rounds N] [--seed N] [--members N] [--voters N] [--lease MS] [--jobs N] [--keep FILE]
  duties virtual [--runs N] [--seed N] [--length S] [--jobs N] [--keep FILE]
  duties messages [--keep FILE]
  duties explore [--states N] [--walks N] [--keep FILE]
  duties cpu [--members N] [--lease MS] [--seconds S] [--keep FILE]
  duties planted [--runs N] [--jobs N] [--keep FILE]
  duties (-h | --help)

Options:
  --rounds N   Times that each kind of fault is played in each cluster [default: 2].
  --runs N     Runs in virtual time [default: 100].
  --seed N     The first seed [default: 1].
  --length S   Seconds of a run in virtual time [default: 300].
  --seconds S  That idle processes are watched for [default: 20].
  --members N  Processes of a cluster [default: 5].
  --voters N   Of them, voters [default: 3].
  --lease MS   The lease [default: 600].
  --states N   States that all interleavings are followed to [default: 200000].
  --walks N    Random walks beyond [default: 20000].
  --jobs N     Clusters or runs at the same time [default: 2].
  --keep FILE  Write the table there, as Markdown.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from vetchusher.emulator.duties.explorer import STARTS, explore, wander
from vetchusher.emulator.duties.mutations import PLANTED, planted
from vetchusher.emulator.duties.rig import FAULTS, Cluster, Outcome
from vetchusher.emulator.duties.world import Found, Scene, World
from vetchusher.emulator.explorer import Explored
from vetchusher.emulator.fleet_world import SECOND

from .table import keep_table


def part(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def play_tier(seed: int, rounds: int, members: int, voters: int, lease_ms: int) -> Outcome:
    """Each kind of fault so many times, and as many pairs of kinds, in an order drawn from the seed."""
    rng = random.Random(seed)
    kinds = list(FAULTS) * rounds
    rng.shuffle(kinds)

    async def script(cluster: Cluster) -> None:
        await cluster.until_held()
        for number, kind in enumerate(kinds):
            if number % 3 == 2:  # a pair: the second begins while the first lasts
                await asyncio.gather(cluster.fault(kind), cluster.fault(rng.choice(list(FAULTS))))
            else:
                await cluster.fault(kind)
            for n in range(cluster.members):
                if not cluster.processes.alive(n):
                    await cluster.start(n)
            await cluster.until_held()
            await cluster.last(rng.uniform(0.2, 1.5))

    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(pathlib.Path(folder), members, voters, lease_ms, seed=seed)
        return asyncio.run(cluster.run(script))


def processes_table(told: dict[str, str]) -> list[str]:
    rounds, members, voters = int(told["--rounds"]), int(told["--members"]), int(told["--voters"])
    lease, first, jobs = int(told["--lease"]), int(told["--seed"]), int(told["--jobs"])
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(first, first + jobs)
        runs = list(pool.map(play_tier, seeds, *([n] * jobs for n in (rounds, members, voters, lease))))
    free: dict[str, list[float]] = defaultdict(list)
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        for kind, seconds in run.gaps:
            free[kind].append(seconds)
        for kind, _ in run.faults:
            count[kind] += 1
    lines = [
        "| fault | played | without a holder | median s | 99th percentile s |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind in FAULTS:
        times = free[kind]
        lines.append(
            f"| {kind} | {count[kind]} | {len(times)} | {part(times, 0.5):.2f} | {part(times, 0.99):.2f} |"
        )
    faults = [fault for run in runs for fault in run.wrong]
    lines += [
        "",
        f"{sum(count.values())} faults, {sum(len(r.held) for r in runs)} terms, "
        f"{sum(r.periods for r in runs)} periods delivered once each, {sum(r.refused for r in runs)} records "
        f"refused by the sink. Seen that should never be: {len(faults)}. The bound after a loss is "
        f"{2 * lease / 1000:g} s.",
        *(f"- {fault}" for fault in faults[:20]),
    ]
    return lines


def scene_of(seed: int, length: int) -> Scene:
    members, voters = ((5, 3), (9, 5), (40, 5), (7, 3), (200, 5), (12, 7))[seed % 6]
    return Scene(seed=seed, members=members, voters=voters, duties=1 + seed % 3, duration_us=length * SECOND)


def play_virtual(seed: int, length: int) -> tuple[Scene, Found]:
    scene = scene_of(seed, length)
    return scene, World(scene).run()


def virtual_table(told: dict[str, str]) -> list[str]:
    seeds = range(int(told["--seed"]), int(told["--seed"]) + int(told["--runs"]))
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        runs = list(pool.map(play_virtual, seeds, [int(told["--length"])] * len(seeds)))
    by_size: dict[tuple[int, int], list[Found]] = defaultdict(list)
    for scene, found in runs:
        by_size[scene.members, scene.voters].append(found)
    lines = [
        "| members | voters | runs | events | faults | terms | wrong | part of the time held |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for (members, voters), of_size in sorted(by_size.items()):
        events, faults = sum(f.events for f in of_size), sum(f.faults.total() for f in of_size)
        terms, wrong = sum(f.terms for f in of_size), sum(len(f.wrong) for f in of_size)
        held = sum(f.held_part for f in of_size) / len(of_size)
        lines.append(
            f"| {members} | {voters} | {len(of_size)} | {events} | {faults} | {terms} | {wrong} "
            f"| {held:.3f} |"
        )
    total = sum(f.events for _, f in runs)
    return [
        *lines,
        "",
        f"{total} events in all; acts with an old token that reached their target: "
        f"{sum(f.stale_acts for _, f in runs)}, none of them accepted.",
    ]


def messages_table(_: dict[str, str]) -> list[str]:
    lines = [
        "| members | duties | a voter says a second | another says at most |",
        "| --- | --- | --- | --- |",
    ]
    for members in (5, 40, 200):
        for duties in (1, 10):
            scene = Scene(members=members, voters=5, duties=duties, faults=False, duration_us=60 * SECOND)
            rates = World(scene).run().per_member
            voters, others = rates[:5], rates[5:]
            most = max(others) if others else 0.0
            lines.append(f"| {members} | {duties} | {sum(voters) / 5:.1f} | {most:.1f} |")
    return lines


def explore_table(told: dict[str, str]) -> list[str]:
    lines = [
        "| start | states | depth seen whole | walks of 60 steps | wrong |",
        "| --- | --- | --- | --- | --- |",
    ]
    for begin in STARTS:
        whole = explore(int(told["--states"]), begin=begin)
        walks = wander(int(told["--walks"]), 60, 1, begin)
        wrong = whole.wrong or walks.wrong or "nothing"
        lines.append(f"| {begin} | {whole.states} | {whole.depth} | {told['--walks']} | {wrong} |")
    return lines


SHAPES = (
    Scene(duration_us=100 * SECOND, mean_fault_interval_us=4 * SECOND),
    Scene(
        duration_us=100 * SECOND,
        mean_fault_interval_us=4 * SECOND,
        min_latency_ms=1,
        max_latency_ms=2,
        max_clock_drift=0.02,
    ),
    Scene(
        duration_us=100 * SECOND,
        mean_fault_interval_us=5 * SECOND,
        fault_names=("voters restarted", "killed"),
    ),
)


def plant(name: str, runs: int) -> tuple[str, str, int]:
    """What finds a guard taken out: walks, or the world; after how many runs."""
    with planted(name):
        for begin in STARTS:
            walks: Explored = wander(1_500, 60, 2, begin)
            if walks.wrong:
                return name, f"walks from {begin}: {walks.wrong}", walks.states
        for seed in range(1, runs + 1):
            tokens = name != "no target looks at tokens"
            scene = replace(SHAPES[seed % len(SHAPES)], seed=seed, checks_tokens=tokens)
            found = World(scene).run()
            if found.wrong:
                return name, f"virtual time, run {seed}: {found.wrong[0]}", found.events
    return name, "not found", 0


def planted_table(told: dict[str, str]) -> list[str]:
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        rows = list(pool.map(plant, PLANTED, [int(told["--runs"])] * len(PLANTED)))
    lines = ["| guard taken out | found by | states or events of that run |", "| --- | --- | --- |"]
    return lines + [f"| {name} | {how} | {count} |" for name, how, count in rows]


def cpu_of(cluster: Cluster) -> float:
    """Seconds of CPU that the cluster's processes have used."""
    ticks = 0
    for number in range(cluster.members):
        for process in cluster.processes.alive(number):
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def watch(told: dict[str, str], shares: bool) -> tuple[float, float]:
    """CPU a second of one idle process, and megabytes it holds."""
    seconds, used = float(told["--seconds"]), [0.0, 0.0]

    async def script(cluster: Cluster) -> None:
        await asyncio.sleep(4.0)
        before = cpu_of(cluster)
        await asyncio.sleep(seconds)
        used[0] = (cpu_of(cluster) - before) / seconds / cluster.members
        statuses = (
            pathlib.Path(f"/proc/{cluster.processes.alive(n)[0].pid}/status") for n in range(cluster.members)
        )
        used[1] = (
            sum(int(s.read_text().split("VmRSS:")[1].split()[0]) for s in statuses) / 1024 / cluster.members
        )

    with tempfile.TemporaryDirectory() as folder:
        members, lease = int(told["--members"]), int(told["--lease"])
        cluster = Cluster(pathlib.Path(folder), members, 3, lease, period_s=10, shares=shares)
        asyncio.run(cluster.run(script))
    return used[0], used[1]


def cpu_table(told: dict[str, str]) -> list[str]:
    lines = ["| an idle process | CPU a second | MB held |", "| --- | --- | --- |"]
    for shares, name in ((False, "without --fleet"), (True, "with two duties and the report")):
        cpu, held = watch(told, shares)
        lines.append(f"| {name} | {cpu * 1000:.1f} ms | {held:.0f} |")
    return lines


TABLES = {
    "processes": processes_table,
    "virtual": virtual_table,
    "messages": messages_table,
    "explore": explore_table,
    "planted": planted_table,
    "cpu": cpu_table,
}


if __name__ == "__main__":
    sys.exit(keep_table(__doc__, TABLES, sys.argv[1:], "duties", ("both held", "not above")))
