"""In virtual time: for any order of faults, losses and restarts the promised bound holds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vetchusher import interface as api
from vetchusher.emulator.faults import INSTANT, Fault, FaultKind, Script
from vetchusher.emulator.network import Cut
from vetchusher.emulator.quota.demand import SECOND
from vetchusher.emulator.quota.deployments import FIRST
from vetchusher.emulator.quota.virtual import START, Outage, Scene, World

LENGTH = 12 * SECOND
COSTLY = [n for n, p in enumerate(FIRST.plans) if p.over_cost > p.over_worth]


@st.composite
def faults(draw):
    found = []
    for _ in range(draw(st.integers(0, 3))):
        kind = draw(st.sampled_from(FaultKind))
        begins = draw(st.integers(1, 9)) * SECOND
        ends = 0 if kind in INSTANT else begins + draw(st.integers(1, 40)) * SECOND // 10
        sides = draw(st.sampled_from([(0, 1, 2), (0, 1, 1), (0, 0, 1)])) if kind is FaultKind.SPLIT else ()
        found.append(Fault(kind, begins, ends, factor=8.0, sides=sides, keeps=draw(st.booleans())))
    return tuple(found)


@st.composite
def outages(draw):
    if not draw(st.booleans()):
        return ()
    dies = draw(st.integers(1, 9)) * SECOND
    return (Outage(draw(st.integers(0, 2)), dies, dies + draw(st.integers(1, 20)) * SECOND // 10),)


def worst_units(world):
    """The most units by which a firm whose excess costs was overspent, with its rate."""
    found = [
        (record.overspend(), record.firm.plan.rate)
        for record in world.audit.records.values()
        if record.firm.plan_id in COSTLY
    ]
    return max(found, default=(0.0, 1.0))


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(1, 10_000), faults(), outages(), st.sampled_from([0.0, 0.07, 0.2]))
def test_whatever_fails_a_firm_is_overspent_by_a_bounded_amount_once(seed, script, dead, loss):
    """A fault may cost what passes unseen until it shows; it may not cost that again every window."""
    scene = Scene(
        seed=seed,
        firms=24,
        length=LENGTH,
        script=Script(script),
        outages=dead,
        loss=loss,
        clock_spread=50_000,
    )
    world = World(scene)
    world.run()
    units, rate = worst_units(world)
    assert units <= (1 + len(script) + len(dead)) * (2.0 + 3.0 * rate)


@settings(max_examples=15, deadline=None, derandomize=True)
@given(st.integers(1, 10_000), st.sampled_from([(0, 1, 2), (0, 1, 1), (1, 0, 0)]))
def test_after_a_heal_no_unit_counts_twice(seed, sides):
    """What an ingress holds of a firm's window is never more than what passed."""
    script = Script([Fault(FaultKind.SPLIT, 3 * SECOND, 6 * SECOND, sides=sides)])
    cuts = (Cut(3 * SECOND, 6 * SECOND, sides),)
    world = World(Scene(seed=seed, firms=24, length=LENGTH, script=script, cuts=cuts))
    sent: dict[tuple[int, int], float] = {}
    carry = world.carry

    def watched(ingress, now, action):
        if isinstance(action, api.Send) and (ask := world.waiting.get(action.request)) is not None:
            sent_at(ask, now)
        carry(ingress, now, action)

    def sent_at(ask, now):
        plan = ask.firm.plan
        length = int(plan.burst / plan.rate * 1e6)
        place = ask.firm.customer << 16 | ask.firm.plan_id, (START + now) // length
        sent[place] = sent.get(place, 0.0) + 1.0

    world.carry = watched
    looked = []

    def look(now):
        for ingress in world.ingresses.values():
            for key, who in ingress.policy.quota.customers.items():
                if key & 0xFFFF not in COSTLY:
                    continue
                for window in (who.cur, who.prev):
                    assert window.count() <= sent.get((key, window.index), 0.0) + 0.01
                    looked.append(window.count())

    for tenth in range(10, 120):
        world.at(tenth * SECOND // 10, look)
    world.run()
    assert max(looked) > 3.0


@pytest.mark.parametrize("ingresses", [24])
def test_many_ingresses_tell_only_those_of_a_firms_set(ingresses):
    fault = Fault(FaultKind.SILENT, 2 * SECOND, 6 * SECOND)
    scene = Scene(seed=2, ingresses=ingresses, firms=60, length=8 * SECOND, script=Script([fault]))
    world = World(scene)
    told = set()
    say = world.say

    def watched(ingress, now, action):
        told.add((ingress.number, action.peer))
        say(ingress, now, action)

    world.say = watched
    outcomes = world.run()
    assert outcomes.findings.worst <= 0.05
    assert all(
        peer is not None and min((peer - n) % ingresses, (n - peer) % ingresses) <= 4 for n, peer in told
    )
