"""Random search over the control state: rounds of trouble, each followed by a calm in which orders must be
settled.

Two kinds of rounds.  *Wild*: any number of processes, disks and links fail in any way, and up to a minority
of the members loses its disk, each once.  *Careful*: no more machines are lost at a time than are
tolerated, one counting as lost until `CATCH_UP` after its return.  It may end with a closing fault, right
after an acknowledgement: a zone's disks are lost, or as many as are tolerated, while every other machine
loses power.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from vetchusher.control import Timing
from vetchusher.control.state import majority, newest
from vetchusher.emulator.fleet_world import MS, SECOND

from .world import Scene, World

CATCH_UP = 4 * SECOND
CALM = 5 * SECOND  # of a majority, after which an order is acknowledged within as long again
NEVER = 1 << 60


@dataclass(slots=True)
class Search:
    """:param tolerated: machines that may be lost at a time
    :param kinds: of faults; empty: all
    :param every: mean time between two faults of a round
    :param gap: longest pause of an operator between two orders
    """

    scene: Scene = field(default_factory=Scene)
    rounds: int = 3
    tolerated: int = 1
    kinds: tuple[str, ...] = ()
    wild: float = 0.5
    closing: float = 0.7
    every: int = 500 * MS
    gap: int = 300 * MS


ZONES = (("east", "east", "west"), ("east", "east", "east", "west", "west"), ("east", "west", "north"))


def drawn(seed: int) -> Search:
    """A place and its manners: machines, disks, links, clocks, haste."""
    rng = random.Random(seed)
    zones = rng.choice(ZONES)
    joiners = rng.choice((0, 0, 1, 2)) if len(zones) == 3 else 0
    drops = rng.random() < 0.3  # members that are away for a while are left out
    scene = Scene(
        seed=seed,
        timing=Timing(drop_us=3 * SECOND) if drops else Timing(),
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


class Trouble:
    """It owns which machines are lost, and until when."""

    def __init__(self, search: Search) -> None:
        self.search = search
        self.world = World(search.scene)
        self.rng = self.world.rng
        self.lost_until: dict[str, int] = {}
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
        self.settled(list(world.machines))
        return world.judge.wrong or world.history.wrong()

    def passes(self, length: int) -> None:
        self.world.run(self.world.at + length)

    # -- operators -----------------------------------------------------------------------------

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
        leaders = [ip for ip, m in self.world.machines.items() if m.member and m.member.primary == ip]
        return self.rng.choice(leaders or list(self.world.machines))

    # -- faults: each begins at one machine, and says how it ends ------------------------------

    def faults(self) -> dict[str, Callable[[str], Callable[[], None]]]:
        world = self.world

        def killed(ip: str) -> Callable[[], None]:
            world.kill(ip)
            return lambda: world.start(ip)

        def ended(ip: str) -> Callable[[], None]:
            world.end(ip)

            def begin_again() -> None:
                world.kill(ip)
                world.start(ip)

            return begin_again

        def frozen(ip: str) -> Callable[[], None]:
            world.freeze(ip)
            return lambda: world.thaw(ip)

        def cut(hears: bool, is_heard: bool) -> Callable[[str], Callable[[], None]]:
            def begin(ip: str) -> Callable[[], None]:
                world.cut(ip, hears, is_heard)
                return lambda: world.join(ip)

            return begin

        def disk(name: str) -> Callable[[str], Callable[[], None]]:
            def begin(ip: str) -> Callable[[], None]:
                setattr(world.machines[ip], name, True)
                return lambda: setattr(world.machines[ip], name, False)

            return begin

        return {
            "killed": killed,
            "ended": ended,
            "frozen": frozen,
            "cut": cut(False, False),
            "deaf": cut(False, True),
            "mute": cut(True, False),
            "disk hangs": disk("disk_hangs"),
            "disk refuses": disk("disk_refuses"),
        }

    def drawn_fault(self) -> Callable[[str], Callable[[], None]]:
        faults = self.faults()
        return faults[self.rng.choice([k for k in faults if not self.search.kinds or k in self.search.kinds])]

    def begin(self, ip: str, fault: Callable[[str], Callable[[], None]], length: int) -> None:
        self.lost_until[ip] = NEVER
        end = fault(ip)

        def ended() -> None:
            end()
            self.lost_until[ip] = self.world.at + CATCH_UP

        self.world.after(length, ended)

    def lost(self) -> set[str]:
        return {ip for ip, until in self.lost_until.items() if until > self.world.at}

    def heal(self) -> None:
        world = self.world
        world.cuts.clear()
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
            world.after(
                rng.randrange(ends - world.at), partial(self.begin, ip, self.wiped, rng.randrange(SECOND))
            )
        while world.at < ends and not world.judge.wrong:
            self.wild_fault(ends)
            self.passes(int(rng.expovariate(1 / self.search.every)) + 1)
        self.heal()
        self.passes(CATCH_UP)  # those that lost their disks, if others are to fail
        members = self.members()
        minority = len(members) - majority(len(members))
        spoilt = rng.sample(members, minority)
        for ip in spoilt:
            self.begin(ip, self.drawn_fault(), 2 * CALM)
        self.settled([ip for ip in members if ip not in spoilt])
        self.heal()
        self.passes(CATCH_UP)

    def wild_fault(self, ends: int) -> None:
        world, rng = self.world, self.rng
        names = list(world.machines)
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
            world.cuts.add((one, other))
            world.after(rng.randrange(4 * SECOND), lambda: world.cuts.discard((one, other)))
        else:
            ip = self.anybody() if rng.random() < 0.5 else rng.choice(names)
            length = rng.choice((rng.randrange(SECOND), rng.randrange(4 * SECOND)))
            self.begin(ip, self.drawn_fault(), min(length, max(1, ends - world.at)))

    def careful_round(self) -> None:
        world, rng = self.world, self.rng
        ends = world.at + rng.randrange(SECOND, 6 * SECOND)
        while world.at < ends and not world.judge.wrong:
            ip = self.anybody() if rng.random() < 0.5 else rng.choice(list(world.machines))
            if ip not in self.lost() and len(self.lost()) < self.search.tolerated:
                length = rng.choice(
                    (rng.randrange(300 * MS), rng.randrange(SECOND), rng.randrange(3 * SECOND))
                )
                wiped = rng.random() < 0.5
                self.begin(ip, self.wiped if wiped else self.drawn_fault(), length)
            self.passes(int(rng.expovariate(1 / self.search.every)) + 1)
        while self.lost() and not world.judge.wrong:
            self.passes(SECOND)
        if rng.random() < self.search.closing:
            self.at_next = lambda: world.after(rng.randrange(30 * MS), self.closing_fault)
            self.passes(6 * SECOND)
        self.settled(list(world.machines))
        self.passes(CATCH_UP)

    def wiped(self, ip: str) -> Callable[[], None]:
        self.world.wipe(ip)
        return lambda: self.world.start(ip)

    def closing_fault(self) -> None:
        world, rng = self.world, self.rng
        names = list(world.machines)
        zone = rng.choice(sorted({m.zone for m in world.machines.values()}))
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
        records = [m.disk.record for m in self.world.machines.values() if m.disk is not None]
        return list(newest(records).members)

    def settled(self, well: list[str]) -> None:
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
            world.replace(self.rng.choice(well), self.last_version, answered)

        once()
        while not done and world.at < begun + 2 * CALM and not world.judge.wrong:
            self.passes(100 * MS)
        if not done and not world.judge.wrong:
            world.judge.say(f"an order is not settled, though {', '.join(well)} are well")
