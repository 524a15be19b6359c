"""Simulation of the replicated control state in virtual time.

Machines have clocks, disks and links that fail; the replicas are the production code. A write to disk that
isn't synced when a machine crashes may survive or not; messages may be late, lost, duplicated or out of
order; clocks drift. A `Judge` checks the safety properties after every event.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from vetchusher.control import (
    Committed,
    Completed,
    EvacuationOrder,
    Input,
    Order,
    Output,
    Persist,
    Persisted,
    PersistentState,
    Received,
    ReplaceOrder,
    Replica,
    ReplicaSettings,
    RetrieveOrder,
    Send,
    ShutDown,
    Submitted,
    Tick,
    Timing,
)
from vetchusher.control.state import state_stamp
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import ControlMessage
from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent

from .call_history import History, ReadCall, WriteCall
from .judge import Judge, committed_version, is_version_conflict

TICK_US = 50 * MS
SHUTDOWN_GRACE_US = 5 * SECOND  # longest wait of an orderly shutdown
MAX_SEEDS = 3  # machines that a settings file names
VOTER_SHUTDOWN_WAIT_US = 500 * MS  # as `node.control_node.LAST_VOTE_S`
MAX_QUEUED_INPUTS = 400  # of each queue of a paused machine
ANSWER_TIMEOUT_US = 4 * SECOND  # how long an operator waits for one answer
AnswerCallback = Callable[[Result[bytes, Error]], None]
NO_ANSWER: Result[bytes, Error] = Failure(Error(ErrorCode.UNAVAILABLE, "no answer"))


@dataclass(slots=True)
class Attempt:
    """An order that was sent and is not answered yet.

    :param on_answer: is called with the outcome, once
    :param committed_before: version that the machine asked had committed when the order came; None: none yet
    :param timed_out: the sender no longer waits; the judge checks the answer all the same
    """

    order: Order
    on_answer: AnswerCallback
    committed_before: int | None = None
    timed_out: bool = False


def body_header(version: int, variant: str = "") -> bytes:
    """Return the start of a configuration body.

    :param variant: distinguishes bodies under one version
    """
    return b"r%d" % version + variant.encode() + b"." * 50


@dataclass(slots=True)
class SimulationSettings:
    """Settings of one simulation run.

    :param zones: zones of the machines, in order
    :param seed_count: how many of them, from the first on, are members at the first start
    :param tolerated_losses: machines that may be lost at a time
    :param clock_drift_ratio: largest deviation of a clock's rate from 1
    :param loss_ratio: share of the messages that are lost
    :param duplicate_ratio: share of the messages that are delivered twice
    :param late_ratio: share of the messages that take up to `max_late_delay_us`
    :param min_delay_us: shortest delay of a message
    :param max_delay_us: longest delay of a message that isn't late
    :param max_sync_us: longest duration of a sync
    :param clock_rates: rates of the clocks; random for machines beyond its length
    :param body_rows: rows of a configuration besides its version; one row differs between successive versions
    :param link_bytes_s: bandwidth of each machine's link; 0: unlimited
    :param disk_bytes_s: bandwidth of a disk; 0: unlimited
    """

    seed: int = 1
    zones: tuple[str, ...] = ("east", "east", "west")
    seed_count: int = 3
    tolerated_losses: int = 1
    clock_drift_ratio: float = 0.01
    loss_ratio: float = 0.01
    duplicate_ratio: float = 0.01
    late_ratio: float = 0.005
    max_late_delay_us: int = SECOND
    min_delay_us: int = 200
    max_delay_us: int = 20 * MS
    max_sync_us: int = 10 * MS
    clock_rates: tuple[float, ...] = ()
    body_rows: int = 0
    link_bytes_s: int = 0
    disk_bytes_s: int = 0
    timing: Timing = field(default_factory=Timing)


def configuration_body(version: int, rows: int, variant: str = "") -> bytes:
    """Return a configuration body; successive versions differ in the header and in a row or two."""
    parts = [body_header(version, variant)]
    for row in range(rows):
        changed_at = version - (version - row) % rows  # the newest version that changed this row
        parts.append(b'{"row":%d,"since":%d,"filled":"%s"}\n' % (row, changed_at, b"f" * 40))
    return b"".join(parts)


def transfer_time_us(size: int, bytes_s: int) -> int:
    """Return for how long (us) `size` bytes occupy a link or a disk; 0 if its bandwidth is unlimited."""
    return size * SECOND // bytes_s if bytes_s else 0


@dataclass(slots=True)
class Machine:
    """A machine with its clock, disk, link and replica process.

    :param clock_rate: progress of its clock per unit of virtual time
    :param replica: the replica; None: the process does not run
    :param incarnation: how often the process was started
    :param disk: what is synced
    :param pending_persist: the write to disk in progress
    :param disk_hangs: no write completes
    :param disk_refuses: every write fails
    :param removed: permanently; it never starts again
    :param reported_commit: stamp and version of the newest commit that it reports to readers: its own commit,
        or one received from the primary
    :param link_free_at: when its link has sent all queued messages, us
    :param queued_inputs: messages and other inputs that arrived while it was paused
    :param queued_orders: ids of operators' orders that arrived while it was paused
    """

    ip: str
    zone: str
    clock_rate: float
    clock_offset_us: int
    replica: Replica | None = None
    incarnation: int = 0
    disk: PersistentState | None = None
    pending_persist: Persist | None = None
    disk_hangs: bool = False
    disk_refuses: bool = False
    paused: bool = False
    removed: bool = False
    reported_commit: tuple[StampTuple, int] = (ZERO_STAMP, 0)
    link_free_at: int = 0
    queued_inputs: list[Input] = field(default_factory=list)
    queued_orders: list[int] = field(default_factory=list)

    def now(self, at: int) -> int:
        """Return the time (us) on this machine's clock at a moment of virtual time."""
        return self.clock_offset_us + int(at * self.clock_rate)


