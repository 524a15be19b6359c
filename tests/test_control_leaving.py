"""A control machine that is asked to end, with its successor already there: how long it stays."""

from __future__ import annotations

import testtools

from vetchusher.emulator.control.world import Scene, World
from vetchusher.emulator.fleet_world import SECOND

SEEDS = range(1, 6)


class Leaving(testtools.TestCase):
    def stay_s(self, seed: int, of_the_primary: bool) -> float:
        """Return for how many seconds a voter runs on after it was asked to end."""
        world = World(Scene(seed=seed, loss=0.0, late=0.0))
        for ip in world.seeds:
            world.start(ip, first=True)
        world.run(4 * SECOND)
        world.start(world.add("east"))
        world.run(world.at + 4 * SECOND)
        leader = next(ip for ip in world.machines if world.is_leader(ip))
        leaving = leader if of_the_primary else next(ip for ip in world.seeds if ip != leader)
        asked_at, ended_at = world.at, list[int]()
        world.end(leaving, lambda: ended_at.append(world.at))
        world.run(world.at + 8 * SECOND)
        self.assertEqual([], world.judge.wrong)
        members = {ip: m.member.voters for ip, m in world.machines.items() if m.member is not None}
        self.assertEqual([3, 3, 3], [len(voters) for voters in members.values()])
        self.assertNotIn(leaving, {ip for voters in members.values() for ip in voters})
        return (ended_at[0] - asked_at) / SECOND

    def test_a_backup_ends_soon_after_its_seat_is_taken(self) -> None:
        """It would otherwise wait until the lease that nobody renews has run out, and contacts with it."""
        self.assertTrue(max(self.stay_s(seed, of_the_primary=False) for seed in SEEDS) < 1.3)

    def test_a_primary_ends_soon_after_its_successor_has_found_a_voter_for_it(self) -> None:
        self.assertTrue(max(self.stay_s(seed, of_the_primary=True) for seed in SEEDS) < 2.6)
