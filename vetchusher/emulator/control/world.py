"""The control state in virtual time: machines with clocks, disks and links that fail, and a judge.

The members run unchanged.  A save that is not synced when the power goes may be there or not; messages may
be late, lost, doubled or out of order; clocks drift.
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

from .call_history import History, Read, Wrote
from .judge import Judge, committed_version, in_conflict

TICK = 50 * MS
GRACE = 5 * SECOND  # for a machine that ends in order
SEEDS = 3  # machines that a settings file names
SEAT_WAIT = 500 * MS  # as `node.control_node.LAST_VOTE_S`
MOST_INBOX = 400
PATIENCE = 4 * SECOND  # of an operator, for one answer
Answer = Callable[[Result[bytes, Error]], None]
UNANSWERED: Result[bytes, Error] = Failure(Error(ErrorCode.UNAVAILABLE, "no answer"))


@dataclass(slots=True)
class Attempt:
    """An order that was sent and is not answered yet.

    :param floor: the version that the machine asked had committed as the order came; None: none yet
    :param given_up: whoever sent it waits no longer; the judge hears the answer all the same
    """

    order: Order
    answer: Answer
    committed_before: int | None = None
    given_up: bool = False


def body_of(version: int, variant: str = "") -> bytes:
    """:param variant: tells bodies under one version apart"""
    return b"r%d" % version + variant.encode() + b"." * 50


@dataclass(slots=True)
class Scene:
    """One run.

    :param zones: of the machines, in order; the first `seeds` of them are the members at the first start
    :param drift: by which part clocks may be wrong
    :param losses: machines that may be lost at a time
    :param late: share of the messages that take up to `late_us`
    :param body_rows: of a configuration, beside its version; one of them differs from one version to the next
    :param link_bytes_s: of each machine's link; 0: without bound
    :param disk_bytes_s: that a disk takes; 0: without bound
    """

    seed: int = 1
    zones: tuple[str, ...] = ("east", "east", "west")
    seeds: int = 3
    losses: int = 1
    drift: float = 0.01
    loss: float = 0.01
    doubled: float = 0.01
    late: float = 0.005
    late_us: int = SECOND
    least_us: int = 200
    most_us: int = 20 * MS
    disk_us: int = 10 * MS
    rates: tuple[float, ...] = ()  # of the clocks; empty: drawn
    body_rows: int = 0
    link_bytes_s: int = 0
    disk_bytes_s: int = 0
    timing: Timing = field(default_factory=Timing)


def configuration_body(version: int, rows: int, variant: str = "") -> bytes:
    """A configuration; two versions that follow each other differ in the head and in a row or two."""
    parts = [body_of(version, variant)]
    for row in range(rows):
        changed_at = version - (version - row) % rows  # the newest version that changed this row
        parts.append(b'{"row":%d,"since":%d,"filled":"%s"}\n' % (row, changed_at, b"f" * 40))
    return b"".join(parts)


def taking(size: int, bytes_s: int) -> int:
    """For how long (us) a link or a disk is busy with so many bytes."""
    return size * SECOND // bytes_s if bytes_s else 0


@dataclass(slots=True)
class Machine:
    """:param disk: what is synced on it
    :param saving: on its way there, with the life it belongs to
    :param door: numbers of operators' orders that came while it was frozen
    :param told: what it tells readers: stamp and version of what was committed, here or where it asked
    """

    ip: str
    zone: str
    rate: float
    offset: int
    member: Replica | None = None
    incarnation: int = 0
    disk: PersistentState | None = None
    saving: Persist | None = None
    disk_hangs: bool = False
    disk_refuses: bool = False
    frozen: bool = False
    removed: bool = False  # for good: it never starts again
    sent_messages: tuple[StampTuple, int] = (ZERO_STAMP, 0)
    link_free_at: int = 0  # when what was sent has left
    inbox: list[Input] = field(default_factory=list)
    listener: list[int] = field(default_factory=list)

    def now(self, at: int) -> int:
        return self.offset + int(at * self.rate)


class World:
    """It owns the machines, the heap of what is to happen, and orders under way."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.rng = random.Random(scene.seed)
        self.at = 0
        self.serial = 0
        self.played = 0  # events
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.judge = Judge()
        self.cut_links: set[tuple[str, str]] = set()  # from, to
        self.halves: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())  # cut from each other
        self.no_writes: set[str] = set()  # messages with a state are lost on their way there
        self.attempts: dict[int, Attempt] = {}
        self.history = History()  # of configurations; zones are the judge's
        self.events: Counter[str] = Counter()
        self.log: list[tuple[int, str, LogEvent]] = []
        self.loss, self.late = scene.loss, scene.late
        self.imported_states: dict[str, PersistentState] = {}  # what an import brought into an empty folder
        self.machines: dict[str, Machine] = {}
        for zone in scene.zones:
            self.add(zone)
        self.seeds = list(self.machines)[: scene.seeds]

    def add(self, zone: str) -> str:
        """A machine with an empty disk, at an address of its own; it does not run yet."""
        number = len(self.machines)
        drawn = 1 + self.rng.choice((-1, 0, 1)) * self.scene.drift
        rate = self.scene.rates[number] if number < len(self.scene.rates) else drawn
        name = f"{number + 1}"
        self.machines[name] = Machine(name, zone, rate, self.rng.randrange(10**9))
        return name

    # -- time ----------------------------------------------------------------------------------

    def after(self, delay: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.at + delay, self.serial, what))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until and len(self.judge.wrong) < 5:
            self.at, _, what = heapq.heappop(self.heap)
            self.judge.at = self.at
            self.played += 1
            what()
        self.at = self.judge.at = max(self.at, until)

    # -- processes -----------------------------------------------------------------------------

    def start(self, ip: str, first: bool = False) -> None:
        machine = self.machines[ip]
        if machine.member is not None or machine.removed:
            return
        machine.incarnation += 1
        seeds = self.seeds if first else self.seeds_now()
        settings = ReplicaSettings(ip, machine.zone, seeds, first, self.scene.timing, self.scene.losses)
        rng = random.Random(self.rng.randrange(1 << 30))
        machine.member = Replica(
            settings, machine.disk, rng, machine.now(self.at), self.imported_states.get(ip)
        )
        life = machine.incarnation
        self.after(self.rng.randrange(TICK), lambda: self.tick(machine, life))

    def seeds_now(self) -> list[str]:
        """What the settings name at a later start: the first seeds, or machines of today in their place."""
        if not any(self.machines[ip].removed for ip in self.seeds):
            return self.seeds
        known = [ip for ip, machine in self.machines.items() if machine.incarnation and not machine.removed]
        return known[-SEEDS:]

    def tick(self, machine: Machine, life: int) -> None:
        if machine.incarnation != life or machine.member is None:
            return
        if not machine.frozen:
            self.give(machine, Tick())
            self.pull(machine)
        self.after(TICK + self.rng.randrange(5 * MS), lambda: self.tick(machine, life))

    def pull(self, machine: Machine) -> None:
        """It asks the one that it takes for the primary for what that tells."""
        other = self.machines.get(machine.member.primary_ip) if machine.member is not None else None
        if other is None or other.member is None or other.frozen or machine.ip in self.no_writes:
            return
        if not self.is_cut(machine.ip, other.ip) and not self.is_cut(other.ip, machine.ip):
            machine.sent_messages = max(machine.sent_messages, other.sent_messages)

    def give(self, machine: Machine, event: Input) -> None:
        if machine.member is None:
            return
        if machine.frozen:
            if len(machine.inbox) < MOST_INBOX:
                machine.inbox.append(event)
            return
        if isinstance(event, Submitted) and event.order_id in self.attempts:
            self.attempts[event.order_id].committed_before = committed_version(machine.member)
        for out in machine.member.handle(machine.now(self.at), event):
            self.carry(machine, out)
        self.look()

    def look(self) -> None:
        holding = []
        for machine in self.machines.values():
            if machine.member is None:
                continue
            now = machine.now(self.at)
            if machine.member.is_leader(now):
                holding.append(machine.ip)
            if machine.member.is_in_force(now, machine.sent_messages[0]) and not machine.frozen:
                self.judge.in_force(machine.ip, machine.sent_messages[1])
        self.judge.on_copy(holding)

    def is_leader(self, ip: str) -> bool:
        machine = self.machines[ip]
        return machine.member is not None and machine.member.is_leader(machine.now(self.at))

    def carry(self, machine: Machine, out: Output) -> None:
        if isinstance(out, Send):
            self.send(machine, out.to, out.message.SerializeToString())
        elif isinstance(out, Persist):
            self.save(machine, out)
        elif isinstance(out, Committed):
            machine.sent_messages = max(machine.sent_messages, (state_stamp(out.state), out.state.version))
            self.judge.commits(machine.ip, out.state)
        elif isinstance(out, Completed):
            self.done(machine, out)
        else:
            self.events[out.event.name] += 1
            self.log.append((self.at, machine.ip, out))
            if out.event is Event.BECAME_PRIMARY:
                epoch = out.facts["epoch"]
                assert isinstance(epoch, int)
                self.judge.on_primary(epoch, f"{machine.ip}/{machine.incarnation}")
            elif (
                out.event is Event.REPLICA_SET_ESTABLISHED and machine.member and machine.member.primary_role
            ):
                record = machine.member.primary_role.reconfiguration.current
                self.judge.stands(record, {ip: m.disk for ip, m in self.machines.items()})

    def kill(self, ip: str) -> None:
        """The process ends, by itself or as the power goes: what was not synced may be on the disk or not."""
        machine = self.machines[ip]
        if machine.saving is not None and self.rng.random() < 0.5:
            machine.disk = machine.saving.contents
        machine.member, machine.saving, machine.frozen = None, None, False
        machine.inbox.clear()
        machine.listener.clear()

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.machines[ip].disk = None
        self.judge.lost_at[ip] = self.at

    def end(self, ip: str, then: Callable[[], None] = lambda: None) -> None:
        """In order, as by SIGTERM: it goes on until others have taken over what it does, for a while.

        :param then: what follows its end, if that was in order
        """
        machine, life = self.machines[ip], self.machines[ip].incarnation
        self.give(machine, ShutDown())
        self.after(TICK, lambda: self.ending(machine, life, self.at, then))

    def ending(self, machine: Machine, life: int, began: int, then: Callable[[], None]) -> None:
        if machine.incarnation != life or machine.member is None:
            return
        seat_end = SEAT_WAIT if machine.member.is_voter else 0
        needed = not machine.frozen and machine.member.is_needed(machine.now(self.at))
        if self.at < began + (GRACE if needed else seat_end):
            self.after(TICK, lambda: self.ending(machine, life, began, then))
            return
        self.kill(machine.ip)
        then()

    def retire_for_good(self, ip: str) -> None:
        """In order; it never comes back."""

        def gone() -> None:
            self.machines[ip].removed = True

        self.end(ip, gone)

    def lose_for_good(self, ip: str) -> None:
        """With its disk, and its address is not used again."""
        self.wipe(ip)
        self.machines[ip].removed = True

    def freeze(self, ip: str) -> None:
        self.machines[ip].frozen = True

    def thaw(self, ip: str) -> None:
        machine = self.machines[ip]
        machine.frozen = False
        door, machine.listener = machine.listener, []
        for number in door:
            self.enter(machine, number)
        inbox, machine.inbox = machine.inbox, []
        for event in inbox:
            self.give(machine, event)

    # -- disks ---------------------------------------------------------------------------------

    def save(self, machine: Machine, save: Persist) -> None:
        assert machine.saving is None, "two saves at once"
        machine.saving = save
        life = machine.incarnation
        busy = taking(save.contents.state.ByteSize(), self.scene.disk_bytes_s)
        busy += self.rng.randrange(1, self.scene.disk_us)
        self.after(busy, lambda: self.saved(machine, life, save))

    def saved(self, machine: Machine, life: int, save: Persist) -> None:
        if machine.incarnation != life or machine.saving is not save:
            return
        if machine.disk_hangs:
            self.after(50 * MS, lambda: self.saved(machine, life, save))
            return
        machine.saving = None
        if not machine.disk_refuses:
            machine.disk = save.contents
        self.give(machine, Persisted(save.token, not machine.disk_refuses))

    def disk_well(self, ip: str) -> None:
        self.machines[ip].disk_hangs = self.machines[ip].disk_refuses = False

    # -- links ---------------------------------------------------------------------------------

    def send(self, machine: Machine, to: str, data: bytes) -> None:
        leaves = taking(len(data), self.scene.link_bytes_s)
        machine.link_free_at = max(machine.link_free_at, self.at) + leaves
        queued = machine.link_free_at - self.at if self.scene.link_bytes_s else 0
        for _ in range(1 + (self.rng.random() < self.scene.doubled)):
            if self.rng.random() < self.loss:
                continue
            way = self.rng.randrange(self.scene.least_us, self.scene.most_us)
            if self.rng.random() < self.late:
                way = self.rng.randrange(self.scene.late_us)
            self.after(queued + way, lambda: self.deliver(machine, to, data))

    def deliver(self, sender: Machine, to: str, data: bytes) -> None:
        message = ControlMessage.FromString(data)
        lost = to in self.no_writes and message.WhichOneof("kind") == "write"
        if not lost and not self.is_cut(sender.ip, to):
            self.give(self.machines[to], Received(sender.ip, sender.zone, message))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing gets through from one machine to another."""
        one, other = self.halves
        across = (sender in one and receiver in other) or (sender in other and receiver in one)
        return across or (sender, receiver) in self.cut_links

    def cut_link(self, ip: str, hears: bool = False, is_heard: bool = False) -> None:
        """One machine from all others, both ways or one."""
        for other in self.machines.keys() - {ip}:
            if not hears:
                self.cut_links.add((other, ip))
            if not is_heard:
                self.cut_links.add((ip, other))

    def restore_link(self, ip: str) -> None:
        self.cut_links = {pair for pair in self.cut_links if ip not in pair}

    # -- orders --------------------------------------------------------------------------------

    def order(self, ip: str, order: Order, answer: Answer, patience: int = PATIENCE) -> None:
        """To any machine; one that is not the primary passes it on to the one that it takes for it."""
        self.serial += 1
        number, machine = self.serial, self.machines[ip]
        self.attempts[number] = Attempt(order, answer)
        self.after(patience, lambda: self.unanswered(number))
        if isinstance(order, ReplaceOrder):
            self.judge.sends(order.version, order.body)
        elif isinstance(order, EvacuationOrder):
            self.judge.expected.pop(order.zone, None)
        if not machine.frozen:
            self.enter(machine, number)
        elif len(machine.listener) < MOST_INBOX:
            machine.listener.append(number)

    def enter(self, machine: Machine, number: int) -> None:
        """An order is read by the machine that it was sent to."""
        order, to = self.attempts[number].order, self.forward_target(machine.ip)
        member = machine.member
        waited = member is not None and member.was_paused(machine.now(self.at))
        if to is None or (waited and isinstance(order, EvacuationOrder)):
            self.after(10 * MS, lambda: self.unanswered(number))
        else:
            self.after(5 * MS, lambda: self.give(self.machines[to], Submitted(number, order)))

    def unanswered(self, number: int) -> None:
        """Whoever sent it waits no longer."""
        attempt = self.attempts.get(number)
        if attempt is not None and not attempt.given_up:
            attempt.given_up = True
            attempt.answer(UNANSWERED)

    def forward_target(self, ip: str) -> str | None:
        member = self.machines[ip].member
        if member is None:
            return None
        to = member.primary_ip
        if to == ip or not to:
            return to or None
        return None if self.is_cut(ip, to) or self.is_cut(to, ip) else to

    def done(self, machine: Machine, out: Completed) -> None:
        attempt = self.attempts.pop(out.order_id, None)
        if attempt is None:
            return
        if isinstance(attempt.order, ReplaceOrder):
            self.judged(attempt, attempt.order, out.outcome)
        if not attempt.given_up:
            attempt.answer(out.outcome)

    def judged(self, attempt: Attempt, order: ReplaceOrder, outcome: Result[bytes, Error]) -> None:
        if isinstance(outcome, Success):
            self.judge.on_acknowledged(order.version, order.body, attempt.committed_before)
        elif in_conflict(outcome):
            self.judge.on_rejected(order.version, order.body)

    def replace(
        self,
        ip: str,
        version: int,
        then: Callable[[bool], None],
        variant: str = "",
        refused: Callable[[], None] | None = None,
        patience: int = PATIENCE,
    ) -> None:
        """:param variant: of the body
        :param refused: is called in place of `then` where another body has the number
        """
        began, number = self.at / SECOND, len(self.history.writes)
        self.history.writes.append(Wrote(version, began, body=variant))

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                self.history.writes[number] = Wrote(version, began, self.at / SECOND, variant)
            elif in_conflict(outcome):
                refused_at = self.at / SECOND
                self.history.writes[number] = Wrote(version, began, body=variant, refused=refused_at)
            if in_conflict(outcome) and refused is not None:
                refused()
            else:
                then(isinstance(outcome, Success))

        body = configuration_body(version, self.scene.body_rows, variant)
        self.order(ip, ReplaceOrder(version, body), answer, patience)

    def evacuate(
        self, ip: str, zone: str, on: bool, then: Callable[[bool], None], patience: int = PATIENCE
    ) -> None:
        """One at a time for each zone, sent again until it is answered."""

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                self.judge.expected[zone] = on
            then(isinstance(outcome, Success))

        self.order(ip, EvacuationOrder(zone, on), answer, patience)

    def retrieve(self, ip: str, then: Callable[[int | None], None]) -> None:
        """`then` is told the version that was read, None without an answer."""
        floor, made = self.judge.committed_floor(), self.at

        def answer(outcome: Result[bytes, Error]) -> None:
            if isinstance(outcome, Success):
                version = self.judge.reads(outcome.unwrap(), floor)
                self.history.reads.append(Read(version, made / SECOND, self.at / SECOND, ip))
                then(version)
            else:
                then(None)

        self.order(ip, RetrieveOrder(), answer)