class World:
    """Owns the simulated machines, the event queue and the orders in flight."""

    def __init__(self, scene: SimulationSettings) -> None:
        """Create the machines of the settings; none runs yet."""
        self.settings = scene
        self.rng = random.Random(scene.seed)
        self.now_us = 0
        self.last_serial = 0
        self.processed_events = 0  # events processed
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.judge = Judge()
        self.blocked_links: set[tuple[str, str]] = set()  # sender, receiver
        # Two groups that can't reach each other; both empty without a partition.
        self.partition: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self.drops_writes: set[str] = set()  # receivers of which messages with a state are lost
        self.attempts: dict[int, Attempt] = {}
        self.history = History()  # calls on configurations; the judge checks evacuations
        self.event_counts: Counter[str] = Counter()
        self.event_log: list[tuple[int, str, LogEvent]] = []
        self.loss_ratio, self.late_ratio = scene.loss_ratio, scene.late_ratio
        self.imported_states: dict[str, PersistentState] = {}  # imported into empty data folders, by machine
        self.machines: dict[str, Machine] = {}
        for zone in scene.zones:
            self.add_machine(zone)
        self.seeds = list(self.machines)[: scene.seed_count]

    def add_machine(self, zone: str) -> str:
        """Add a machine with an empty disk, without starting it; return its address, which is new."""
        index = len(self.machines)
        random_rate = 1 + self.rng.choice((-1, 0, 1)) * self.settings.clock_drift_ratio
        rate = self.settings.clock_rates[index] if index < len(self.settings.clock_rates) else random_rate
        ip = f"{index + 1}"
        self.machines[ip] = Machine(ip, zone, rate, self.rng.randrange(10**9))
        return ip

    # -- time ----------------------------------------------------------------------------------

    def schedule(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.last_serial += 1
        heapq.heappush(self.event_queue, (self.now_us + delay_us, self.last_serial, action))

    def run_until(self, until_us: int) -> None:
        """Process events up to a moment (us), or until five violations were found."""
        while self.event_queue and self.event_queue[0][0] <= until_us and len(self.judge.violations) < 5:
            self.now_us, _, what = heapq.heappop(self.event_queue)
            self.judge.now_us = self.now_us
            self.processed_events += 1
            what()
        self.now_us = self.judge.now_us = max(self.now_us, until_us)

    # -- processes -----------------------------------------------------------------------------

    def start(self, ip: str, first: bool = False) -> None:
        """Start a machine's process unless it runs or the machine is removed.

        :param first: whether this is the first start of the cluster, which may bootstrap it
        """
        machine = self.machines[ip]
        if machine.replica is not None or machine.removed:
            return
        machine.incarnation += 1
        seeds = self.seeds if first else self.current_seeds()
        settings = ReplicaSettings(
            ip, machine.zone, seeds, first, self.settings.timing, self.settings.tolerated_losses
        )
        replica_rng = random.Random(self.rng.randrange(1 << 30))
        machine.replica = Replica(
            settings, machine.disk, replica_rng, machine.now(self.now_us), self.imported_states.get(ip)
        )
        incarnation = machine.incarnation
        self.schedule(self.rng.randrange(TICK_US), lambda: self.tick(machine, incarnation))

    def current_seeds(self) -> list[str]:
        """Return the seeds that the settings name at a later start.

        They are the first seeds, unless one was removed: then the newest machines that have run and are
        present.
        """
        if not any(self.machines[ip].removed for ip in self.seeds):
            return self.seeds
        present = [ip for ip, machine in self.machines.items() if machine.incarnation and not machine.removed]
        return present[-MAX_SEEDS:]

    def tick(self, machine: Machine, incarnation: int) -> None:
        """Give the machine a clock tick, and schedule the next one while this incarnation runs."""
        if machine.incarnation != incarnation or machine.replica is None:
            return
        if not machine.paused:
            self.handle_input(machine, Tick())
            self.poll_primary(machine)
        self.schedule(TICK_US + self.rng.randrange(5 * MS), lambda: self.tick(machine, incarnation))

    def poll_primary(self, machine: Machine) -> None:
        """Let a machine request the newest commit that its presumed primary reports."""
        primary = self.machines.get(machine.replica.primary_ip) if machine.replica is not None else None
        if primary is None or primary.replica is None or primary.paused or machine.ip in self.drops_writes:
            return
        if not self.is_blocked(machine.ip, primary.ip) and not self.is_blocked(primary.ip, machine.ip):
            machine.reported_commit = max(machine.reported_commit, primary.reported_commit)

    def handle_input(self, machine: Machine, event: Input) -> None:
        """Give an input to a machine's replica and execute its outputs; a paused machine queues it."""
        if machine.replica is None:
            return
        if machine.paused:
            if len(machine.queued_inputs) < MAX_QUEUED_INPUTS:
                machine.queued_inputs.append(event)
            return
        if isinstance(event, Submitted) and event.order_id in self.attempts:
            self.attempts[event.order_id].committed_before = committed_version(machine.replica)
        for output in machine.replica.handle(machine.now(self.now_us), event):
            self.execute(machine, output)
        self.check_leaders()

    def check_leaders(self) -> None:
        """Give the judge every machine that holds a valid lease, and what each reports as in force."""
        leaders = []
        for machine in self.machines.values():
            if machine.replica is None:
                continue
            now = machine.now(self.now_us)
            if machine.replica.is_leader(now):
                leaders.append(machine.ip)
            if machine.replica.is_in_force(now, machine.reported_commit[0]) and not machine.paused:
                self.judge.check_in_force(machine.ip, machine.reported_commit[1])
        self.judge.on_leaders(leaders)

    def is_leader(self, ip: str) -> bool:
        """Return whether the machine is the primary with a valid lease by its own clock."""
        machine = self.machines[ip]
        return machine.replica is not None and machine.replica.is_leader(machine.now(self.now_us))

    def execute(self, machine: Machine, output: Output) -> None:
        """Carry out one output of a machine's replica."""
        if isinstance(output, Send):
            self.send(machine, output.to, output.message.SerializeToString())
        elif isinstance(output, Persist):
            self.persist(machine, output)
        elif isinstance(output, Committed):
            machine.reported_commit = max(
                machine.reported_commit, (state_stamp(output.state), output.state.version)
            )
            self.judge.on_commit(machine.ip, output.state)
        elif isinstance(output, Completed):
            self.on_completed(machine, output)
        else:
            self.event_counts[output.event.name] += 1
            self.event_log.append((self.now_us, machine.ip, output))
            if output.event is Event.BECAME_PRIMARY:
                epoch = output.facts["epoch"]
                assert isinstance(epoch, int)
                self.judge.on_primary(epoch, f"{machine.ip}/{machine.incarnation}")
            elif (
                output.event is Event.REPLICA_SET_ESTABLISHED
                and machine.replica
                and machine.replica.primary_role
            ):
                replica_set = machine.replica.primary_role.reconfiguration.current
                self.judge.on_replica_set_established(
                    replica_set, {ip: m.disk for ip, m in self.machines.items()}
                )

    def kill(self, ip: str) -> None:
        """Crash the process or the machine: a write to disk that isn't synced survives or not."""
        machine = self.machines[ip]
        if machine.pending_persist is not None and self.rng.random() < 0.5:
            machine.disk = machine.pending_persist.contents
        machine.replica, machine.pending_persist, machine.paused = None, None, False
        machine.queued_inputs.clear()
        machine.queued_orders.clear()

    def wipe(self, ip: str) -> None:
        """Crash the machine and lose its disk."""
        self.kill(ip)
        self.machines[ip].disk = None
        self.judge.disk_lost_at[ip] = self.now_us

    def shut_down(self, ip: str, then: Callable[[], None] = lambda: None) -> None:
        """Shut the machine down in order, as by SIGTERM.

        It runs until it is no longer needed or the grace period is over.

        :param then: called when the process has ended this way
        """
        machine, incarnation = self.machines[ip], self.machines[ip].incarnation
        self.handle_input(machine, ShutDown())
        self.schedule(TICK_US, lambda: self.await_shutdown(machine, incarnation, self.now_us, then))

    def await_shutdown(
        self, machine: Machine, incarnation: int, began_us: int, then: Callable[[], None]
    ) -> None:
        """Poll until the process isn't needed any more or the grace period is over, then end it.

        :param began_us: when the shutdown was requested
        """
        if machine.incarnation != incarnation or machine.replica is None:
            return
        min_wait_us = VOTER_SHUTDOWN_WAIT_US if machine.replica.is_voter else 0
        is_needed = not machine.paused and machine.replica.is_needed(machine.now(self.now_us))
        if self.now_us < began_us + (SHUTDOWN_GRACE_US if is_needed else min_wait_us):
            self.schedule(TICK_US, lambda: self.await_shutdown(machine, incarnation, began_us, then))
            return
        self.kill(machine.ip)
        then()

    def decommission(self, ip: str) -> None:
        """Shut the machine down in order; it never starts again."""

        def set_removed() -> None:
            self.machines[ip].removed = True

        self.shut_down(ip, set_removed)

    def lose_permanently(self, ip: str) -> None:
        """Crash the machine and lose its disk; its address is never used again."""
        self.wipe(ip)
        self.machines[ip].removed = True

    def pause(self, ip: str) -> None:
        """Pause the process, as by SIGSTOP; what arrives meanwhile is queued."""
        self.machines[ip].paused = True

    def resume(self, ip: str) -> None:
        """Resume the process with the queued orders, then the queued inputs."""
        machine = self.machines[ip]
        machine.paused = False
        orders, machine.queued_orders = machine.queued_orders, []
        for number in orders:
            self.route_order(machine, number)
        inputs, machine.queued_inputs = machine.queued_inputs, []
        for event in inputs:
            self.handle_input(machine, event)

    # -- disks ---------------------------------------------------------------------------------

    def persist(self, machine: Machine, request: Persist) -> None:
        """Begin a write to disk."""
        assert machine.pending_persist is None, "two saves at once"
        machine.pending_persist = request
        incarnation = machine.incarnation
        busy_us = transfer_time_us(request.contents.state.ByteSize(), self.settings.disk_bytes_s)
        busy_us += self.rng.randrange(1, self.settings.max_sync_us)
        self.schedule(busy_us, lambda: self.on_persisted(machine, incarnation, request))

    def on_persisted(self, machine: Machine, incarnation: int, request: Persist) -> None:
        """Complete a write to disk, unless the process has ended since; a hanging disk is retried."""
        if machine.incarnation != incarnation or machine.pending_persist is not request:
            return
        if machine.disk_hangs:
            self.schedule(50 * MS, lambda: self.on_persisted(machine, incarnation, request))
            return
        machine.pending_persist = None
        if not machine.disk_refuses:
            machine.disk = request.contents
        self.handle_input(machine, Persisted(request.token, not machine.disk_refuses))

    def repair_disk(self, ip: str) -> None:
        """End the faults of the machine's disk."""
        self.machines[ip].disk_hangs = self.machines[ip].disk_refuses = False

    # -- links ---------------------------------------------------------------------------------

    def send(self, machine: Machine, to: str, data: bytes) -> None:
        """Send a message through the machine's link: it may be queued, lost, duplicated or late."""
        transfer_us = transfer_time_us(len(data), self.settings.link_bytes_s)
        machine.link_free_at = max(machine.link_free_at, self.now_us) + transfer_us
        queued_us = machine.link_free_at - self.now_us if self.settings.link_bytes_s else 0
        for _ in range(1 + (self.rng.random() < self.settings.duplicate_ratio)):
            if self.rng.random() < self.loss_ratio:
                continue
            delay_us = self.rng.randrange(self.settings.min_delay_us, self.settings.max_delay_us)
            if self.rng.random() < self.late_ratio:
                delay_us = self.rng.randrange(self.settings.max_late_delay_us)
            self.schedule(queued_us + delay_us, lambda: self.deliver(machine, to, data))

    def deliver(self, sender: Machine, to: str, data: bytes) -> None:
        """Deliver a message, unless the link is blocked or the receiver's writes are dropped."""
        message = ControlMessage.FromString(data)
        dropped = to in self.drops_writes and message.WhichOneof("kind") == "write"
        if not dropped and not self.is_blocked(sender.ip, to):
            self.handle_input(self.machines[to], Received(sender.ip, sender.zone, message))

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether nothing gets through from one machine to another."""
        first, second = self.partition
        crosses_partition = (sender in first and receiver in second) or (
            sender in second and receiver in first
        )
        return crosses_partition or (sender, receiver) in self.blocked_links

    def block_links(self, ip: str, receives: bool = False, sends: bool = False) -> None:
        """Block the links between a machine and all others, in both directions or in one.

        :param receives: the machine still receives
        :param sends: the others still receive from the machine
        """
        for other in self.machines.keys() - {ip}:
            if not receives:
                self.blocked_links.add((other, ip))
            if not sends:
                self.blocked_links.add((ip, other))

    def restore_links(self, ip: str) -> None:
        """Unblock all links of a machine."""
        self.blocked_links = {pair for pair in self.blocked_links if ip not in pair}

    # -- orders --------------------------------------------------------------------------------

    def submit(
        self, ip: str, order: Order, on_answer: AnswerCallback, timeout_us: int = ANSWER_TIMEOUT_US
    ) -> None:
        """Send an order to any machine; one that isn't the primary forwards it to its presumed primary.

        :param timeout_us: after which `on_answer` gets `NO_ANSWER`
        """
        self.last_serial += 1
        number, machine = self.last_serial, self.machines[ip]
        self.attempts[number] = Attempt(order, on_answer)
        self.schedule(timeout_us, lambda: self.time_out_order(number))
        if isinstance(order, ReplaceOrder):
            self.judge.on_sent(order.version, order.body)
        elif isinstance(order, EvacuationOrder):
            self.judge.expected_evacuations.pop(order.zone, None)
        if not machine.paused:
            self.route_order(machine, number)
        elif len(machine.queued_orders) < MAX_QUEUED_INPUTS:
            machine.queued_orders.append(number)

    def route_order(self, machine: Machine, number: int) -> None:
        """Let the machine that received an order forward it to its presumed primary.

        The order goes unanswered if there is no reachable primary, or if it is an evacuation and the machine
        was paused: the order may be outdated.
        """
        order, target = self.attempts[number].order, self.forward_target(machine.ip)
        member = machine.replica
        was_paused = member is not None and member.was_paused(machine.now(self.now_us))
        if target is None or (was_paused and isinstance(order, EvacuationOrder)):
            self.schedule(10 * MS, lambda: self.time_out_order(number))
        else:
            self.schedule(5 * MS, lambda: self.handle_input(self.machines[target], Submitted(number, order)))

    def time_out_order(self, number: int) -> None:
        """Tell the sender that no answer came, if none did."""
        attempt = self.attempts.get(number)
        if attempt is not None and not attempt.timed_out:
            attempt.timed_out = True
            attempt.on_answer(NO_ANSWER)

    def forward_target(self, ip: str) -> str | None:
        """Return the machine to which this one gives an order; None if it knows no reachable primary."""
        member = self.machines[ip].replica
        if member is None:
            return None
        primary = member.primary_ip
        if primary == ip or not primary:
            return primary or None
        return None if self.is_blocked(ip, primary) or self.is_blocked(primary, ip) else primary

    def on_completed(self, machine: Machine, output: Completed) -> None:
        """Check and deliver the answer to an order."""
        attempt = self.attempts.pop(output.order_id, None)
        if attempt is None:
            return
        if isinstance(attempt.order, ReplaceOrder):
            self.check_outcome(attempt, attempt.order, output.outcome)
        if not attempt.timed_out:
            attempt.on_answer(output.outcome)

    def check_outcome(self, attempt: Attempt, order: ReplaceOrder, outcome: Result[bytes, Error]) -> None:
        """Give the judge the outcome of a replacement, also when its sender no longer waits."""
        if isinstance(outcome, Success):
            self.judge.on_acknowledged(order.version, order.body, attempt.committed_before)
        elif is_version_conflict(outcome):
            self.judge.on_rejected(order.version, order.body)

    def replace(
        self,
        ip: str,
        version: int,
        then: Callable[[bool], None],
        variant: str = "",
        on_rejected: Callable[[], None] | None = None,
        timeout_us: int = ANSWER_TIMEOUT_US,
    ) -> None:
        """Replace the configuration and record the call in the history.

        :param then: called with whether the order was acknowledged
        :param variant: variant of the body under this version
        :param on_rejected: called in place of `then` where another body has the version
        """
        began_s, call_index = self.now_us / SECOND, len(self.history.writes)
        self.history.writes.append(WriteCall(version, began_s, body=variant))

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                self.history.writes[call_index] = WriteCall(version, began_s, self.now_us / SECOND, variant)
            elif is_version_conflict(outcome):
                rejected_s = self.now_us / SECOND
                self.history.writes[call_index] = WriteCall(
                    version, began_s, body=variant, rejected_s=rejected_s
                )
            if is_version_conflict(outcome) and on_rejected is not None:
                on_rejected()
            else:
                then(isinstance(outcome, Success))

        body = configuration_body(version, self.settings.body_rows, variant)
        self.submit(ip, ReplaceOrder(version, body), answer, timeout_us)

    def evacuate(
        self, ip: str, zone: str, on: bool, then: Callable[[bool], None], timeout_us: int = ANSWER_TIMEOUT_US
    ) -> None:
        """Initiate or terminate a zone's evacuation.

        A caller has one order per zone in flight and repeats it until it is answered, so the state last
        acknowledged is the one expected.
        """

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                self.judge.expected_evacuations[zone] = on
            then(isinstance(outcome, Success))

        self.submit(ip, EvacuationOrder(zone, on), answer, timeout_us)

    def retrieve(self, ip: str, then: Callable[[int | None], None]) -> None:
        """Read the configuration back.

        :param then: called with the version that was read; None: no answer
        """
        min_version, began_us = self.judge.min_readable_version(), self.now_us

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                version = self.judge.on_read(outcome.unwrap(), min_version)
                self.history.reads.append(ReadCall(version, began_us / SECOND, self.now_us / SECOND, ip))
                then(version)
            else:
                then(None)

        self.submit(ip, RetrieveOrder(), answer)
