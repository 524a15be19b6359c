"""Initial states for the explorer of the control state, reached without faults or after a single fault."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from vetchusher.control import EvacuationOrder, ReplaceOrder, Timing
from vetchusher.emulator.explorer import TIME

from .encoding_cases import STEP_US, MachineState, TransitionCache
from .explorer import START_US, TIMING, Budget, Operator, State, replace_order
from .judge import Judge

ZONES = ("east", "east", "west")
OPERATORS = (Operator(replace_order(2)), Operator(replace_order(3)))
MAX_WAIT_STEPS = 60  # steps of the clock, after which a condition counts as unreachable


def initial(zones: tuple[str, ...] = ZONES, timing: Timing = TIMING) -> State:
    """Return a state in which nothing runs and all disks are empty."""
    machines = tuple(MachineState(index, zone) for index, zone in enumerate(zones, 1))
    transitions = TransitionCache(tuple(c.ip for c in machines), timing)
    machines = tuple(transitions.intern(c) for c in machines)
    return State(transitions, START_US, machines, (), frozenset(), Budget(), (), Judge())


def step(state: State, step_name: str) -> State:
    """Take the step of that name, with an ample budget of faults; return the state after it."""
    state.budget = AMPLE_BUDGET
    action = next((action for name, action in state.following() if name == step_name), None)
    assert action is not None, f"no step {step_name!r}"
    after = action()
    assert after.wrong() is None, after.wrong()
    return after


def run_ready_steps(state: State) -> State:
    """Take every step that needs no fault and no time, in order."""
    while True:
        ready_step = next(state.ready_steps(), None)
        if ready_step is None:
            return state
        state = ready_step[1](state.copy())
        state.wrong()


def run_until(state: State, condition: Callable[[State], bool]) -> State:
    """Run without faults, step by step of the clock, until a condition holds.

    :raises AssertionError: it doesn't hold within `MAX_WAIT_STEPS`
    """
    for _ in range(MAX_WAIT_STEPS):
        state = run_ready_steps(state)
        if condition(state):
            return state
        state = step(state, TIME)
    raise AssertionError("the initial state was not reached")


def is_leader(ip: str) -> Callable[[State], bool]:
    """Return a condition: the machine is the primary with a valid lease."""
    return lambda state: state.transitions.observe(state.machine(ip), state.now_us).is_leader


AMPLE_BUDGET = Budget(
    steps=1_000,
    crashes=9,
    wipes=9,
    blackouts=9,
    cuts=9,
    losses=9,
    refusals=9,
    stops=9,
    slips=9,
    ends=9,
    ticks=9,
)


def first_start() -> State:
    """Start all three machines for the first time."""
    state = initial()
    for machine in state.machines:
        state.update_machine(state.transitions.start(machine, state.now_us, first=True))
    return state


def committed(timing: Timing = TIMING) -> State:
    """Let the first machine lead, with r1 acknowledged and on all disks, and no message in flight."""
    state = initial(timing=timing)
    for machine in state.machines:
        if machine.number == 3:
            state = step(state, TIME)  # starts later than the others, so that it isn't the first candidate
        state.update_machine(state.transitions.start(machine, state.now_us, first=True))
    state = run_until(state, is_leader("1"))
    state.operators = (Operator(replace_order(1)),)
    state = run_until(step(state, "order 1 to 1"), lambda s: s.operators[0].done)
    state = run_ready_steps(step(run_ready_steps(state), TIME))
    state.operators = OPERATORS
    return state


def writing() -> State:
    """Continue from `committed` with two operators' writes in flight to the backups."""
    state = step(committed(), "order 1 to 1")
    return step(state, "order 2 to 1")


def primary_lost() -> State:
    """Crash the first machine and let its lease expire; both others may become candidates."""
    state = step(committed(), "1 crashes")
    for _ in range(4):
        state = step(run_ready_steps(state), TIME)
    return state


def uncommitted_write() -> State:
    """Write r2 to the primary's disk alone, lose power everywhere, and start all machines again."""
    state = step(committed(), "order 1 to 1")
    state = step(step(state, "1 has saved"), "power lost")
    state.messages = ()
    for ip in "123":
        state = step(state, f"{ip} starts")
    return state


def link_blocked() -> State:
    """Continue from `uncommitted_write`, a lease later, with one link of the first machine blocked.

    The third machine doesn't receive what the first one sends.
    """
    state = step(uncommitted_write(), "1 to 3 cut")
    for _ in range(3):
        state = step(run_ready_steps(state), TIME)
    return state


