"""What firms ask for: plans, steady and spiky firms, and the ingresses through which they come."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher import interface as api

from .deployments import FIRST, Deployment

SECOND = 1_000_000
CALM, FULL, HEAVY, SPIKY = "calm", "full", "heavy", "spiky"
MIX = ((FULL, 0.15), (HEAVY, 0.10), (SPIKY, 0.19), (CALM, 0.56))


@dataclass(slots=True)
class Firm:
    """One member firm: its plan, its habits and the set of ingresses through which it comes."""

    customer: int
    plan_id: int
    plan: api.Plan
    habit: str
    use: float  # asked a second over the plan's rate, outside spikes
    doors: int
    first: int
    weights: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Ask:
    """One command of a firm: when (us), who, and through which ingress of the cluster."""

    at: int
    firm: Firm
    door: int
    units: float = 1.0  # that it names
    true: float = 1.0  # that its answer settles


def draw_firms(
    rng: random.Random, count: int, ingresses: int, most_doors: int = 4, deployment: Deployment = FIRST
) -> list[Firm]:
    firms, plans = [], deployment.plans
    for number in range(count):
        plan_id = rng.choices(range(len(plans)), deployment.weights)[0]
        habit = rng.choices([m[0] for m in MIX], [m[1] for m in MIX])[0]
        use = {FULL: 0.95, HEAVY: rng.uniform(2.6, 4.6)}.get(habit, rng.uniform(0.19, 0.48))
        doors = rng.randint(min(2, ingresses), min(most_doors, ingresses))
        firms.append(
            Firm(1000 + number, plan_id, plans[plan_id], habit, use, doors, rng.randrange(ingresses))
        )
    return firms


def draw_asks(
    rng: random.Random, firms: list[Firm], ingresses: int, length: int, deployment: Deployment = FIRST
) -> list[Ask]:
    """All that these firms ask in `length` us, in order of time; door weights shift now and then."""
    asks: list[Ask] = []
    mean_units = (1.0 + deployment.most_units) / 2.0
    for firm in firms:
        rate = firm.plan.rate / mean_units
        at, spike_ends = 0.0, 0.0
        spike_begins = rng.uniform(2, 22) * SECOND if firm.habit == SPIKY else float(length)
        shift_at, spike_x = 0.0, 1.0
        while True:
            if at >= shift_at:
                skew = rng.uniform(0.21, 1.2)
                firm.weights = [(k + 1.0) ** -skew for k in range(firm.doors)]
                rng.shuffle(firm.weights)
                shift_at = at + rng.uniform(9.7, 24) * SECOND
            if at >= spike_begins:
                spike_x = rng.uniform(2.9, 7.7)
                spike_ends = at + rng.uniform(0.87, 3.6) * SECOND
                spike_begins = at + rng.uniform(12, 22) * SECOND
            now_rate = rate * (spike_x if at < spike_ends else firm.use)
            gap = rng.expovariate(now_rate) * SECOND
            if at + gap > spike_begins:  # the next spike begins before the next command would have come
                at = spike_begins
                continue
            at += gap
            if at >= length:
                break
            door = rng.choices(range(firm.doors), firm.weights)[0]
            place = (firm.first + door) % ingresses
            asks.append(Ask(int(at), firm, place, *deployment.draw_units(rng)))
    asks.sort(key=lambda a: a.at)
    return asks
