"""The whole system in virtual time: the programs as they are in service, their network, disks and clocks
drawn, and a judge of the rules.

Stories: a row a moment, a column an ingress, then the core, the servers and the operator (see
`emulator/system/scenarios.py`)."""

from testtools import TestCase

from vetchusher.emulator.system.mutations import planted
from vetchusher.emulator.system.scenarios import Scene, Story
from vetchusher.emulator.system.search import Search, drawn
from vetchusher.emulator.system.world import World

# What a configuration of which it never heard would allow is not denied by one that is cut off.
CUT = """
    s     | e1 gulf-a                  | e2 gulf-b    | e3 delta-a   | core | servers | operator
    1     | cut                        |              |              |      |         |
    3     | /none/ = 503               | /none/ = 404 |              |      |         | r2
    ack+1 | /new2/ = 503, /once/ = 200 | /new2/ = 200 | /new2/ = 200 |      |         |
    ack+6 | /new2/ = 503               |              |              |      |         |
    10    | joined                     |              |              |      |         |
    13    | /new2/ = 200, /none/ = 404 |              |              |      |         |
"""
# The primary is lost, then all power; what was acknowledged is in force again, the requests served meanwhile.
POWER = """
    s     | e1 gulf-a    | e2 gulf-b | e3 delta-a       | core        | servers | operator
    1     |              |           |                  | primary off |         |
    1     | /once/ = 200 |           | /once/ = 200     |             |         | r2
    ack+1 | /new2/ = 200 |           | /new2/ = 200     | all off     |         |
    ack+2 | /once/ = 200 |           | /new2/ = 200     | all on      |         | r3
    ack+1 | /new3/ = 200 | off       | /new3/ = 200     | all off     |         |
    ack+3 |              | on        | /new9/ = 503     | all on      |         |
    ack+8 | /new3/ = 200 |           | /new9/ = 404     |             |         |
"""
# One core machine is cut off from the others, not from the ingresses, and tells them what is overtaken.
VERSIONS = """
    s     | e1 gulf-a | e2 gulf-b | e3 delta-a | core            | servers | operator
    1     |           |           |            | 3 cut from core |         | r2
    ack+2 |           |           |            |                 |         | r3
    ack+2 |           |           |            | 3 joined        |         |
"""
# One cold server is all that a region has.  Its owner is cut off with its clients, and goes on sending.
COLD = """
    s    | e1 gulf-a | e2 gulf-b | e3 delta-a | core | servers                                    | operator
    0    |           |           |            |      | gone 10.9.0.4, gone 10.9.1.1, gone 10.9.1.4 |
    1    |           |           |            |      | cold 10.9.0.1                              |
    2.5  | cut       |           |            |      |                                            |
    11   | joined    |           |            |      |                                            |
"""
# Servers leave, one address is another service's now, a zone is emptied; then servers run and lose answers.
SERVERS = """
    s  | e1 gulf-a    | e2 gulf-b    | e3 delta-a   | core | servers         | operator
    1  |              |              |              |      | drain 10.9.0.1  | evacuate gulf-a
    1  |              |              |              |      | gone 10.9.1.1   |
    1  |              |              |              |      | reused 10.9.1.2 |
    9  | /home/ = 200 | /once/ = 200 | /safe/ = 200 |      | hot 0.9         |
    12 |              |              |              |      | hot 0, bad 0.6  | return gulf-a
    17 |              |              |              |      | bad 0           |
"""
STORIES = {"cut": CUT, "versions": VERSIONS, "power": POWER, "cold": COLD, "servers": SERVERS}
SCENES = {
    "cold": Scene(seed=2, rate=220.0, stuck=0.6),
    "servers": Scene(seed=3, rate=90.0),
}


def told(name):
    return Story(STORIES[name], SCENES.get(name, Scene(seed=3))).run()


class Stories(TestCase):
    def test_every_rule_holds_and_answers_are_as_drawn(self):
        for name in STORIES:
            self.assertEqual([], told(name), name)


class Power(TestCase):
    def test_a_machine_that_comes_back_is_reached_at_once(self):
        """
        s       0         0.3        by 0.9
        core 2  off       on
        e1      killed,                                 its beats are heard there: the directory names it
                on
        """
        world = World(Scene(seed=3))
        world.warm_up()
        world.end("2", True)
        world.end("e1", False)
        world.start("e1")
        world.run(world.clock.at + 300_000)
        world.start("2")
        world.run(world.clock.at + 600_000)
        self.assertIn("e1", world.machines["2"].part.presence.ingresses)


class Found(TestCase):
    """Each guard, taken out, shows in one of the stories under the name of its rule."""

    def finds(self, story, rules):
        for fault, rule in rules.items():
            with planted(fault):
                found = told(story)
            self.assertTrue(any(f" {rule}: " in line for line in found), (fault, found[:3]))

    def test_of_configurations(self):
        self.finds("cut", {"denied while not fresh": "DENIED", "homes are not heeded": "HOME"})
        self.finds("versions", {"an ingress takes older news": "CONFIG"})
        self.finds("power", {"disks that sync nothing": "LOST"})

    def test_of_cold_servers(self):
        wait, any_one = "a cold server's new owner does not wait", "any ingress may send to a cold server"
        self.finds("cold", {wait: "FAILBACK", any_one: "FAILBACK", "a cold owner has no lease": "FAILBACK"})

    def test_of_servers_that_leave(self):
        self.finds("servers", {"the drained are used": "DRAIN", "evacuations are not heeded": "EVAC"})

    def test_of_requests(self):
        rules = {
            "what may have run is sent again": "TWICE",
            "what may have run is promised not to": "REFUSED",
        }
        self.finds("servers", rules)
        rules = {"answers are not told by their ids": "MIXED", "keys go along to servers": "UNASKED"}
        self.finds("servers", rules)
        self.finds("servers", {"extra tries without a budget": "BUDGET", "quotas are not judged": "QUOTA"})


class Searched(TestCase):
    def test_drawn_troubles_break_no_rule(self):
        for seed in range(1, 5):
            self.assertEqual([], Search(drawn(seed)).run(), seed)

    def test_one_seed_gives_one_run(self):
        runs = []
        for _ in range(2):
            search = Search(drawn(3))
            search.run()
            runs.append((search.world.statuses, search.world.net.bytes, search.world.judge.acks))
        self.assertEqual(runs[0], runs[1])

    def test_a_calm_day_serves_all_that_is_allowed(self):
        world = World(Scene(seed=4))
        world.warm_up()
        world.run(20_000_000)
        world.read_back()
        self.assertEqual([], world.wrong())
        self.assertTrue({200, 404, 429} >= set(world.statuses), world.statuses)
