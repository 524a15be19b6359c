"""What processes say to one another in calm times and at a change, by the number of ingresses, routes and
tenants: whole systems in virtual time, bytes and writes counted on their links.
"""

from __future__ import annotations

import json
from collections import Counter
from functools import partial
from unittest.mock import patch

import testtools

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.emulator.system import world as system_world
from vetchusher.emulator.system.world import Scene, World

SIZES = (8, 16, 32)
ZONES = ("gulf-a", "gulf-b", "delta-a", "delta-b")
CORES = ("gulf-a", "gulf-a", "gulf-b", "delta-a", "delta-b")
SPAN_S = 6
NO_CLIENTS = 1e-6  # requests a second
# Of an ingress in calm times, five control nodes: about what was measured, and a tenth.
MAX_WRITES_PER_S, MAX_BYTES_PER_S = 32.0, 3_800.0
REAL_CONFIGURATION = system_world.configuration


def configuration_with(routes: int, tenants: int):
    """Configurations with so many further routes, and tenants that send nothing."""

    def made(version: int) -> bytes:
        tree = json.loads(REAL_CONFIGURATION(version))
        pattern, tenant = tree["routes"][0], tree["subscribers"][-1]
        for number in range(routes):
            path = f"/more{number}/"
            tree["routes"].append(pattern | {"name": path.strip("/"), "path_prefix": path})
        for number in range(tenants):
            more = {"name": f"more{number}", "credentials": [f"key-more{number}"]}
            tree["subscribers"].append(tenant | more)
        return json.dumps(tree).encode()

    return made


class Traffic:
    """Bytes and writes of each machine, sent and received, since `begin`."""

    def __init__(self, world: World) -> None:
        self.bytes, self.writes = Counter[str](), Counter[str]()
        carry = world.net.carry

        def counting(wire, data):
            for ip in (wire.loop.ip, wire.peer.loop.ip):
                self.bytes[ip] += len(data)
                self.writes[ip] += 1
            carry(wire, data)

        world.net.carry = counting

    def begin(self) -> None:
        self.bytes.clear()
        self.writes.clear()


class Measured:
    """A system of so many ingresses: figures a second in calm times, and of one change."""

    def __init__(self, ingresses: int, routes: int = 0, tenants: int = 0, changes: int = 1) -> None:
        zones = tuple(ZONES[number % len(ZONES)] for number in range(ingresses))
        scene = Scene(seed=5, ingresses=zones, cores=CORES, rate=NO_CLIENTS, loss=0.0, drift=0.0)
        with patch.object(system_world, "configuration", configuration_with(routes, tenants)):
            self.play(World(scene), changes)

    def play(self, world: World, changes: int) -> None:
        traffic = Traffic(world)
        world.warm_up()
        world.run(10 * SECOND)
        edges = [machine.ip for machine in world.ingresses]
        primary = world.machines[world.primary()].ip
        traffic.begin()
        world.run(world.clock.at + SPAN_S * SECOND)
        self.edge_bytes = sum(traffic.bytes[ip] for ip in edges) / len(edges) / SPAN_S
        self.edge_writes = sum(traffic.writes[ip] for ip in edges) / len(edges) / SPAN_S
        self.primary_bytes = traffic.bytes[primary] / SPAN_S
        self.lags_us, self.change_bytes = [], 0.0
        for number in range(changes):
            traffic.begin()
            began_at, acknowledged = world.clock.at, []
            world.replace(world.version + 1, partial(self.note_time, world, acknowledged))
            waiting = set(range(len(edges)))
            while waiting and world.clock.at < began_at + 3 * SECOND:
                world.run(world.clock.at + MS)
                for place in list(waiting):
                    if world.ingresses[place].part.version == world.version:
                        waiting.discard(place)
                        self.lags_us.append(world.clock.at - (acknowledged or [began_at])[0])
            assert not waiting, f"change {number} is not in force at {len(waiting)} ingresses"
            world.run(began_at + SECOND)
            spent = sum(traffic.bytes[ip] for ip in edges) / len(edges)
            self.change_bytes += (spent - self.edge_bytes) / changes
        assert not world.wrong()

    @staticmethod
    def note_time(world: World, times: list[int]) -> None:
        times.append(world.clock.at)


class Ingresses(testtools.TestCase):
    def test_an_ingress_says_as_much_whatever_their_number_and_the_primary_in_proportion(self) -> None:
        found = [Measured(size) for size in SIZES]
        for name in ("edge_bytes", "edge_writes", "change_bytes"):
            values = [getattr(one, name) for one in found]
            self.assertTrue(max(values) <= 1.1 * min(values), (name, values))
        low, middle, high = (one.primary_bytes for one in found)
        each, later = (middle - low) / 8, (high - middle) / 16
        self.assertTrue(0.85 * each <= later <= 1.15 * each, (low, middle, high))

    def test_a_calm_ingress_keeps_to_its_part(self) -> None:
        found = Measured(16, changes=0)
        self.assertTrue(found.edge_writes <= MAX_WRITES_PER_S, found.edge_writes)
        self.assertTrue(found.edge_bytes <= MAX_BYTES_PER_S, found.edge_bytes)


class Changes(testtools.TestCase):
    def test_a_change_costs_an_ingress_the_same_of_20_routes_and_of_80(self) -> None:
        few, many = (Measured(4, routes=number, changes=2).change_bytes for number in (20, 80))
        self.assertTrue(abs(many - few) <= 0.05 * few, (few, many))

    def test_a_change_is_in_force_everywhere_within_a_way_there_and_back_or_two(self) -> None:
        self.assertTrue(max(Measured(16).lags_us) <= 3 * 58 * MS)


class Tenants(testtools.TestCase):
    def test_tenants_that_send_nothing_cost_no_bytes(self) -> None:
        few, many = (Measured(4, tenants=number, changes=0) for number in (20, 120))
        for name in ("edge_bytes", "primary_bytes"):
            before, after = getattr(few, name), getattr(many, name)
            self.assertTrue(abs(after - before) <= 0.02 * before, (name, before, after))
