"""How long the control state is without a primary, in virtual time.  `python -m benchmarks.elections --help`.

A scene has three or five machines, links of one delay, and a trouble that takes the primary away.  Measured
is the time from the trouble until a machine leads: it has committed in its epoch, and its lease is valid.
"""

from __future__ import annotations

import pathlib
import platform
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial

import fire  # type: ignore[import-untyped]

from vetchusher.emulator.control.world import SimulationSettings, World
from vetchusher.emulator.fleet_world import MS, SECOND

STEP = 10 * MS  # between two looks at who leads
GIVEN_UP = 30 * SECOND
SPREAD = 0.1  # by which a message's way differs from the delay
TIGHT_RACE = 20 * MS  # within which all machines come back from a loss of power
ZONES = {3: ("east", "east", "west"), 5: ("east", "east", "east", "west", "west")}
DELAYS_MS = (1, 55, 150)


def kill_leader(world: World, leader: str) -> None:
    """The primary's process ends and does not come back."""
    world.kill(leader)


def cut_leader(world: World, leader: str) -> None:
    """The primary is cut off, both ways."""
    world.block_links(leader)


def power_off_all(world: World, leader: str) -> None:
    """All machines lose power, and come back at nearly the same moment."""
    for ip in world.machines:
        world.kill(ip)
        world.schedule(SECOND + world.rng.randrange(TIGHT_RACE), partial(world.start, ip))


def hand_over(world: World, leader: str) -> None:
    """The primary is asked to end."""
    world.shut_down(leader)


TROUBLES: dict[str, Callable[[World, str], None]] = {
    "killed": kill_leader,
    "cut off": cut_leader,
    "all lose power for 1 s": power_off_all,
    "ends in order": hand_over,
}


@dataclass(slots=True, frozen=True)
class Case:
    """One row of the table.

    :param delay_ms: of a message, one way
    :param disk_ms: longest sync
    """

    machines: int
    delay_ms: int
    disk_ms: int
    trouble: str


def leaders(world: World) -> list[str]:
    """Machines that lead now."""
    return [ip for ip in world.machines if world.is_leader(ip)]


def wait_for_leader(world: World, but: str = "") -> bool:
    """Run until a machine leads; return whether one did in time."""
    ends = world.now_us + GIVEN_UP
    while world.now_us < ends:
        if [ip for ip in leaders(world) if ip != but]:
            return True
        world.run_until(world.now_us + STEP)
    return False


def time_without_primary(case: Case, seed: int) -> float:
    """Return the seconds from the trouble until another machine leads, or the same anew."""
    delay = case.delay_ms * MS
    scene = SimulationSettings(
        seed=seed,
        zones=ZONES[case.machines],
        seed_count=case.machines,
        tolerated_losses=1 if case.machines == 3 else 2,
        min_delay_us=int(delay * (1 - SPREAD)),
        max_delay_us=int(delay * (1 + SPREAD)),
        max_sync_us=case.disk_ms * MS,
        loss_ratio=0.0,
        late_ratio=0.0,
        duplicate_ratio=0.0,
    )
    world = World(scene)
    for ip in world.seeds:
        world.schedule(world.rng.randrange(300 * MS), partial(world.start, ip, first=True))
    if not wait_for_leader(world):
        return GIVEN_UP / SECOND
    world.run_until(world.now_us + 3 * SECOND + world.rng.randrange(SECOND))
    if not leaders(world):
        wait_for_leader(world)
    leader = leaders(world)[0]
    began = world.now_us
    TROUBLES[case.trouble](world, leader)
    while leaders(world) and case.trouble == "ends in order" and world.now_us < began + GIVEN_UP:
        world.run_until(world.now_us + STEP)  # it leads until another can
        began = world.now_us
    wait_for_leader(world, but=leader if case.trouble == "cut off" else "")
    assert not world.judge.violations, world.judge.violations
    return (world.now_us - began) / SECOND


def row(case: Case, runs: int) -> str:
    """Return a case's row of the table."""
    times = sorted(time_without_primary(case, seed) for seed in range(1, runs + 1))
    cells = [
        case.machines,
        case.delay_ms,
        case.disk_ms,
        case.trouble,
        len(times),
        f"{statistics.median(times):.2f}",
        f"{times[min(len(times) - 1, int(0.99 * len(times)))]:.2f}",
        f"{times[-1]:.2f}",
    ]
    return "| " + " | ".join(map(str, cells)) + " |"


def main(runs: int = 200, jobs: int = 4, keep: str = "") -> None:
    """Print, and keep if asked to, the table over all machines, delays, disks and troubles.

    :param keep: a file for the table, as Markdown
    """
    cases = [
        Case(machines, delay, disk, trouble)
        for machines in ZONES
        for delay in DELAYS_MS
        for disk in (10, 400)
        for trouble in TROUBLES
    ]
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(partial(row, runs=runs), cases))
    command = f"python -m benchmarks.elections {' '.join(sys.argv[1:])}".rstrip()
    lines = [
        "# Time without a primary, in virtual time",
        "",
        f"`{command}`, Python {platform.python_version()}. Delay: of a message, one way. Disk: longest sync.",
        "",
        "| machines | delay, ms | disk, ms | the primary | runs | median, s | 99 of 100, s | longest, s |",
        "| ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: |",
        *rows,
    ]
    print("\n".join(lines))
    if keep:
        pathlib.Path(keep).write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
