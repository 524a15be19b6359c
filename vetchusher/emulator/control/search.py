"""Random search over the control state: rounds of trouble, each followed by a calm in which orders must be
settled.

Two kinds of rounds.  *Wild*: any number of processes, disks and links fail in any way, and up to a minority
of the members loses its disk, each once.  *Careful*: no more machines are lost at a time than are
tolerated, one counting as lost until it has had its time to catch up after its return, or its successor has
where it is replaced by another machine at another address (planned, the new one first, or not).  The voters
may be cut into two halves meanwhile, whatever is tolerated; all others reach both.  At each
moment of it every further loss that is tolerated must be bearable (`closure`).  It may end with a closing
fault, right after an acknowledgement: a zone's disks are lost, or as many as are tolerated, while every other
machine loses power.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from vetchusher.control import Timing
from vetchusher.control.state import majority, newest_replica_set
from vetchusher.emulator.fleet_world import MS, SECOND

from .closure import Moment, unbearable
from .machine_faults import FAULTS, Fault, wiped
from .racers import Racer
from .world import Scene, World

CATCH_UP = 4 * SECOND
SLOW_CATCH_UP = 10 * SECOND  # where messages or disks take hundreds of times as long as in service
SLOW_LINK, SLOW_DISK = 30 * MS, 100 * MS
WATCH = 50 * MS  # between two looks at whether every further loss would be borne
CALM = 5 * SECOND  # of a majority, after which an order is acknowledged within as long again
NEVER = 1 << 60
LONGEST_HALVES = 6 * SECOND
RACERS = 8  # orders under way at once


@dataclass(slots=True)
class Search:
    """:param tolerated: machines that may be lost at a time
    :param kinds: of faults; empty: all
    :param halves: part of the careful rounds in which the voters are cut into two halves
    :param replacing: part of the losses of a careful round after which another machine takes the place
    :param every: mean time between two faults of a round
    :param gap: longest pause of an operator between two orders
    :param racers: operators more, who choose one another's numbers
    """

    scene: Scene = field(default_factory=Scene)
    rounds: int = 3
    tolerated: int = 1
    kinds: tuple[str, ...] = ()
    wild: float = 0.5
    closing: float = 0.7
    halves: float = 0.4
    replacing: float = 0.3
    every: int = 500 * MS
    gap: int = 300 * MS
    racers: int = 0

    @property
    def catch_up(self) -> int:
        """How long a machine counts as lost after its return."""
        scene = self.scene
        slow = scene.most_us > SLOW_LINK or scene.disk_us > SLOW_DISK or scene.late > 0.01
        return SLOW_CATCH_UP if slow else CATCH_UP


ZONES = (("east", "east", "west"), ("east", "east", "east", "west", "west"), ("east", "west", "north"))


def drawn(seed: int) -> Search:
    """A place and its manners: machines, disks, links, clocks, haste."""
    rng = random.Random(seed)
    zones = rng.choice(ZONES)
    joiners = rng.choice((0, 0, 1, 2)) if len(zones) == 3 else 0
    drops = rng.random() < 0.3  # members that are away for a while are left out
    scene = Scene(
        seed=seed,
        timing=Timing(removal_timeout_us=3 * SECOND) if drops else Timing(),
        zones=zones + tuple(rng.choices(zones, k=joiners)),
        seeds=len(zones),
        drift=rng.choice((0.0, 0.01, 0.045)),
        loss=rng.choice((0.0, 0.01)),
        late=rng.choice((0.0, 0.005, 0.05)),
        most_us=rng.choice((5 * MS, 30 * MS, 150 * MS)),
        disk_us=rng.choice((5 * MS, 100 * MS, 400 * MS)),
    )
    scene.losses = 1 if len(zones) == 3 or drops else 2
    scene.body_rows = 80 if random.Random(f"body {seed}").random() < 0.3 else 0
    return Search(
        scene,
        tolerated=scene.losses,
        every=rng.choice((200 * MS, 600 * MS)),
        gap=rng.choice((30 * MS, 400 * MS)),
    )


def raced(seed: int) -> Search:
    """The same, longer, with eight operators more, in haste."""
    return replace(drawn(seed), racers=RACERS, rounds=5)


class FaultSearch:
    """It owns which machines are lost, and until when."""

    def __init__(self, search: Search) -> None:
        self.search = search
        self.world = World(search.scene)
        self.rng = self.world.rng
        self.catch_up = search.catch_up
        self.lost_until: dict[str, int] = {}
        self.fresh_until: dict[str, int] = {}  # successors of lost machines, which count for them
        self.careful = False
        self.last_version = 0
        self.acknowledged = 0
        self.at_next: Callable[[], None] | None = None  # what happens upon the next acknowledgement

    # -- a run ---------------------------------------------------------------------------------

    def run(self) -> list[str]:
        """What was seen that may not be."""
        world = self.world
        for ip in world.seeds:
            world.after(self.rng.randrange(300 * MS), partial(world.start, ip, first=True))
        for number, zone in enumerate(("north", "south")):
            self.operate(zone, number)
        for number in range(self.search.racers):
            world.after(SECOND, Racer(world, number, self.next_version, self.anybody).begin)
        self.passes(SECOND)
        for ip in world.machines:
            world.after(self.rng.randrange(4 * SECOND), partial(world.start, ip))
        self.passes(2 * SECOND)
        for _ in range(self.search.rounds):
            if world.judge.wrong:
                break
            if self.rng.random() < self.search.wild:
                self.wild_round()
            else:
                self.careful_round()
        self.committed(self.present())
        return world.judge.wrong or world.history.wrong()

    def passes(self, length: int) -> None:
        self.world.run(self.world.at + length)

    # -- operators -----------------------------------------------------------------------------

    def next_version(self, steps: int) -> int:
        """Above all that were sent by as many steps; 0: the newest that was."""
        self.last_version += steps
        return self.last_version

    def operate(self, zone: str, number: int) -> None:
        """One operator: a new order whenever the last one was acknowledged, sent again until it is."""
        world, rng = self.world, self.rng

        def again() -> None:
            drawn = rng.random()
            if drawn < 0.5:
                self.last_version += rng.randrange(1, 4)
                version = self.last_version
                self.until_done(lambda ip, then: world.replace(ip, version, then), later)
            elif drawn < 0.75:
                on = rng.random() < 0.5
                self.until_done(lambda ip, then: world.evacuate(ip, zone, on, then), later)
            else:
                world.retrieve(self.anybody(), lambda version: later())

        def later() -> None:
            world.after(rng.randrange(1, self.search.gap), again)

        world.after(number * 50 * MS, again)

    def until_done(
        self, attempt: Callable[[str, Callable[[bool], None]], None], then: Callable[[], None]
    ) -> None:
        def answered(ok: bool) -> None:
            if ok:
                self.acknowledged += 1
                hook, self.at_next = self.at_next, None
                if hook is not None:
                    hook()
                then()
            else:
                self.world.after(self.rng.randrange(50 * MS, 400 * MS), once)

        def once() -> None:
            attempt(self.anybody(), answered)

        once()

    def anybody(self) -> str:
        leaders = [ip for ip, m in self.world.machines.items() if m.member and m.member.primary_ip == ip]
        return self.rng.choice(leaders or self.present())

    # -- faults: each begins at one machine, and says how it ends ------------------------------

    def drawn_fault(self) -> Fault:
        kinds = [kind for kind in FAULTS if not self.search.kinds or kind in self.search.kinds]
        return FAULTS[self.rng.choice(kinds)]

    def begin(self, ip: str, fault: Fault, length: int) -> None:
        self.lost_until[ip] = NEVER
        end = fault(self.world, ip)

        def ended() -> None:
            end()
            self.lost_until[ip] = self.world.at + self.catch_up

        self.world.after(length, ended)

    def lost(self) -> set[str]:
        """Machines that count as lost; while the voters are in two halves nobody catches up."""
        now = self.world.at - (LONGEST_HALVES if self.world.halves[0] else 0)
        return {ip for ip, until in self.lost_until.items() if until > now}

    def fresh(self) -> set[str]:
        return {ip for ip, until in self.fresh_until.items() if until > self.world.at}

    def present(self) -> list[str]:
        """Machines that are not gone for good."""
        return [ip for ip, machine in self.world.machines.items() if not machine.removed]

    # -- replacements --------------------------------------------------------------------------

    def replaced(self, ip: str) -> None:
        """Gone for good with its disk; after a while another machine takes its place."""
        self.world.lose_for_good(ip)
        self.lost_until[ip] = NEVER
        self.world.after(self.rng.randrange(3 * SECOND), partial(self.succeeds, ip))

    def replaced_as_planned(self, ip: str) -> None:
        """The successor starts first; then the machine ends in order and stays away."""
        successor = self.succeeded(ip)
        pause = self.rng.choice((SECOND, self.rng.randrange(8 * SECOND)))
        self.world.after(pause, partial(self.retired, ip, successor))

    def retired(self, ip: str, successor: str) -> None:
        """It counts as lost until its successor has caught up: it waits while that is one too many."""
        counts_until = self.fresh_until[successor]  # later where halves kept it from catching up
        counts = counts_until > self.world.at
        if counts and len(self.lost() - {ip}) >= self.search.tolerated:
            self.world.after(WATCH, partial(self.retired, ip, successor))
            return
        self.lost_until[ip] = max(counts_until, self.lost_until.get(ip, 0))
        self.world.retire_for_good(ip)

    def succeeds(self, ip: str) -> None:
        self.succeeded(ip)

    def succeeded(self, ip: str) -> str:
        """:return: the machine that takes the place, started"""
        world = self.world
        successor = world.add(world.machines[ip].zone)
        world.start(successor)
        until = self.fresh_until[successor] = world.at + self.catch_up
        if ip in self.lost():
            self.lost_until[ip] = until
        return successor

    # -- every further loss is borne -----------------------------------------------------------

    def watch(self) -> None:
        """Asks again and again while a careful round lasts."""
        if not self.careful or self.world.judge.wrong:
            return
        fault = unbearable(self.moment())
        if fault:
            self.world.judge.report(f"a loss that is tolerated would not be borne, {fault}")
        self.world.after(WATCH, self.watch)

    def moment(self) -> Moment:
        world, lost = self.world, self.lost()
        in_fault = {ip for ip in lost if self.lost_until[ip] == NEVER}
        disks = {
            ip: machine.disk
            for ip, machine in world.machines.items()
            if ip not in in_fault and machine.member and machine.disk and not machine.member.is_amnesiac
        }
        return Moment(
            disks, frozenset(lost), frozenset(self.fresh()), self.search.tolerated, world.judge.newest
        )

    def heal(self) -> None:
        world = self.world
        world.cut_links.clear()
        world.loss, world.late = world.scene.loss, world.scene.late
        for ip, machine in world.machines.items():
            machine.disk_hangs = machine.disk_refuses = False
            world.thaw(ip)
            world.start(ip)

    # -- rounds --------------------------------------------------------------------------------

    def wild_round(self) -> None:
        world, rng = self.world, self.rng
        ends = world.at + rng.randrange(SECOND, 8 * SECOND)
        members = self.members()
        minority = len(members) - majority(len(members))
        for ip in rng.sample(members, min(minority, self.search.tolerated)) if rng.random() < 0.5 else ():
            world.after(rng.randrange(ends - world.at), partial(self.begin, ip, wiped, rng.randrange(SECOND)))
        while world.at < ends and not world.judge.wrong:
            self.wild_fault(ends)
            self.passes(int(rng.expovariate(1 / self.search.every)) + 1)
        self.heal()
        self.passes(self.catch_up)  # those that lost their disks, if others are to fail
        members = self.members()
        minority = len(members) - majority(len(members))
        spoilt = rng.sample(members, minority)
        for ip in spoilt:
            self.begin(ip, self.drawn_fault(), 2 * CALM)
        self.committed([ip for ip in members if ip not in spoilt])
        self.heal()
        self.passes(self.catch_up)

    def wild_fault(self, ends: int) -> None:
        world, rng = self.world, self.rng
        names = self.present()
        drawn = rng.random()
        if drawn < 0.1 and not self.search.kinds:
            for ip in names:
                world.kill(ip)
                world.after(rng.randrange(SECOND), partial(world.start, ip))
        elif drawn < 0.2:
            world.loss = rng.choice((0.0, 0.1, 0.3))
            world.late = rng.choice((0.0, 0.05))
        elif drawn < 0.4:
            one, other = rng.sample(names, 2)
            world.cut_links.add((one, other))
            world.after(rng.randrange(4 * SECOND), lambda: world.cut_links.discard((one, other)))
        else:
            ip = self.anybody() if rng.random() < 0.5 else rng.choice(names)
            length = rng.choice((rng.randrange(SECOND), rng.randrange(4 * SECOND)))
            self.begin(ip, self.drawn_fault(), min(length, max(1, ends - world.at)))

    def careful_round(self) -> None:
        world, rng = self.world, self.rng
        ends = world.at + rng.randrange(SECOND, 6 * SECOND)
        self.careful = True
        self.watch()
        if rng.random() < self.search.halves:
            world.after(rng.randrange(ends - world.at), self.cut_in_halves)
        while world.at < ends and not world.judge.wrong:
            self.careful_loss()
            self.passes(self.until_the_next())
        while self.lost() | self.fresh() and not world.judge.wrong:
            self.passes(SECOND)
        if rng.random() < self.search.closing:
            self.at_next = lambda: world.after(rng.randrange(30 * MS), self.closing_fault)
            self.passes(6 * SECOND)
        self.careful = False
        self.committed(self.present())
        self.passes(self.catch_up)

    def cut_in_halves(self) -> None:
        """Cut the voters into two halves for some seconds; nothing is lost by it."""
        voters = self.members()
        self.rng.shuffle(voters)
        middle = len(voters) // 2
        self.world.halves = frozenset(voters[:middle]), frozenset(voters[middle:])
        self.world.after(self.rng.randrange(300 * MS, LONGEST_HALVES), self.join_halves)

    def join_halves(self) -> None:
        """Join the halves: a machine that was lost meanwhile has its time to catch up from now on."""
        self.world.halves = frozenset(), frozenset()
        for until in (self.lost_until, self.fresh_until):
            for ip in [ip for ip, end in until.items() if self.world.at - LONGEST_HALVES < end < NEVER]:
                until[ip] = self.world.at + self.catch_up

    def until_the_next(self) -> int:
        """The pause before the next loss of a careful round: drawn, or until the very moment when one more is
        tolerated again."""
        ends = [until for until in self.lost_until.values() if self.world.at < until < NEVER]
        if ends and self.rng.random() < 0.4:
            return min(ends) - self.world.at
        return int(self.rng.expovariate(1 / self.search.every)) + 1

    def careful_loss(self) -> None:
        """One more machine is lost, if that is tolerated."""
        rng = self.rng
        ip = self.anybody() if rng.random() < 0.5 else rng.choice(self.present())
        if ip in self.lost() | self.fresh() or len(self.lost()) >= self.search.tolerated:
            return
        if rng.random() < self.search.replacing and not self.search.kinds:
            rng.choice((self.replaced, self.replaced_as_planned))(ip)
            return
        length = rng.choice((rng.randrange(300 * MS), rng.randrange(SECOND), rng.randrange(3 * SECOND)))
        self.begin(ip, wiped if rng.random() < 0.5 else self.drawn_fault(), length)

    def closing_fault(self) -> None:
        world, rng = self.world, self.rng
        self.careful = False
        names = self.present()
        zone = rng.choice(sorted({world.machines[ip].zone for ip in names}))
        wiped = rng.sample(names, self.search.tolerated)
        if rng.random() < 0.5:
            wiped = [ip for ip in names if world.machines[ip].zone == zone]
        rest = rng.random() < 0.8
        for ip in names:
            if ip in wiped:
                world.wipe(ip)
            elif rest:
                world.kill(ip)
            world.after(rng.choice((0, SECOND, 3 * SECOND)) + rng.randrange(SECOND), partial(world.start, ip))

    def members(self) -> list[str]:
        """As the newest record on any disk names them."""
        records = [m.disk.replica_set for m in self.world.machines.values() if m.disk is not None]
        return list(newest_replica_set(records).members)

    def committed(self, well: list[str]) -> None:
        """These machines are a majority, up and joined: an order given to them is settled in time."""
        world, begun = self.world, self.world.at
        done: list[bool] = []

        def answered(ok: bool) -> None:
            if ok:
                done.append(True)
            elif not world.judge.wrong:
                world.after(200 * MS, once)

        def once() -> None:
            self.last_version += 1
            refused = partial(done.append, True)  # a racer had the number first: that is an answer
            world.replace(self.rng.choice(well), self.last_version, answered, refused=refused)

        once()
        while not done and world.at < begun + 2 * CALM and not world.judge.wrong:
            self.passes(100 * MS)
        if not done and not world.judge.wrong:
            world.judge.report(f"an order is not settled, though {', '.join(well)} are well")
