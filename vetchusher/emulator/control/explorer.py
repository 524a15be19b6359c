"""All interleavings of a small case of the control state: three machines, two changes, a few troubles.

The members are the real ones, on a clock that advances in steps of half a second, by which all times are
counted.  Messages come in any order, a step or two late, or never; saves end at any time, or are cut off by a
crash and are then on the disk or not; machines crash, lose their disks, stop, hear others one way only.  Each
trouble has a budget.  At each moment every machine is asked what it would read out and what it takes to be in
force, and the judge hears it.

Bounded by `delays`, a case is followed to its end: by itself everything happens in order (saves, then
messages as they were sent, then time), and each step out of that order is one delay.  Without that bound all
orders are followed, to a depth.  A message sent twice is one; ticks of different machines commute, so time
and the ticks are one step.  Machines are not folded: they differ in zone, and by who leads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import astuple, dataclass, field, replace
from functools import partial
from itertools import chain

from returns.result import Success

from vetchusher.control import (
    Committed,
    Completed,
    EvacuationOrder,
    Order,
    Output,
    Persisted,
    Received,
    ReplaceOrder,
    Send,
    ShutDown,
    Submitted,
    Timing,
)
from vetchusher.distribution.stamps import ZERO_STAMP
from vetchusher.distribution.wire_pb2 import ControlMessage
from vetchusher.emulator.explorer import TIME
from vetchusher.events import Event, LogEvent

from .closure import Moment, unbearable
from .encoding_cases import UNIT, Cell, Cells, clone, digest
from .judge import Judge, committed_version, in_conflict

TOLERATED = 1  # machines that may be lost at a time
LATE = 2 * UNIT  # a message older than that is lost, as every question is by then
BEGIN = 100 * UNIT
TIMING = Timing(
    renewal_interval_us=UNIT,
    lease_duration_us=3 * UNIT,
    answer_valid_us=2 * UNIT,
    other_zone_timeout_us=2 * UNIT,
    write_timeout_us=2 * UNIT,
    ejection_us=4 * UNIT,
    own_disk_timeout_us=3 * UNIT,
    copy_retention_us=6 * UNIT,
    contact_timeout_us=2 * UNIT,
    pause_threshold_us=2 * UNIT,
    lease_regain_us=UNIT,
    election_back_off_us=UNIT,
    election_jitter_us=3 * UNIT,
    pre_vote_timeout_us=UNIT,
    vote_timeout_us=2 * UNIT,
    order_timeout_us=6 * UNIT,
    resend_delay_us=UNIT,
    max_resend_delay_us=4 * UNIT,
    persist_retry_us=UNIT,
    recovery_interval_us=UNIT,
    bootstrap_delay_us=8 * UNIT,
    join_interval_us=UNIT,
    learner_timeout_us=6 * UNIT,
)

Sent = tuple[str, str, bytes, int]  # from, to, what, when


@dataclass(slots=True, frozen=True)
class Budget:
    """How much of each may still happen.

    :param delays: steps out of order; None: any number
    :param blackouts: all machines lose power at once
    :param cuts: one-way, of one machine from one other
    :param stops: a process stands still, then goes on
    :param joins: of a way that was cut
    :param ends: in order, as by SIGTERM
    :param ticks: of one machine more than its one at each step of the clock
    :param slips: of a clock, by one step, which is what `lease_us` has over `held_us`
    """

    steps: int = 8
    delays: int | None = None
    crashes: int = 0
    wipes: int = 0
    blackouts: int = 0
    cuts: int = 0
    losses: int = 0
    refusals: int = 0
    stops: int = 0
    slips: int = 0
    ends: int = 0
    ticks: int = 0
    joins: int = 1


@dataclass(slots=True, frozen=True)
class Operator:
    """One change and how far it is.

    :param tries: how often it may still be sent
    :param number: of the attempt whose answer is waited for; 0: none
    :param floor: what the machine asked had committed as that attempt came; None: nothing yet
    :param done: it was acknowledged, or refused for good
    """

    order: Order
    attempts: int = 2
    number: int = 0
    to: str = ""
    committed_before: int | None = None
    done: bool = False


def replacing(version: int) -> ReplaceOrder:
    return ReplaceOrder(version, b"r%d" % version)


@dataclass(slots=True)
class State:
    """One moment."""

    hall: Cells
    at: int
    cells: tuple[Cell, ...]
    messages: tuple[Sent, ...]
    cuts: frozenset[tuple[str, str]]
    budget: Budget
    operators: tuple[Operator, ...]
    judge: Judge
    judged: bytes = b""
    own_judge: bool = False
    seen: str | None = None
    checked: bool = field(default=False)

    # -- as a moment ---------------------------------------------------------------------------

    def shot(self) -> bytes:
        messages = self.messages if self.budget.delays is not None else tuple(sorted(self.messages))
        operators = tuple((o.attempts, o.number, o.to, o.committed_before, o.done) for o in self.operators)
        keys = tuple(c.key for c in self.cells)
        return digest(self.at, keys, messages, self.cuts, astuple(self.budget), operators, self.judged)

    def wrong(self) -> str | None:
        if not self.checked:
            self.checked = True
            self.look()
            if self.own_judge or not self.judged:
                judge = self.judge
                self.judged = digest(
                    judge.sent, judge.acknowledged, judge.at_ack, judge.old, judge.read, judge.expected,
                    judge.primaries, judge.committed, judge.lost_at, judge.taken, judge.confirmed,
                    judge.answered,
                )  # fmt: skip
                self.own_judge = False
            self.seen = self.judge.wrong[0] if self.judge.wrong else None
        return self.seen

    def look(self) -> None:
        looks = [self.hall.look(cell, self.at) for cell in self.cells]
        self.judge.on_copy([c.ip for c, x in zip(self.cells, looks, strict=True) if x.is_leader])
        for cell, seen in zip(self.cells, looks, strict=True):
            if seen.in_force is not None:
                self.judge.in_force(cell.ip, seen.in_force)
            if seen.body is not None:
                judge = self.judge
                if judge.version_of(seen.body) != judge.read:
                    judge = self.judging()
                judge.reads(seen.body, judge.committed_floor())
        # Before the first commit nothing was promised, and a disk that was never written is no loss.
        fault = unbearable(self.moment()) if self.judge.newest > ZERO_STAMP else None
        if fault:
            self.judging().report(f"a loss that is tolerated would not be borne, {fault}")

    def moment(self) -> Moment:
        """For the closure check: whoever is down, still, cut off or lost its disk lately counts as lost."""
        cut_off = {ip for pair in self.cuts for ip in pair}
        well, spent = {}, set()
        for cell in self.cells:
            member, lately = cell.member, self.judge.lost_lately(cell.ip)
            if member is None or cell.stopped or cell.disk is None or cell.ip in cut_off or lately:
                spent.add(cell.ip)
            if member is not None and not member.is_amnesiac and cell.disk is not None:
                well[cell.ip] = cell.disk
        return Moment(well, frozenset(spent), frozenset(), TOLERATED, self.judge.newest)

    # -- what a step does ----------------------------------------------------------------------

    def copy(self, budget: Budget | None = None) -> State:
        return State(
            self.hall, self.at, self.cells, self.messages, self.cuts, budget or self.budget, self.operators,
            self.judge, self.judged,
        )  # fmt: skip

    def judging(self) -> Judge:
        """The judge, of this state's own."""
        if not self.own_judge:
            self.judge, self.own_judge = clone(self.judge), True
        return self.judge

    def put(self, cell: Cell) -> None:
        self.cells = (*self.cells[: cell.place - 1], cell, *self.cells[cell.place :])

    def cell(self, ip: str) -> Cell:
        return self.cells[int(ip) - 1]

    def carry(self, given: tuple[Cell, tuple[Output, ...]]) -> State:
        cell, outs = given
        self.put(cell)
        for out in outs:
            if isinstance(out, Send):
                self.post((cell.ip, out.to, out.message.SerializeToString(deterministic=True), self.at))
            elif isinstance(out, Committed):
                self.judging().commits(cell.ip, out.state)
            elif isinstance(out, Completed):
                self.answered(out)
            elif isinstance(out, LogEvent) and out.event is Event.BECAME_PRIMARY:
                epoch = out.facts["epoch"]
                assert isinstance(epoch, int)
                self.judging().on_primary(epoch, f"{cell.ip}/{cell.incarnation}")
            elif isinstance(out, LogEvent) and out.event is Event.REPLICA_SET_ESTABLISHED:
                assert cell.member is not None and cell.member.primary_role is not None
                record = cell.member.primary_role.reconfiguration.current
                self.judging().stands(record, {c.ip: c.disk for c in self.cells})
        return self

    def post(self, message: Sent) -> None:
        if message[:2] not in self.cuts and message not in self.messages:
            self.messages += (message,)

    def answered(self, out: Completed) -> None:
        for place, operator in enumerate(self.operators):
            if operator.number != out.order_id:
                continue
            ok, order = isinstance(out.outcome, Success), operator.order
            refused = in_conflict(out.outcome)
            self.operate(place, replace(operator, number=0, to="", done=ok or refused))
            if refused and isinstance(order, ReplaceOrder):
                self.judging().on_rejected(order.version, order.body)
            elif ok and isinstance(order, ReplaceOrder):
                self.judging().on_acknowledged(order.version, order.body, operator.committed_before)
            elif ok and isinstance(order, EvacuationOrder):
                self.judging().expected[order.zone] = order.on

    def operate(self, place: int, operator: Operator) -> None:
        self.operators = (*self.operators[:place], operator, *self.operators[place + 1 :])

    def lost(self, ip: str) -> None:
        """What was asked of that machine is never answered."""
        for place, operator in enumerate(self.operators):
            if operator.to == ip:
                self.operate(place, replace(operator, number=0, to=""))

    # -- the steps -----------------------------------------------------------------------------

    def following(self) -> Iterator[tuple[str, Callable[[], State]]]:
        budget, ready = self.budget, list(self.ready())
        late = budget if budget.delays is None else None
        if budget.delays:
            late = replace(budget, delays=budget.delays - 1)
        for place, (how, step) in enumerate(ready):
            allowed = late if place else budget
            if allowed is not None:
                yield how, partial(self.taken, step, allowed)
        allowed = late if ready else budget
        if budget.steps and allowed is not None:
            allowed = replace(allowed, steps=budget.steps - 1)
            yield TIME, partial(self.taken, State.passes, allowed)
            for cell in self.cells if budget.slips else ():
                slower = replace(allowed, slips=budget.slips - 1)
                yield (
                    f"{TIME}, but not at {cell.ip}",
                    partial(self.taken, partial(State.slips, cell=cell), slower),
                )
        yield from self.orders()
        for name, how, step in chain(self.faults(), self.links()):
            if not name:
                yield how, partial(self.taken, step, budget)
            elif left := getattr(budget, name):
                yield how, partial(self.taken, step, replace(budget, **{name: left - 1}))

    def taken(self, step: Step, budget: Budget) -> State:
        return step(self.copy(budget))

    def ready(self) -> Iterator[tuple[str, Step]]:
        """What happens by itself, in order: saves end, then messages come."""
        for cell in self.cells:
            if cell.saving is not None and not cell.stopped:
                yield f"{cell.ip} has saved", partial(State.saved, cell=cell, ok=True)
        for message in self.messages:
            to = self.cell(message[1])
            if to.member is not None and not to.stopped:
                yield named(message), partial(State.delivered, message=message)

    def saved(self, cell: Cell, ok: bool) -> State:
        assert cell.saving is not None
        token = cell.saving.token
        ended = self.hall.synced(cell, ok)
        return self.carry(self.hall.give(ended, self.at, Persisted(token, ok), ("saved", token, ok)))

    def delivered(self, message: Sent) -> State:
        sender, to, data, _ = message
        self.messages = tuple(x for x in self.messages if x != message)
        heard = Received(sender, self.cell(sender).zone, ControlMessage.FromString(data))
        return self.carry(self.hall.give(self.cell(to), self.at, heard, (sender, data)))

    def passes(self) -> State:
        self.at += UNIT
        self.messages = tuple(x for x in self.messages if self.at - x[3] < LATE or self.cell(x[1]).stopped)
        judge = self.judging()
        judge.at = self.at
        judge.in_force("nobody", judge.acknowledged)  # what is old by now
        for cell in self.cells:
            if cell.member is not None and not cell.stopped:
                self.carry(self.hall.tick(cell, self.at))
                self.pull(self.cell(cell.ip))
        return self

    def pull(self, cell: Cell) -> None:
        """It asks the one that it takes for the primary for what that tells."""
        assert cell.member is not None
        other = self.cell(cell.member.primary_ip) if cell.member.primary_ip else cell
        ways = {(cell.ip, other.ip), (other.ip, cell.ip)}
        if (
            other.member is not None
            and not other.stopped
            and not ways & self.cuts
            and other.sent_messages > cell.sent_messages
        ):
            self.put(self.hall.keep(replace(cell, sent_messages=other.sent_messages)))

    def slips(self, cell: Cell) -> State:
        self.put(self.hall.keep(replace(cell, slow=cell.slow + UNIT)))
        return self.passes()

    def orders(self) -> Iterator[tuple[str, Callable[[], State]]]:
        for place, operator in enumerate(self.operators):
            if operator.done or not operator.attempts:
                continue
            for cell in self.cells:
                if cell.ip != operator.to and not cell.stopped and self.hall.look(cell, self.at).is_primary:
                    step = partial(State.ordered, place=place, cell=cell)
                    yield f"order {place + 1} to {cell.ip}", partial(self.taken, step, self.budget)

    def ordered(self, place: int, cell: Cell) -> State:
        operator = self.operators[place]
        order, number = operator.order, 10 * (place + 1) + operator.attempts
        assert cell.member is not None
        floor = committed_version(cell.member)
        sent = replace(
            operator, attempts=operator.attempts - 1, number=number, to=cell.ip, committed_before=floor
        )
        self.operate(place, sent)
        if isinstance(order, ReplaceOrder):
            self.judging().sends(order.version, order.body)
        elif isinstance(order, EvacuationOrder):
            self.judging().expected.pop(order.zone, None)
        return self.carry(self.hall.give(cell, self.at, Submitted(number, order), (number, order)))

    def faults(self) -> Iterator[tuple[str, str, Step]]:
        """What may befall machines: by which budget, what it is called, what it does."""
        for cell in self.cells:
            if cell.member is None:
                yield "", f"{cell.ip} starts", partial(State.starts, cell=cell)
            else:
                stop = ("", f"{cell.ip} goes on") if cell.stopped else ("stops", f"{cell.ip} stops")
                yield *stop, partial(State.stands, cell=cell)
                yield "crashes", f"{cell.ip} crashes", partial(State.falls, cell=cell)
                if not cell.stopped:
                    yield "ticks", f"{cell.ip} ticks again", partial(State.ticks, cell=cell)
                    yield "ends", f"{cell.ip} is told to end", partial(State.retires, cell=cell)
            if cell.saving is not None:
                fall = partial(State.falls, cell=cell, landed=True)
                yield "crashes", f"{cell.ip} crashes, its save landed", fall
                if not cell.stopped:
                    yield "refusals", f"{cell.ip} cannot save", partial(State.saved, cell=cell, ok=False)
            if cell.member is not None or cell.disk is not None:
                yield "wipes", f"{cell.ip} loses its disk", partial(State.falls, cell=cell, wiped=True)
        yield "blackouts", "power lost", State.blackout
        if any(c.saving for c in self.cells):
            yield "blackouts", "power lost, the saves landed", partial(State.blackout, landed=True)

    def links(self) -> Iterator[tuple[str, str, Step]]:
        for message in self.messages:
            yield "losses", f"lost: {named(message)}", partial(State.without, message=message)
        for pair in self.cuts:
            yield "joins", f"{pair[0]} to {pair[1]} joined", partial(State.cut, cuts=self.cuts - {pair})
        ways = {(a.ip, b.ip) for a in self.cells for b in self.cells if a is not b}
        for pair in sorted(ways - self.cuts):
            yield "cuts", f"{pair[0]} to {pair[1]} cut", partial(State.cut, cuts=self.cuts | {pair})

    def starts(self, cell: Cell) -> State:
        self.put(self.hall.start(cell, self.at))
        return self

    def falls(self, cell: Cell, landed: bool = False, wiped: bool = False) -> State:
        self.put(self.hall.down(cell, landed, wiped))
        self.lost(cell.ip)
        if wiped:
            self.judging().lost_at[cell.ip] = self.at
        return self

    def ticks(self, cell: Cell) -> State:
        return self.carry(self.hall.tick(cell, self.at))

    def retires(self, cell: Cell) -> State:
        """It is told to end in order; the end itself is a crash."""
        return self.carry(self.hall.give(cell, self.at, ShutDown(), "retire"))

    def blackout(self, landed: bool = False) -> State:
        for cell in self.cells:
            self.falls(cell, landed)
        return self

    def stands(self, cell: Cell) -> State:
        """Stops, or goes on and finds what came meanwhile."""
        self.put(self.hall.keep(replace(cell, stopped=not cell.stopped)))
        if cell.stopped:
            self.messages = tuple((*x[:3], self.at) if x[1] == cell.ip else x for x in self.messages)
        return self

    def without(self, message: Sent) -> State:
        self.messages = tuple(x for x in self.messages if x != message)
        return self

    def cut(self, cuts: frozenset[tuple[str, str]]) -> State:
        self.cuts = cuts
        self.messages = tuple(x for x in self.messages if x[:2] not in cuts)
        return self


Step = Callable[[State], State]  # changes the state, which is its own, and returns it


def named(message: Sent) -> str:
    sender, to, data, _ = message
    return f"{sender} to {to}: {ControlMessage.FromString(data).WhichOneof('kind')}"
