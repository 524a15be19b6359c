"""Explore all interleavings of a small case with three voters and two candidates.

Messages may be lost or delayed, a voter may restart without its state, and a holder may be suspended or
release its term.  The state machines run unchanged on one clock that advances in steps.  A message may
be delivered at any later step or never, so loss, delay and reordering need no steps of their own.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

from vetchusher.duties.candidate import Candidate, Reason, Stage, Term
from vetchusher.duties.lease import Timing
from vetchusher.duties.messages import Message, Topic
from vetchusher.duties.voter import Voter
from vetchusher.emulator import explorer
from vetchusher.emulator.explorer import TIME, Explored

VOTERS, CANDIDATES = (0, 1, 2), (3, 4)
TIMING = Timing(lease_us=24, drift=0.0, margin_us=0)
STEP_US = 13  # a lease expires after two steps
WALL_S = 1
START_EPOCH = 7 << 32

SentMessage = tuple[int, int, Message]  # sender, receiver, message
Shot = tuple[object, ...]  # the hashable form of a state


class NoRandomness(random.Random):
    """Returns a constant: randomness only shifts times, and all times are explored."""

    def randrange(self, *args: int) -> int:  # type: ignore[override]
        """Return 1."""
        return 1

    def __deepcopy__(self, memo: object) -> NoRandomness:
        """Return this object, which has no state."""
        return self


NO_RANDOMNESS = NoRandomness()


@dataclass(slots=True, frozen=True)
class Budget:
    """How many steps of each kind may still happen."""

    steps: int = 4
    restarts: int = 1
    releases: int = 1


@dataclass(slots=True)
class State:
    """One state of the case.

    :param now: time in microseconds
    :param in_flight: messages that may still be delivered
    :param highest_token: the highest token of any term
    """

    now: int
    voters: list[Voter]
    candidates: list[Candidate]
    in_flight: frozenset[SentMessage]
    budget: Budget
    highest_token: int = START_EPOCH
    incarnation: int = 1

    def shot(self) -> Shot:
        """Return the state in a hashable form; equal ones have the same future."""
        voters = tuple(
            (
                v.promised,
                v.promised_to,
                v.term,
                v.term_holder,
                v.lease_until,
                v.remembers,
                v.no_votes_before,
                *v.known_by_others.items(),
            )
            for v in self.voters
        )
        candidates = tuple(
            (
                c.stage.value,
                c.lease_until,
                c.due_at <= self.now,
                c.give_up_at <= self.now,
                c.highest_ballot,
                c.highest_taken_ballot,
                c.term.ballot,
                c.term.sequence,
                frozenset(c.term.promised),
                frozenset(c.term.sent.items()),
                frozenset(c.term.granted.items()),
            )
            for c in self.candidates
        )
        return self.now, voters, candidates, self.in_flight, self.budget, self.highest_token

    def copy(self) -> State:
        """Return a copy that can be changed."""
        voters = [clone(v) for v in self.voters]
        candidates = [clone(c) for c in self.candidates]
        return State(
            self.now, voters, candidates, self.in_flight, self.budget, self.highest_token, self.incarnation
        )

    def wrong(self) -> str | None:
        """Return the violation in this state, or None."""
        holders = [c for c in self.candidates if c.token(self.now) is not None]
        if len(holders) > 1:
            return "two holders may act"
        for candidate in self.candidates:
            for event, _, _ in candidate.changes:
                if event == "taken":
                    if candidate.term.ballot <= self.highest_token:
                        return "a token that is not above all earlier ones"
                    self.highest_token = candidate.term.ballot
            candidate.changes.clear()
        return None

    def following(self) -> Iterator[tuple[str, Callable[[], State]]]:
        """Return the name of each possible step with a function that returns its state."""
        return ((name, partial(State.itself, after)) for name, after in following(self))

    def itself(self) -> State:
        """Return this state."""
        return self

    def send(self, sender: int, messages: list[tuple[int, Message]]) -> None:
        """Add messages, each with its receiver, to those in flight."""
        self.in_flight |= {(sender, to, message) for to, message in messages}


def clone(machine: Any) -> Any:
    """Return a copy of a voter or a candidate."""
    copy = object.__new__(type(machine))
    copy.__dict__.update(machine.__dict__)
    if isinstance(copy, Voter):
        copy.known_by_others = dict(copy.known_by_others)
    else:
        term = copy.term
        copy.term = Term(term.ballot, set(term.promised), dict(term.sent), dict(term.granted), term.sequence)
        copy.changes = list(copy.changes)
    return copy


def free_state() -> State:
    """Return a state in which all voters have their state and nobody holds the role."""
    voters = [Voter(0, n, VOTERS, TIMING) for n in VOTERS]
    for voter in voters:
        voter.start_voting(0, (START_EPOCH, (-1, 0), 0, (-1, 0), 0))
    candidates = [Candidate(0, n, 1, VOTERS, TIMING, NO_RANDOMNESS) for n in CANDIDATES]
    for candidate in candidates:
        candidate.highest_ballot = START_EPOCH
    return State(0, voters, candidates, frozenset(), Budget())


def held_state() -> State:
    """Return a state in which the first candidate holds the role by all votes; no message is in flight."""
    state = free_state()
    state.send(CANDIDATES[0], state.candidates[0].tick(0, True, False))
    while state.in_flight:
        state = next(after for name, after in following(state) if " to " in name)
    assert state.wrong() is None and state.candidates[0].stage is Stage.HOLDING
    return state


def expired_state() -> State:
    """Return the held state once the lease has expired, so that both candidates may ask for votes."""
    state = held_state()
    state.now += 2 * STEP_US
    state.budget = Budget(steps=3)
    return state


STARTS = {"free": free_state, "held": held_state, "contested": expired_state}


Step = tuple[str, State]


def following(state: State) -> Iterator[Step]:
    """Yield every state that one step leads to."""
    yield from deliver_messages(state)
    for place in range(len(state.candidates)):
        yield from run_candidate(state, place)
    if state.budget.restarts:
        yield from restart_voters(state)
    yield from recover_voters(state)
    if state.budget.steps:
        yield advance_time(state)


def deliver_messages(state: State) -> Iterator[Step]:
    """Yield a state for the delivery of each message; a delivered message is not delivered again."""
    for sender, to, message in state.in_flight:
        after = state.copy()
        after.in_flight = state.in_flight - {(sender, to, message)}
        if to in VOTERS:
            after.send(to, after.voters[to].receive(state.now, sender, 1, message))
        else:
            candidate = after.candidates[to - CANDIDATES[0]]
            after.send(to, candidate.receive(state.now, sender, message, True))
        yield f"{sender} to {to}: {message.topic.name.lower()}", after


def run_candidate(state: State, index: int) -> Iterator[Step]:
    """Yield the states after a candidate's tick, if it is due, and after a release of its term."""
    candidate, budget = state.candidates[index], state.budget
    if candidate.due_at <= state.now or (
        candidate.stage is Stage.HOLDING and state.now >= candidate.lease_until
    ):
        after = state.copy()
        after.send(CANDIDATES[index], after.candidates[index].tick(state.now, True, False))
        yield f"tick of {CANDIDATES[index]}", after
    if candidate.stage is Stage.HOLDING and budget.releases:
        after = state.copy()
        after.budget = Budget(budget.steps, budget.restarts, 0)
        other = CANDIDATES[1 - index]
        after.send(CANDIDATES[index], after.candidates[index].end_term(state.now, Reason.RELEASED, other))
        yield f"release by {CANDIDATES[index]}", after


