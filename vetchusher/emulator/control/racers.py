"""Operators who choose one another's numbers: several bodies under one version, answers lost, orders sent
again while the first is under way and long after.

The world's judge hears every answer that a machine gives, also those that are lost on their way.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from vetchusher.emulator.fleet_world import MS, SECOND

from .world import World

VARIANTS = "abc"  # of bodies under one number; operators who choose one send the same order
SAME_NUMBER = 0.6  # share of the orders under the newest number that anybody has sent
OLD = 0.15  # share of the orders that were sent before, and long answered
LOST = 0.3  # share of the answers that never reach the operator
REMEMBERED = 20  # orders of its own, to be sent again
SHORTEST, LONGEST = 5 * MS, 800 * MS  # that one attempt is waited for
PAUSE = 120 * MS  # longest, between two orders

Sent = tuple[int, str]  # version, variant


class Racer:
    """One operator: it sends one order after another, each until it is acknowledged or refused for good."""

    def __init__(
        self,
        world: World,
        number: int,
        next_version: Callable[[int], int],
        anybody: Callable[[], str],
    ) -> None:
        """:param next_version: above all that were sent by so many steps; of 0 steps the newest"""
        self.world = world
        self.rng = random.Random(f"{world.scene.seed}/{number}")
        self.next_version = next_version
        self.anybody = anybody
        self.settled: list[Sent] = []  # acknowledged to it

    def begin(self) -> None:
        order = self.choose()
        if order[0]:
            self.attempt(order)
        else:
            self.pause()

    def choose(self) -> Sent:
        drawn = self.rng.random()
        if drawn < OLD and self.settled:
            return self.rng.choice(self.settled)
        steps = 0 if drawn < OLD + SAME_NUMBER else self.rng.randrange(1, 3)
        return self.next_version(steps), self.rng.choice(VARIANTS)

    def attempt(self, order: Sent) -> None:
        patience = self.rng.choice((SHORTEST, 50 * MS, LONGEST))
        self.world.replace(
            self.anybody(), order[0], partial(self.answered, order), order[1], self.pause, patience
        )

    def answered(self, order: Sent, acknowledged: bool) -> None:
        if acknowledged and self.rng.random() >= LOST:
            self.settled = [*self.settled[1 - REMEMBERED :], order]
            self.pause()
        else:
            self.world.after(self.rng.randrange(MS, SECOND // 4), partial(self.attempt, order))

    def pause(self) -> None:
        self.world.after(self.rng.randrange(MS, PAUSE), self.begin)
