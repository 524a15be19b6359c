"""Duties in virtual time: hundreds of members, a network with faults, clocks that run wrong, and a judge.

The state machines run unchanged; each node has a clock of its own.  The judge looks after every event in
which a term was taken, renewed or left: a holder can only come to be by one, and time alone only ends terms.
Between these it looks now and then, to know since when nobody holds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from vetchusher.duties import Duties, Duty, Plan, Timing
from vetchusher.duties.duties import Act, Note, Tell

MS = 1_000
SECOND = 1_000_000
WALL_S = 1_900_000_000
LOOKS = 16  # events between two looks of the judge where no term changed


@dataclass(slots=True)
class Scene:
    """One run."""

    seed: int = 1
    members: int = 5
    voters: int = 3
    duties: int = 1
    lease: int = 2 * SECOND
    drift: float = 0.02
    length: int = 120 * SECOND
    loss: float = 0.07
    doubled: float = 0.02
    late: float = 0.01  # share of messages that take up to a lease
    least_ms: int = 4
    most_ms: int = 23
    wrong_clocks: float = 0.01  # by which part of the true pace clocks are wrong, at most
    faults: bool = True
    every: int = 6 * SECOND  # mean time between two faults
    kinds: tuple[str, ...] = ()  # of faults; empty: all
    checks_tokens: bool = True  # targets refuse lower tokens than they have seen

    def plan(self) -> Plan:
        duties = tuple(Duty(f"duty-{n}") for n in range(self.duties))
        timing = Timing(self.lease, self.drift, 10 * MS)
        everybody = tuple(range(self.members))
        return Plan(self.members, everybody[: self.voters], timing, duties, everybody)


@dataclass(slots=True)
class Node:
    """One process: its clock, and whether it runs."""

    number: int
    life: int
    duties: Duties
    rate: float
    offset: int
    runs: bool = True
    waiting: list[tuple[int, bytes]] = field(default_factory=list)  # that came while it was stopped

    def now(self, at: int) -> int:
        return self.offset + int(at * self.rate)


@dataclass(slots=True)
class Found:
    """What a run showed.  `wrong` must be empty."""

    wrong: list[str] = field(default_factory=list)
    events: int = 0
    messages: int = 0
    per_member: list[float] = field(default_factory=list)  # messages a second sent, by number
    terms: int = 0
    gaps: list[tuple[str, int]] = field(default_factory=list)  # the last fault before it, us without a holder
    held_part: float = 0.0  # of the time, that the first duty was held
    faults: Counter[str] = field(default_factory=Counter)
    acts: int = 0
    stale_acts: int = 0


class World:
    """A heap of what is to happen; it owns all nodes."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.rng = random.Random(scene.seed)
        self.plan = scene.plan()
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.at = 0
        self.nodes: dict[int, Node] = {}
        self.old: list[Node] = []  # older processes of a number, while both run
        self.lives = 0
        self.deaf: set[int] = set()
        self.unheard: set[int] = set()
        self.sides: list[int] = [0] * scene.members
        self.loss = scene.loss
        self.found = Found()
        self.tokens = [0] * scene.duties  # the highest that any term had
        self.seen = [0] * scene.duties  # the highest that the target has seen
        self.free_since: list[int | None] = [0] * scene.duties
        self.last_fault = "start"
        self.changed = False  # a term, in this event
        self.sent = [0] * scene.members

    def after(self, delay: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.at + delay, self.serial, what))

    def start(self, number: int) -> Node:
        self.lives += 1
        wrong = self.scene.wrong_clocks
        rate = 1.0 + self.rng.choice((-wrong, 0.0, wrong))
        offset = self.rng.randrange(10**9)
        duties = Duties(self.plan, number, self.lives, random.Random(self.rng.randrange(1 << 30)))
        node = Node(number, self.lives, duties, rate, offset)
        duties.begin(node.now(self.at))
        if not any(old.number == number for old in self.old):
            duties.vote(node.now(self.at))
        self.nodes[number] = node
        self.tick(node)
        return node

    def lives_on(self, node: Node) -> bool:
        return self.nodes.get(node.number) is node or node in self.old

    def tick(self, node: Node) -> None:
        if not self.lives_on(node):
            return
        if node.runs:
            self.carry(node, node.duties.tick(node.now(self.at), WALL_S + self.at // SECOND))
            self.act(node)
        self.after(self.scene.lease // 48, lambda: self.tick(node))

    def act(self, node: Node) -> None:
        """A holder acts now and then; what it does may be long on its way."""
        for duty in range(self.scene.duties):
            token = node.duties.token(node.now(self.at), duty)
            if token is not None and self.rng.random() < 0.1:
                way = self.rng.randrange(self.scene.lease) if self.rng.random() < 0.1 else 5 * MS
                self.after(way, lambda d=duty, t=token: self.reached(d, t))  # type: ignore[misc]

    def reached(self, duty: int, token: int) -> None:
        """The target: it keeps the highest token and refuses lower ones."""
        if token < self.seen[duty]:
            self.found.stale_acts += 1
            if not self.scene.checks_tokens:
                self.wrong("an act with an old token was accepted")
            return
        self.seen[duty] = token
        self.found.acts += 1

    def carry(self, node: Node, acts: list[Act]) -> None:
        for act in acts:
            if isinstance(act, Tell):
                self.send(node.number, act.to, act.data)
            elif isinstance(act, Note):
                self.noted(act)

    def noted(self, note: Note) -> None:
        self.changed = True
        duty = int(note.duty.removeprefix("duty-"))
        if note.what == "taken":
            self.found.terms += 1
            if note.token <= self.tokens[duty]:
                self.wrong(f"token {note.token:#x} is not above {self.tokens[duty]:#x}")
            self.tokens[duty] = max(note.token, self.tokens[duty])

    def wrong(self, what: str) -> None:
        self.found.wrong.append(f"{self.at / SECOND:.3f} s: {what}")

    def send(self, sender: int, to: int, data: bytes) -> None:
        self.found.messages += 1
        self.sent[sender] += 1
        rng, scene = self.rng, self.scene
        for _ in range(1 + (rng.random() < scene.doubled)):
            if rng.random() < self.loss:
                continue
            way = rng.randrange(scene.least_ms * MS, scene.most_ms * MS)
            if rng.random() < scene.late:
                way = rng.randrange(scene.lease)
            self.after(way, lambda: self.deliver(sender, to, data))

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        if sender in self.unheard or to in self.deaf or self.sides[sender] != self.sides[to]:
            return
        both = [n for n in [self.nodes.get(to), *self.old] if n is not None and n.number == to]
        if not both:
            return
        node = self.rng.choice(both)  # two processes share the address during an upgrade
        if not node.runs:
            node.waiting.append((sender, data))
            return
        self.carry(node, node.duties.heard(node.now(self.at), sender, data))

    def judge(self) -> None:
        for duty in range(self.scene.duties):
            holders = 0
            for node in [*self.nodes.values(), *self.old]:
                holders += node.duties.token(node.now(self.at), duty) is not None
            if holders > 1:
                self.wrong(f"{holders} holders of duty {duty} may act")
            since = self.free_since[duty]
            if holders and since is not None:
                self.found.gaps.append((self.last_fault, self.at - since))
                self.free_since[duty] = None
            elif not holders and since is None:
                self.free_since[duty] = self.at

    # -- faults -----------------------------------------------------------------------

    def holder(self) -> int:
        """The holder of the first duty, or anybody."""
        held = [n for n, node in self.nodes.items() if node.duties.token(node.now(self.at), 0) is not None]
        return held[0] if held and self.rng.random() < 0.7 else self.rng.randrange(self.scene.members)

    def fault(self) -> None:
        rng, scene = self.rng, self.scene
        number = self.holder()
        kinds: dict[str, Callable[[int], None]] = {
            "stopped": self.stop,
            "killed": self.kill,
            "deaf": lambda n: self.mark(self.deaf, n),
            "unheard": lambda n: self.mark(self.unheard, n),
            "cut in two": lambda n: self.cut(2),
            "cut in three": lambda n: self.cut(3),
            "loss 30%": lambda n: self.lossy(0.3),
            "voters restarted": self.restart_voters,
            "sigterm": self.sigterm,
            "upgrade": self.upgrade,
        }
        name = rng.choice(list(scene.kinds or kinds))
        self.found.faults[name] += 1
        self.last_fault = name
        kinds[name](number)
        self.after(int(rng.expovariate(1.0 / scene.every)) + 1, self.fault)

    def stop(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is not None and node.runs:
            node.runs = False
            times = self.rng.choice((0.5, 1.0, 3.0, 10.0))
            self.after(int(times * self.scene.lease), lambda: self.wake(node))

    def wake(self, node: Node) -> None:
        node.runs = True
        waiting, node.waiting = node.waiting, []
        if self.lives_on(node):
            for sender, data in waiting[-200:]:
                self.carry(node, node.duties.heard(node.now(self.at), sender, data))

    def kill(self, number: int, after: int | None = None) -> None:
        if self.nodes.pop(number, None) is not None:
            back = self.rng.randrange(self.scene.lease * 3) if after is None else after
            self.after(back, lambda: self.reborn(number))

    def reborn(self, number: int) -> None:
        if number not in self.nodes:
            self.start(number)

    def restart_voters(self, number: int) -> None:
        """One, two in a row, all but one."""
        voters = list(self.plan.voters)
        self.rng.shuffle(voters)
        for turn, voter in enumerate(voters[: self.rng.choice((1, 2, len(voters) - 1))]):
            self.after(turn * self.rng.randrange(1, self.scene.lease), lambda v=voter: self.kill(v, 50 * MS))  # type: ignore[misc]

    def mark(self, marked: set[int], number: int) -> None:
        marked.add(number)
        self.after(self.rng.randrange(self.scene.lease * 4), lambda: marked.discard(number))

    def cut(self, parts: int) -> None:
        self.sides = [self.rng.randrange(parts) for _ in self.sides]
        self.after(self.rng.randrange(self.scene.lease * 4), self.heal)

    def heal(self) -> None:
        self.sides = [0] * self.scene.members

    def lossy(self, loss: float) -> None:
        self.loss = loss
        self.after(self.rng.randrange(self.scene.lease * 4), lambda: setattr(self, "loss", self.scene.loss))

    def sigterm(self, number: int) -> None:
        node = self.nodes.get(number)
        if node is not None and node.runs:
            self.carry(node, node.duties.stop(node.now(self.at)))
            self.after(500 * MS, lambda: self.kill(number) if self.nodes.get(number) is node else None)

    def upgrade(self, number: int) -> None:
        """A second process of the same number; the first hands on and ends a little later."""
        old = self.nodes.get(number)
        if old is None or not old.runs or any(o.number == number for o in self.old):
            return
        self.old.append(old)
        self.start(number)
        self.after(SECOND, lambda: self.carry(old, old.duties.stop(old.now(self.at))) if old.runs else None)
        self.after(2 * SECOND, lambda: self.ended(old))

    def ended(self, old: Node) -> None:
        """The older process ends, in order or killed; only then the newer one's votes count."""
        self.old.remove(old)
        memory = old.duties.retire(old.now(self.at)) if old.runs else None
        node = self.nodes.get(old.number)
        if node is not None and all(o.number != old.number for o in self.old):
            node.duties.vote(node.now(self.at), memory if self.rng.random() < 0.7 else None)

    def run(self, events: int = 0) -> Found:
        """Until the scene's length, or so many events if that is given."""
        scene, found = self.scene, self.found
        for number in range(scene.members):
            self.start(number)
        if scene.faults:
            self.after(3 * scene.lease, self.fault)
        held = 0
        while self.heap and (found.events < events if events else self.heap[0][0] < scene.length):
            when, _, what = heapq.heappop(self.heap)
            held += (when - self.at) if self.free_since[0] is None else 0
            self.at = when
            what()
            found.events += 1
            if self.changed or found.events % LOOKS == 0:
                self.changed = False
                self.judge()
            if len(found.wrong) > 20:
                break
        found.per_member = [n / max(1, self.at) * SECOND for n in self.sent]
        found.held_part = held / max(1, self.at)
        return found
