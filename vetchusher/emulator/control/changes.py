"""Long simulation of configuration changes while machines are killed, wiped, stalled and partitioned.

It measures how long each change waits for its acknowledgement, how long a machine that returns takes to
catch up, how many bytes the machines send one another, how often their disks sync, and how many entries each
machine retains. The judge of `World` checks the safety properties meanwhile.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from vetchusher.control import Persist
from vetchusher.control.state import state_stamp
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import ControlMessage
from vetchusher.emulator.fleet_world import MS, SECOND

from .scenarios import warmed_up
from .world import Machine, SimulationSettings, World, configuration_body

# A core machine of the deployments: a 1,000 Mbit/s link, a 120 MB/s disk, 1 to 2 ms per sync.
LINK_BYTES_S = 125_000_000
DISK_BYTES_S = 120_000_000
MAX_SYNC_US = 2 * MS
MAX_LINK_DELAY_US = 2 * MS

FAULTS = (
    "killed",
    "wiped",
    "ends",
    "disk hangs",
    "stands still",
    "cut off",
    "primary killed",
    "primary wiped",
    "primary's disk hangs",
)
CHANGE_GAP_US = 150 * MS  # between an acknowledgement and the next change
FAULT_GAP_US = 2 * SECOND  # from the recovery of a machine to the next fault
# Longer than an orderly shutdown takes: a machine whose fault ended before that would then stay down.
MIN_FAULT_US = 600 * MS
MAX_FAULT_US = 4 * SECOND
POLL_INTERVAL_US = 5 * MS  # between two checks of a machine that has returned
CATCH_UP_TIMEOUT_US = 30 * SECOND  # a machine that hasn't caught up by then is given up
RETRY_DELAY_US = 20 * MS
MAX_CATCH_UP_US = 2 * SECOND  # stated bound for a machine that has returned
# Beyond the stated bound of a fault, for messages, disks and the operator's next attempt.
ANSWER_MARGIN_US = 200 * MS
EXTRA_CHANGES = 100  # changes after a long absence
ANSWER_TIMEOUT_US = 400 * MS  # after which the operator sends the same change again
RETAINED_VERSIONS = 64  # versions of which the judge keeps the bodies


def deployment_settings(
    rows: int, seed: int = 1, zones: tuple[str, ...] = ("east", "east", "west")
) -> SimulationSettings:
    """Return settings of a core on the deployments' links and disks.

    :param rows: rows of the configuration
    """
    return SimulationSettings(
        seed=seed,
        zones=zones,
        seed_count=len(zones),
        tolerated_losses=1 if len(zones) == 3 else 2,
        loss_ratio=0.0,
        late_ratio=0.0,
        max_delay_us=MAX_LINK_DELAY_US,
        max_sync_us=MAX_SYNC_US,
        body_rows=rows,
        link_bytes_s=LINK_BYTES_S,
        disk_bytes_s=DISK_BYTES_S,
    )


@dataclass(slots=True)
class Change:
    """One configuration change.

    :param during: the last fault that had begun when it was sent; empty: none
    :param acknowledged_at: None: not acknowledged yet
    """

    sent_at: int
    fault: str = ""
    acknowledged_at: int | None = None


@dataclass(slots=True)
class Recovery:
    """The recovery of a machine after a fault.

    :param missed_changes: changes while it was away
    :param read_catch_up_us: until it reported the state that was newest when it returned; None: it did not
    :param copy_catch_up_us: until that state was on its disk; None: it holds no copy, or hasn't caught up
    """

    fault: str
    ip: str
    missed_changes: int
    read_catch_up_us: int | None = None
    copy_catch_up_us: int | None = None


@dataclass(slots=True)
class Traffic:
    """The machines' messages to one another and their bytes, by kind, and their syncs."""

    sent_bytes: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)
    syncs: int = 0


class MeasuredWorld(World):
    """A world that counts the machines' traffic and syncs."""

    def __init__(self, scene: SimulationSettings) -> None:
        """Start with empty counters."""
        super().__init__(scene)
        self.traffic = Traffic()

    def send(self, machine: Machine, to: str, data: bytes) -> None:
        """Count and send a message."""
        kind = message_kind(data)
        self.traffic.sent_bytes[kind] += len(data)
        self.traffic.messages[kind] += 1
        super().send(machine, to, data)

    def persist(self, machine: Machine, request: Persist) -> None:
        """Count and begin a write to disk."""
        self.traffic.syncs += 1
        super().persist(machine, request)


