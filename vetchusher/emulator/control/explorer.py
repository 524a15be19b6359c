"""State space of a small case of the control state: three machines, two changes, a few faults.

The replicas are the production code, on a clock that advances in steps of half a second; all durations are
multiples of it. Messages arrive in any order, a step or two late, or never; writes to disk complete at any
time, or are interrupted by a crash and then survive or not; machines crash, lose their disks, pause, or
receive messages in one direction only. Each kind of fault has a budget. In each state every machine is asked
what a read would return and what it reports as in force, and the judge checks the answers.

With a bound on `delays` a case is explored to its end: by default steps happen in order (writes to disk, then
messages as they were sent, then time), and each step out of that order is one delay. Without that bound all
orders are explored, to a depth. A message sent twice is one message; ticks of different machines commute, so
time and the ticks are one step. There is no symmetry reduction: machines differ in zone and in who leads.
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

from .closure import ClusterState, untolerated_loss
from .encoding_cases import STEP_US, MachineState, TransitionCache, clone, digest
from .judge import Judge, committed_version, is_version_conflict

TOLERATED_LOSSES = 1  # machines that may be lost at a time
MAX_MESSAGE_AGE_US = 2 * STEP_US  # older messages are lost, like every request by then
START_US = 100 * STEP_US
TIMING = Timing(
    renewal_interval_us=STEP_US,
    lease_duration_us=3 * STEP_US,
    answer_valid_us=2 * STEP_US,
    other_zone_timeout_us=2 * STEP_US,
    write_timeout_us=2 * STEP_US,
    ejection_us=4 * STEP_US,
    own_disk_timeout_us=3 * STEP_US,
    copy_retention_us=6 * STEP_US,
    contact_timeout_us=2 * STEP_US,
    pause_threshold_us=2 * STEP_US,
    lease_regain_us=STEP_US,
    election_back_off_us=STEP_US,
    election_jitter_us=3 * STEP_US,
    pre_vote_timeout_us=STEP_US,
    vote_timeout_us=2 * STEP_US,
    order_timeout_us=6 * STEP_US,
    resend_delay_us=STEP_US,
    max_resend_delay_us=4 * STEP_US,
    persist_retry_us=STEP_US,
    recovery_interval_us=STEP_US,
    bootstrap_delay_us=8 * STEP_US,
    join_interval_us=STEP_US,
    learner_timeout_us=6 * STEP_US,
)

InFlightMessage = tuple[str, str, bytes, int]  # sender, receiver, data, time sent


@dataclass(slots=True, frozen=True)
class Budget:
    """How often each kind of step or fault may still happen.

    :param steps: of the clock
    :param delays: steps out of order; None: any number
    :param wipes: a machine crashes and loses its disk
    :param blackouts: all machines lose power at once
    :param cuts: a link from one machine to another is blocked in one direction
    :param losses: a message is lost
    :param refusals: a write to disk fails
    :param stops: a process is paused, and resumes later
    :param joins: a blocked link is restored
    :param ends: orderly shutdowns, as by SIGTERM
    :param ticks: ticks of one machine beyond its one tick at each step of the clock
    :param slips: a clock misses one step, which is the margin of `lease_duration_us` over `answer_valid_us`
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
    """An operator's order and its progress.

    :param attempts: how often it may still be sent
    :param order_id: id of the attempt that awaits its answer; 0: none
    :param target_ip: machine to which that attempt was sent
    :param committed_before: version that the machine had committed when that attempt came; None: none yet
    :param done: whether it was acknowledged or finally rejected
    """

    order: Order
    attempts: int = 2
    order_id: int = 0
    target_ip: str = ""
    committed_before: int | None = None
    done: bool = False


def replace_order(version: int) -> ReplaceOrder:
    """Return an order that replaces the configuration."""
    return ReplaceOrder(version, b"r%d" % version)


