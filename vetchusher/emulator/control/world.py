"""The control state in virtual time: machines with clocks, disks and links that fail, and a judge.

The members run unchanged.  A save that is not synced when the power goes may be there or not; letters may
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
    Input,
    Order,
    Output,
    Persist,
    Persisted,
    PersistentState,
    Received,
    Replace,
    Replica,
    Retire,
    Retrieve,
    Send,
    SetEvacuation,
    Submitted,
    Tick,
    Timing,
)
from vetchusher.control.state import START, Point, at
from vetchusher.distribution.wire_pb2 import ControlMessage
from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.events import Event, LogEvent
from vetchusher.kinds import Fault, Kind

from .call_history import History, Read, Wrote
from .judge import Judge

TICK = 50 * MS
MOST_INBOX = 400
Answer = Callable[[Result[bytes, Fault]], None]
SILENT: Result[bytes, Fault] = Failure(Fault(Kind.NOT_SETTLED, "no answer"))


@dataclass(slots=True)
class Scene:
    """One run.

    :param zones: of the machines, in order; the first `seeds` of them are the members at the first start
    :param drift: by which part clocks may be wrong
    :param losses: machines that may be lost at a time
    :param late: share of the letters that take up to `late_us`
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


def configuration_body(version: int, rows: int) -> bytes:
    """A configuration; two versions that follow each other differ in the head and in a row or two."""
    parts = [b"r%d" % version + b"." * 50]
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
    :param told: what it tells readers: stamp and version of what was committed, here or where it asked
    """

    ip: str
    zone: str
    rate: float
    offset: int
    member: Replica | None = None
    life: int = 0
    disk: PersistentState | None = None
    saving: Persist | None = None
    disk_hangs: bool = False
    disk_refuses: bool = False
    frozen: bool = False
    told: tuple[Point, int] = (START, 0)
    link_free_at: int = 0  # when what was sent has left
    inbox: list[Input] = field(default_factory=list)

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
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.no_writes: set[str] = set()  # letters with a state are lost on their way there
        self.attempts: dict[int, tuple[str, Answer]] = {}
        self.history = History()  # of configurations; zones are the judge's
        self.events: Counter[str] = Counter()
        self.log: list[tuple[int, str, LogEvent]] = []
        self.loss, self.late = scene.loss, scene.late
        self.floors: dict[str, PersistentState] = {}  # what an import brought into an empty folder
        self.machines: dict[str, Machine] = {}
        for number, zone in enumerate(scene.zones):
            drawn = 1 + self.rng.choice((-1, 0, 1)) * scene.drift
            rate = scene.rates[number] if scene.rates else drawn
            name = f"{number + 1}"
            self.machines[name] = Machine(name, zone, rate, self.rng.randrange(10**9))
        self.seeds = list(self.machines)[: scene.seeds]

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
        if machine.member is not None:
            return
        machine.life += 1
        machine.member = Replica(
            ip,
            machine.zone,
            self.seeds,
            first,
            machine.disk,
            self.scene.timing,
            random.Random(self.rng.randrange(1 << 30)),
            machine.now(self.at),
            self.scene.losses,
            self.floors.get(ip),
        )
        life = machine.life
        self.after(self.rng.randrange(TICK), lambda: self.tick(machine, life))

    def tick(self, machine: Machine, life: int) -> None:
        if machine.life != life or machine.member is None:
            return
        if not machine.frozen:
            self.give(machine, Tick())
            self.pull(machine)
        self.after(TICK + self.rng.randrange(5 * MS), lambda: self.tick(machine, life))

    def pull(self, machine: Machine) -> None:
        """It asks the one that it takes for the primary for what that tells."""
        other = self.machines.get(machine.member.primary) if machine.member is not None else None
        if other is None or other.member is None or other.frozen or machine.ip in self.no_writes:
            return
        if not {(machine.ip, other.ip), (other.ip, machine.ip)} & self.cuts:
            machine.told = max(machine.told, other.told)

    def give(self, machine: Machine, event: Input) -> None:
        if machine.member is None:
            return
        if machine.frozen:
            if len(machine.inbox) < MOST_INBOX:
                machine.inbox.append(event)
            return
        for out in machine.member.handle(machine.now(self.at), event):
            self.carry(machine, out)
        self.look()

    def look(self) -> None:
        holding = []
        for machine in self.machines.values():
            if machine.member is None:
                continue
            now = machine.now(self.at)
            if machine.member.holds(now):
                holding.append(machine.ip)
            if machine.member.in_force(now, machine.told[0]) and not machine.frozen:
                self.judge.in_force(machine.ip, machine.told[1])
        self.judge.held(holding)

    def holds(self, ip: str) -> bool:
        machine = self.machines[ip]
        return machine.member is not None and machine.member.holds(machine.now(self.at))

    def carry(self, machine: Machine, out: Output) -> None:
        if isinstance(out, Send):
            self.send(machine, out.to, out.message.SerializeToString())
        elif isinstance(out, Persist):
            self.save(machine, out)
        elif isinstance(out, Committed):
            machine.told = max(machine.told, (at(out.state), out.state.version))
            self.judge.commits(machine.ip, out.state)
        elif isinstance(out, Completed):
            self.done(machine, out)
        else:
            self.events[out.event.name] += 1
            self.log.append((self.at, machine.ip, out))
            if out.event is Event.PRIMARY:
                epoch = out.facts["epoch"]
                assert isinstance(epoch, int)
                self.judge.led(epoch, f"{machine.ip}/{machine.life}")
            elif out.event is Event.COPIES_HELD and machine.member and machine.member.primary_work:
                record = machine.member.primary_work.reconfiguration.record
                self.judge.stands(record, {ip: m.disk for ip, m in self.machines.items()})

    def kill(self, ip: str) -> None:
        """The process ends, by itself or as the power goes: what was not synced may be on the disk or not."""
        machine = self.machines[ip]
        if machine.saving is not None and self.rng.random() < 0.5:
            machine.disk = machine.saving.kept
        machine.member, machine.saving, machine.frozen = None, None, False
        machine.inbox.clear()

    def wipe(self, ip: str) -> None:
        self.kill(ip)
        self.machines[ip].disk = None
        self.judge.lost_at[ip] = self.at

    def end(self, ip: str) -> None:
        """In order, as by SIGTERM: it votes on for a while."""
        machine, life = self.machines[ip], self.machines[ip].life
        self.give(machine, Retire())
        self.after(500 * MS, lambda: self.kill(ip) if machine.life == life else None)

    def freeze(self, ip: str) -> None:
        self.machines[ip].frozen = True

    def thaw(self, ip: str) -> None:
        machine = self.machines[ip]
        machine.frozen = False
        inbox, machine.inbox = machine.inbox, []
        for event in inbox:
            self.give(machine, event)

    # -- disks ---------------------------------------------------------------------------------

    def save(self, machine: Machine, save: Persist) -> None:
        assert machine.saving is None, "two saves at once"
        machine.saving = save
        life = machine.life
        busy = taking(save.kept.state.ByteSize(), self.scene.disk_bytes_s)
        busy += self.rng.randrange(1, self.scene.disk_us)
        self.after(busy, lambda: self.saved(machine, life, save))

    def saved(self, machine: Machine, life: int, save: Persist) -> None:
        if machine.life != life or machine.saving is not save:
            return
        if machine.disk_hangs:
            self.after(50 * MS, lambda: self.saved(machine, life, save))
            return
        machine.saving = None
        if not machine.disk_refuses:
            machine.disk = save.kept
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
        if not lost and (sender.ip, to) not in self.cuts:
            self.give(self.machines[to], Received(sender.ip, sender.zone, message))

    def cut(self, ip: str, hears: bool = False, is_heard: bool = False) -> None:
        """One machine from all others, both ways or one."""
        for other in self.machines.keys() - {ip}:
            if not hears:
                self.cuts.add((other, ip))
            if not is_heard:
                self.cuts.add((ip, other))

    def join(self, ip: str) -> None:
        self.cuts = {pair for pair in self.cuts if ip not in pair}

    # -- orders --------------------------------------------------------------------------------

    def order(self, ip: str, order: Order, answer: Answer, patience: int = 4 * SECOND) -> None:
        """To any machine; one that is not the primary passes it on to the one that it takes for it."""
        self.serial += 1
        number = self.serial
        to = self.passed_on(ip)

        def give_up() -> None:
            if self.attempts.pop(number, None):
                answer(SILENT)

        self.after(patience, give_up)
        if to is None:
            self.after(10 * MS, lambda: answer(SILENT))
            return
        self.attempts[number] = (to, answer)
        if isinstance(order, Replace):
            self.judge.sent.setdefault(order.version, order.body)
        elif isinstance(order, SetEvacuation):
            self.judge.expected.pop(order.zone, None)
        self.after(5 * MS, lambda: self.give(self.machines[to], Submitted(number, order)))

    def passed_on(self, ip: str) -> str | None:
        member = self.machines[ip].member
        if member is None:
            return None
        to = member.primary
        if to == ip or not to:
            return to or None
        return to if not {(ip, to), (to, ip)} & self.cuts else None

    def done(self, machine: Machine, out: Completed) -> None:
        _, answer = self.attempts.pop(out.number, ("", None))
        if answer is not None:
            answer(out.outcome)

    def replace(
        self, ip: str, version: int, then: Callable[[bool], None], patience: int = 4 * SECOND
    ) -> None:
        began, number = self.at / SECOND, len(self.history.writes)
        self.history.writes.append(Wrote(version, began))

        def answer(outcome: Result[bytes, Fault]) -> None:
            if isinstance(outcome, Success):
                self.history.writes[number] = Wrote(version, began, self.at / SECOND)
                self.judge.acked(version)
            then(isinstance(outcome, Success))

        self.order(ip, Replace(version, configuration_body(version, self.scene.body_rows)), answer, patience)

    def evacuate(self, ip: str, zone: str, on: bool, then: Callable[[bool], None]) -> None:
        """One at a time for each zone."""

        def answer(outcome: Result[bytes, Fault]) -> None:
            if isinstance(outcome, Success):
                self.judge.expected[zone] = on
            then(isinstance(outcome, Success))

        self.order(ip, SetEvacuation(zone, on), answer)

    def retrieve(self, ip: str, then: Callable[[int | None], None]) -> None:
        """`then` is told the version that was read, None without an answer."""
        floor, made = self.judge.floor(), self.at

        def answer(outcome: Result[bytes, Fault]) -> None:
            if isinstance(outcome, Success):
                version = self.judge.reads(outcome.unwrap(), floor)
                self.history.reads.append(Read(version, made / SECOND, self.at / SECOND, ip))
                then(version)
            else:
                then(None)

        self.order(ip, Retrieve(), answer)
