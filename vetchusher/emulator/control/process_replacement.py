"""Replacement of real core processes: a machine is lost permanently, and another takes its place as a voter.

The new machine has another address. After each replacement the voters on every disk are exactly the present
machines: as many as before, without the one that was replaced.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence

from vetchusher.control.state import replica_set_id, voters
from vetchusher.distribution.wire_pb2 import ReplicaSet
from vetchusher.emulator.system.local import Machine
from vetchusher.node.data_folders import read_contents

from .process_rig import (
    DOWN_RANGE_S,
    RECOVERY_TIMEOUT_S,
    CoreRig,
    Fault,
    ProcessExit,
    Repair,
    VoterReplacement,
    internal_port,
)

POLL_INTERVAL_S = 0.1  # of the disks


# -- steps of a replacement -------------------------------------------------------------------------


async def lose_permanently(rig: CoreRig, machines: Sequence[Machine]) -> None:
    """Kill the machines, lose their disks, and never start them again."""
    rig.serving -= {m.name for m in machines}
    await asyncio.gather(*(rig.local_system.kill(m.name) for m in machines))
    for machine in machines:
        remove_machine(rig, machine)


def remove_machine(rig: CoreRig, machine: Machine) -> None:
    """Remove a machine whose process has ended from the present machines."""
    rig.local_system.remove_core(machine.name)
    rig.link_blocks.remove(machine.ip)
    rig.removed.append(machine)
    rig.result.replacement_count += 1


async def start_successor(rig: CoreRig, zone: str) -> tuple[Machine, float]:
    """Start a machine at a new address with an empty disk, and wait until its listener is open.

    :return: the machine, and when it was started, s
    """
    machine = rig.local_system.add_core(zone)
    machine.internal = internal_port(machine)
    await rig.link_blocks.add(machine.ip, machine.internal)
    started_s = time.monotonic()
    await rig.start_machine(machine, down=0)
    return machine, started_s


async def start_successor_later(rig: CoreRig, zone: str) -> float:
    """Start a successor after a random time; return when it was started, s."""
    await asyncio.sleep(rig.rng.uniform(*DOWN_RANGE_S))
    _, started_s = await start_successor(rig, zone)
    return started_s


def start_successors_later(rig: CoreRig, kind: str, lost_machines: Sequence[Machine]) -> Repair:
    """Return an end of the fault: it starts the successors and waits until they are voters."""

    async def repair() -> None:
        started_s = await asyncio.gather(*(start_successor_later(rig, m.zone) for m in lost_machines))
        rig.last_return_s = opened_s = time.monotonic()
        established_s = await await_current_voters(rig)
        rig.result.voter_replacements += [
            VoterReplacement(kind, established_s - start_s, max(0.0, established_s - opened_s))
            for start_s in started_s
        ]

    return repair


async def await_exit(rig: CoreRig, kind: str, machine: Machine) -> None:
    """Wait until the process has exited after its SIGTERM; kill it if its grace period ends before."""
    process, requested_s = machine.process, time.monotonic()
    assert process is not None
    try:
        await asyncio.wait_for(process.wait(), rig.local_system.bounds.grace_s)
        killed = False
    except TimeoutError:
        await rig.local_system.kill(machine.name)
        killed = True
    rig.result.exits.append(ProcessExit(kind, time.monotonic() - requested_s, killed))
    remove_machine(rig, machine)


# -- voters on the disks ----------------------------------------------------------------------------


async def read_replica_set(machine: Machine) -> ReplicaSet | None:
    """Return the replica set on a machine's disk; None if there is none or it couldn't be read.

    The machine may be writing it at this moment.
    """
    contents = (await asyncio.to_thread(read_contents, str(machine.disk))).value_or(None)
    return contents.replica_set if contents is not None else None


async def read_replica_sets(rig: CoreRig) -> list[ReplicaSet]:
    """Return the replica sets on the disks of the present machines."""
    replica_sets = await asyncio.gather(*(read_replica_set(m) for m in rig.local_system.core))
    return [replica_set for replica_set in replica_sets if replica_set is not None and replica_set.members]


def matches_machines(rig: CoreRig, replica_set: ReplicaSet) -> bool:
    """Return whether the voters are exactly the present machines, and no change is in progress."""
    present_ips = {m.ip for m in rig.local_system.core}
    return (
        voters(replica_set) == present_ips
        and len(replica_set.members) == rig.size
        and not replica_set.previous_members
    )


async def await_current_voters(rig: CoreRig) -> float:
    """Wait until the present machines are the voters on every disk.

    :return: when the newest replica set was first on a majority of the disks, and so established, s
    """
    deadline_s, established_s, replica_sets = time.monotonic() + RECOVERY_TIMEOUT_S, 0.0, [ReplicaSet()]
    while time.monotonic() < deadline_s:
        replica_sets = await read_replica_sets(rig)
        newest_id = max(map(replica_set_id, replica_sets), default=(0, 0))
        current = [
            replica_set
            for replica_set in replica_sets
            if replica_set_id(replica_set) == newest_id and matches_machines(rig, replica_set)
        ]
        if len(current) <= rig.size // 2:
            established_s = 0.0
        elif not established_s:
            established_s = time.monotonic()
        if len(current) == rig.size:
            return established_s
        await asyncio.sleep(POLL_INTERVAL_S)
    description = "; ".join(
        f"{replica_set_id(replica_set)}: {list(replica_set.members)} {list(replica_set.previous_members)}"
        for replica_set in replica_sets
    )
    rig.result.violations.append(
        f"voters after a replacement are not the present machines for {RECOVERY_TIMEOUT_S:g} s: "
        f"{[m.ip for m in rig.local_system.core]}, on the disks {description}; {rig.roles()}"
    )
    return time.monotonic()


async def await_caught_up(rig: CoreRig, successor: Machine) -> None:
    """Wait until the learner's disk has the newest replica set."""

    async def caught_up() -> bool:
        own, replica_sets = await read_replica_set(successor), await read_replica_sets(rig)
        return (
            own is not None
            and bool(replica_sets)
            and replica_set_id(own) == max(map(replica_set_id, replica_sets))
        )

    await rig.local_system.wait_until(caught_up, f"{successor.name} has caught up")


