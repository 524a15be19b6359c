"""Faults of real core processes: kills, lost disks, pauses, partitions and replacements.

A fault has begun when its function returns; the function that it returns ends it.
"""

from __future__ import annotations

from collections.abc import Mapping

from vetchusher.emulator.system.local import Machine

from .process_replacement import REPLACEMENTS
from .process_rig import CoreRig, Fault, Repair


async def kill_primary(rig: CoreRig) -> Repair:
    """Kill the primary."""
    machines = [rig.leader()]
    await rig.kill(machines)
    return rig.start_later(machines)


async def kill_other(rig: CoreRig) -> Repair:
    """Kill one machine other than the primary."""
    machines = [rig.other()]
    await rig.kill(machines)
    return rig.start_later(machines)


async def kill_two(rig: CoreRig) -> Repair:
    """Kill two machines."""
    machines = rig.rng.sample(rig.local_system.core, 2)
    await rig.kill(machines)
    return rig.start_later(machines)


async def kill_all(rig: CoreRig) -> Repair:
    """Kill all machines at one moment."""
    await rig.kill_all()
    return rig.start_later(rig.local_system.core)


async def wipe_primary(rig: CoreRig) -> Repair:
    """Kill the primary and lose its disk."""
    await rig.await_caught_up()
    leader = rig.leader()
    await rig.kill([leader])
    return rig.start_later([leader], wipe=leader)


async def wipe_other(rig: CoreRig) -> Repair:
    """Kill another machine and lose its disk."""
    await rig.await_caught_up()
    other = rig.other()
    await rig.kill([other])
    return rig.start_later([other], wipe=other)


async def wipe_after_answer(rig: CoreRig) -> Repair:
    """Kill the machine that acknowledged last, and lose its disk, as soon as its answer arrives."""
    await rig.await_caught_up()
    rig.acknowledged.clear()
    await rig.acknowledged.wait()
    leader = rig.leader()
    await rig.kill([leader])
    return rig.start_later([leader], wipe=leader)


async def wipe_and_kill_all(rig: CoreRig) -> Repair:
    """Kill all machines and lose the disk of one."""
    await rig.await_caught_up()
    wiped = rig.rng.choice(rig.local_system.core)
    await rig.kill_all()
    return rig.start_later(rig.local_system.core, wipe=wiped)


async def stop_primary(rig: CoreRig) -> Repair:
    """Pause the primary's process."""
    return rig.stop_for(rig.leader())


async def stop_other(rig: CoreRig) -> Repair:
    """Pause the process of another machine."""
    return rig.stop_for(rig.other())


def other_machines(rig: CoreRig, *excluded: Machine) -> list[Machine]:
    """Return all core machines but the excluded ones."""
    return [m for m in rig.local_system.core if m not in excluded]


async def isolate_primary(rig: CoreRig) -> Repair:
    """Block the links between the primary and all others."""
    leader = rig.leader()
    return rig.block_for([leader], other_machines(rig, leader), both=True)


async def isolate_other(rig: CoreRig) -> Repair:
    """Block the links between another machine and all others."""
    other = rig.other()
    return rig.block_for([other], other_machines(rig, other), both=True)


async def block_primary_sends(rig: CoreRig) -> Repair:
    """Block what the primary sends."""
    leader = rig.leader()
    return rig.block_for([leader], other_machines(rig, leader), both=False)


async def block_primary_receives(rig: CoreRig) -> Repair:
    """Block what the primary receives."""
    leader = rig.leader()
    return rig.block_for(other_machines(rig, leader), [leader], both=False)


async def partition_primary_minority(rig: CoreRig) -> Repair:
    """Partition the machines into two groups, with the primary in the smaller one."""
    leader = rig.leader()
    minority = [
        leader,
        *rig.rng.sample(other_machines(rig, leader), (len(rig.local_system.core) - 1) // 2 - 1),
    ]
    return rig.block_for(minority, other_machines(rig, *minority), both=True)


FAULTS: Mapping[str, Fault] = {
    "kill the primary": kill_primary,
    "kill another": kill_other,
    "kill two": kill_two,
    "kill all": kill_all,
    "wipe the primary": wipe_primary,
    "wipe another": wipe_other,
    "wipe after an answer": wipe_after_answer,
    "kill all, wipe one": wipe_and_kill_all,
    "stop the primary": stop_primary,
    "stop another": stop_other,
    "cut off the primary": isolate_primary,
    "cut off another": isolate_other,
    "the primary is not heard": block_primary_sends,
    "the primary hears nobody": block_primary_receives,
    "cut in two, the primary in the smaller": partition_primary_minority,
    **REPLACEMENTS,
}
TWO_DISK_FAULTS = ("replace two at once",)  # need a majority of 5 to remain


def faults_for(size: int) -> list[str]:
    """Return the names of the faults that a core of that many machines must survive."""
    return [kind for kind in FAULTS if size >= 5 or kind not in TWO_DISK_FAULTS]