@dataclass(slots=True)
class State:
    """One state of the simulated cluster, with the steps that lead on from it.

    :param transitions: cache of the machines' transitions
    :param machines: the machines, ordered by address
    :param messages: in flight, in the order in which they were sent
    :param blocked_links: pairs of sender and receiver
    :param judge: shared with other states until `writable_judge` copies it
    :param judge_digest: digest of the judge's records
    :param owns_judge: whether the judge is this state's own copy
    :param violation: the first violation found
    :param checked: whether the safety properties were checked
    """

    transitions: TransitionCache
    now_us: int
    machines: tuple[MachineState, ...]
    messages: tuple[InFlightMessage, ...]
    blocked_links: frozenset[tuple[str, str]]
    budget: Budget
    operators: tuple[Operator, ...]
    judge: Judge
    judge_digest: bytes = b""
    owns_judge: bool = False
    violation: str | None = None
    checked: bool = field(default=False)

    # -- checks --------------------------------------------------------------------------------

    def shot(self) -> bytes:
        """Return a digest that is equal for equal states."""
        messages = self.messages if self.budget.delays is not None else tuple(sorted(self.messages))
        operator_fields = tuple(
            (o.attempts, o.order_id, o.target_ip, o.committed_before, o.done) for o in self.operators
        )
        machine_digests = tuple(c.key for c in self.machines)
        return digest(
            self.now_us,
            machine_digests,
            messages,
            self.blocked_links,
            astuple(self.budget),
            operator_fields,
            self.judge_digest,
        )

    def wrong(self) -> str | None:
        """Check the safety properties, once; return the first violation, None without one."""
        if not self.checked:
            self.checked = True
            self.check()
            if self.owns_judge or not self.judge_digest:
                judge = self.judge
                self.judge_digest = digest(
                    judge.sent_bodies, judge.max_acknowledged_version, judge.recent_acknowledgements,
                    judge.min_in_force_version, judge.max_read_version, judge.expected_evacuations,
                    judge.primary_by_epoch, judge.state_by_stamp, judge.disk_lost_at,
                    judge.committed_bodies, judge.acknowledged_bodies, judge.acknowledged_orders,
                )  # fmt: skip
                self.owns_judge = False
            self.violation = self.judge.violations[0] if self.judge.violations else None
        return self.violation

    def check(self) -> None:
        """Let the judge check what each machine reports, and every further tolerated loss."""
        observations = [self.transitions.observe(machine, self.now_us) for machine in self.machines]
        self.judge.on_leaders([c.ip for c, x in zip(self.machines, observations, strict=True) if x.is_leader])
        for machine, observation in zip(self.machines, observations, strict=True):
            if observation.in_force is not None:
                self.judge.check_in_force(machine.ip, observation.in_force)
            if observation.body is not None:
                judge = self.judge
                if judge.version_of(observation.body) != judge.max_read_version:
                    judge = self.writable_judge()
                judge.on_read(observation.body, judge.min_readable_version())
        # Before the first commit nothing was acknowledged, and an empty disk is no loss.
        failure = untolerated_loss(self.cluster_state()) if self.judge.newest_stamp > ZERO_STAMP else None
        if failure:
            self.writable_judge().report(f"a tolerated loss would not be survived, {failure}")

    def cluster_state(self) -> ClusterState:
        """Return the state of the cluster for the check of further losses.

        A machine counts as lost if it is down, paused, at a blocked link, or lost its disk recently.
        """
        unreachable = {ip for pair in self.blocked_links for ip in pair}
        disks, lost = {}, set()
        for machine in self.machines:
            member, lost_recently = machine.replica, self.judge.lost_disk_recently(machine.ip)
            if (
                member is None
                or machine.stopped
                or machine.disk is None
                or machine.ip in unreachable
                or lost_recently
            ):
                lost.add(machine.ip)
            if member is not None and not member.is_amnesiac and machine.disk is not None:
                disks[machine.ip] = machine.disk
        return ClusterState(disks, frozenset(lost), frozenset(), TOLERATED_LOSSES, self.judge.newest_stamp)

    # -- effects of a step ---------------------------------------------------------------------

    def copy(self, budget: Budget | None = None) -> State:
        """Return a copy that shares the judge and all immutable parts."""
        return State(
            self.transitions, self.now_us, self.machines, self.messages, self.blocked_links,
            budget or self.budget, self.operators, self.judge, self.judge_digest,
        )  # fmt: skip

    def writable_judge(self) -> Judge:
        """Return the judge, as a copy that belongs to this state alone."""
        if not self.owns_judge:
            self.judge, self.owns_judge = clone(self.judge), True
        return self.judge

    def update_machine(self, machine: MachineState) -> None:
        """Replace a machine's state."""
        self.machines = (*self.machines[: machine.number - 1], machine, *self.machines[machine.number :])

    def machine(self, ip: str) -> MachineState:
        """Return the machine of that address."""
        return self.machines[int(ip) - 1]

    def execute(self, transition: tuple[MachineState, tuple[Output, ...]]) -> State:
        """Take over a machine's transition and carry out its outputs."""
        machine, outputs = transition
        self.update_machine(machine)
        for output in outputs:
            if isinstance(output, Send):
                self.send(
                    (machine.ip, output.to, output.message.SerializeToString(deterministic=True), self.now_us)
                )
            elif isinstance(output, Committed):
                self.writable_judge().on_commit(machine.ip, output.state)
            elif isinstance(output, Completed):
                self.on_completed(output)
            elif isinstance(output, LogEvent) and output.event is Event.BECAME_PRIMARY:
                epoch = output.facts["epoch"]
                assert isinstance(epoch, int)
                self.writable_judge().on_primary(epoch, f"{machine.ip}/{machine.incarnation}")
            elif isinstance(output, LogEvent) and output.event is Event.REPLICA_SET_ESTABLISHED:
                assert machine.replica is not None and machine.replica.primary_role is not None
                replica_set = machine.replica.primary_role.reconfiguration.current
                self.writable_judge().on_replica_set_established(
                    replica_set, {c.ip: c.disk for c in self.machines}
                )
        return self

    def send(self, message: InFlightMessage) -> None:
        """Put a message in flight, unless its link is blocked or an equal one is in flight."""
        if message[:2] not in self.blocked_links and message not in self.messages:
            self.messages += (message,)

    def on_completed(self, output: Completed) -> None:
        """Give the judge the answer to an operator's order."""
        for index, operator in enumerate(self.operators):
            if operator.order_id != output.order_id:
                continue
            acknowledged, order = isinstance(output.outcome, Success), operator.order
            rejected = is_version_conflict(output.outcome)
            self.update_operator(
                index, replace(operator, order_id=0, target_ip="", done=acknowledged or rejected)
            )
            if rejected and isinstance(order, ReplaceOrder):
                self.writable_judge().on_rejected(order.version, order.body)
            elif acknowledged and isinstance(order, ReplaceOrder):
                self.writable_judge().on_acknowledged(order.version, order.body, operator.committed_before)
            elif acknowledged and isinstance(order, EvacuationOrder):
                self.writable_judge().expected_evacuations[order.zone] = order.on

    def update_operator(self, index: int, operator: Operator) -> None:
        """Replace an operator's state."""
        self.operators = (*self.operators[:index], operator, *self.operators[index + 1 :])

    def drop_open_orders(self, ip: str) -> None:
        """Forget the orders sent to a machine, which are never answered."""
        for index, operator in enumerate(self.operators):
            if operator.target_ip == ip:
                self.update_operator(index, replace(operator, order_id=0, target_ip=""))

    # -- the steps -----------------------------------------------------------------------------

    def following(self) -> Iterator[tuple[str, Callable[[], State]]]:
        """Return the possible steps, by name; calling one returns the state that it leads to."""
        budget, ready_steps = self.budget, list(self.ready_steps())
        delayed_budget = budget if budget.delays is None else None
        if budget.delays:
            delayed_budget = replace(budget, delays=budget.delays - 1)
        for index, (step_name, step) in enumerate(ready_steps):
            step_budget = delayed_budget if index else budget
            if step_budget is not None:
                yield step_name, partial(self.apply, step, step_budget)
        step_budget = delayed_budget if ready_steps else budget
        if budget.steps and step_budget is not None:
            step_budget = replace(step_budget, steps=budget.steps - 1)
            yield TIME, partial(self.apply, State.advance_clock, step_budget)
            for machine in self.machines if budget.slips else ():
                slip_budget = replace(step_budget, slips=budget.slips - 1)
                yield (
                    f"{TIME}, but not at {machine.ip}",
                    partial(self.apply, partial(State.advance_clock_except, machine=machine), slip_budget),
                )
        yield from self.order_steps()
        for fault_name, step_name, step in chain(self.fault_steps(), self.link_steps()):
            if not fault_name:
                yield step_name, partial(self.apply, step, budget)
            elif remaining := getattr(budget, fault_name):
                yield step_name, partial(self.apply, step, replace(budget, **{fault_name: remaining - 1}))

    def apply(self, step: Step, budget: Budget) -> State:
        """Return the state after a step, with the given budget."""
        return step(self.copy(budget))

    def ready_steps(self) -> Iterator[tuple[str, Step]]:
        """Return the steps that need no fault, in order: writes to disk complete, then messages arrive."""
        for machine in self.machines:
            if machine.pending_persist is not None and not machine.stopped:
                yield f"{machine.ip} has saved", partial(State.finish_persist, machine=machine, ok=True)
        for message in self.messages:
            to = self.machine(message[1])
            if to.replica is not None and not to.stopped:
                yield message_name(message), partial(State.deliver, message=message)

    def finish_persist(self, machine: MachineState, ok: bool) -> State:
        """Complete a machine's write to disk, with success or failure."""
        assert machine.pending_persist is not None
        token = machine.pending_persist.token
        ended = self.transitions.finish_persist(machine, ok)
        return self.execute(
            self.transitions.handle_input(ended, self.now_us, Persisted(token, ok), ("saved", token, ok))
        )

    def deliver(self, message: InFlightMessage) -> State:
        """Deliver a message."""
        sender, to, data, _ = message
        self.messages = tuple(x for x in self.messages if x != message)
        received = Received(sender, self.machine(sender).zone, ControlMessage.FromString(data))
        return self.execute(
            self.transitions.handle_input(self.machine(to), self.now_us, received, (sender, data))
        )

    def advance_clock(self) -> State:
        """Advance the clock by one step: messages expire, every running machine ticks and polls."""
        self.now_us += STEP_US
        self.messages = tuple(
            x for x in self.messages if self.now_us - x[3] < MAX_MESSAGE_AGE_US or self.machine(x[1]).stopped
        )
        judge = self.writable_judge()
        judge.now_us = self.now_us
        judge.check_in_force("nobody", judge.max_acknowledged_version)  # updates `min_in_force_version`
        for machine in self.machines:
            if machine.replica is not None and not machine.stopped:
                self.execute(self.transitions.tick(machine, self.now_us))
                self.poll_primary(self.machine(machine.ip))
        return self

    def poll_primary(self, machine: MachineState) -> None:
        """Let a machine request the newest commit that its presumed primary reports."""
        assert machine.replica is not None
        primary = self.machine(machine.replica.primary_ip) if machine.replica.primary_ip else machine
        links = {(machine.ip, primary.ip), (primary.ip, machine.ip)}
        if (
            primary.replica is not None
            and not primary.stopped
            and not links & self.blocked_links
            and primary.reported_commit > machine.reported_commit
        ):
            self.update_machine(
                self.transitions.intern(replace(machine, reported_commit=primary.reported_commit))
            )

    def advance_clock_except(self, machine: MachineState) -> State:
        """Advance the clock of all machines but one, which falls behind by a step."""
        self.update_machine(
            self.transitions.intern(replace(machine, clock_lag_us=machine.clock_lag_us + STEP_US))
        )
        return self.advance_clock()

    def order_steps(self) -> Iterator[tuple[str, Callable[[], State]]]:
        """Return the steps in which an operator sends its order to a self-declared primary."""
        for index, operator in enumerate(self.operators):
            if operator.done or not operator.attempts:
                continue
            for machine in self.machines:
                if (
                    machine.ip != operator.target_ip
                    and not machine.stopped
                    and self.transitions.observe(machine, self.now_us).is_primary
                ):
                    step = partial(State.submit_order, index=index, machine=machine)
                    yield f"order {index + 1} to {machine.ip}", partial(self.apply, step, self.budget)

    def submit_order(self, index: int, machine: MachineState) -> State:
        """Send an operator's order to a machine."""
        operator = self.operators[index]
        order, order_id = operator.order, 10 * (index + 1) + operator.attempts
        assert machine.replica is not None
        committed_before = committed_version(machine.replica)
        submitted = replace(
            operator,
            attempts=operator.attempts - 1,
            order_id=order_id,
            target_ip=machine.ip,
            committed_before=committed_before,
        )
        self.update_operator(index, submitted)
        if isinstance(order, ReplaceOrder):
            self.writable_judge().on_sent(order.version, order.body)
        elif isinstance(order, EvacuationOrder):
            self.writable_judge().expected_evacuations.pop(order.zone, None)
        return self.execute(
            self.transitions.handle_input(machine, self.now_us, Submitted(order_id, order), (order_id, order))
        )

    def fault_steps(self) -> Iterator[tuple[str, str, Step]]:
        """Return the faults of machines as budget, name and step; those without a budget need none."""
        for machine in self.machines:
            if machine.replica is None:
                yield "", f"{machine.ip} starts", partial(State.start_machine, machine=machine)
            else:
                pause = ("", f"{machine.ip} goes on") if machine.stopped else ("stops", f"{machine.ip} stops")
                yield *pause, partial(State.pause_or_resume, machine=machine)
                yield "crashes", f"{machine.ip} crashes", partial(State.crash, machine=machine)
                if not machine.stopped:
                    yield "ticks", f"{machine.ip} ticks again", partial(State.tick, machine=machine)
                    yield "ends", f"{machine.ip} is told to end", partial(State.shut_down, machine=machine)
            if machine.pending_persist is not None:
                crash = partial(State.crash, machine=machine, persisted=True)
                yield "crashes", f"{machine.ip} crashes, its save landed", crash
                if not machine.stopped:
                    yield (
                        "refusals",
                        f"{machine.ip} cannot save",
                        partial(State.finish_persist, machine=machine, ok=False),
                    )
            if machine.replica is not None or machine.disk is not None:
                yield (
                    "wipes",
                    f"{machine.ip} loses its disk",
                    partial(State.crash, machine=machine, wiped=True),
                )
        yield "blackouts", "power lost", State.blackout
        if any(c.pending_persist for c in self.machines):
            yield "blackouts", "power lost, the saves landed", partial(State.blackout, persisted=True)

    def link_steps(self) -> Iterator[tuple[str, str, Step]]:
        """Return the faults of links and messages, as `fault_steps`."""
        for message in self.messages:
            yield "losses", f"lost: {message_name(message)}", partial(State.lose_message, message=message)
        for pair in self.blocked_links:
            yield (
                "joins",
                f"{pair[0]} to {pair[1]} joined",
                partial(State.set_blocked_links, blocked_links=self.blocked_links - {pair}),
            )
        links = {(a.ip, b.ip) for a in self.machines for b in self.machines if a is not b}
        for pair in sorted(links - self.blocked_links):
            yield (
                "cuts",
                f"{pair[0]} to {pair[1]} cut",
                partial(State.set_blocked_links, blocked_links=self.blocked_links | {pair}),
            )

    def start_machine(self, machine: MachineState) -> State:
        """Start a machine."""
        self.update_machine(self.transitions.start(machine, self.now_us))
        return self

    def crash(self, machine: MachineState, persisted: bool = False, wiped: bool = False) -> State:
        """Crash a machine.

        :param persisted: whether its write to disk in progress survives
        :param wiped: whether its disk is lost
        """
        self.update_machine(self.transitions.stop(machine, persisted, wiped))
        self.drop_open_orders(machine.ip)
        if wiped:
            self.writable_judge().disk_lost_at[machine.ip] = self.now_us
        return self

    def tick(self, machine: MachineState) -> State:
        """Give a machine one tick."""
        return self.execute(self.transitions.tick(machine, self.now_us))

    def shut_down(self, machine: MachineState) -> State:
        """Request an orderly shutdown; the end of the process itself is a crash."""
        return self.execute(self.transitions.handle_input(machine, self.now_us, ShutDown(), "retire"))

    def blackout(self, persisted: bool = False) -> State:
        """Crash all machines at once.

        :param persisted: whether writes to disk in progress survive
        """
        for machine in self.machines:
            self.crash(machine, persisted)
        return self

    def pause_or_resume(self, machine: MachineState) -> State:
        """Pause a machine, or resume it and date its waiting messages to now."""
        self.update_machine(self.transitions.intern(replace(machine, stopped=not machine.stopped)))
        if machine.stopped:
            self.messages = tuple((*x[:3], self.now_us) if x[1] == machine.ip else x for x in self.messages)
        return self

    def lose_message(self, message: InFlightMessage) -> State:
        """Lose a message."""
        self.messages = tuple(x for x in self.messages if x != message)
        return self

    def set_blocked_links(self, blocked_links: frozenset[tuple[str, str]]) -> State:
        """Block or restore links; messages on blocked ones are lost."""
        self.blocked_links = blocked_links
        self.messages = tuple(x for x in self.messages if x[:2] not in blocked_links)
        return self


Step = Callable[[State], State]  # changes the state, a copy of its own, and returns it


def message_name(message: InFlightMessage) -> str:
    """Return a name of the message for the names of steps."""
    sender, to, data, _ = message
    return f"{sender} to {to}: {ControlMessage.FromString(data).WhichOneof('kind')}"
