"""Priorities: who gives way while a service has no room, and that nobody starves."""

from __future__ import annotations

import random
from dataclasses import replace

import testtools

from tests.test_routing import Purse, Scene, configuration, kinds, route, server, tenant
from vetchusher.errors import ErrorCode
from vetchusher.quota.retry_budget import RetryBudget
from vetchusher.routing import AttemptOutcome
from vetchusher.routing.priority import (
    FORGET_US,
    HALF_LIFE_US,
    MAX_LEVELS,
    MAX_PRESSURE,
    PriorityShedder,
    urgency_of,
)

S = 1_000_000
URGENT, PLAIN, LAST = (0, 0), (1, 1), (2, 2)


def shedder(*levels):
    made = PriorityShedder(random.Random(1))
    for level in levels:
        made.admit(0, "svc", level)
    return made


def admitted(made, level, of=1000, now=0):
    return sum(made.admit(now, "svc", level) for _ in range(of)) / of


class Urgency(testtools.TestCase):
    def test_a_tenants_priority_goes_before_the_routes(self):
        plain = replace(route("x"), priority=2)
        self.assertEqual((2, 2), urgency_of(plain, None))
        self.assertEqual((2, 2), urgency_of(plain, tenant("t", "k")))
        self.assertEqual((0, 2), urgency_of(plain, replace(tenant("t", "k"), priority=0)))
        urgent_route = replace(route("y"), priority=0)
        other = replace(tenant("u", "l"), priority=1)
        self.assertTrue(urgency_of(plain, replace(other, priority=0)) < urgency_of(urgent_route, other))


class Shedding(testtools.TestCase):
    def test_nothing_is_shed_while_all_find_room(self):
        made = shedder(URGENT, LAST)
        for _ in range(1000):
            made.on_ended(0, "svc", URGENT, lacked_room=False)
        self.assertEqual(1.0, admitted(made, LAST))

    def test_the_least_urgent_give_way_and_do_not_starve(self):
        made = shedder(URGENT, PLAIN, LAST)
        for _ in range(1000):
            made.on_ended(0, "svc", URGENT, lacked_room=True)
        self.assertEqual(1.0, admitted(made, URGENT))
        for level in (PLAIN, LAST):
            self.assertTrue(abs(admitted(made, level) - (1 - MAX_PRESSURE)) < 0.05)

    def test_what_the_least_urgent_lack_is_nobodys_fault(self):
        made = shedder(URGENT, PLAIN, LAST)
        for _ in range(1000):
            made.on_ended(0, "svc", LAST, lacked_room=True)
        for level in (URGENT, PLAIN, LAST):
            self.assertEqual(1.0, admitted(made, level))

    def test_services_are_apart(self):
        made = shedder(URGENT, LAST)
        made.admit(0, "other", LAST)
        for _ in range(1000):
            made.on_ended(0, "svc", URGENT, lacked_room=True)
        self.assertTrue(all(made.admit(0, "other", LAST) for _ in range(1000)))

    def test_the_balance_leaves_few_urgent_requests_without_room(self):
        """A service for which less is enough if the least urgent give way: the urgent ones get their room."""
        made, rng = shedder(URGENT, LAST), random.Random(2)
        lacking = 0
        for number in range(4000):
            now = number * 5_000
            load = 0.5 + 0.9 * (1.0 - made.services["svc"][LAST].pressure_now(now))
            found_none = rng.random() > 1 / load
            lacking += found_none and number >= 1000
            made.on_ended(now, "svc", URGENT, lacked_room=found_none)
        self.assertTrue(lacking / 3000 < 0.08)

    def test_pressure_goes_by_itself(self):
        made = shedder(URGENT, LAST)
        for _ in range(100):
            made.on_ended(0, "svc", URGENT, lacked_room=True)
        self.assertTrue(made.gives_way(HALF_LIFE_US, "svc", LAST))
        self.assertFalse(made.gives_way(10 * HALF_LIFE_US, "svc", LAST))
        self.assertFalse(made.gives_way(0, "svc", URGENT))

    def test_levels_are_bounded_and_old_ones_go(self):
        made = shedder()
        for number in range(3 * MAX_LEVELS):
            self.assertTrue(made.admit(0, "svc", (number, 0)))
        self.assertEqual(MAX_LEVELS, len(made.services["svc"]))
        made.admit(FORGET_US, "svc", (99, 0))
        self.assertEqual([(99, 0)], list(made.services["svc"]))
        made.keep_services({"other"})
        self.assertEqual({}, made.services)


class Requests(testtools.TestCase):
    """The same by whole requests at an ingress."""

    def scene(self):
        urgent, last = replace(route("urgent"), priority=0), replace(route("last"), priority=2)
        return Scene(server("i-1"), server("i-2"), conf=configuration(urgent, last), purse=Purse())

    def play(self, scene, target, outcome, now=0):
        request = scene.request(f"/{target}/1", now)
        acts = request.start(now)
        if kinds(acts)[0] != ErrorCode.NO_SERVER_AVAILABLE:
            while request.open_attempts:
                number = next(iter(request.open_attempts))
                acts = request.on_attempt_ended(now, number, outcome)
        return kinds(acts)[0]

    def test_full_servers_turn_less_urgent_requests_away_early(self):
        scene = self.scene()
        self.play(scene, "last", AttemptOutcome.ANSWERED)
        for _ in range(40):
            self.play(scene, "urgent", AttemptOutcome.NOT_EXECUTED)
        ended = [self.play(scene, "last", AttemptOutcome.ANSWERED) for _ in range(100)]
        refused = ended.count(ErrorCode.NO_SERVER_AVAILABLE)
        self.assertTrue(30 < refused < 80, refused)
        self.assertEqual("answer", self.play(scene, "urgent", AttemptOutcome.ANSWERED))

    def test_failures_that_are_no_lack_of_room_turn_nobody_away(self):
        scene = self.scene()
        self.play(scene, "last", AttemptOutcome.ANSWERED)
        for _ in range(40):
            self.play(scene, "urgent", AttemptOutcome.SERVER_ERROR)
        ended = [self.play(scene, "last", AttemptOutcome.ANSWERED, 60 * S) for _ in range(50)]
        self.assertEqual(["answer"] * 50, ended)

    def test_a_refusal_says_when_to_return(self):
        scene = self.scene()
        self.play(scene, "last", AttemptOutcome.ANSWERED)
        for _ in range(40):
            self.play(scene, "urgent", AttemptOutcome.NOT_EXECUTED)
        for _ in range(100):
            [act, *_] = scene.request("/last/1").start(0)
            if hasattr(act, "error"):
                self.assertTrue(act.error.retry_after_us > 0)
                self.assertEqual(503, act.error.status)
                return
        self.fail("none was turned away")


class Budget(testtools.TestCase):
    def test_a_part_of_the_retry_budget_is_left_to_the_urgent(self):
        budget = RetryBudget(0.2, 58, 10.0)
        budget.set_ingresses(9)
        for _ in range(200):
            budget.on_request(0, "svc")
        taken = 0
        while budget.take_attempt(0, "svc", leave_reserve=True):
            taken += 1
        left = 0
        while budget.take_attempt(0, "svc"):
            left += 1
        self.assertTrue(taken >= 2)
        self.assertTrue(left >= 2)
