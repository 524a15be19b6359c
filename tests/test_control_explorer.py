"""The control state explored: small cases nearly in order, guards taken out, and histories put in order."""

from __future__ import annotations

import itertools
import random

import testtools

from vetchusher.emulator.control.call_history import Read, Wrote, versions_wrong
from vetchusher.emulator.control.cases import CASES, calm, committed, step
from vetchusher.emulator.control.encoding_cases import clone, digest
from vetchusher.emulator.control.mutations import planted
from vetchusher.emulator.explorer import TIME, explore, wander

STATES = 150  # of each case; benchmarks/control.py follows them further


def orders(writes: list[Wrote], reads: list[Read]) -> bool:
    """Whether any order of the calls fits, by trying all; only for calls that all ended."""
    calls = [*writes, *reads]
    for order in itertools.permutations(calls):
        held, fits = 0, True
        for place, call in enumerate(order):
            fits = fits and not any(after.ended < call.began for after in order[place + 1 :])
            if isinstance(call, Wrote):
                held = max(held, call.version)
            fits = fits and (isinstance(call, Wrote) or call.version == held)
        if fits:
            return True
    return False


class Explored(testtools.TestCase):
    def test_no_interleaving_of_small_cases_breaks_the_promise(self) -> None:
        wrong = {}
        for name, case in CASES.items():
            found = explore(case.start(steps=8, delays=0), STATES)
            wrong[name] = found.wrong or wander(lambda case=case: case.start(20, None, 2), 1, 60, 1).wrong
        self.assertEqual({}, {name: found for name, found in wrong.items() if found})

    def test_the_same_states_are_met_each_time(self) -> None:
        runs = [explore(CASES["writing"].start(), STATES, 3) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])
        self.assertEqual("", runs[0].wrong)

    def test_guards_taken_out_are_found(self) -> None:
        for guard, name in (("told before it is synced", "first start"),):
            with planted(guard):
                start = CASES[name].start(20, None, 2)
                self.assertTrue(wander(lambda start=start: start, 60, 120, 1).wrong, guard)

    def test_a_copied_member_is_another(self) -> None:
        state = committed()
        member = state.cells[0].member
        assert member is not None
        before, copied = digest(member), clone(member)
        self.assertEqual(before, digest(copied))
        after = calm(step(state, TIME))
        self.assertEqual(before, digest(member))
        self.assertNotEqual(before, digest(after.cells[0].member))
        self.assertIs(copied.durable, copied.primary_role.durable)


class Histories(testtools.TestCase):
    def test_what_is_wrong_and_what_is_not(self) -> None:
        one, two = Wrote(1, 0.0, 1.0), Wrote(2, 2.0, 3.0)
        for wrong, writes, reads in (
            (False, [one, two], [Read(1, 2.1, 2.9), Read(2, 2.1, 4.0)]),
            (False, [one, Wrote(2, 2.0)], [Read(1, 5.0, 6.0), Read(2, 7.0, 8.0)]),  # without a clear answer
            (True, [one, two], [Read(1, 3.1, 4.0)]),  # older than what was acknowledged
            (True, [one, Wrote(2, 2.0)], [Read(2, 3.0, 4.0), Read(1, 5.0, 6.0)]),  # than what was read
            (True, [one, two], [Read(2, 1.1, 1.9)]),  # before anybody sent it
            (True, [one], [Read(0, 1.1, 2.0)]),
            (True, [Wrote(2, 0.0, 1.0), Wrote(1, 2.0, 3.0)], [Read(1, 0.0, 4.0)]),  # it never was the highest
        ):
            self.assertEqual(wrong, bool(versions_wrong(writes, reads)), (writes, reads))

    def test_as_all_orders_say(self) -> None:
        rng, seen = random.Random(1), set()
        for _ in range(400):
            times = [sorted(rng.sample(range(40), 2)) for _ in range(5)]
            writes = [Wrote(v, *map(float, t)) for v, t in zip(rng.sample((1, 2, 3), 3), times, strict=False)]
            reads = [Read(rng.randrange(4), *map(float, t)) for t in times[3:]]
            fits = orders(writes, reads)
            self.assertEqual(fits, not versions_wrong(writes, reads), (writes, reads))
            seen.add(fits)
        self.assertEqual({True, False}, seen)