def restart_voters(state: State) -> Iterator[Step]:
    """Yield a state for the restart of each voter without its state."""
    budget = state.budget
    for number in VOTERS:
        after = state.copy()
        after.budget = Budget(budget.steps, budget.restarts - 1, budget.releases)
        after.voters[number] = Voter(0, number, VOTERS, TIMING)
        after.voters[number].start_voting(state.now, None)
        yield f"restart of voter {number}", after


def recover_voters(state: State) -> Iterator[Step]:
    """Yield a state for each restarted voter that recovers its state from the others."""
    for number, voter in enumerate(state.voters):
        if not voter.remembers:
            after = state.copy()
            if recover_voter(after, number):
                yield f"voter {number} remembers", after


def advance_time(state: State) -> Step:
    """Return the state one clock step later."""
    after, budget = state.copy(), state.budget
    after.now += STEP_US
    after.budget = Budget(budget.steps - 1, budget.restarts, budget.releases)
    return TIME, after


def recover_voter(state: State, number: int) -> bool:
    """Let a restarted voter receive the others' state; return whether it votes again.

    The requests for that state are not explored.
    """
    voter = state.voters[number]
    for other in state.voters:
        if other.number != number:
            message = Message(Topic.KNOWN, 0, other.promised, int(other.remembers))
            voter.receive(state.now, other.number, 1, message)
    voter.tick(state.now, WALL_S)
    return voter.remembers


def explore(max_states: int, max_depth: int = 1_000, begin: str = "free") -> Explored:
    """Explore breadth first from one of `STARTS`, up to the given numbers of states and steps."""
    return explorer.explore(STARTS[begin](), max_states, max_depth)


def wander(walks: int, length: int, seed: int, start_name: str = "free") -> Explored:
    """Take random walks of `length` steps from one of `STARTS`."""

    def start() -> State:
        state = STARTS[start_name]()
        state.budget = Budget(steps=12, restarts=3, releases=2)
        return state

    return explorer.wander(start, walks, length, seed)
