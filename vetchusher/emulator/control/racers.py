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
EVACUATIONS = 0.15  # share of the orders; each operator has a zone of its own
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
        leader: Callable[[], str],
    ) -> None:
        """:param next_version: above all that were sent by so many steps; of 0 steps the newest
        :param leader: ip of a machine that takes itself for the primary, of any where there is none
        """
        self.world = world
        self.rng = random.Random(f"{world.scene.seed}/{number}")
        self.zone = f"of operator {number}"
        self.next_version = next_version
        self.leader = leader
        self.committed: list[Sent] = []  # acknowledged to it

    def begin(self) -> None:
        if self.rng.random() < EVACUATIONS:
            self.evacuate(self.rng.random() < 0.5)
            return
        order = self.choose()
        if order[0]:
            self.attempt(order)
        else:
            self.pause()

    def choose(self) -> Sent:
        drawn = self.rng.random()
        if drawn < OLD and self.committed:
            return self.rng.choice(self.committed)
        steps = 0 if drawn < OLD + SAME_NUMBER else self.rng.randrange(1, 3)
        return self.next_version(steps), self.rng.choice(VARIANTS)

    def machine(self) -> str:
        return self.leader() if self.rng.random() < 0.5 else self.rng.choice(list(self.world.machines))

    def patience(self) -> int:
        return self.rng.choice((SHORTEST, 50 * MS, LONGEST))

    def attempt(self, order: Sent) -> None:
        then = partial(self.answered, order)
        self.world.replace(self.machine(), order[0], then, order[1], self.pause, self.patience())

    def answered(self, order: Sent, acknowledged: bool) -> None:
        if acknowledged and self.rng.random() >= LOST:
            self.committed = [*self.committed[1 - REMEMBERED :], order]
            self.pause()
        else:
            self.soon(partial(self.attempt, order))

    def evacuate(self, on: bool) -> None:
        """The same again and again, until an answer has come through."""

        def answered(acknowledged: bool) -> None:
            if acknowledged and self.rng.random() >= LOST:
                self.pause()
            else:
                self.soon(partial(self.evacuate, on))

        self.world.evacuate(self.machine(), self.zone, on, answered, self.patience())

    def soon(self, what: Callable[[], None]) -> None:
        self.world.after(self.rng.randrange(MS, SECOND // 4), what)

    def pause(self) -> None:
        self.world.after(self.rng.randrange(MS, PAUSE), self.begin)
