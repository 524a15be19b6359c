"""Random search for safety violations of the control state: rounds of faults, then orders that must succeed.

There are two kinds of rounds. In an *unbounded* round any number of processes, disks and links fail in any
way, and up to a minority of the members loses its disk, each once. In a *bounded* round no more machines are
lost at a time than are tolerated. A machine counts as lost until the catch-up time after its return has
passed, or that of its successor where another machine at another address replaces it (planned, with the new
machine started first, or unplanned). Meanwhile a network partition may split the voters into two halves,
whatever is tolerated; all other machines reach both. At each moment of a bounded round every further
tolerated loss must be survivable (`closure`). The round may end with a closing fault right after an
acknowledgement: the disks of a zone, or of as many machines as are tolerated, are lost, while every other
machine may lose power.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from vetchusher.control import Timing
from vetchusher.control.state import majority, newest_replica_set
from vetchusher.emulator.fleet_world import MS, SECOND

from .closure import ClusterState, untolerated_loss
from .machine_faults import FAULTS, Fault, wipe
from .racers import RacingOperator
from .world import SimulationSettings, World

CATCH_UP_US = 4 * SECOND
SLOW_CATCH_UP_US = 10 * SECOND  # where messages or disks take hundreds of times as long as in production
SLOW_LINK_US, SLOW_DISK_US = 30 * MS, 100 * MS
CHECK_INTERVAL_US = 50 * MS  # between two checks that every further loss would be tolerated
RECOVERY_US = 5 * SECOND  # an order must be acknowledged within twice this time once a majority is healthy
NEVER_US = 1 << 60
MAX_PARTITION_US = 6 * SECOND
RACING_OPERATORS = 8  # each with one order in flight


@dataclass(slots=True)
class SearchSettings:
    """Settings of one search.

    :param rounds: rounds of faults
    :param tolerated_losses: machines that may be lost at a time
    :param fault_names: faults to inject; empty: all
    :param unbounded_ratio: share of unbounded rounds
    :param closing_fault_ratio: share of the bounded rounds that end with a closing fault
    :param partition_ratio: share of the bounded rounds in which the voters are partitioned into two halves
    :param replacement_ratio: share of the losses in a bounded round after which another machine takes the
        place
    :param mean_fault_gap_us: mean time between two faults of a round
    :param max_order_gap_us: longest pause of an operator between two orders
    :param racing_operators: number of additional operators that race for versions
    """

    simulation: SimulationSettings = field(default_factory=SimulationSettings)
    rounds: int = 3
    tolerated_losses: int = 1
    fault_names: tuple[str, ...] = ()
    unbounded_ratio: float = 0.5
    closing_fault_ratio: float = 0.7
    partition_ratio: float = 0.4
    replacement_ratio: float = 0.3
    mean_fault_gap_us: int = 500 * MS
    max_order_gap_us: int = 300 * MS
    racing_operators: int = 0

    @property
    def catch_up_us(self) -> int:
        """Return how long a machine counts as lost after its return."""
        scene = self.simulation
        slow = (
            scene.max_delay_us > SLOW_LINK_US or scene.max_sync_us > SLOW_DISK_US or scene.late_ratio > 0.01
        )
        return SLOW_CATCH_UP_US if slow else CATCH_UP_US


ZONES = (("east", "east", "west"), ("east", "east", "east", "west", "west"), ("east", "west", "north"))


def random_settings(seed: int) -> SearchSettings:
    """Return random settings for a seed: machines, disks, links, clocks and rates of faults and orders."""
    rng = random.Random(seed)
    zones = rng.choice(ZONES)
    joiners = rng.choice((0, 0, 1, 2)) if len(zones) == 3 else 0
    removes_members = rng.random() < 0.3  # of members that are away for a while
    scene = SimulationSettings(
        seed=seed,
        timing=Timing(removal_timeout_us=3 * SECOND) if removes_members else Timing(),
        zones=zones + tuple(rng.choices(zones, k=joiners)),
        seed_count=len(zones),
        clock_drift_ratio=rng.choice((0.0, 0.01, 0.045)),
        loss_ratio=rng.choice((0.0, 0.01)),
        late_ratio=rng.choice((0.0, 0.005, 0.05)),
        max_delay_us=rng.choice((5 * MS, 30 * MS, 150 * MS)),
        max_sync_us=rng.choice((5 * MS, 100 * MS, 400 * MS)),
    )
    scene.tolerated_losses = 1 if len(zones) == 3 or removes_members else 2
    scene.body_rows = 80 if random.Random(f"body {seed}").random() < 0.3 else 0
    return SearchSettings(
        scene,
        tolerated_losses=scene.tolerated_losses,
        mean_fault_gap_us=rng.choice((200 * MS, 600 * MS)),
        max_order_gap_us=rng.choice((30 * MS, 400 * MS)),
    )


def racing_settings(seed: int) -> SearchSettings:
    """Return the settings of `random_settings` with more rounds and racing operators."""
    return replace(random_settings(seed), racing_operators=RACING_OPERATORS, rounds=5)


class FaultSearch:
    """Runs one search and tracks which machines count as lost, and until when."""

    def __init__(self, settings: SearchSettings) -> None:
        """Create the world of the settings; nothing runs yet."""
        self.settings = settings
        self.world = World(settings.simulation)
        self.rng = self.world.rng
        self.catch_up_us = settings.catch_up_us
        self.lost_until_us: dict[str, int] = {}
        # Successors of lost machines; each counts as lost in the place of the machine before it.
        self.catching_up_until_us: dict[str, int] = {}
        self.in_bounded_round = False
        self.last_version = 0
        self.acknowledged_orders = 0
        self.on_next_acknowledgement: Callable[[], None] | None = None  # called once

    # -- a run ---------------------------------------------------------------------------------

    def run(self) -> list[str]:
        """Run the search; return the violations of safety, of progress, or else of the call history."""
        world = self.world
        for ip in world.seeds:
            world.schedule(self.rng.randrange(300 * MS), partial(world.start, ip, first=True))
        for number, zone in enumerate(("north", "south")):
            self.start_operator(zone, number)
        for number in range(self.settings.racing_operators):
            world.schedule(
                SECOND, RacingOperator(world, number, self.next_version, self.random_target).send_next
            )
        self.advance(SECOND)
        for ip in world.machines:
            world.schedule(self.rng.randrange(4 * SECOND), partial(world.start, ip))
        self.advance(2 * SECOND)
        for _ in range(self.settings.rounds):
            if world.judge.violations:
                break
            if self.rng.random() < self.settings.unbounded_ratio:
                self.unbounded_round()
            else:
                self.bounded_round()
        self.check_progress(self.present_machines())
        return world.judge.violations or world.history.violations()

    def advance(self, duration_us: int) -> None:
        """Run the world for that long."""
        self.world.run_until(self.world.now_us + duration_us)

    # -- operators -----------------------------------------------------------------------------

    def next_version(self, steps: int) -> int:
        """Return a version `steps` above all that were sent; for 0 steps the newest one."""
        self.last_version += steps
        return self.last_version

    def start_operator(self, zone: str, index: int) -> None:
        """Start an operator that sends one order after another, each until it is acknowledged."""
        world, rng = self.world, self.rng

        def send_next() -> None:
            sample = rng.random()
            if sample < 0.5:
                self.last_version += rng.randrange(1, 4)
                version = self.last_version
                self.retry_until_acknowledged(
                    lambda ip, then: world.replace(ip, version, then), schedule_next
                )
            elif sample < 0.75:
                on = rng.random() < 0.5
                self.retry_until_acknowledged(
                    lambda ip, then: world.evacuate(ip, zone, on, then), schedule_next
                )
            else:
                world.retrieve(self.random_target(), lambda version: schedule_next())

        def schedule_next() -> None:
            world.schedule(rng.randrange(1, self.settings.max_order_gap_us), send_next)

        world.schedule(index * 50 * MS, send_next)

    def retry_until_acknowledged(
        self, attempt: Callable[[str, Callable[[bool], None]], None], then: Callable[[], None]
    ) -> None:
        """Make an attempt at a random target, again and again until it is acknowledged, then call `then`."""

        def answered(ok: bool) -> None:
            if ok:
                self.acknowledged_orders += 1
                callback, self.on_next_acknowledgement = self.on_next_acknowledgement, None
                if callback is not None:
                    callback()
                then()
            else:
                self.world.schedule(self.rng.randrange(50 * MS, 400 * MS), send)

        def send() -> None:
            attempt(self.random_target(), answered)

        send()

    def random_target(self) -> str:
        """Return a machine that takes itself for the primary, or any present machine if there is none."""
        leaders = [ip for ip, m in self.world.machines.items() if m.replica and m.replica.primary_ip == ip]
        return self.rng.choice(leaders or self.present_machines())

    # -- faults of one machine -----------------------------------------------------------------

    def random_fault(self) -> Fault:
        """Return a random one of the faults to inject."""
        names = [
            kind for kind in FAULTS if not self.settings.fault_names or kind in self.settings.fault_names
        ]
        return FAULTS[self.rng.choice(names)]

    def begin_fault(self, ip: str, fault: Fault, duration_us: int) -> None:
        """Begin a fault of one machine, which ends after `duration_us`."""
        self.lost_until_us[ip] = NEVER_US
        end_fault = fault(self.world, ip)

        def on_end() -> None:
            end_fault()
            self.lost_until_us[ip] = self.world.now_us + self.catch_up_us

        self.world.schedule(duration_us, on_end)

    def lost_machines(self) -> set[str]:
        """Return the machines that count as lost; while the voters are partitioned none catches up."""
        now = self.world.now_us - (MAX_PARTITION_US if self.world.partition[0] else 0)
        return {ip for ip, until in self.lost_until_us.items() if until > now}

    def catching_up_machines(self) -> set[str]:
        """Return the successors that are still catching up."""
        return {ip for ip, until in self.catching_up_until_us.items() if until > self.world.now_us}

    def present_machines(self) -> list[str]:
        """Return the machines that aren't permanently removed."""
        return [ip for ip, machine in self.world.machines.items() if not machine.removed]

    # -- replacements --------------------------------------------------------------------------

    def replace_lost(self, ip: str) -> None:
        """Lose a machine permanently with its disk; some time later another machine takes its place."""
        self.world.lose_permanently(ip)
        self.lost_until_us[ip] = NEVER_US
        self.world.schedule(self.rng.randrange(3 * SECOND), partial(self.start_successor_later, ip))

    def replace_as_planned(self, ip: str) -> None:
        """Start the successor first; later shut the machine down in order, permanently."""
        successor = self.start_successor(ip)
        pause = self.rng.choice((SECOND, self.rng.randrange(8 * SECOND)))
        self.world.schedule(pause, partial(self.decommission, ip, successor))

    def decommission(self, ip: str, successor: str) -> None:
        """Shut a machine down permanently as soon as one more loss is tolerated.

        It counts as lost until its successor has caught up.
        """
        catching_up_until_us = self.catching_up_until_us[successor]  # later if a partition delays it
        is_catching_up = catching_up_until_us > self.world.now_us
        if is_catching_up and len(self.lost_machines() - {ip}) >= self.settings.tolerated_losses:
            self.world.schedule(CHECK_INTERVAL_US, partial(self.decommission, ip, successor))
            return
        self.lost_until_us[ip] = max(catching_up_until_us, self.lost_until_us.get(ip, 0))
        self.world.decommission(ip)

    def start_successor_later(self, ip: str) -> None:
        """Start the successor of a lost machine."""
        self.start_successor(ip)

    def start_successor(self, ip: str) -> str:
        """Start a machine that takes the place of another; return its address."""
        world = self.world
        successor = world.add_machine(world.machines[ip].zone)
        world.start(successor)
        until_us = self.catching_up_until_us[successor] = world.now_us + self.catch_up_us
        if ip in self.lost_machines():
            self.lost_until_us[ip] = until_us
        return successor

    # -- tolerance of every further loss -------------------------------------------------------

    def check_tolerance(self) -> None:
        """Check periodically in a bounded round that every further tolerated loss would be survived."""
        if not self.in_bounded_round or self.world.judge.violations:
            return
        failure = untolerated_loss(self.cluster_state())
        if failure:
            self.world.judge.report(f"a tolerated loss would not be survived, {failure}")
        self.world.schedule(CHECK_INTERVAL_US, self.check_tolerance)

    def cluster_state(self) -> ClusterState:
        """Return the state of the cluster for the check of further losses."""
        world, lost = self.world, self.lost_machines()
        in_fault = {ip for ip in lost if self.lost_until_us[ip] == NEVER_US}
        disks = {
            ip: machine.disk
            for ip, machine in world.machines.items()
            if ip not in in_fault and machine.replica and machine.disk and not machine.replica.is_amnesiac
        }
        return ClusterState(
            disks,
            frozenset(lost),
            frozenset(self.catching_up_machines()),
            self.settings.tolerated_losses,
            world.judge.newest_stamp,
        )

    def end_all_faults(self) -> None:
        """End all faults, and start every machine that isn't removed."""
        world = self.world
        world.blocked_links.clear()
        world.loss_ratio, world.late_ratio = world.settings.loss_ratio, world.settings.late_ratio
        for ip, machine in world.machines.items():
            machine.disk_hangs = machine.disk_refuses = False
            world.resume(ip)
            world.start(ip)

    # -- rounds --------------------------------------------------------------------------------

    def unbounded_round(self) -> None:
        """Inject any faults, end them, and check that a majority makes progress."""
        world, rng = self.world, self.rng
        ends_us = world.now_us + rng.randrange(SECOND, 8 * SECOND)
        members = self.members()
        minority = len(members) - majority(len(members))
        for ip in (
            rng.sample(members, min(minority, self.settings.tolerated_losses)) if rng.random() < 0.5 else ()
        ):
            world.schedule(
                rng.randrange(ends_us - world.now_us),
                partial(self.begin_fault, ip, wipe, rng.randrange(SECOND)),
            )
        while world.now_us < ends_us and not world.judge.violations:
            self.unbounded_fault(ends_us)
            self.advance(int(rng.expovariate(1 / self.settings.mean_fault_gap_us)) + 1)
        self.end_all_faults()
        self.advance(self.catch_up_us)  # machines that lost their disks, before others fail
        members = self.members()
        minority = len(members) - majority(len(members))
        faulty = rng.sample(members, minority)
        for ip in faulty:
            self.begin_fault(ip, self.random_fault(), 2 * RECOVERY_US)
        self.check_progress([ip for ip in members if ip not in faulty])
        self.end_all_faults()
        self.advance(self.catch_up_us)

    def unbounded_fault(self, ends_us: int) -> None:
        """Inject one random fault that ends by `ends_us`."""
        world, rng = self.world, self.rng
        present = self.present_machines()
        sample = rng.random()
        if sample < 0.1 and not self.settings.fault_names:
            for ip in present:
                world.kill(ip)
                world.schedule(rng.randrange(SECOND), partial(world.start, ip))
        elif sample < 0.2:
            world.loss_ratio = rng.choice((0.0, 0.1, 0.3))
            world.late_ratio = rng.choice((0.0, 0.05))
        elif sample < 0.4:
            sender, receiver = rng.sample(present, 2)
            world.blocked_links.add((sender, receiver))
            world.schedule(rng.randrange(4 * SECOND), lambda: world.blocked_links.discard((sender, receiver)))
        else:
            ip = self.random_target() if rng.random() < 0.5 else rng.choice(present)
            duration_us = rng.choice((rng.randrange(SECOND), rng.randrange(4 * SECOND)))
            self.begin_fault(ip, self.random_fault(), min(duration_us, max(1, ends_us - world.now_us)))

    def bounded_round(self) -> None:
        """Lose no more machines at a time than are tolerated, and check every further tolerated loss."""
        world, rng = self.world, self.rng
        ends_us = world.now_us + rng.randrange(SECOND, 6 * SECOND)
        self.in_bounded_round = True
        self.check_tolerance()
        if rng.random() < self.settings.partition_ratio:
            world.schedule(rng.randrange(ends_us - world.now_us), self.begin_partition)
        while world.now_us < ends_us and not world.judge.violations:
            self.bounded_loss()
            self.advance(self.next_loss_delay_us())
        while self.lost_machines() | self.catching_up_machines() and not world.judge.violations:
            self.advance(SECOND)
        if rng.random() < self.settings.closing_fault_ratio:
            self.on_next_acknowledgement = lambda: world.schedule(rng.randrange(30 * MS), self.closing_fault)
            self.advance(6 * SECOND)
        self.in_bounded_round = False
        self.check_progress(self.present_machines())
        self.advance(self.catch_up_us)

    def begin_partition(self) -> None:
        """Partition the voters into two halves for some seconds; no machine counts as lost by it."""
        voters = self.members()
        self.rng.shuffle(voters)
        middle = len(voters) // 2
        self.world.partition = frozenset(voters[:middle]), frozenset(voters[middle:])
        self.world.schedule(self.rng.randrange(300 * MS, MAX_PARTITION_US), self.end_partition)

    def end_partition(self) -> None:
        """End the partition; machines that were lost in the meantime begin to catch up now."""
        self.world.partition = frozenset(), frozenset()
        for deadlines in (self.lost_until_us, self.catching_up_until_us):
            for ip in [
                ip
                for ip, end_us in deadlines.items()
                if self.world.now_us - MAX_PARTITION_US < end_us < NEVER_US
            ]:
                deadlines[ip] = self.world.now_us + self.catch_up_us

    def next_loss_delay_us(self) -> int:
        """Return the delay until the next loss of a bounded round.

        It is random, or ends at the very moment at which one more loss is tolerated again.
        """
        end_times = [until for until in self.lost_until_us.values() if self.world.now_us < until < NEVER_US]
        if end_times and self.rng.random() < 0.4:
            return min(end_times) - self.world.now_us
        return int(self.rng.expovariate(1 / self.settings.mean_fault_gap_us)) + 1

    def bounded_loss(self) -> None:
        """Lose one more machine, if that is tolerated."""
        rng = self.rng
        ip = self.random_target() if rng.random() < 0.5 else rng.choice(self.present_machines())
        if (
            ip in self.lost_machines() | self.catching_up_machines()
            or len(self.lost_machines()) >= self.settings.tolerated_losses
        ):
            return
        if rng.random() < self.settings.replacement_ratio and not self.settings.fault_names:
            rng.choice((self.replace_lost, self.replace_as_planned))(ip)
            return
        duration_us = rng.choice((rng.randrange(300 * MS), rng.randrange(SECOND), rng.randrange(3 * SECOND)))
        self.begin_fault(ip, wipe if rng.random() < 0.5 else self.random_fault(), duration_us)

    def closing_fault(self) -> None:
        """Lose the disks of one zone, or of as many machines as are tolerated; usually crash all others."""
        world, rng = self.world, self.rng
        self.in_bounded_round = False
        present = self.present_machines()
        zone = rng.choice(sorted({world.machines[ip].zone for ip in present}))
        wiped = rng.sample(present, self.settings.tolerated_losses)
        if rng.random() < 0.5:
            wiped = [ip for ip in present if world.machines[ip].zone == zone]
        kills_others = rng.random() < 0.8
        for ip in present:
            if ip in wiped:
                world.wipe(ip)
            elif kills_others:
                world.kill(ip)
            world.schedule(
                rng.choice((0, SECOND, 3 * SECOND)) + rng.randrange(SECOND), partial(world.start, ip)
            )

    def members(self) -> list[str]:
        """Return the members in the newest replica set on any disk."""
        records = [m.disk.replica_set for m in self.world.machines.values() if m.disk is not None]
        return list(newest_replica_set(records).members)

    def check_progress(self, healthy: list[str]) -> None:
        """Check that an order given to the healthy machines, a connected majority, is committed in time."""
        world, began_us = self.world, self.world.now_us
        done: list[bool] = []

        def answered(ok: bool) -> None:
            if ok:
                done.append(True)
            elif not world.judge.violations:
                world.schedule(200 * MS, send)

        def send() -> None:
            self.last_version += 1
            on_rejected = partial(done.append, True)  # a racing operator had the version first
            world.replace(self.rng.choice(healthy), self.last_version, answered, on_rejected=on_rejected)

        send()
        while not done and world.now_us < began_us + 2 * RECOVERY_US and not world.judge.violations:
            self.advance(100 * MS)
        if not done and not world.judge.violations:
            world.judge.report(f"an order is not settled, though {', '.join(healthy)} are well")