def message_kind(data: bytes) -> str:
    """Return the kind of a message for the traffic counters."""
    message = ControlMessage.FromString(data)
    kind_name = str(message.WhichOneof("kind"))
    if kind_name != "write":
        return "others"
    if message.write.HasField("delta"):
        return "write: delta"
    return "write: no body" if message.write.state.configuration_left_out else "write: whole"


class ChangeRun:
    """Runs configuration changes with one fault after another, and records the changes and recoveries."""

    def __init__(self, scene: SimulationSettings, changes: int, faults: tuple[str, ...] = FAULTS) -> None:
        """Start a world in which the first machine leads.

        :param changes: how many changes to make
        :param faults: the faults, in turn
        """
        self.world = warmed_up(scene, MeasuredWorld)
        assert isinstance(self.world, MeasuredWorld)
        self.traffic = self.world.traffic
        self.target_changes, self.faults = changes, faults
        self.changes: list[Change] = []
        self.recoveries: list[Recovery] = []
        self.current_fault = ""
        self.acknowledged_changes = 0

    def run(self) -> list[str]:
        """Make all changes under faults; return the violations of safety, or else of the stated bounds."""
        world = self.world
        self.next_change()
        fault_index = 0
        while self.acknowledged_changes < self.target_changes and not world.judge.violations:
            world.run_until(world.now_us + FAULT_GAP_US)
            if self.faults and self.acknowledged_changes < self.target_changes:
                self.inject_random_fault(self.faults[fault_index % len(self.faults)])
                fault_index += 1
        return world.judge.violations or world.history.violations() or self.bound_violations()

    def run_long_absence(self, ip: str, fault: str) -> list[str]:
        """Begin a fault of one machine that ends after all changes; return the violations as `run` does."""
        world, target_changes = self.world, self.target_changes
        self.target_changes += EXTRA_CHANGES  # so that changes continue while it catches up
        self.begin_fault(ip, fault)
        self.next_change()
        while self.acknowledged_changes < target_changes and not world.judge.violations:
            world.run_until(world.now_us + POLL_INTERVAL_US)
        self.end_fault(ip)
        self.measure_recovery(Recovery(fault, ip, self.acknowledged_changes))
        return world.judge.violations or world.history.violations() or self.bound_violations()

    def bound_violations(self) -> list[str]:
        """Return the changes that waited, and the recoveries that took, longer than stated."""
        max_wait_us = self.max_wait_us()
        waits = {
            fault: max(waits_us) for fault, waits_us in self.wait_times_us().items() if "primary" not in fault
        }
        violations = [
            f"{fault}: a change waited for {wait_us} us"
            for fault, wait_us in waits.items()
            if wait_us > max_wait_us
        ]
        for recovery in self.recoveries:
            catch_up_us = max(
                recovery.read_catch_up_us or CATCH_UP_TIMEOUT_US, recovery.copy_catch_up_us or 0
            )
            if catch_up_us > MAX_CATCH_UP_US:
                violations.append(f"{recovery.fault}: machine {recovery.ip} was level after {catch_up_us} us")
        return violations

    def max_wait_us(self) -> int:
        """Return for how long (us) a fault of one machine other than the primary may delay a change."""
        timing = self.world.settings.timing
        body_bytes = len(configuration_body(self.target_changes, self.world.settings.body_rows))
        return timing.other_zone_timeout_us + body_bytes + ANSWER_MARGIN_US

    # -- the operator --------------------------------------------------------------------------

    def next_change(self) -> None:
        """Send the next change."""
        self.changes.append(Change(self.world.now_us, self.current_fault))
        self.attempt(len(self.changes))

    def attempt(self, version: int) -> None:
        """Send a change to the primary, or to any running machine, until it is acknowledged."""
        world = self.world
        ips = [ip for ip, machine in world.machines.items() if machine.replica is not None]
        ip = next((ip for ip in ips if world.is_leader(ip)), ips[version % len(ips)])

        def answered(acknowledged: bool) -> None:
            if not acknowledged:
                world.schedule(RETRY_DELAY_US, partial(self.attempt, version))
                return
            self.changes[version - 1].acknowledged_at = world.now_us
            self.acknowledged_changes += 1
            self.discard_old_bodies(version)
            if self.acknowledged_changes < self.target_changes:
                world.schedule(CHANGE_GAP_US, self.next_change)

        world.replace(ip, version, answered, timeout_us=ANSWER_TIMEOUT_US)

    def discard_old_bodies(self, version: int) -> None:
        """Drop the judge's old bodies, of some hundred kB each.

        A read of a version that old would be reported as a body that nobody sent.
        """
        judge = self.world.judge
        judge.sent_bodies.pop(version - RETAINED_VERSIONS, None)
        while len(judge.state_by_stamp) > RETAINED_VERSIONS:
            del judge.state_by_stamp[next(iter(judge.state_by_stamp))]

    # -- faults --------------------------------------------------------------------------------

    def inject_random_fault(self, fault: str) -> None:
        """Inject a fault into one machine and end it after a random time.

        The next fault follows when that machine has caught up, or is given up.
        """
        world = self.world
        primary = next((ip for ip in world.machines if world.is_leader(ip)), "1")
        others = [ip for ip in world.machines if ip != primary]
        ip = primary if fault.startswith("primary") else world.rng.choice(others)
        self.current_fault = fault
        changes_before = self.acknowledged_changes
        self.begin_fault(ip, fault.removeprefix("primary").removeprefix("'s").strip())
        world.run_until(world.now_us + world.rng.randrange(MIN_FAULT_US, MAX_FAULT_US))
        self.end_fault(ip)
        self.measure_recovery(Recovery(fault, ip, self.acknowledged_changes - changes_before))

    def begin_fault(self, ip: str, fault: str) -> None:
        """Begin a fault of one machine."""
        world = self.world
        match fault:
            case "killed":
                world.kill(ip)
            case "wiped":
                world.wipe(ip)
            case "ends":
                world.shut_down(ip)
            case "disk hangs":
                world.machines[ip].disk_hangs = True
            case "stands still":
                world.pause(ip)
            case "cut off":
                world.block_links(ip)

    def end_fault(self, ip: str) -> None:
        """End every fault of one machine, and start it if it doesn't run."""
        world = self.world
        world.repair_disk(ip)
        world.restore_links(ip)
        if world.machines[ip].replica is None:
            world.machines[ip].reported_commit = (ZERO_STAMP, 0)  # a new process has reported nothing yet
            world.start(ip)
        elif world.machines[ip].paused:
            world.resume(ip)

    def measure_recovery(self, recovery: Recovery) -> None:
        """Wait until the machine has caught up as a reader and, if it holds a copy, as a copy."""
        world, began_us, newest = self.world, self.world.now_us, self.world.judge.newest_stamp
        machine = world.machines[recovery.ip]
        self.recoveries.append(recovery)
        while world.now_us < began_us + CATCH_UP_TIMEOUT_US and not world.judge.violations:
            if self.acknowledged_changes >= self.target_changes:  # the run is over
                self.recoveries.remove(recovery)
                return
            world.run_until(world.now_us + POLL_INTERVAL_US)
            if recovery.read_catch_up_us is None and machine.reported_commit[0] >= newest:
                recovery.read_catch_up_us = world.now_us - began_us
            if recovery.copy_catch_up_us is None and copy_stamp(machine) >= newest:
                recovery.copy_catch_up_us = world.now_us - began_us
            if recovery.read_catch_up_us is not None and (
                recovery.copy_catch_up_us is not None or not self.is_replicated_to(recovery.ip)
            ):
                return

    def is_replicated_to(self, ip: str) -> bool:
        """Return whether the present primary wants a copy of the state on this machine."""
        for machine in self.world.machines.values():
            primary_role = machine.replica.primary_role if machine.replica is not None else None
            if primary_role is not None and self.world.is_leader(machine.ip):
                return machine.ip == ip or ip in primary_role.replicator.targets(
                    machine.now(self.world.now_us)
                )
        return True

    # -- measurements --------------------------------------------------------------------------

    def wait_times_us(self) -> dict[str, list[int]]:
        """Return how long (us) the acknowledged changes waited, by the fault during which they were sent."""
        waits: dict[str, list[int]] = {}
        for change in self.changes:
            if change.acknowledged_at is not None:
                waits.setdefault(change.fault, []).append(change.acknowledged_at - change.sent_at)
        return waits

    def max_retained_entries(self) -> int:
        """Return the largest number of entries that one machine retains about other machines and messages."""
        return max(retained_entries(machine) for machine in self.world.machines.values())


def copy_stamp(machine: Machine) -> StampTuple:
    """Return the stamp of the copy on the machine's disk, `ZERO_STAMP` without one."""
    return (
        state_stamp(machine.disk.state) if machine.disk is not None and machine.disk.has_copy else ZERO_STAMP
    )


def retained_entries(machine: Machine) -> int:
    """Return how many entries about other machines and messages the machine's replica retains."""
    member = machine.replica
    if member is None:
        return 0
    count = (
        len(member.durable.pending_messages)
        + len(member.peers.last_contact_at)
        + len(member.peers.incarnations)
    )
    primary_role = member.primary_role
    if primary_role is not None:
        progress = primary_role.progress
        count += len(progress.round_sent_at) + len(progress.members) + len(progress.learners)
        count += len(primary_role.orders.pending())
    return count
