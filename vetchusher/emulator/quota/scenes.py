"""Scenes drawn from a seed: sizes, ways between regions, spread of traffic, and troubles that may meet."""

from __future__ import annotations

import random

from .judge import MS, SECOND, Demand
from .world import Scene, Trouble

KINDS = ("hot", "cut", "core", "split", "restart", "limit", "loss")
ALL_KINDS = (*KINDS, "mute", "deaf", "stall", "move", "shift")
LIGHT = 25.0  # requests a second: tenants of no more are light
RATES = (5, 10, 16, 25, 40, 70, 110, 150, 300)
BURSTS = (1.0, 1.0, 0.5, 2.0)  # seconds of rate


def factor_of(rng: random.Random, kind: str) -> float:
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


def troubles_of(
    rng: random.Random, kinds: tuple[str, ...], most: int, until: int, tenants: int
) -> list[Trouble]:
    troubles = []
    for _ in range(rng.randrange(1, most)):
        kind = rng.choice(kinds)
        factor = factor_of(rng, kind)
        at = rng.randrange(3 * SECOND, until)
        troubles.append(Trouble(kind, at, rng.randrange(1, 9) * SECOND, factor, rng.randrange(tenants)))
    return troubles


def drawn(seed: int) -> Scene:
    """Three tenants, the first of them hot, and one to four troubles more."""
    rng = random.Random(seed)
    demands = tuple(
        Demand(
            rate,
            rate * rng.choice(BURSTS),
            rng.choice((0.62, 0.9)),
            rng.choice((0, 1, 2)),
            rng.random() < 0.3,
        )
        for rate in rng.sample(RATES, 3)
    )
    hot = Trouble(
        "hot", rng.randrange(4, 10) * SECOND, rng.randrange(3, 9) * SECOND, rng.choice((5.0, 9.3)), 0
    )
    troubles = [hot, *troubles_of(rng, KINDS, 5, 15 * SECOND, 3)]
    return Scene(
        seed,
        rng.choice((3, 9, 9, 9, 27, 86)),
        way_us=rng.choice((1, 35, 55, 110)) * MS,
        length=22 * SECOND,
        demands=demands,
        troubles=tuple(troubles),
    )


def drawn_large(seed: int, ingresses: int, tenants: int, length: int = 22 * SECOND) -> Scene:
    """Many tenants, a few of them large, and two to seven troubles of every kind.

    :param length: us
    """
    rng = random.Random(f"{seed} {ingresses} {tenants}")
    scale, most = rng.choice(((1.0, 300.0), (4.0, 600.0), (40.0, 2_000.0)))
    demands = []
    for _ in range(tenants):
        rate = min(most, 4.0 + scale * rng.paretovariate(0.9))
        spread, regional = rng.choice((0, 1, 2)), rng.random() < 0.2
        demands.append(
            Demand(rate, rate * rng.choice(BURSTS), rng.choice((0.62, 0.62, 0.9)), spread, regional)
        )
    demands.sort(key=lambda demand: -demand.rate)
    first = max(1, tenants // 50)
    hot = [
        Trouble("hot", rng.randrange(4, 10) * SECOND, rng.randrange(3, 9) * SECOND, 9.3, n)
        for n in range(first)
    ]
    troubles = [*hot, *troubles_of(rng, ALL_KINDS, 7, length - 6 * SECOND, min(tenants, 40))]
    return Scene(
        seed,
        ingresses,
        way_us=rng.choice((1, 35, 55)) * MS,
        length=length,
        demands=tuple(demands),
        troubles=tuple(troubles),
    )
