"""Membership in virtual time, with a check that knows which members run, and two baselines."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from vetchusher.datagrams import Envelope, SendDatagram
from vetchusher.emulator.fleet_world import MS, SECOND, ClusterScene, ClusterWorld, Node
from vetchusher.membership.member import Membership, Side
from vetchusher.membership.probe import Probe
from vetchusher.membership.records import PRESENT_STATES, Record, State
from vetchusher.membership.rules import MembershipTiming
from vetchusher.membership.view import Change

WALL_MS = 1_900_000_000_000
CLUSTER = 7


class PlainSwim(Membership):
    """Basic SWIM: a member that fails a direct and the indirect probes is dead at once.

    A member that learns of its death refutes it later; there is no local health.
    """

    def must_not_accuse(self, now: int) -> bool:
        """Return whether this process has not joined yet."""
        return not self.joined

    def check_stall(self, now: int) -> None:
        """Ignore delays of this process."""
        self.health_score = 0

    def probe_failed(self, now: int, probe: Probe) -> None:
        """Declare the probed member dead at once."""
        self.view.accuse(now, probe.target, probe.claimed_heartbeat)
        entry = self.view.entries[probe.target]
        if entry.state is State.SUSPECTED:
            entry.suspected_at = now - 10 * self.rules.max_suspicion_us

    def receive(self, now: int, received: Any) -> list[SendDatagram]:
        """Receive a message; suspected members are dead at once."""
        acts = super().receive(now, received)
        self.view.accusations_ignored_until = -1
        for number in list(self.view.suspects):
            self.view.entries[number].suspected_at = now - 10 * self.rules.max_suspicion_us
        return acts


class Heartbeats:
    """Heartbeats to all members each period; a member without one for a fixed time is dead."""

    def __init__(self, rules: MembershipTiming, number: int, envelope: Envelope) -> None:
        """Create a view in which every member is live."""
        self.rules, self.number, self.envelope = rules, number, envelope
        self.last_contact_at: dict[int, int] = {}
        self.dead: set[int] = set()
        self.sent_at = -1
        self.noted: list[Change] = []

    def tick(self, now: int) -> list[SendDatagram]:
        """Run the time-outs, and return the heartbeats that are due."""
        for number, at in self.last_contact_at.items():
            if number not in self.dead and now - at > self.rules.max_pause_us + self.rules.period_us:
                self.dead.add(number)
                self.noted.append(Change("dead", number, Record(), self.number, 1, now))
        if now - self.sent_at < self.rules.period_us and self.sent_at >= 0:
            return []
        self.sent_at = now
        data = self.envelope.write(32, b"")
        return [SendDatagram(n, data) for n in range(self.rules.members) if n != self.number]

    def receive_from(self, now: int, sender: int) -> None:
        """Record a heartbeat of a member."""
        self.last_contact_at[sender] = now
        if sender in self.dead:
            self.dead.discard(sender)
            self.noted.append(Change("alive", sender, Record(), sender, 0, now))


class Member:
    """One process: the envelope of its datagrams, and membership or a baseline."""

    def __init__(self, way: str, rules: MembershipTiming, number: int, life: int, rng: random.Random) -> None:
        """Create a process; `way` is that of the scene."""
        self.envelope = Envelope(number, life, rules.members, CLUSTER)
        self.plain: Heartbeats | None = None
        self.member: Membership | None = None
        self.life = WALL_MS + life
        if way == "heartbeats":
            self.plain = Heartbeats(rules, number, self.envelope)
        else:
            make = PlainSwim if way == "swim" else Membership
            self.member = make(rules, number, self.life, self.envelope, rng)

    def begin(self, now: int) -> None:
        """Start the process."""
        if self.member is not None:
            self.member.begin(now)

    def tick(self, now: int) -> list[Any]:
        """Run the timers; return datagrams to send and changes of the view."""
        if self.plain is not None:
            acts: list[Any] = [*self.plain.tick(now), *self.plain.noted]
            self.plain.noted = []
            return acts
        assert self.member is not None
        return [*self.member.tick(now), *self.member.take_changes()]

    def receive_datagram(self, now: int, sender: int, data: bytes) -> list[Any]:
        """Receive a datagram; return datagrams to send and changes of the view."""
        received = self.envelope.read(sender, data)
        if received is None:
            return []
        if self.plain is not None:
            self.plain.receive_from(now, sender)
            return []
        assert self.member is not None
        return [*self.member.receive(now, received), *self.member.take_changes()]

    def stop(self, now: int) -> list[Any]:
        """Prepare to leave; return datagrams to send."""
        return [*self.member.stop(now)] if self.member is not None else []

    def left(self, now: int) -> list[Any]:
        """Announce that the process leaves; return datagrams to send."""
        return [*self.member.announce_left(now)] if self.member is not None else []


@dataclass(slots=True)
class Scene(ClusterScene):
    """The size, the timing and the faults of a run.  Times are microseconds.

    :param way: `ours`, or a baseline: `swim` or `heartbeats`
    """

    way: str = "ours"
    period: int = SECOND
    pause: int = 2 * SECOND
    away: int = 60 * SECOND  # before a killed process restarts

    def rules(self) -> MembershipTiming:
        """Return the timing of membership."""
        return MembershipTiming(self.members, self.period, self.pause)


@dataclass(slots=True)
class Death:
    """A process that was killed, and when each of the others declared it dead."""

    member: int
    at: int
    known: dict[int, int] = field(default_factory=dict)
    absent: set[int] = field(default_factory=set)  # others that were killed since

    def times(self, others: int) -> tuple[float, float, float] | None:
        """Return the seconds until the first, half and all of the others knew; None if not all did.

        :param others: number of other members; those killed since are subtracted
        """
        others -= len(self.absent)
        took = sorted(t - self.at for t in self.known.values())
        if len(took) < others or not took:
            return None
        return took[0] / SECOND, took[len(took) // 2] / SECOND, took[others - 1] / SECOND


@dataclass(slots=True)
class Found:
    """The result of a run."""

    wrong: list[str] = field(default_factory=list)  # live members declared dead, by members in a majority
    false_by_life: int = 0  # the same, counted once per incarnation
    events: int = 0
    deaths: list[Death] = field(default_factory=list)
    bytes_per_s: float = 0.0  # sent by a member, on average
    messages_per_s: float = 0.0
    suspected: int = 0
    changes: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    most_in: int = 0  # most datagrams that one member received in a second


class World(ClusterWorld[Member]):
    """Owns the members, and checks that no live one is declared dead.

    :ivar excused: by member: until when it may be declared dead although it runs, as what it sends was
        dropped, or it was suspended for longer than the stated pause
    :ivar all_excused: the same for all members, after a partition
    """

    scene: Scene

    def __init__(self, scene: Scene) -> None:
        """Create a run without members."""
        super().__init__(scene)
        self.rules = scene.rules()
        self.tick_us = self.rules.tick_us
        self.excused = [0] * scene.members
        self.all_excused = 0
        self.found = Found()
        self.open: dict[int, Death] = {}
        self.reported: set[tuple[int, int]] = set()
        self.second, self.taken = -1, [0] * scene.members

    def create_state_machine(self, number: int, now: int) -> Member:
        """Return a new process."""
        rng = random.Random(self.rng.randrange(1 << 30))
        member = Member(self.scene.way, self.rules, number, self.now_us // MS + self.incarnations, rng)
        member.begin(now)
        return member

    def on_started(self, node: Node[Member]) -> None:
        """End the detection of an earlier death of this number."""
        self.open.pop(node.number, None)

    def on_tick(self, node: Node[Member]) -> None:
        """Run the timers of a member."""
        self.apply_actions(node, node.state_machine.tick(node.now(self.now_us)))

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        """Deliver a datagram, and count it."""
        second = self.now_us // SECOND
        if second != self.second:
            self.second, self.taken = second, [0] * self.scene.members
        self.taken[to] += 1
        self.found.most_in = max(self.found.most_in, self.taken[to])
        super().deliver(sender, to, data)

    # -- the check --------------------------------------------------------------------

    def on_action(self, node: Node[Member], act: Change) -> None:
        """Record a change of a view, and check a death."""
        self.found.changes += 1
        self.found.suspected += act.kind == "suspected"
        if act.kind == "dead":
            death = self.open.get(act.member)
            if death is not None and node.number not in death.absent:
                death.known.setdefault(node.number, self.now_us)
            self.judge(node, act)

    def judge(self, node: Node[Member], act: Change) -> None:
        """Record a violation if a live, unexcused member is declared dead by one in a majority."""
        accused = self.nodes.get(act.member)
        if accused is None or node is not self.nodes.get(node.number):
            return
        if self.scene.way != "heartbeats" and act.record.incarnation != accused.state_machine.life:
            return
        own = node.state_machine.member
        hears_majority = own is None or own.side(node.now(self.now_us)) is Side.MAJORITY
        if self.now_us < max(self.all_excused, self.excused[act.member]) or not hears_majority:
            return
        key = (act.member, accused.incarnation)
        self.found.false_by_life += key not in self.reported
        self.reported.add(key)
        if self.scene.way == "ours":
            self.report_violation(f"{node.number} declares {act.member} dead, which lives")
        else:
            self.found.wrong.append("")

    def excuse(self, number: int, length: int) -> None:
        """Allow a member to be declared dead for `length` us, and until that can be refuted."""
        self.excused[number] = max(
            self.excused[number], self.now_us + length + 2 * self.rules.detection_bound_us
        )

    # -- faults -----------------------------------------------------------------------

    def pause(self, number: int, length: int = 0) -> None:
        """Suspend a process for `length` us, or for a random time."""
        node = self.nodes.get(number)
        if node is None or not node.running:
            return
        length = length or int(self.rng.choice(self.scene.pause_units) * self.scene.fault_unit_us)
        if length > self.scene.pause:
            self.excuse(number, length)
        super().pause(number, length)

    def kill(self, number: int, after: int | None = None) -> None:
        """Kill a process, and restart it `after` us, or after a random time."""
        if number in self.nodes and not any(o.number == number for o in self.replaced_nodes):
            for other in self.open.values():
                other.absent.add(number)
                other.known.pop(number, None)
            death = self.open[number] = Death(number, self.now_us, absent=set(self.open))
            self.found.deaths.append(death)
        away = self.rng.randrange(self.scene.away // 2, self.scene.away)
        super().kill(number, away if after is None else after)

    def mark_temporarily(self, marked: set[Any], number: Any) -> None:
        """Keep an entry in a set of faults for a while."""
        if marked is self.not_sending:
            self.excuse(number, 4 * self.scene.fault_unit_us)
        super().mark_temporarily(marked, number)

    def partition(self, parts: int) -> None:
        """Partition the members."""
        self.all_excused = max(
            self.all_excused, self.now_us + 4 * self.scene.fault_unit_us + 2 * self.rules.detection_bound_us
        )
        super().partition(parts)

    def partition_one_way(self, number: int) -> None:
        """Drop what a random member sends to this one."""
        other = self.rng.randrange(self.scene.members)
        if other != number:
            self.mark_temporarily(self.blocked_links, (other, number))

    def pair(self, number: int) -> None:
        """Drop what a random member and this one send to each other."""
        other = self.rng.randrange(self.scene.members)
        if other != number:
            self.mark_temporarily(self.blocked_links, (other, number))
            self.mark_temporarily(self.blocked_links, (number, other))

    def sigterm(self, number: int) -> None:
        """Stop a process in order; it leaves after 0.5 s."""
        node = self.nodes.get(number)
        if node is not None and node.running:
            self.apply_actions(node, node.state_machine.stop(node.now(self.now_us)))
            self.after(500 * MS, lambda: self.leave(node))

    def leave(self, node: Node[Member]) -> None:
        """Announce that a process leaves, and end it."""
        if self.nodes.get(node.number) is node and node.running:
            self.apply_actions(node, node.state_machine.left(node.now(self.now_us)))
            super().kill(node.number, self.rng.randrange(self.scene.fault_unit_us * 3))

    def fault_injectors(self) -> dict[str, Callable[[int], None]]:
        """Return the faults by name."""
        return super().fault_injectors() | {
            "heard by one less": self.partition_one_way,
            "a pair cut": self.pair,
        }

    # -- state ------------------------------------------------------------------------

    def view_of(self, number: int) -> Membership:
        """Return the membership of a running process."""
        member = self.nodes[number].state_machine.member
        assert member is not None
        return member

    def agreed(self) -> bool:
        """Return whether every view holds exactly the running members as present."""
        running = set(self.nodes)
        for number in running:
            view = self.view_of(number).view
            if {n for n, e in view.entries.items() if e.state in PRESENT_STATES} != running - {number}:
                return False
        return True

    def run(self) -> Found:
        """Run the scene to its end."""
        self.run_scene()
        found = self.found
        found.wrong = self.violations or found.wrong
        found.events, found.faults = self.event_count, dict(self.injected_faults)
        seconds = max(1.0, self.now_us / SECOND)
        found.bytes_per_s = sum(self.bytes_sent) / seconds / self.scene.members
        found.messages_per_s = sum(self.datagrams_sent) / seconds / self.scene.members
        return found
