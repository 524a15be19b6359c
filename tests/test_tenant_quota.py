"""Quotas inside the system: the two judges, the bound over all ingresses in touch or not, what is told."""

import random

from testtools import TestCase

from vetchusher.distribution.wire_pb2 import Push
from vetchusher.emulator.quota.judge import SECOND, Demand
from vetchusher.emulator.quota.mutations import PLANTED
from vetchusher.emulator.quota.scenes import drawn, drawn_large
from vetchusher.emulator.quota.ways import EstimateAlone, GuardAlone
from vetchusher.emulator.quota.world import Scene, Trouble, World
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.local_quota import DISCONNECTED_US, LocalQuota
from vetchusher.quota.windows import QuotaBounds, WindowPair, quota_shape
from vetchusher.settings.configuration import Tenant

MS = 1_000


def tenant(rate: float, burst: float = 0.0) -> Tenant:
    return Tenant("t", ("key",), None, rate, burst or rate, frozenset())


def in_touch(rate: float = 100.0, nodes: int = 1) -> tuple[list[LocalQuota], QuotaCoordinator]:
    """Ingresses that the holder knows, and that know it, at 0.4 s."""
    tallies, holder = [LocalQuota(f"e{n}", 1) for n in range(nodes)], QuotaCoordinator(1, 0)
    for side in (*tallies, holder):
        side.configure(0, {"t": tenant(rate)})
    holder.set_ingresses(0, {tally.node: 0 for tally in tallies})
    for tally in tallies:
        tally.set_ingresses(0, nodes, True)
    for at in (1 * MS, 200 * MS):
        for tally in tallies:
            tally.admit(at, "t")
        for tally in tallies:
            tell(tally, holder, at)
    return tallies, holder


def tell(tally: LocalQuota, holder: QuotaCoordinator, at: int, way: int = 0, lost: bool = False) -> None:
    """One push; its answer may be lost."""
    push = tally.next_push(at)
    if push is not None:
        answer = holder.on_push(at + way, push)
        if not lost:
            tally.on_totals(at + 2 * way, answer)


def burst(tally: LocalQuota, at: int, asked: int = 1_000) -> int:
    return sum(tally.admit(at, "t") for _ in range(asked))


