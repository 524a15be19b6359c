"""The directory: whom control nodes and ingresses name to clients, while ingresses restart."""

from testtools import TestCase

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.emulator.system.world import HOST, ZONES, Scene, World
from vetchusher.node.api_calls import GuardedOutcome, ResolveAddresses

GULF = ("e1", "e2", "e3")
FIVE = Scene(seed=7, ingresses=("gulf-a", "gulf-a", "gulf-b", "delta-a", "delta-b"), loss=0.0)


class Answers:
    """What all machines answer to clients of one region, asked again and again."""

    def __init__(self, world: World, region: str) -> None:
        self.world, self.region = world, region
        self.regions = {f"{m.ip}:80": ZONES[m.zone] for m in world.ingresses}
        self.named: list[set[str]] = []  # an answer: the regions that it names

    def ask_all(self) -> None:
        for machine in self.world.machines.values():
            if machine.loop is not None and machine.loop.alive and not machine.loop.frozen:
                machine.loop.call_soon(self.ask, machine.loop, machine.part)

    def ask(self, loop, part) -> None:
        call = ResolveAddresses(HOST, self.region, f"{self.region}-a")

        async def answer() -> None:
            outcome = await part.execute(call)
            told = outcome.checked_at_send() if isinstance(outcome, GuardedOutcome) else outcome
            answered = told.value_or(None)
            if answered is not None:
                self.named.append({self.regions[address] for address in answered.addresses})

        loop.create_task(answer())

    def ask_every(self, span_us: int, until: int) -> None:
        while self.world.clock.at < until:
            self.ask_all()
            self.world.run(self.world.clock.at + span_us)


class RestartsInTurn(TestCase):
    def test_clients_stay_in_a_home_region_while_its_ingresses_overlap_on_their_way_out(self):
        """
        e1  gulf   serves ... leaves ......
        e2  gulf   serves ......... leaves ......
        e3  gulf   serves .............. leaves ......      a route has the home gulf
        e4  delta  serves ..................................
        """
        world = World(FIVE)
        world.warm_up()
        world.run(world.clock.at + 3 * SECOND)
        answers = Answers(world, "gulf")
        answers.ask_every(100 * MS, world.clock.at + SECOND)
        for name in GULF:
            world.leave(name)
            answers.ask_every(100 * MS, world.clock.at + 1_330 * MS)
        self.assertGreater(len(answers.named), 200)
        self.assertEqual(0, sum("delta" in regions for regions in answers.named))
