"""What firms ask for: plans, steady and spiky firms, and the ingresses through which they come."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher import interface as api

SECOND = 1_000_000
CALM, FULL, HEAVY, SPIKY = "calm", "full", "heavy", "spiky"
MIX = ((FULL, 0.15), (HEAVY, 0.10), (SPIKY, 0.19), (CALM, 0.56))
PLANS = (
    api.Plan(0.87, 4.0, 0, 0.8, 0.1, 0.0, 0.0, 0.0, 0.0, "liten"),
    api.Plan(1.4, 7.0, 0, 1.2, 0.0, 0.8, 0.0, 0.0, 0.0, "mellan"),
    api.Plan(6.0, 13.0, 0, 1.8, 0.0, 1.2, 0.0, 0.0, 0.0, "stor"),
)
PLAN_WEIGHTS = (16, 24, 8)


@dataclass(slots=True)
class Firm:
    """One member firm: its plan, its habits and the set of ingresses through which it comes."""

    customer: int
    plan_id: int
    habit: str
    use: float  # asked a second over the plan's rate, outside spikes
    doors: int
    first: int
    weights: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Ask:
    """One command of a firm: when (us), who, and through which ingress of the tier."""

    at: int
    firm: Firm
    door: int


def draw_firms(rng: random.Random, count: int, ingresses: int, most_doors: int = 4) -> list[Firm]:
    firms = []
    for number in range(count):
        plan_id = rng.choices(range(len(PLANS)), PLAN_WEIGHTS)[0]
        habit = rng.choices([m[0] for m in MIX], [m[1] for m in MIX])[0]
        use = {FULL: 0.95, HEAVY: rng.uniform(2.6, 4.6)}.get(habit, rng.uniform(0.19, 0.48))
        doors = rng.randint(min(2, ingresses), min(most_doors, ingresses))
        firms.append(Firm(1000 + number, plan_id, habit, use, doors, rng.randrange(ingresses)))
    return firms


def draw_asks(rng: random.Random, firms: list[Firm], ingresses: int, length: int) -> list[Ask]:
    """All that these firms ask in `length` us, in order of time; door weights shift now and then."""
    asks: list[Ask] = []
    for firm in firms:
        rate = PLANS[firm.plan_id].rate
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
            asks.append(Ask(int(at), firm, (firm.first + door) % ingresses))
    asks.sort(key=lambda a: a.at)
    return asks
