"""A long day of configuration changes in virtual time, with members killed, wiped, stalled and cut off in
between.

What is measured: how long each change waits for its acknowledgement, how long a machine that comes back takes
until it is level, how many bytes the machines send one another and how often their disks sync, and how much
each machine holds.  The judge of `World` watches meanwhile.
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

from .scenarios import warmed
from .world import Machine, Scene, World, configuration_body

# Figures of a core machine of the deployments: 1,000 Mbit/s, 120 MB/s of disk, 1 to 2 ms a sync.
LINK_BYTES_S = 125_000_000
DISK_BYTES_S = 120_000_000
SYNC_US = 2 * MS
LINK_DELAY_US = 2 * MS

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
GAP = 150 * MS  # between an acknowledgement and the next change
PAUSE = 2 * SECOND  # after a machine is level, until the next trouble
LEAST_AWAY = 600 * MS  # longer than a process takes that ends in order: it would be down for good
MOST_AWAY = 4 * SECOND
STEP = 5 * MS  # between two looks at a machine that comes back
LEVEL_WITHIN = 30 * SECOND  # one that is not level by then counts as never
RETRY = 20 * MS
LEVEL_US = 2 * SECOND  # within which a machine that comes back has to be level
ANSWER_US = 200 * MS  # beyond the stated time of a trouble: messages, disks, the operator's next try
AFTER = 100  # changes beyond a long absence
PATIENCE = 400 * MS  # of the operator with an answer; then the same change is sent again
RETAINED_VERSIONS = 64  # bodies that the judge remembers


def place(rows: int, seed: int = 1, zones: tuple[str, ...] = ("east", "east", "west")) -> Scene:
    """A core on the deployments' links and disks, with a configuration of so many rows."""
    return Scene(
        seed=seed,
        zones=zones,
        seeds=len(zones),
        losses=1 if len(zones) == 3 else 2,
        loss=0.0,
        late=0.0,
        most_us=LINK_DELAY_US,
        disk_us=SYNC_US,
        body_rows=rows,
        link_bytes_s=LINK_BYTES_S,
        disk_bytes_s=DISK_BYTES_S,
    )


@dataclass(slots=True)
class Change:
    """:param during: the trouble that was under way or had just been; empty: none yet"""

    sent_at: int
    during: str = ""
    acknowledged_at: int | None = None


@dataclass(slots=True)
class Return:
    """A machine that came back.

    :param read_us: until it told what was newest as it came back; None: it did not
    :param copy_us: until that was on its disk; None: it holds no copy, or was not level
    :param missed: changes while it was away
    """

    fault: str
    ip: str
    missed: int
    read_us: int | None = None
    copy_us: int | None = None


@dataclass(slots=True)
class Traffic:
    """What the machines sent one another, and their syncs, from the begin of the day on."""

    sent_bytes: Counter[str] = field(default_factory=Counter)
    messages: Counter[str] = field(default_factory=Counter)
    syncs: int = 0


