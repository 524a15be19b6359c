"""Membership under faults: real processes, virtual time beside two plain ways, and guards taken out in turn.

Usage:
  members processes [--rounds N] [--seed N] [--members N] [--period MS] [--pause MS] [--jobs N] [--keep FILE]
  members ways [--sizes LIST] [--length S] [--runs N] [--jobs N] [--keep FILE] [--chart FILE]
  members traffic [--sizes LIST] [--jobs N] [--keep FILE]
  members planted [--runs N] [--jobs N] [--keep FILE]
  members cpu [--members N] [--seconds S] [--keep FILE]
  members (-h | --help)

Options:
  --rounds N   Times that each kind of fault is played in each cluster [default: 1].
  --runs N     Runs, each with a seed of its own [default: 2].
  --seed N     The first seed [default: 1].
  --members N  Processes of a cluster [default: 5].
  --period MS  Between two probes [default: 400].
  --pause MS   How long a process may stand still [default: 800].
  --sizes LIST  Members of a cluster in virtual time, with commas [default: 5,40,200].
  --length S   Seconds of a run in virtual time [default: 600].
  --seconds S  That idle processes are watched for [default: 20].
  --jobs N     Clusters or runs at the same time [default: 2].
  --keep FILE  Write the table there, as Markdown.
  --chart FILE  Draw it there, as PNG.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from vetchusher.emulator.fleet_world import SECOND
from vetchusher.emulator.membership.checks import CHECKS
from vetchusher.emulator.membership.mutations import PLANTED, planted
from vetchusher.emulator.membership.rig import MEMBER_FAULTS, MembershipCluster, times
from vetchusher.emulator.membership.world import Found, Scene, World

from .duties import cpu_of, part
from .table import keep_table

WAYS = ("ours", "swim", "heartbeats")


@dataclass(slots=True)
class Played:
    """What a campaign on real processes showed."""

    faults: list[tuple[str, int]] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    knew: list[list[float]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    others: int = 0


def play_tier(seed: int, rounds: int, members: int, period: int, pause: int) -> Played:
    """Each kind of fault so many times in an order drawn from the seed; each third beside another one."""
    rng = random.Random(seed)
    kinds = list(MEMBER_FAULTS) * rounds
    rng.shuffle(kinds)
    played = Played(others=members - 1)

    async def script(cluster: MembershipCluster) -> None:
        await cluster.settle()
        for number, kind in enumerate(kinds):
            victim = rng.randrange(members)
            if number % 3 == 2:
                beside = rng.choice([k for k in MEMBER_FAULTS if "killed" not in k and "cut" not in k])
                second = (victim + 1 + rng.randrange(members - 1)) % members
                await asyncio.gather(cluster.disturb(kind, victim), cluster.disturb(beside, second))
            else:
                await cluster.disturb(kind, victim)
            await cluster.settle()
        played.wrong = cluster.wrong()
        found = cluster.found()
        played.knew = times(found, cluster.truth)
        for word in found:
            played.counts[word.what] = played.counts.get(word.what, 0) + 1

    with tempfile.TemporaryDirectory() as folder:
        cluster = MembershipCluster(
            pathlib.Path(folder), members, seed=seed, membership={"period_ms": period, "pause_ms": pause}
        )
        asyncio.run(cluster.run(script))  # type: ignore[arg-type]
        played.faults = cluster.faults
    return played


def spread(values: list[float]) -> str:
    return f"{part(values, 0.5):.1f} | {part(values, 0.99):.1f}"


def processes_table(told: dict[str, str]) -> list[str]:
    members, period, pause = int(told["--members"]), int(told["--period"]), int(told["--pause"])
    first, jobs = int(told["--seed"]), int(told["--jobs"])
    with ProcessPoolExecutor(jobs) as pool:
        seeds = range(first, first + jobs)
        rest = ([n] * jobs for n in (int(told["--rounds"]), members, period, pause))
        runs = list(pool.map(play_tier, seeds, *rest))
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        for kind, _ in run.faults:
            count[kind] += 1
    knew = [k for run in runs for k in run.knew if len(k) >= run.others]
    missed = sum(len(k) < run.others for run in runs for k in run.knew)
    wrong = [w for run in runs for w in run.wrong]
    said = {
        what: sum(run.counts.get(what, 0) for run in runs)
        for what in ("suspected", "refuted", "dead", "alive")
    }
    lines = ["| fault | played |", "| --- | --- |", *(f"| {k} | {count[k]} |" for k in MEMBER_FAULTS)]
    lines += [
        "",
        "| a killed member is known dead after | median s | 99th percentile s |",
        "| --- | --- | --- |",
    ]
    lines.append(f"| to the first | {spread([k[0] for k in knew])} |")
    lines.append(f"| to half | {spread([k[len(k) // 2] for k in knew])} |")
    lines.append(f"| to all | {spread([k[-1] for k in knew])} |")
    return [
        *lines,
        "",
        f"{sum(count.values())} faults in {jobs} clusters of {members}, "
        f"period {period} ms, stated pause {pause} ms; "
        f"{len(knew)} killed ones known to all in time, {missed} to some only (another fault beside).",
        f"Said in the logs: {', '.join(f'{what} {n}' for what, n in said.items())}.",
        f"Living members declared dead: {len(wrong)}.",
        *(f"- {fault}" for fault in wrong[:20]),
    ]


def scene_of(way: str, members: int, seed: int, length: int, hard: bool) -> Scene:
    """Kills now and then; `hard`: 30% lost all the time and stops up to the stated pause."""
    kinds = ("killed", "stopped", "stopped", "stopped") if hard else ("killed",)
    return Scene(
        seed=seed,
        members=members,
        duration_us=length * SECOND,
        way=way,
        loss=0.3 if hard else 0.07,
        fault_names=kinds,
        mean_fault_interval_us=4 * SECOND if hard else 12 * SECOND,
        pause_units=(0.3, 0.6, 0.95),
        away=80 * SECOND,
    )


def play_way(case: tuple[str, int, int, int, bool]) -> Found:
    return World(scene_of(*case)).run()


def ways_table(told: dict[str, str]) -> list[str]:
    sizes = [int(n) for n in told["--sizes"].split(",")]
    length, runs = int(told["--length"]), int(told["--runs"])
    cases = [
        (way, members, seed, length, hard)
        for members in sorted(sizes, reverse=True)
        for way in WAYS
        for hard in (False, True)
        for seed in range(1, runs + 1)
    ]
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        found = dict(zip(cases, pool.map(play_way, cases), strict=True))
    lines = [
        "| members | scene | way | false deaths an hour | the same, by life | known to the first, s "
        "| to half | to all (median) | (99th) | bytes a second each | messages a second each |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    bars: dict[tuple[int, str, bool], tuple[float, float, float]] = {}
    for members in sizes:
        for hard in (False, True):
            for way in WAYS:
                own = [f for c, f in found.items() if c[:2] == (way, members) and c[4] is hard]
                hours = runs * length / 3600
                false = sum(len(f.wrong) for f in own) / hours
                lives = sum(f.false_by_life for f in own) / hours
                knew = [t for f in own for d in f.deaths if (t := d.times(members - 1)) is not None]
                each = sum(f.bytes_per_s for f in own) / runs
                rate = sum(f.messages_per_s for f in own) / runs
                middle = [part([k[i] for k in knew], 0.5) for i in range(3)]
                late = part([k[2] for k in knew], 0.99)
                scene = "30% lost, stops" if hard else "7% lost"
                lines.append(
                    f"| {members} | {scene} | {way} | {false:.0f} | {lives:.0f} | {middle[0]:.1f} "
                    f"| {middle[1]:.1f} | {middle[2]:.1f} | {late:.1f} | {each:.0f} | {rate:.1f} |"
                )
                bars[members, way, hard] = (lives, middle[2], each)
    if told["--chart"]:
        draw(sizes, bars, told["--chart"])
    return lines


def draw(sizes: list[int], bars: dict[tuple[int, str, bool], tuple[float, float, float]], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    titles = (
        "living members declared dead, an hour\n(30% lost, stops)",
        "known dead to all, s (7% lost)",
        "bytes a second each (7% lost)",
    )
    for at, (axis, title) in enumerate(zip(axes, titles, strict=True)):
        for way in WAYS:
            axis.plot(sizes, [bars[n, way, at == 0][at] for n in sizes], marker="o", label=way)
        axis.set_title(title, fontsize=10)
        axis.set_xlabel("members")
        axis.set_xscale("log")
        axis.set_yscale("symlog" if at == 0 else "linear")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def calm(members: int) -> tuple[float, float, int]:
    """Bytes and messages a second that each says where nothing happens but 7% loss, once all are known."""
    world = World(Scene(members=members, faults=False, duration_us=80 * SECOND))
    before = [0, 0]
    world.after(
        40 * SECOND,
        lambda: before.__setitem__(slice(0, 2), [sum(world.bytes_sent), sum(world.datagrams_sent)]),
    )
    found = world.run()
    said = [
        (sum(world.bytes_sent) - before[0]) / 40 / members,
        (sum(world.datagrams_sent) - before[1]) / 40 / members,
    ]
    return said[0], said[1], found.most_in


def traffic_table(told: dict[str, str]) -> list[str]:
    sizes = [int(n) for n in told["--sizes"].split(",")]
    lines = [
        "| members | bytes a second each | messages a second each | taken in, most in a second (start) |"
    ]
    lines.append("| --- | --- | --- | --- |")
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        for members, (size, rate, most) in zip(sizes, pool.map(calm, sizes), strict=True):
            lines.append(f"| {members} | {size:.0f} | {rate:.2f} | {most} |")
    return lines


def plant(case: tuple[str, int]) -> tuple[str, str]:
    name, runs = case
    with planted(name):
        for check, look in CHECKS.items():
            for seed in range(1, runs + 1):
                if found := look(seed):
                    return name, f"`{check}`, seed {seed}: {found}"
    return name, "not found"


def planted_table(told: dict[str, str]) -> list[str]:
    runs = int(told["--runs"])
    with ProcessPoolExecutor(int(told["--jobs"])) as pool:
        rows = list(pool.map(plant, [(name, runs) for name in PLANTED]))
    lines = ["| guard taken out | found by |", "| --- | --- |"]
    return lines + [f"| {name} | {how} |" for name, how in rows]


def watch(members: int, seconds: float, membership: dict[str, int] | None, shares: bool) -> float:
    """Milliseconds of CPU a second that one idle process uses."""
    used = [0.0]

    async def script(cluster: MembershipCluster) -> None:
        await asyncio.sleep(8.0)
        before = cpu_of(cluster)
        await asyncio.sleep(seconds)
        used[0] = (cpu_of(cluster) - before) / seconds / members * 1000

    with tempfile.TemporaryDirectory() as folder:
        cluster = MembershipCluster(pathlib.Path(folder), members, 3, 2_000, period_s=10, shares=shares)
        cluster.membership = membership
        asyncio.run(cluster.run(script))  # type: ignore[arg-type]
    return used[0]


def cpu_table(told: dict[str, str]) -> list[str]:
    members, seconds = int(told["--members"]), float(told["--seconds"])
    calm = {"period_ms": 1_000, "pause_ms": 2_000}
    rows = (
        ("without --fleet", None, False),
        ("duties alone", None, True),
        ("duties and membership", calm, True),
    )
    lines = [f"| an idle process of {members} | CPU ms a second |", "| --- | --- |"]
    return lines + [f"| {n} | {watch(members, seconds, m, s):.1f} |" for n, m, s in rows]


TABLES = {
    "processes": processes_table,
    "ways": ways_table,
    "traffic": traffic_table,
    "planted": planted_table,
    "cpu": cpu_table,
}


if __name__ == "__main__":
    sys.exit(keep_table(__doc__, TABLES, sys.argv[1:], "members", ("which lives", "not found")))