def primary_disk_behind() -> State:
    """Take every step that r2 needs except the primary's own write to disk, then lose power.

    The third machine stays off.
    """
    state = step(committed(), "order 1 to 1")
    while True:
        actions = [action for name, action in state.ready_steps() if name != "1 has saved"]
        if not actions:
            break
        state = actions[0](state.copy())
        state.wrong()
    state = step(state, "power lost")
    state.messages = ()
    return step(step(state, "1 starts"), "2 starts")


def primary_disk_lost() -> State:
    """Lose the first machine's disk right after an acknowledgement, and start it again."""
    state = step(committed(), "order 1 to 1")
    state = run_until(state, lambda s: s.operators[0].done)
    return step(step(state, "1 loses its disk"), "1 starts")


def primary_receives_nothing() -> State:
    """Block all that the primary receives; the others still receive from it."""
    state = committed()
    for ip in "23":
        state = step(state, f"{ip} to 1 cut")
    return state


def primary_isolated() -> State:
    """Isolate the primary in both directions, with its lease about to expire.

    The third machine has no pause before its election.
    """
    state = committed(replace(TIMING, election_jitter_us=2 * STEP_US))
    for ip in "23":
        state = step(step(state, f"{ip} to 1 cut"), f"1 to {ip} cut")
    return step(step(state, TIME), TIME)


def primary_stopped() -> State:
    """Pause the primary with answers in flight, until another machine has become primary."""
    state = step(step(committed(), TIME), "1 stops")
    return run_until(state, lambda s: is_leader("2")(s) or is_leader("3")(s))


def voter_restarted() -> State:
    """Crash a voter within the lease that it granted, and start it again."""
    return step(step(step(committed(), "3 crashes"), "3 starts"), "order 1 to 1")


def evacuating() -> State:
    """Let both operators order evacuations."""
    state = committed()
    state.operators = (
        Operator(EvacuationOrder("north", True)),
        Operator(EvacuationOrder("south", True)),
    )
    return step(step(state, "order 1 to 1"), "order 2 to 1")


def conflicting_bodies() -> State:
    """Send two bodies under one version, and one of them twice."""
    state = committed()
    bodies = (b"r2", b"r2, another", b"r2")
    state.operators = tuple(Operator(ReplaceOrder(2, body)) for body in bodies)
    for number in (1, 2):
        state = step(state, f"order {number} to 1")
    return state


@dataclass(slots=True, frozen=True)
class Case:
    """A set of states to explore.

    :param initial_state: makes the initial state
    :param faults: the budget of faults, besides `steps` and `delays`
    """

    initial_state: Callable[[], State]
    faults: Budget

    def start(self, steps: int = 8, delays: int | None = None, fault_factor: int = 1) -> State:
        """Return the initial state with its budget.

        :param delays: steps out of order; None: any number
        :param fault_factor: factor on the number of faults, except lost disks
        """
        state = self.initial_state()
        scaled_faults = (
            "crashes",
            "blackouts",
            "cuts",
            "losses",
            "refusals",
            "stops",
            "ends",
        )
        scaled = {name: getattr(self.faults, name) * fault_factor for name in scaled_faults}
        state.budget = replace(self.faults, steps=steps, delays=delays, **scaled)
        return state


CASES = {
    "first start": Case(first_start, Budget(crashes=1)),
    "settled": Case(committed, Budget(crashes=1, wipes=1, cuts=1)),
    "writing": Case(writing, Budget(crashes=1, wipes=1, losses=1)),
    "writing, power lost": Case(writing, Budget(blackouts=1, losses=2)),
    "writing, disks refuse": Case(writing, Budget(blackouts=1, refusals=2)),
    "primary lost": Case(primary_lost, Budget(crashes=1, losses=1)),
    "primary hears nobody": Case(primary_receives_nothing, Budget(stops=1)),
    "clocks apart": Case(primary_isolated, Budget(slips=1, ticks=2, joins=0)),
    "primary stopped for long": Case(primary_stopped, Budget(losses=1)),
    "primary stops": Case(writing, Budget(stops=1, cuts=1)),
    "a copy that nobody else holds": Case(uncommitted_write, Budget(crashes=1, losses=1)),
    "all started, a way cut": Case(link_blocked, Budget(losses=1)),
    "the primary's disk was behind": Case(primary_disk_behind, Budget(losses=1)),
    "a disk emptied": Case(primary_disk_lost, Budget(crashes=1, losses=1)),
    "a voter restarted": Case(voter_restarted, Budget(cuts=1, crashes=1)),
    "handing over": Case(writing, Budget(ends=1, crashes=1, losses=1)),
    "one number, two bodies": Case(conflicting_bodies, Budget(crashes=1, losses=1)),
    "evacuations": Case(evacuating, Budget(crashes=1, losses=1)),
}
