"""The second deployment's shape: units settled by the answer, a hard ceiling, several halls, one class."""

from dataclasses import replace

import pytest
from helpers import PLAN, SECOND, SETTINGS, CounterService, Gate

from vetchusher import interface as api
from vetchusher.emulator import deployments
from vetchusher.emulator.faults import Fault, FaultKind, Script
from vetchusher.emulator.virtual import Scene, World
from vetchusher.interface import Outcome

POST_PAID = replace(SETTINGS, post_paid=True, most_units=8.0)


def play(seed, script=(), **changed):
    """A run of the second deployment, with each counter call that it made."""
    scene = Scene(seed=seed, length=25 * SECOND, script=Script(script), **changed)
    scene.deployment = deployments.SECOND
    world = World(scene)
    calls = []
    count = world.count
    world.count = lambda ingress, now, action: (calls.append(action), count(ingress, now, action))
    return world, world.run(), calls


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_settled_units_make_no_sound_counter_look_split_or_emptied(seed):
    world, run, calls = play(seed)
    assert not [line for _, _, line in run.log if "split" in line or "lost counts" in line or "fresh" in line]
    assert all(call.amount >= 0.0 for call in calls)  # totals only grow: a lower one has lost counts
    assert run.findings.light_lost < 0.08 and run.findings.worst < 0.25


def test_lost_counts_and_a_split_still_show_where_units_are_settled():
    emptied = play(1, [Fault(FaultKind.EMPTY, 10 * SECOND)])[1]
    assert any("lost counts" in line and 10 * SECOND <= at < 12 * SECOND for at, _, line in emptied.log)
    split = play(1, [Fault(FaultKind.SPLIT, 10 * SECOND, 20 * SECOND, sides=(0, 1, 2))])[1]
    assert any("split" in line and 10 * SECOND <= at < 12 * SECOND for at, _, line in split.log)


@pytest.mark.parametrize("seed", [1, 2])
def test_ceiling_is_kept_over_all_ingresses_by_what_commands_name(seed):
    world, _, _ = play(seed, [Fault(FaultKind.SILENT, 5 * SECOND, 15 * SECOND)])
    for ledger in world.audit.ledgers.values():
        if (plan := ledger.firm.plan).ceiling_rate:
            level, last = plan.ceiling_burst, 0
            for ask in sorted((a for a in world.passed if a.firm is ledger.firm), key=lambda a: a.at):
                level = min(plan.ceiling_burst, level + (ask.at - last) * plan.ceiling_rate / 1e6) - ask.units
                last = ask.at
                assert level >= -plan.ceiling_slack


def settle(gate, send, units):
    gate.do(api.AttemptEnded(send.request, 0, send.worker, Outcome.OK, 1_000, True, settled=units))


def passed(units):
    """A gateway that has sent on one request of so many units and told the counter."""
    gate, service = Gate(POST_PAID), CounterService()
    gate.ask(class_id=0, units=units)
    for _ in range(2):
        service.serve(gate)
        gate.advance(SECOND // 10)
    service.serve(gate)
    assert sum(service.totals.values()) == units
    return gate, service, next(iter(gate.policy.quota.customers.values()))


@pytest.mark.parametrize(("settled", "told"), [(1.0, 4.0), (4.0, 4.0), (7.0, 7.0)])
def test_units_given_back_wait_for_what_passes_next(settled, told):
    gate, service, who = passed(4.0)
    settle(gate, gate.sends[-1], settled)
    gate.advance(SECOND // 10)
    service.serve(gate)
    assert sum(service.totals.values()) == told and who.cur.count() + who.prev.count() == settled
    gate.passes(units=5.0)
    gate.advance(SECOND // 10)
    service.serve(gate)
    assert sum(service.totals.values()) == settled + 5.0


def test_units_given_back_are_kept_over_the_turn_of_a_window():
    gate, _, who = passed(6.0)
    settle(gate, gate.sends[-1], 2.0)
    gate.advance(who.length - gate.now % who.length)
    gate.passes(units=3.0)
    assert (who.prev.diff, who.cur.diff) == (0.0, -1.0) and who.cur.count() + who.prev.count() == 5.0


def test_what_passed_uncounted_beyond_the_quota_is_not_settled():
    free = replace(PLAN, rate=1.0, burst=4.0, over_worth=0.1, over_cost=0.0)
    gate = Gate(replace(POST_PAID, plans=(free,)))
    gate.policy.fleet.shedding.late = 0.0
    gate.settle_reads()
    while not (jobs := [j for j in gate.policy.jobs.values() if not j.counts]):
        assert gate.passes(units=1.0)
    before = [w.cur.count() + w.prev.count() for w in gate.policy.quota.customers.values()]
    settle(gate, next(s for s in gate.sends if s.request == jobs[0].id), 8.0)
    assert before == [w.cur.count() + w.prev.count() for w in gate.policy.quota.customers.values()]
