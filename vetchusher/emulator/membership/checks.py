"""Checks of membership: functions of a seed that return the violation found, or an empty string.

The tests and the mutation table use the same checks, as a check that detects no mutation proves nothing.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from vetchusher.emulator.fleet_world import SECOND, Node
from vetchusher.membership.records import ACCUSATIONS, Record, State
from vetchusher.membership.rules import MembershipTiming
from vetchusher.membership.view import Change, View

from .world import Member, Scene, World

RULES = MembershipTiming(12)


def drawn(rng: random.Random) -> Record:
    """Return a random record."""
    state = rng.choice(list(State)[1:])
    return Record(rng.randrange(1, 4), rng.randrange(5), state, rng.randrange(12) * (state in ACCUSATIONS))


def merge_is_order_independent(seed: int) -> str:
    """Check that views that receive the same records in any order, some twice, hold the same records."""
    rng = random.Random(seed)
    told = [(rng.randrange(1, 4), drawn(rng)) for _ in range(8)]
    found = []
    for _ in range(4):
        rng.shuffle(told)
        view = View(RULES, 0, random.Random(1))
        before: dict[int, Any] = {}
        for number, record in told + told[:3]:
            view.merge(0, number, record, 5)
            key = view.entries[number].record.key
            if key < before.get(number, key):
                return f"{number} went back to {view.entries[number].record}"
            before[number] = key
        found.append([view.entries[n].record.key for n in range(1, 4)])
    return "" if all(f == found[0] for f in found) else f"different orders gave {found}"


def left_state_is_final(seed: int) -> str:
    """Check that late records of an incarnation that left are ignored, and the next one is not."""
    rng, view = random.Random(seed), View(RULES, 0, random.Random(1))
    view.merge(0, 1, Record(5, 100, State.LEFT), 1)
    for _ in range(6):
        late = drawn(rng)
        view.merge(0, 1, Record(5, 90 + rng.randrange(40), late.state, late.accuser), 2)
    if view.state_of(1) is not State.LEFT:
        return f"it left, and is {view.state_of(1).name} again"
    view.merge(0, 1, Record(6, 0, State.ALIVE), 1)
    return "" if view.state_of(1) is State.ALIVE else "its next life is not believed"


def accusers_are_counted_once(seed: int) -> str:
    """Check that a repeated accuser counts once, and that three more give the shortest suspicion time."""
    view = View(RULES, 0, random.Random(seed))
    for n in range(1, 12):
        view.merge(0, n, Record(5, 10, State.ALIVE), n)
    for accusers, time in (((2, 2, 2, 2, 2), RULES.max_suspicion_us), ((3, 4, 5), RULES.min_suspicion_us)):
        for accuser in accusers:
            view.merge(0, 1, Record(5, 10, State.SUSPECTED, accuser), accuser)
        if abs(view.deadline(view.entries[1]) - time) > 1:
            return f"{len(view.entries[1].accusers)} accusers give {view.deadline(view.entries[1])} us"
    return ""


def death_without_accusation_can_be_refuted(seed: int) -> str:
    """Check that a member reported dead without a prior accusation has the time to refute it."""
    view = View(RULES, 0, random.Random(seed))
    view.merge(0, 1, Record(5, 10, State.ALIVE), 1)
    view.merge(SECOND, 1, Record(5, 20, State.DEAD, 2), 3)
    view.expire(SECOND + RULES.min_suspicion_us // 2)
    if view.state_of(1) is not State.SUSPECTED:
        return f"it is {view.state_of(1).name} at once"
    view.merge(SECOND + RULES.min_suspicion_us // 2, 1, Record(5, 25, State.ALIVE), 4)
    view.expire(SECOND + 2 * RULES.min_suspicion_us)
    return "" if view.state_of(1) is State.ALIVE else "a later word does not save it"


def world(**changed: Any) -> World:
    """Return a world with changed fields of its scene."""
    return World(Scene(**changed))


def said(found: World) -> str:
    """Return the first violation of a run, or an empty string."""
    return found.violations[0] if found.violations else ""


def live_members_are_not_declared_dead(seed: int) -> str:
    """Check pauses up to the stated one, 30% loss, delays, and members or pairs that receive nothing."""
    kinds = ("stopped", "loss 30%", "deaf", "heard by one less", "a pair cut", "upgrade")
    scene = world(
        members=9 + seed % 7,
        seed=seed,
        duration_us=80 * SECOND,
        fault_names=kinds,
        mean_fault_interval_us=3 * SECOND,
        pause_units=(0.3, 0.6, 0.95),
    )
    scene.run()
    return said(scene)


def long_loss_is_tolerated(seed: int) -> str:
    """Check a run with 30% loss throughout and frequent suspensions."""
    scene = world(
        members=10,
        seed=seed,
        duration_us=60 * SECOND,
        loss=0.3,
        fault_names=("stopped",),
        mean_fault_interval_us=SECOND,
        pause_units=(0.5, 0.95),
    )
    scene.run()
    return said(scene)


def healed_partition_changes_each_state_once(seed: int) -> str:
    """Check that from 1.5 periods after a partition heals no member's state changes twice in any view.

    Suspicions that are pending when it heals may end before the first message from the other side.
    """
    length = (7, 8, 25)[seed % 3] * SECOND
    begins, crossed = 15 * SECOND, 15 * SECOND + length + 3 * SECOND // 2
    scene = world(
        members=60, seed=seed, duration_us=15 * SECOND + crossed, faults=False, loss=0.0, delayed_ratio=0.0
    )
    kinds = ("alive", "dead", "suspected", "refuted")
    counted: Counter[tuple[int, int]] = Counter()
    scene.all_excused = 1 << 60
    note = scene.on_action

    def noted(node: Node[Member], act: Change) -> None:
        if scene.now_us > crossed and act.kind in kinds:
            counted[node.number, act.member] += 1
        note(node, act)

    scene.on_action = noted  # type: ignore[method-assign]
    sides = [n % 4 for n in range(60)]
    scene.after(begins, lambda: setattr(scene, "partition_of", sides))
    scene.after(begins + length, scene.heal_partition)
    scene.run()
    flapped = [pair for pair, n in counted.items() if n > 1]
    if flapped or not scene.agreed():
        return f"changed more than once {flapped[:3]}, agreed {scene.agreed()}"
    return ""


def pauses_in_a_large_cluster_are_tolerated(seed: int) -> str:
    """Check suspensions in a large cluster, where a resumed member must itself tell many others in time."""
    scene = world(
        members=60,
        seed=seed,
        duration_us=30 * SECOND,
        fault_names=("stopped",),
        mean_fault_interval_us=SECOND // 2,
        pause_units=(0.9, 0.98),
    )
    scene.run()
    return said(scene)


def clock_errors_beyond_the_bound_are_tolerated(seed: int) -> str:
    """Check clock errors beyond the bound: an accusation may state a heartbeat not yet reached."""
    scene = world(
        members=12,
        seed=seed,
        duration_us=60 * SECOND,
        max_clock_drift=0.1,
        loss=0.3,
        fault_names=("stopped",),
        mean_fault_interval_us=SECOND,
        pause_units=(0.5, 0.9),
    )
    scene.run()
    return said(scene)


def deaths_are_detected_in_time(seed: int) -> str:
    """Check that a killed member is dead in all views within the stated time, and no other member is."""
    scene = world(members=8 + seed % 9, seed=seed, duration_us=50 * SECOND, faults=False)
    scene.after(15 * SECOND, lambda: scene.kill(seed % 8, 100 * SECOND))
    found = scene.run()
    took = found.deaths[0].times(scene.scene.members - 1)
    if took is None or took[2] * SECOND > scene.rules.detection_bound_us:
        return f"known after {took} s, stated {scene.rules.detection_bound_us / SECOND} s"
    return said(scene)


CHECKS: dict[str, Callable[[int], str]] = {
    "merging": merge_is_order_independent,
    "left stays left": left_state_is_final,
    "witnesses": accusers_are_counted_once,
    "out of the blue": death_without_accusation_can_be_refuted,
    "deaths are known": deaths_are_detected_in_time,
    "a healed cut": healed_partition_changes_each_state_once,
    "living ones": live_members_are_not_declared_dead,
    "lossy for long": long_loss_is_tolerated,
    "clocks worse than stated": clock_errors_beyond_the_bound_are_tolerated,
    "pauses in a larger cluster": pauses_in_a_large_cluster_are_tolerated,
}
