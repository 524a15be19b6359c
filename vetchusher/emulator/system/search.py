"""Random search over the whole system: trouble of all kinds that may meet, then a calm in which all must
serve again, and what was acknowledged is read back.  The same seed gives the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.node import api_calls

from .scenarios import ACTS, SERVERS
from .world import ZONES, Scene, World

TROUBLE = 10 * SECOND
CALM = 9 * SECOND
SERVED_PART = 0.25  # of the requests of the last seconds
PLACES = (
    (("gulf-a", "gulf-b", "delta-a"), ("gulf-a", "gulf-a", "gulf-b")),
    (("gulf-a", "gulf-b", "delta-a", "delta-b"), ("gulf-a", "delta-a", "delta-b")),
    (("gulf-a", "gulf-a", "delta-a", "delta-a"), ("gulf-a", "gulf-b", "delta-a")),
)


def drawn(seed: int) -> Scene:
    rng = random.Random(seed)
    ingresses, cores = rng.choice(PLACES)
    return Scene(
        seed,
        ingresses,
        cores,
        rate=rng.choice((40.0, 80.0)),
        loss=rng.choice((0.0, 0.01, 0.05)),
        servers_each=rng.choice((3, 6)),
        hot=rng.choice((0.2, 0.6)),
        stuck=rng.choice((0.0, 0.2, 0.5)),
    )


class Search:
    """Owner of one run's world, and of what is wrong with its machines at the moment."""

    def __init__(self, scene: Scene) -> None:
        self.world = World(scene)
        self.rng = random.Random(scene.seed + 1)
        self.hit: set[str] = set()  # machines in trouble
        self.wiped = False
        self.version = 1
        self.trouble_until = 0

    def run(self) -> list[str]:
        world = self.world
        world.warm_up()
        self.trouble_until = world.clock.at + TROUBLE
        world.clock.after(0, self.fault)
        world.clock.after(0, self.operator)
        world.clock.after(0, self.reader)
        world.run(self.trouble_until + CALM)
        before = world.asked
        ok = sum(world.served.values())
        world.run(world.clock.at + 2 * SECOND)
        asked, served = world.asked - before, sum(world.served.values()) - ok
        if served < SERVED_PART * asked:
            world.judge.say("RECOVER", f"{served} of {asked} served in calm times")
        world.read_back()
        return world.wrong()

    def again(self, mean: int, what: Callable[[], None]) -> None:
        if self.world.clock.at < self.trouble_until:
            self.world.clock.after(1 + int(self.rng.expovariate(1.0 / mean)), what)

    # -- the operator ---------------------------------------------------------------------------

    def operator(self) -> None:
        self.version += 1
        self.world.replace(self.version)
        if self.rng.random() < 0.3:
            zone = self.rng.choice(sorted(ZONES))
            if zone not in self.world.judge.evacuated:
                self.world.evacuate(zone, True, lambda: self.later(3 * SECOND, lambda: self.back(zone)))
        self.again(1_500 * MS, self.operator)

    def reader(self) -> None:
        """Read the configuration at any core machine; whatever it is cut off from, an older one is wrong."""
        machine = self.rng.choice(self.world.cores)
        if machine.loop is not None and machine.loop.alive and not machine.loop.frozen:
            self.world.call(machine.name, api_calls.RetrieveConfiguration(), lambda outcome: None)
        self.again(400 * MS, self.reader)

    def back(self, zone: str) -> None:
        self.world.evacuate(zone, False)

    def later(self, mean: int, what: Callable[[], None]) -> None:
        self.world.clock.after(1 + int(self.rng.expovariate(1.0 / mean)), what)

    # -- faults ---------------------------------------------------------------------------------

    def fault(self) -> None:
        kinds = (
            self.core, self.halves, self.ingress, self.ingress, self.server, self.server, self.weather
        )  # fmt: skip
        kind = self.rng.choice(kinds)
        kind()
        self.again(700 * MS, self.fault)

    def core(self) -> None:
        """One at a time, as many as are tolerated."""
        names = [m.name for m in self.world.cores]
        if self.hit.isdisjoint(names):
            name = self.rng.choice([*names, self.world.primary() or names[0]])
            acts = ["off", "killed", "stops", "cut", "unheard", "disk hangs", "all off"]
            act = self.rng.choice(acts if self.wiped else [*acts, "wiped"])
            self.wiped |= act == "wiped"
            if act == "all off":
                for machine in self.world.machines:
                    self.trouble(machine, "off", 1_300 * MS)
            else:
                self.trouble(name, act)

    def halves(self) -> None:
        """The core in two halves, one of them a single machine, whatever else befalls it meanwhile.

        All others reach both.
        """
        if "halves" in self.hit:
            return
        self.hit.add("halves")
        name = self.rng.choice([m.name for m in self.world.cores])
        ACTS["cut from core"](self.world, name)

        def join() -> None:
            self.hit.discard("halves")
            ACTS["joined"](self.world, name)

        self.world.clock.after(SECOND + self.rng.randrange(5 * SECOND), join)

    def ingress(self) -> None:
        name = self.rng.choice([m.name for m in self.world.ingresses])
        if name not in self.hit:
            acts = ("off", "killed", "stops", "cut", "cut from core", "cut from core", "unheard", "sigterm")
            self.trouble(name, self.rng.choice(acts))

    def trouble(self, name: str, act: str, lasts: int = 0) -> None:
        """:param lasts: us; 0: drawn"""
        if name in self.hit:
            return
        self.hit.add(name)
        ACTS[act](self.world, name)
        lasts = lasts or 200 * MS + int(self.rng.expovariate(1.0 / (2 * SECOND)))
        self.world.clock.after(min(lasts, 6 * SECOND), partial(self.mend, name, act))

    def mend(self, name: str, act: str) -> None:
        self.hit.discard(name)
        ends = {"stops": "goes on", "disk hangs": "disk well", "sigterm": ""}
        if act in ("cut", "cut from core", "unheard"):
            ACTS["joined"](self.world, name)
        elif act == "sigterm":
            self.world.end(name, False)
            self.world.start(name)
        else:
            ACTS[ends.get(act, "on")](self.world, name)

    def server(self) -> None:
        servers = self.world.servers
        ip = self.rng.choice(sorted(servers.at_address))
        act = self.rng.choice(("drain", "gone", "cold", "cold", "reused"))
        one = servers.at_address[ip]
        same = [s for s in servers.at_address.values() if s.service == one.service and s.left_at is None]
        if act == "cold" or one.left_at is not None:
            SERVERS["reused" if act == "reused" else "cold"](self.world, ip)
        elif len(same) > 3:
            SERVERS[act](self.world, ip)

    def weather(self) -> None:
        """Servers in moods, a platform that is silent, a tenant that presses."""
        act, worse, well = self.rng.choice(
            (("bad", "0.2", "0"), ("bad", "0.6", "0"), ("platform", "silent", "well"), ("hot", "0.9", "0.2"))
        )
        if act not in self.hit:
            self.hit.add(act)
            SERVERS[act](self.world, worse)
            self.later(2 * SECOND, lambda: self.better(act, well))

    def better(self, act: str, well: str) -> None:
        self.hit.discard(act)
        SERVERS[act](self.world, well)