class MeasuredWorld(World):
    """It owns the traffic, beside all that a world owns."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(scene)
        self.traffic = Traffic()

    def send(self, machine: Machine, to: str, data: bytes) -> None:
        kind = kind_of(data)
        self.traffic.sent_bytes[kind] += len(data)
        self.traffic.messages[kind] += 1
        super().send(machine, to, data)

    def save(self, machine: Machine, save: Persist) -> None:
        self.traffic.syncs += 1
        super().save(machine, save)


def kind_of(data: bytes) -> str:
    message = ControlMessage.FromString(data)
    kind = str(message.WhichOneof("kind"))
    if kind != "write":
        return "others"
    if message.write.HasField("delta"):
        return "write: delta"
    return "write: no body" if message.write.state.configuration_left_out else "write: whole"


class ChangesDay:
    """It owns the world, the changes sent and the machines that came back."""

    def __init__(self, scene: Scene, changes: int, troubles: tuple[str, ...] = FAULTS) -> None:
        self.world = warmed(scene, MeasuredWorld)
        assert isinstance(self.world, MeasuredWorld)
        self.traffic = self.world.traffic
        self.wanted, self.faults = changes, troubles
        self.changes: list[Change] = []
        self.returns: list[Return] = []
        self.during = ""
        self.done = 0

    def run(self) -> list[str]:
        """What was seen that may not be."""
        world = self.world
        self.next_change()
        number = 0
        while self.done < self.wanted and not world.judge.wrong:
            world.run(world.at + PAUSE)
            if self.faults and self.done < self.wanted:
                self.fault(self.faults[number % len(self.faults)])
                number += 1
        return world.judge.wrong or world.history.wrong() or self.late()

    def away(self, ip: str, kind: str) -> list[str]:
        """One machine is struck, and returns after all the changes; what was seen that may not be."""
        world, changes = self.world, self.wanted
        self.wanted += AFTER  # for the day to go on while it catches up
        self.strike(ip, kind)
        self.next_change()
        while self.done < changes and not world.judge.wrong:
            world.run(world.at + STEP)
        self.repair(ip)
        self.watch(Return(kind, ip, self.done))
        return world.judge.wrong or world.history.wrong() or self.late()

    def late(self) -> list[str]:
        """Changes that waited longer, or machines that were level later, than is stated."""
        most = self.most_wait()
        waits = {kind: max(times) for kind, times in self.waits().items() if "primary" not in kind}
        found = [f"{kind}: a change waited for {us} us" for kind, us in waits.items() if us > most]
        for one in self.returns:
            level = max(one.read_us or LEVEL_WITHIN, one.copy_us or 0)
            if level > LEVEL_US:
                found.append(f"{one.fault}: machine {one.ip} was level after {level} us")
        return found

    def most_wait(self) -> int:
        """For how long one other machine may hold up a change."""
        timing = self.world.scene.timing
        whole = len(configuration_body(self.wanted, self.world.scene.body_rows))
        return timing.other_zone_timeout_us + whole + ANSWER_US

    # -- the operator --------------------------------------------------------------------------

    def next_change(self) -> None:
        self.changes.append(Change(self.world.at, self.during))
        self.attempt(len(self.changes))

    def attempt(self, version: int) -> None:
        world = self.world
        ips = [ip for ip, machine in world.machines.items() if machine.member is not None]
        ip = next((ip for ip in ips if world.is_leader(ip)), ips[version % len(ips)])

        def answered(good: bool) -> None:
            if not good:
                world.after(RETRY, partial(self.attempt, version))
                return
            self.changes[version - 1].acknowledged_at = world.at
            self.done += 1
            self.forget_old(version)
            if self.done < self.wanted:
                world.after(GAP, self.next_change)

        world.replace(ip, version, answered, patience=PATIENCE)

    def forget_old(self, version: int) -> None:
        """Bodies of some hundred kB each: the judge takes an old one for one that nobody sent."""
        judge = self.world.judge
        judge.sent.pop(version - RETAINED_VERSIONS, None)
        while len(judge.committed) > RETAINED_VERSIONS:
            del judge.committed[next(iter(judge.committed))]

    # -- troubles ------------------------------------------------------------------------------

    def fault(self, kind: str) -> None:
        """One machine; it ends when that machine is level, or is given up."""
        world = self.world
        primary = next((ip for ip in world.machines if world.is_leader(ip)), "1")
        others = [ip for ip in world.machines if ip != primary]
        ip = primary if kind.startswith("primary") else world.rng.choice(others)
        self.during = kind
        missed = self.done
        self.strike(ip, kind.removeprefix("primary").removeprefix("'s").strip())
        world.run(world.at + world.rng.randrange(LEAST_AWAY, MOST_AWAY))
        self.repair(ip)
        self.watch(Return(kind, ip, self.done - missed))

    def strike(self, ip: str, kind: str) -> None:
        world = self.world
        match kind:
            case "killed":
                world.kill(ip)
            case "wiped":
                world.wipe(ip)
            case "ends":
                world.end(ip)
            case "disk hangs":
                world.machines[ip].disk_hangs = True
            case "stands still":
                world.freeze(ip)
            case "cut off":
                world.cut_link(ip)

    def repair(self, ip: str) -> None:
        world = self.world
        world.disk_well(ip)
        world.restore_link(ip)
        if world.machines[ip].member is None:
            world.machines[ip].sent_messages = (ZERO_STAMP, 0)  # a process that starts has told nothing yet
            world.start(ip)
        elif world.machines[ip].frozen:
            world.thaw(ip)

    def watch(self, one: Return) -> None:
        """Until it is level as a reader, and as a copy where it is one."""
        world, began, newest = self.world, self.world.at, self.world.judge.newest
        machine = world.machines[one.ip]
        self.returns.append(one)
        while world.at < began + LEVEL_WITHIN and not world.judge.wrong:
            if self.done >= self.wanted:  # the day is over
                self.returns.remove(one)
                return
            world.run(world.at + STEP)
            if one.read_us is None and machine.sent_messages[0] >= newest:
                one.read_us = world.at - began
            if one.copy_us is None and copied(machine) >= newest:
                one.copy_us = world.at - began
            if one.read_us is not None and (one.copy_us is not None or not self.is_replicated_to(one.ip)):
                return

    def is_replicated_to(self, ip: str) -> bool:
        """Whether a primary that leads wants a copy there."""
        for machine in self.world.machines.values():
            work = machine.member.primary_role if machine.member is not None else None
            if work is not None and self.world.is_leader(machine.ip):
                return machine.ip == ip or ip in work.replicator.targets(machine.now(self.world.at))
        return True

    # -- what was measured ---------------------------------------------------------------------

    def waits(self) -> dict[str, list[int]]:
        """How long (us) changes waited, by the trouble that they were sent in."""
        found: dict[str, list[int]] = {}
        for change in self.changes:
            if change.acknowledged_at is not None:
                found.setdefault(change.during, []).append(change.acknowledged_at - change.sent_at)
        return found

    def entries(self) -> int:
        """The largest number of entries in what one machine remembers of others and of messages."""
        return max(remembered(machine) for machine in self.world.machines.values())


def copied(machine: Machine) -> StampTuple:
    return (
        state_stamp(machine.disk.state) if machine.disk is not None and machine.disk.has_copy else ZERO_STAMP
    )


def remembered(machine: Machine) -> int:
    member = machine.member
    if member is None:
        return 0
    count = (
        len(member.durable.pending_messages)
        + len(member.peers.last_contact_at)
        + len(member.peers.incarnations)
    )
    work = member.primary_role
    if work is not None:
        progress = work.progress
        count += len(progress.round_sent_at) + len(progress.members) + len(progress.learners)
        count += len(work.orders.pending())
    return count
