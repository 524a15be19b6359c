"""Draw scenes from a seed: sizes, latencies between regions, traffic weights, and faults that may overlap."""

from __future__ import annotations

import random

from .judge import MS, SECOND, Demand
from .world import Scene, Trouble

FAULT_KINDS = ("hot", "cut", "core", "split", "restart", "limit", "loss")
ALL_FAULT_KINDS = (*FAULT_KINDS, "mute", "deaf", "stall", "move", "shift")
LIGHT = 25.0  # a tenant with a higher rate counts as heavy
RATES_PER_S = (5, 10, 16, 25, 40, 70, 110, 150, 300)
BURST_LENGTHS_S = (1.0, 1.0, 0.5, 2.0)


def draw_factor(rng: random.Random, kind: str) -> float:
    """Draw the `factor` of a fault of a kind."""
    match kind:
        case "hot":
            return 9.3
        case "limit":
            return rng.choice((0.4, 1.5))
        case "loss":
            return rng.choice((0.05, 0.3))
        case "restart" | "stall":
            return rng.choice((0.1, 0.5, 1.0))
    return rng.choice((0.1, 0.3, 0.5, 1.0))


def draw_faults(
    rng: random.Random, kinds: tuple[str, ...], max_count: int, before_us: int, tenants: int
) -> list[Trouble]:
    """Draw at_us least one and fewer than `max_count` faults that begin before `before_us`."""
    faults = []
    for _ in range(rng.randrange(1, max_count)):
        kind = rng.choice(kinds)
        factor = draw_factor(rng, kind)
        at_us = rng.randrange(3 * SECOND, before_us)
        faults.append(Trouble(kind, at_us, rng.randrange(1, 9) * SECOND, factor, rng.randrange(tenants)))
    return faults


def drawn(seed: int) -> Scene:
    """Return a scene with three tenants, the first of them hot, and one to four further faults."""
    rng = random.Random(seed)
    demands = tuple(
        Demand(
            rate,
            rate * rng.choice(BURST_LENGTHS_S),
            rng.choice((0.62, 0.9)),
            rng.choice((0, 1, 2)),
            rng.random() < 0.3,
        )
        for rate in rng.sample(RATES_PER_S, 3)
    )
    hot = Trouble(
        "hot", rng.randrange(4, 10) * SECOND, rng.randrange(3, 9) * SECOND, rng.choice((5.0, 9.3)), 0
    )
    faults = [hot, *draw_faults(rng, FAULT_KINDS, 5, 15 * SECOND, 3)]
    return Scene(
        seed,
        rng.choice((3, 9, 9, 9, 27, 86)),
        region_latency_us=rng.choice((1, 35, 55, 110)) * MS,
        length=22 * SECOND,
        demands=demands,
        troubles=tuple(faults),
    )


def drawn_large(seed: int, ingresses: int, tenants: int, duration_us: int = 22 * SECOND) -> Scene:
    """Return a scene with many tenants, a few of them large, and two to seven faults of any kind.

    :param duration_us: duration of the run
    """
    rng = random.Random(f"{seed} {ingresses} {tenants}")
    scale, max_rate_per_s = rng.choice(((1.0, 300.0), (4.0, 600.0), (40.0, 2_000.0)))
    demands = []
    for _ in range(tenants):
        rate = min(max_rate_per_s, 4.0 + scale * rng.paretovariate(0.9))
        weight_exponent, is_regional = rng.choice((0, 1, 2)), rng.random() < 0.2
        demands.append(
            Demand(
                rate,
                rate * rng.choice(BURST_LENGTHS_S),
                rng.choice((0.62, 0.62, 0.9)),
                weight_exponent,
                is_regional,
            )
        )
    demands.sort(key=lambda demand: -demand.rate)
    hot_count = max(1, tenants // 50)
    hot = [
        Trouble("hot", rng.randrange(4, 10) * SECOND, rng.randrange(3, 9) * SECOND, 9.3, n)
        for n in range(hot_count)
    ]
    faults = [*hot, *draw_faults(rng, ALL_FAULT_KINDS, 7, duration_us - 6 * SECOND, min(tenants, 40))]
    return Scene(
        seed,
        ingresses,
        region_latency_us=rng.choice((1, 35, 55)) * MS,
        length=duration_us,
        demands=tuple(demands),
        troubles=tuple(faults),
    )
