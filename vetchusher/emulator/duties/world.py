"""Singleton roles in virtual time: hundreds of members, network faults, inaccurate clocks, and a check.

The check runs after every event in which a term was taken, renewed or left: only these make a holder,
and time alone only ends terms.  It also runs every `EVENTS_PER_CHECK` events, to know since when there
is no holder.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher.duties import Duties, Duty, Plan, Timing
from vetchusher.duties.duties import TermEvent
from vetchusher.emulator.fleet_world import MS, SECOND, ClusterScene, ClusterWorld, Node

WALL_S = 1_900_000_000
EVENTS_PER_CHECK = 16  # when no term changed


@dataclass(slots=True)
class Scene(ClusterScene):
    """The size, the timing and the faults of a run.  Times are microseconds."""

    voters: int = 3
    duties: int = 1
    lease_us: int = 2 * SECOND
    max_drift: float = 0.02
    checks_tokens: bool = True  # targets reject lower tokens than they have seen

    def __post_init__(self) -> None:
        """Set the time unit of faults and the delay of late messages to the lease."""
        self.fault_unit_us = self.max_delay_us = self.lease_us

    def plan(self) -> Plan:
        """Return the configuration of the roles."""
        duties = tuple(Duty(f"duty-{n}") for n in range(self.duties))
        timing = Timing(self.lease_us, self.max_drift, 10 * MS)
        everybody = tuple(range(self.members))
        return Plan(self.members, everybody[: self.voters], timing, duties, everybody)


@dataclass(slots=True)
class Found:
    """The result of a run.  `wrong` holds the violations."""

    wrong: list[str] = field(default_factory=list)
    events: int = 0
    messages: int = 0
    per_member: list[float] = field(default_factory=list)  # messages sent per second, by member
    terms: int = 0
    gaps: list[tuple[str, int]] = field(default_factory=list)  # last fault before it, and us without a holder
    held_part: float = 0.0  # ratio of the time for which the first role was held
    faults: Counter[str] = field(default_factory=Counter)
    acts: int = 0
    stale_acts: int = 0


class World(ClusterWorld[Duties]):
    """Owns the members and the target of the holders' actions."""

    scene: Scene

    def __init__(self, scene: Scene) -> None:
        """Create a run without members."""
        super().__init__(scene)
        self.tick_us = scene.lease_us // 48
        self.plan = scene.plan()
        self.result = Found()
        self.tokens = [0] * scene.duties  # the highest token of any term, by role
        self.target_tokens = [0] * scene.duties  # the highest token that the target has seen, by role
        self.free_since: list[int | None] = [0] * scene.duties
        self.is_term_changed = False  # in the present event
        self.held_us = 0  # time for which the first role was held

    def create_state_machine(self, number: int, now: int) -> Duties:
        """Return the roles of a new process."""
        duties = Duties(self.plan, number, self.incarnations, random.Random(self.rng.randrange(1 << 30)))
        duties.begin(now)
        return duties

    def on_started(self, node: Node[Duties]) -> None:
        """Let a process vote unless an older one of its number runs."""
        if not any(old.number == node.number for old in self.replaced_nodes):
            node.state_machine.start_voting(node.now(self.now_us))

    def on_replaced_ended(self, node: Node[Duties]) -> None:
        """Handle the end of an older process; only then the newer one of its number votes."""
        voter_state = node.state_machine.stop_voting(node.now(self.now_us)) if node.running else None
        newer = self.nodes.get(node.number)
        if newer is not None and all(o.number != node.number for o in self.replaced_nodes):
            newer.state_machine.start_voting(
                newer.now(self.now_us), voter_state if self.rng.random() < 0.7 else None
            )

    def on_tick(self, node: Node[Duties]) -> None:
        """Run the timers of a member."""
        self.apply_actions(
            node, node.state_machine.tick(node.now(self.now_us), WALL_S + self.now_us // SECOND)
        )
        self.act_as_holder(node)

    def act_as_holder(self, node: Node[Duties]) -> None:
        """Let a holder send an action to the target, at random; one in ten is delayed by up to a lease."""
        for duty in range(self.scene.duties):
            token = node.state_machine.token(node.now(self.now_us), duty)
            if token is not None and self.rng.random() < 0.1:
                delay_us = self.rng.randrange(self.scene.lease_us) if self.rng.random() < 0.1 else 5 * MS
                self.after(delay_us, lambda d=duty, t=token: self.receive_action(d, t))  # type: ignore[misc]

    def receive_action(self, duty: int, token: int) -> None:
        """Receive an action at the target, which keeps the highest token and rejects lower ones."""
        if token < self.target_tokens[duty]:
            self.result.stale_acts += 1
            if not self.scene.checks_tokens:
                self.report_violation("an act with an old token was accepted")
            return
        self.target_tokens[duty] = token
        self.result.acts += 1

    def on_action(self, node: Node[Duties], act: TermEvent) -> None:
        """Record a term event, and check that a new token is the highest."""
        self.is_term_changed = True
        duty = int(act.duty.removeprefix("duty-"))
        if act.kind == "taken":
            self.result.terms += 1
            if act.token <= self.tokens[duty]:
                self.report_violation(f"token {act.token:#x} is not above {self.tokens[duty]:#x}")
            self.tokens[duty] = max(act.token, self.tokens[duty])

    def after_event(self) -> None:
        """Run the check if it is due."""
        if self.is_term_changed or self.event_count % EVENTS_PER_CHECK == 0:
            self.is_term_changed = False
            self.check_holders()

    def check_holders(self) -> None:
        """Check that each role has one holder at most, and record the times without one."""
        for duty in range(self.scene.duties):
            holders = 0
            for node in [*self.nodes.values(), *self.replaced_nodes]:
                holders += node.state_machine.token(node.now(self.now_us), duty) is not None
            if holders > 1:
                self.report_violation(f"{holders} holders of duty {duty} may act")
            since = self.free_since[duty]
            if holders and since is not None:
                self.result.gaps.append((self.last_fault, self.now_us - since))
                self.free_since[duty] = None
            elif not holders and since is None:
                self.free_since[duty] = self.now_us

    def holder(self) -> int:
        """Return the holder of the first role with probability 0.7, otherwise a random member."""
        holders = [
            n
            for n, node in self.nodes.items()
            if node.state_machine.token(node.now(self.now_us), 0) is not None
        ]
        return holders[0] if holders and self.rng.random() < 0.7 else self.rng.randrange(self.scene.members)

    def pick_target(self) -> int:
        """Return the member for the next fault."""
        return self.holder()

    def fault_injectors(self) -> dict[str, Callable[[int], None]]:
        """Return the faults by name."""
        return super().fault_injectors() | {"voters restarted": self.restart_voters}

    def restart_voters(self, number: int) -> None:
        """Restart one voter, two, or all but one, one after the other."""
        voters = list(self.plan.voters)
        self.rng.shuffle(voters)
        for turn, voter in enumerate(voters[: self.rng.choice((1, 2, len(voters) - 1))]):
            self.after(
                turn * self.rng.randrange(1, self.scene.lease_us),
                lambda v=voter: self.kill(v, 50 * MS),  # type: ignore[misc]
            )

    def before_advance(self, when: int) -> None:
        """Account for the time until `when`."""
        self.held_us += (when - self.now_us) if self.free_since[0] is None else 0

    def run(self, events: int = 0) -> Found:
        """Run for the scene's length, or for a number of events if it is given."""
        self.run_scene(events)
        result = self.result
        result.wrong, result.events, result.messages = self.violations, self.event_count, self.datagram_count
        result.faults = self.injected_faults
        result.per_member = [n / max(1, self.now_us) * SECOND for n in self.datagrams_sent]
        result.held_part = self.held_us / max(1, self.now_us)
        return result