class TwoJudges(TestCase):
    def test_who_keeps_to_rate_and_burst_is_never_refused_by_the_estimate(self):
        # All windows, bursts anywhere: what the limit of rate x length + burst is for.
        for seed in range(20):
            rng, rate = random.Random(seed), 20.0
            shape = quota_shape(rate, rate * rng.choice((0.5, 1.0, 3.0)), QuotaBounds())
            pair, count, tokens, at = WindowPair(0, 0), 0, shape.depth, 0
            for _ in range(2_000):
                waits = rng.choice((0, 0, 0, rng.randrange(200 * MS)))
                at, tokens = at + waits, min(shape.depth, tokens + rate * waits / 1e6)
                if tokens >= 1.0:
                    pair.roll(at // shape.length_us, count)
                    used = pair.estimated_use(count, at % shape.length_us, shape.length_us)
                    self.assertTrue(used + 1.0 <= shape.limit + 1e-9, (seed, at, used))
                    tokens, count = tokens - 1.0, count + 1

    def test_the_estimate_refuses_where_the_ceiling_has_room(self):
        # One ingress, in touch.  A lowered limit: the word of the old one still holds.
        #   e0   in touch  | limit 100 -> 5 | 40 come
        (tally,), holder = in_touch()
        first = burst(tally, 300 * MS, 60)
        tell(tally, holder, 310 * MS)
        tally.configure(320 * MS, {"t": tenant(5.0)})
        own = tally.tenants["t"]
        left = own.limit - own.count
        self.assertEqual(60, first)
        self.assertTrue(left >= 1.0, left)
        self.assertEqual(0, burst(tally, 330 * MS, 40))
        self.assertEqual((40, 0), (tally.rejected_by_estimate, tally.rejected_by_limit))

    def test_the_guard_refuses_where_the_estimate_sees_room(self):
        # Nine ingresses between two totals: each sees what had passed by then, none what passes now.
        #   e0 .. e8   1000 come at each, at once
        for make, bounded in ((LocalQuota, True), (EstimateAlone, False)):
            tallies, holder = in_touch(nodes=9)
            for tally in tallies:
                tally.__class__ = make
            passed = sum(burst(tally, 300 * MS) for tally in tallies)
            shape = holder.tenants["t"].shape
            self.assertEqual(bounded, passed <= shape.depth + shape.advance, passed)
            if bounded:
                self.assertEqual((0, 9_000 - passed), (0, sum(t.rejected_by_limit for t in tallies)))

    def test_the_estimate_alone_breaks_the_bound_and_the_guard_keeps_it(self):
        hot, cut = Trouble("hot", 4 * SECOND, 6 * SECOND, 9.0), Trouble("cut", 5 * SECOND, 4 * SECOND, 0.5)
        scene = Scene(seed=1, demands=(Demand(150.0, 150.0),), troubles=(hot, cut), length=12 * SECOND)
        both, estimate, guard = (World(scene, make).run() for make in (LocalQuota, EstimateAlone, GuardAlone))
        self.assertEqual([], both.wrong())
        self.assertEqual([], guard.wrong())
        self.assertNotEqual([], estimate.wrong())

    def test_before_a_first_total_own_requests_alone_are_weighed_and_the_total_is_read_at_once(self):
        tally = LocalQuota("e1", 1)
        tally.configure(0, {"t": tenant(10.0)})
        tally.set_ingresses(0, 9, True)
        self.assertTrue(1 <= burst(tally, 0, 50) <= 3)
        self.assertTrue(tally.push_requested)
        push = tally.next_push(10 * MS)
        self.assertEqual(["t"], [passed.tenant for passed in push.passed])
        self.assertFalse(tally.push_requested)


class Told(TestCase):
    def test_a_push_that_is_repeated_adds_once(self):
        #   e0   20 pass | push, answer lost | push again | one more
        (tally,), holder = in_touch()
        before = holder.tenants["t"].windows.current
        passed = burst(tally, 400 * MS, 20)
        tell(tally, holder, 410 * MS, lost=True)
        for at in (750 * MS, 760 * MS):
            tally.tenants["t"].needs_total = True
            tell(tally, holder, at)
        self.assertEqual(20, passed)
        self.assertEqual(before + 20, holder.tenants["t"].windows.current)

    def test_what_passed_before_the_turn_of_a_window_is_told_as_the_last_window_s(self):
        #   holder's windows  0 ......... 1 s .........
        #   e0                   7 pass    | 4 pass, push
        (tally,), holder = in_touch()
        start = holder.tenants["t"].windows.current
        self.assertEqual(7, burst(tally, 900 * MS, 7))
        self.assertEqual(4, burst(tally, 1_010 * MS, 4))
        tell(tally, holder, 1_020 * MS)
        windows = holder.tenants["t"].windows
        self.assertEqual((4, start + 7), (windows.current, windows.previous))
        pair = tally.tenants["t"].windows
        self.assertEqual((4, start + 7), (pair.current_total, pair.previous_total))

    def test_a_window_that_has_just_ended_is_told_even_if_the_push_comes_late(self):
        (tally,), holder = in_touch()
        start = holder.tenants["t"].windows.current
        burst(tally, 980 * MS, 5)
        tell(tally, holder, 990 * MS, way=55 * MS)
        windows = holder.tenants["t"].windows
        self.assertEqual((0, start + 5), (windows.current, windows.previous))

    def test_a_tenant_idle_for_two_windows_is_dropped_and_told_no_more(self):
        (tally,), holder = in_touch()
        tell(tally, holder, 300 * MS)
        self.assertIn("t", tally.active_tenants)
        tally.next_push(3_300 * MS)
        self.assertNotIn("t", tally.active_tenants)
        self.assertFalse(tally.tenants["t"].windows.has_total)

    def test_a_lowered_word_counts_as_the_higher_one_until_it_is_heard(self):
        (tally,), holder = in_touch()
        grant, pool = holder.peers["e0"][0].grants["t"], holder.tenants["t"]
        high = grant.limit
        pool.available = -pool.shape.advance - 5.0
        tally.tenants["t"].needs_total = True
        tell(tally, holder, 400 * MS, lost=True)
        self.assertEqual(high, grant.limit)
        tally.tenants["t"].needs_total = True
        tell(tally, holder, 500 * MS)
        self.assertTrue(tally.tenants["t"].limit < high)
        self.assertEqual(high, grant.limit)
        tally.tenants["t"].needs_total = True
        tell(tally, holder, 600 * MS)
        self.assertTrue(grant.limit < high, (grant.limit, high))

    def test_all_are_told_unasked_of_a_tenant_of_whom_nothing_passes_without_a_word(self):
        # 86 ingresses could take three each of a store of 30.
        tallies, holder = in_touch(rate=10.0, nodes=86)
        idle = tallies[-1]
        holder.tenants["t"].available = -15.0
        tell(tallies[0], holder, 500 * MS)
        alarm = holder.alarm(510 * MS)
        idle.on_alarm(570 * MS, alarm)
        self.assertIsNone(holder.alarm(511 * MS))
        self.assertEqual(0, burst(idle, 580 * MS, 5))

    def test_a_new_holder_learns_what_the_one_before_had_left(self):
        (tally,), holder = in_touch()
        burst(tally, 290 * MS, 1)
        holder.tenants["t"].available = -55.0
        tell(tally, holder, 300 * MS)
        later = QuotaCoordinator(2, 700 * MS)
        later.configure(700 * MS, {"t": tenant(100.0)})
        later.set_ingresses(700 * MS, {"e0": 0})
        for at in (710 * MS, 800 * MS):
            tally.tenants["t"].needs_total = True
            tell(tally, later, at)
        self.assertTrue(later.is_complete)
        self.assertTrue(later.tenants["t"].available < 5.0, later.tenants["t"].available)


class Standing(TestCase):
    def test_what_the_bound_stands_on_is_told_once_at_each_change(self):
        (tally,), holder = in_touch()
        first = holder.log_fields()
        figures = [first[key] for key in ("whole", "ingresses", "silent", "tenants")]
        self.assertEqual([1, 1, 0, 1], figures)
        self.assertTrue(0.8 < float(first["bound"]) < 1.0, first)
        self.assertIsNone(holder.log_fields())
        holder.set_ingresses(500 * MS, {f"e{n}": 0 for n in range(86)})
        self.assertEqual(86, holder.log_fields()["ingresses"])
        self.assertIsNotNone(tally.log_fields(300 * MS))
        self.assertIsNone(tally.log_fields(310 * MS))
        self.assertFalse(tally.log_fields(5_000 * MS) is None or tally.had_complete_totals)


class CountedSources(dict):
    """Counts how often all names of ingresses are looked at."""

    looks = 0

    def keys(self):
        self.looks += 1
        return super().keys()


class CostOfAPush(TestCase):
    def test_ingresses_are_not_counted_anew_for_each_tenant(self):
        tenants = {f"t{n}": tenant(100.0) for n in range(50)}
        tally, holder = LocalQuota("e0", 1), QuotaCoordinator(1, 0)
        for side in (tally, holder):
            side.configure(0, tenants)
        holder.set_ingresses(0, {"e0": 0})
        tally.set_ingresses(0, 1, True)
        tell(tally, holder, 1 * MS)
        for name in tenants:
            tally.admit(10 * MS, name)
        holder.peers = CountedSources(holder.peers)
        tell(tally, holder, 20 * MS)
        self.assertEqual(50, len(holder.peers["e0"][0].grants))
        self.assertTrue(holder.peers.looks <= 2, holder.peers.looks)

    def test_ingresses_are_those_named_and_those_that_pushed(self):
        (_tally,), holder = in_touch()
        holder.set_ingresses(300 * MS, {"e0": 0, "e1": 0})
        self.assertEqual(2, holder.ingresses)
        holder.on_push(310 * MS, Push(node="e7", life=1, number=1))
        self.assertEqual(3, holder.ingresses)
        holder.set_ingresses(70_000 * MS, {"e1": 0})
        self.assertEqual(1, holder.ingresses)


class Parts(TestCase):
    def test_before_any_total_only_those_whom_the_news_names_pass_and_only_their_part(self):
        #  after a loss of power, no holder
        #  named: passes its part, then as much as its part of the rate
        #  not named: passes nothing
        named, unnamed = LocalQuota("e1", 1), LocalQuota("e9", 1)
        for tally, told in ((named, True), (unnamed, False)):
            tally.configure(0, {"t": tenant(90.0)})
            tally.set_ingresses(0, 9, told)
        first = burst(named, 0, 200)
        self.assertTrue(1 <= first <= 90 / 9 + 3, first)
        later = sum(named.admit(at * MS, "t") for at in range(1_000, 6_000))
        self.assertTrue(later <= 5 * 90 / 9 + 20, later)
        self.assertFalse(any(unnamed.admit(at * MS, "t") for at in range(2_000)))
        self.assertFalse(named.admit(DISCONNECTED_US + 1, "t"))  # the core may count it as gone


class Bound(TestCase):
    def test_a_tenant_that_comes_ninefold_stays_within_the_bound_with_a_third_cut_off(self):
        troubles = (
            Trouble("hot", 4 * SECOND, 8 * SECOND, 9.0, 0),
            Trouble("cut", 6 * SECOND, 5 * SECOND, 0.3),
            Trouble("core", 9 * SECOND),
        )
        for seed in range(3):
            scene = Scene(seed=seed, demands=(Demand(150.0, 150.0), Demand(10.0, 10.0)), troubles=troubles)
            self.assertEqual([], World(scene).run().wrong())

    def test_drawn_scenes_stay_within_the_bound(self):
        for seed in range(6):
            self.assertEqual([], World(drawn(seed)).run().wrong(), seed)
        self.assertEqual([], World(drawn_large(1, 27, 12, 14 * SECOND)).run().wrong())

    def test_a_tenant_of_few_requests_loses_none_where_there_are_many_ingresses(self):
        # 0.17 of those of the second before: an allowance was cut while a passed request was not yet told.
        demands = (Demand(10.0, 10.0), Demand(40.0, 40.0))
        found = World(Scene(seed=5, ingresses=86, demands=demands, length=12 * SECOND)).run()
        self.assertTrue(max(book.shortfall() for book in found.books) < 0.03)

    def test_a_tenant_whose_traffic_goes_to_one_region_has_its_quota_there_within_a_second(self):
        scene = Scene(seed=3, demands=(Demand(150.0, 150.0, 0.9),), troubles=(Trouble("shift", 5 * SECOND),))
        (book,) = World(scene).run().books
        self.assertEqual([], [at for at, _ in book.refused_at if at > 6 * SECOND])

    def test_each_planted_fault_is_found_and_without_it_nothing(self):
        for name, planted in PLANTED.items():
            self.assertEqual([], planted.wrong(World(planted.scene(0)).run()), name)
            with planted.plant():
                self.assertNotEqual([], planted.wrong(World(planted.scene(0)).run()), name)
