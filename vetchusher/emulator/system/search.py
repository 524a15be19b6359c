"""Random search over the whole system, with overlapping faults of all kinds.

A phase without faults follows, in which all machines must serve again, and the acknowledged
configuration is read back. The same seed gives the same run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.node import api_calls

from .scenarios import MACHINE_ACTIONS, SERVER_ACTIONS
from .world import ZONES, Scene, World

FAULT_PHASE_US = 10 * SECOND
CALM_PHASE_US = 9 * SECOND
MIN_SERVED_RATIO = 0.25  # of the requests at the end of the phase without faults
PLACEMENTS = (
    (("gulf-a", "gulf-b", "delta-a"), ("gulf-a", "gulf-a", "gulf-b")),
    (("gulf-a", "gulf-b", "delta-a", "delta-b"), ("gulf-a", "delta-a", "delta-b")),
    (("gulf-a", "gulf-a", "delta-a", "delta-a"), ("gulf-a", "gulf-b", "delta-a")),
)


def draw_scene(seed: int) -> Scene:
    """Draw the parameters of a run from a seed."""
    rng = random.Random(seed)
    ingresses, cores = rng.choice(PLACEMENTS)
    return Scene(
        seed,
        ingresses,
        cores,
        requests_per_s=rng.choice((40.0, 80.0)),
        loss=rng.choice((0.0, 0.01, 0.05)),
        servers_per_zone=rng.choice((3, 6)),
        quota_tenant_ratio=rng.choice((0.2, 0.6)),
        sticky_client_ratio=rng.choice((0.0, 0.2, 0.5)),
    )


class Search:
    """One random run: owns the simulated cluster, and knows the ongoing faults.

    :param scene: parameters of the run
    """

    def __init__(self, scene: Scene) -> None:
        """Create the simulated cluster; nothing runs yet."""
        self.world = World(scene)
        self.rng = random.Random(scene.seed + 1)
        self.faulted: set[str] = set()  # names of ongoing faults: of machines, or of the environment
        self.wiped = False
        self.version = 1
        self.faults_end_at = 0

    def run(self) -> list[str]:
        """Run the search, and return all violations."""
        world = self.world
        world.warm_up()
        self.faults_end_at = world.clock.now_us + FAULT_PHASE_US
        world.clock.after(0, self.inject_fault)
        world.clock.after(0, self.send_orders)
        world.clock.after(0, self.read_configuration)
        world.run(self.faults_end_at + CALM_PHASE_US)
        requests_before = world.request_count
        successes_before = sum(world.successes_by_second.values())
        world.run(world.clock.now_us + 2 * SECOND)
        requests, successes = (
            world.request_count - requests_before,
            sum(world.successes_by_second.values()) - successes_before,
        )
        if successes < MIN_SERVED_RATIO * requests:
            world.judge.report("RECOVER", f"{successes} of {requests} served in calm times")
        world.read_back()
        return world.violations()

    def repeat(self, mean_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after an exponentially distributed time (us), until faults end."""
        if self.world.clock.now_us < self.faults_end_at:
            self.world.clock.after(1 + int(self.rng.expovariate(1.0 / mean_us)), callback)

    # -- the operator ---------------------------------------------------------------------------

    def send_orders(self) -> None:
        """Send a new configuration, and sometimes an evacuation; repeat."""
        self.version += 1
        self.world.replace_configuration(self.version)
        if self.rng.random() < 0.3:
            zone = self.rng.choice(sorted(ZONES))
            if zone not in self.world.judge.evacuated_at:
                self.world.evacuate(
                    zone, True, lambda: self.schedule(3 * SECOND, lambda: self.end_evacuation(zone))
                )
        self.repeat(1_500 * MS, self.send_orders)

    def read_configuration(self) -> None:
        """Read the configuration at any core machine; repeat. An older version is always wrong."""
        machine = self.rng.choice(self.world.cores)
        if machine.loop is not None and machine.loop.alive and not machine.loop.paused:
            self.world.call_core_machine(
                machine.name, api_calls.RetrieveConfiguration(), lambda outcome: None
            )
        self.repeat(400 * MS, self.read_configuration)

    def end_evacuation(self, zone: str) -> None:
        """Send the order that ends the evacuation of a zone."""
        self.world.evacuate(zone, False)

    def schedule(self, mean_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback after an exponentially distributed time (mean in us)."""
        self.world.clock.after(1 + int(self.rng.expovariate(1.0 / mean_us)), callback)

    # -- faults ---------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Inject a fault of a drawn kind, and repeat."""
        injectors = (
            self.inject_core_fault, self.partition_core, self.inject_ingress_fault, self.inject_ingress_fault,
            self.change_server, self.change_server, self.inject_environment_fault,
        )  # fmt: skip
        injector = self.rng.choice(injectors)
        injector()
        self.repeat(700 * MS, self.inject_fault)

    def inject_core_fault(self) -> None:
        """Begin a fault of one core machine, or power all machines off for a moment.

        Only one core machine is faulty at a time, as many as the system tolerates.
        """
        names = [m.name for m in self.world.cores]
        if self.faulted.isdisjoint(names):
            name = self.rng.choice([*names, self.world.primary() or names[0]])
            actions = ["off", "killed", "stops", "cut", "unheard", "disk hangs", "all off"]
            action = self.rng.choice(actions if self.wiped else [*actions, "wiped"])
            self.wiped |= action == "wiped"
            if action == "all off":
                for machine in self.world.machines:
                    self.begin_fault(machine, "off", 1_300 * MS)
            else:
                self.begin_fault(name, action)

    def partition_core(self) -> None:
        """Cut one core machine off from the others, whatever other faults there are.

        All other machines reach both sides.
        """
        if "halves" in self.faulted:
            return
        self.faulted.add("halves")
        name = self.rng.choice([m.name for m in self.world.cores])
        MACHINE_ACTIONS["cut from core"](self.world, name)

        def end_partition() -> None:
            self.faulted.discard("halves")
            MACHINE_ACTIONS["joined"](self.world, name)

        self.world.clock.after(SECOND + self.rng.randrange(5 * SECOND), end_partition)

    def inject_ingress_fault(self) -> None:
        """Begin a fault of a drawn ingress, unless it is faulty."""
        name = self.rng.choice([m.name for m in self.world.ingresses])
        if name not in self.faulted:
            actions = (
                "off",
                "killed",
                "stops",
                "cut",
                "cut from core",
                "cut from core",
                "unheard",
                "sigterm",
            )
            self.begin_fault(name, self.rng.choice(actions))

    def begin_fault(self, name: str, action: str, duration_us: int = 0) -> None:
        """Begin a fault of a machine, and schedule its end.

        :param action: the action (`MACHINE_ACTIONS`)
        :param duration_us: duration (us); 0: drawn
        """
        if name in self.faulted:
            return
        self.faulted.add(name)
        MACHINE_ACTIONS[action](self.world, name)
        duration_us = duration_us or 200 * MS + int(self.rng.expovariate(1.0 / (2 * SECOND)))
        self.world.clock.after(min(duration_us, 6 * SECOND), partial(self.repair, name, action))

    def repair(self, name: str, action: str) -> None:
        """End a fault of a machine."""
        self.faulted.discard(name)
        end_actions = {"stops": "goes on", "disk hangs": "disk well", "sigterm": ""}
        if action in ("cut", "cut from core", "unheard"):
            MACHINE_ACTIONS["joined"](self.world, name)
        elif action == "sigterm":
            self.world.end_process(name, False)
            self.world.start(name)
        else:
            MACHINE_ACTIONS[end_actions.get(action, "on")](self.world, name)

    def change_server(self) -> None:
        """Drain, remove or replace a drawn server; a service keeps at least three listed servers."""
        servers = self.world.servers
        ip = self.rng.choice(sorted(servers.by_ip))
        action = self.rng.choice(("drain", "gone", "cold", "cold", "reused"))
        server = servers.by_ip[ip]
        listed_servers = [
            s for s in servers.by_ip.values() if s.service == server.service and s.withdrawn_at is None
        ]
        if action == "cold" or server.withdrawn_at is not None:
            SERVER_ACTIONS["reused" if action == "reused" else "cold"](self.world, ip)
        elif len(listed_servers) > 3:
            SERVER_ACTIONS[action](self.world, ip)

    def inject_environment_fault(self) -> None:
        """Begin faulty responses of servers, an unresponsive platform, or a tenant's overload."""
        action, faulty, normal = self.rng.choice(
            (("bad", "0.2", "0"), ("bad", "0.6", "0"), ("platform", "silent", "well"), ("hot", "0.9", "0.2"))
        )
        if action not in self.faulted:
            self.faulted.add(action)
            SERVER_ACTIONS[action](self.world, faulty)
            self.schedule(2 * SECOND, lambda: self.end_environment_fault(action, normal))

    def end_environment_fault(self, action: str, normal: str) -> None:
        """End a fault that `inject_environment_fault` began."""
        self.faulted.discard(action)
        SERVER_ACTIONS[action](self.world, normal)