# -- faults ----------------------------------------------------------------------------------------


async def replace_primary(rig: CoreRig) -> Repair:
    """Lose the primary permanently; a successor starts later."""
    await rig.await_caught_up()
    lost = [rig.leader()]
    await lose_permanently(rig, lost)
    return start_successors_later(rig, "replace the primary", lost)


async def replace_other(rig: CoreRig) -> Repair:
    """Lose another machine permanently; a successor starts later."""
    await rig.await_caught_up()
    lost = [rig.other()]
    await lose_permanently(rig, lost)
    return start_successors_later(rig, "replace another", lost)


async def replace_two(rig: CoreRig) -> Repair:
    """Lose two machines at once permanently, where two losses at a time are tolerated."""
    await rig.await_caught_up()
    lost = rig.rng.sample(rig.local_system.core, 2)
    await lose_permanently(rig, lost)
    return start_successors_later(rig, "replace two at once", lost)


async def replace_other_as_planned(rig: CoreRig) -> Repair:
    """Replace a machine other than the primary as planned."""
    return await replace_as_planned(rig, "replace another as planned", rig.other())


async def replace_primary_as_planned(rig: CoreRig) -> Repair:
    """Replace the machine that is the primary when its successor starts."""
    return await replace_as_planned(rig, "replace the primary as planned", rig.leader())


async def replace_as_planned(rig: CoreRig, kind: str, leaving: Machine) -> Repair:
    """Start the successor first; send SIGTERM to the machine as soon as the successor has caught up."""
    await rig.await_caught_up()
    successor, _ = await start_successor(rig, leaving.zone)
    await await_caught_up(rig, successor)
    process, requested_s = leaving.process, time.monotonic()
    assert process is not None
    rig.serving.discard(leaving.name)
    process.terminate()

    async def repair() -> None:
        await await_exit(rig, kind, leaving)
        rig.last_return_s = time.monotonic()
        duration_s = await await_current_voters(rig) - requested_s
        rig.result.voter_replacements.append(VoterReplacement(kind, duration_s, duration_s))

    return repair


async def replace_then_wipe_other(rig: CoreRig) -> Repair:
    """Replace a machine, then lose another one's disk once the successor has had its catch-up time.

    The second loss must be survived like any other: the remaining machines read back and acknowledge before
    the wiped machine returns.
    """
    await rig.await_caught_up()
    lost = rig.rng.choice(rig.local_system.core)
    await lose_permanently(rig, [lost])
    await start_successor_later(rig, lost.zone)
    rig.last_return_s = time.monotonic()
    await rig.await_caught_up()
    wiped = rig.rng.choice(rig.local_system.core)
    await rig.kill([wiped])
    restart, struck_s = rig.start_later([wiped], wipe=wiped), time.monotonic()

    async def repair() -> None:
        await await_loss_tolerated(rig, struck_s, [m for m in rig.local_system.core if m is not wiped])
        await restart()
        await await_current_voters(rig)

    return repair


async def await_loss_tolerated(rig: CoreRig, struck_s: float, remaining: Sequence[Machine]) -> None:
    """Wait until the remaining machines acknowledge a change sent since the fault, and each reads back.

    :param struck_s: when the fault began
    """

    async def acknowledged() -> bool:
        return rig.last_acknowledged_change[0] >= struck_s

    await rig.local_system.wait_until(acknowledged, "the remaining machines acknowledge")
    await rig.read_back(remaining)


REPLACEMENTS: Mapping[str, Fault] = {
    "replace the primary": replace_primary,
    "replace another": replace_other,
    "replace two at once": replace_two,
    "replace the primary as planned": replace_primary_as_planned,
    "replace another as planned": replace_other_as_planned,
    "replace, then wipe another": replace_then_wipe_other,
}
