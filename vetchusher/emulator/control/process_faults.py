"""What is done to real core processes: kills, wipes, stops, cuts, replacements.  Each begins when its
function returns, and ends with what that returned."""

from __future__ import annotations

from collections.abc import Mapping

from vetchusher.emulator.system.local import Machine

from .process_replacement import REPLACEMENTS
from .process_rig import CoreRig, Fault, Repair


async def kill_primary(rig: CoreRig) -> Repair:
    struck = [rig.leader()]
    await rig.kill(struck)
    return rig.start_later(struck)


async def kill_other(rig: CoreRig) -> Repair:
    struck = [rig.other()]
    await rig.kill(struck)
    return rig.start_later(struck)


async def kill_two(rig: CoreRig) -> Repair:
    struck = rig.rng.sample(rig.local_system.core, 2)
    await rig.kill(struck)
    return rig.start_later(struck)


async def kill_all(rig: CoreRig) -> Repair:
    await rig.all_killed()
    return rig.start_later(rig.local_system.core)


async def wipe_primary(rig: CoreRig) -> Repair:
    await rig.caught_up()
    struck = rig.leader()
    await rig.kill([struck])
    return rig.start_later([struck], wipe=struck)


async def wipe_other(rig: CoreRig) -> Repair:
    await rig.caught_up()
    struck = rig.other()
    await rig.kill([struck])
    return rig.start_later([struck], wipe=struck)


async def wipe_after_answer(rig: CoreRig) -> Repair:
    """Whoever acknowledged last is gone with its disk as soon as the answer is there."""
    await rig.caught_up()
    rig.acknowledged.clear()
    await rig.acknowledged.wait()
    struck = rig.leader()
    await rig.kill([struck])
    return rig.start_later([struck], wipe=struck)


async def wipe_and_kill_all(rig: CoreRig) -> Repair:
    await rig.caught_up()
    struck = rig.rng.choice(rig.local_system.core)
    await rig.all_killed()
    return rig.start_later(rig.local_system.core, wipe=struck)


async def stop_primary(rig: CoreRig) -> Repair:
    return rig.stop_for(rig.leader())


async def stop_other(rig: CoreRig) -> Repair:
    return rig.stop_for(rig.other())


def others(rig: CoreRig, *but: Machine) -> list[Machine]:
    return [m for m in rig.local_system.core if m not in but]


async def cut_off_primary(rig: CoreRig) -> Repair:
    leader = rig.leader()
    return rig.cut_for([leader], others(rig, leader), both=True)


async def cut_off_other(rig: CoreRig) -> Repair:
    other = rig.other()
    return rig.cut_for([other], others(rig, other), both=True)


async def primary_unheard(rig: CoreRig) -> Repair:
    leader = rig.leader()
    return rig.cut_for([leader], others(rig, leader), both=False)


async def primary_deaf(rig: CoreRig) -> Repair:
    leader = rig.leader()
    return rig.cut_for(others(rig, leader), [leader], both=False)


async def cut_in_two(rig: CoreRig) -> Repair:
    """The primary in the smaller part."""
    leader = rig.leader()
    small = [leader, *rig.rng.sample(others(rig, leader), (len(rig.local_system.core) - 1) // 2 - 1)]
    return rig.cut_for(small, others(rig, *small), both=True)


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
    "cut off the primary": cut_off_primary,
    "cut off another": cut_off_other,
    "the primary is not heard": primary_unheard,
    "the primary hears nobody": primary_deaf,
    "cut in two, the primary in the smaller": cut_in_two,
    **REPLACEMENTS,
}
LOSES_TWO = ("replace two at once",)  # disks at a time: where a majority of 5 is left


def faults_for(size: int) -> list[str]:
    """The kinds that so many machines are to bear."""
    return [kind for kind in FAULTS if size >= 5 or kind not in LOSES_TWO]
