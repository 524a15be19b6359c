"""Simulated operators that race for versions.

They send several bodies under one version, lose answers, and repeat orders while the first attempt is in
flight and long after. The world's judge checks every answer that a machine gives, including lost ones.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from vetchusher.emulator.fleet_world import MS, SECOND

from .world import World

VARIANTS = "abc"  # of bodies under one version; operators that choose the same one send the same order
SAME_VERSION_RATIO = 0.6  # share of the orders under the newest version that any operator has sent
EVACUATION_RATIO = 0.15  # share of the orders; each operator has a zone of its own
REPEATED_RATIO = 0.15  # share of the orders that repeat one answered long ago
LOST_ANSWER_RATIO = 0.3  # share of the answers that never reach the operator
MAX_REMEMBERED_ORDERS = 20  # acknowledged orders that an operator may repeat
MIN_TIMEOUT_US, MAX_TIMEOUT_US = 5 * MS, 800 * MS  # of one attempt
MAX_PAUSE_US = 120 * MS  # between two orders

VersionedOrder = tuple[int, str]  # version, variant


class RacingOperator:
    """An operator that sends one order after another, each until it is acknowledged or finally rejected."""

    def __init__(
        self,
        world: World,
        number: int,
        next_version: Callable[[int], int],
        leader: Callable[[], str],
    ) -> None:
        """Create an operator; it sends nothing before `send_next`.

        :param next_version: returns a version that many steps above all that were sent; for 0 steps the
            newest
        :param leader: returns the address of a machine that takes itself for the primary, or of any machine
        """
        self.world = world
        self.rng = random.Random(f"{world.settings.seed}/{number}")
        self.zone = f"of operator {number}"
        self.next_version = next_version
        self.leader = leader
        self.acknowledged_orders: list[VersionedOrder] = []  # of which it got the answer

    def send_next(self) -> None:
        """Send the next order, or pause if no version was sent yet."""
        if self.rng.random() < EVACUATION_RATIO:
            self.evacuate(self.rng.random() < 0.5)
            return
        order = self.choose_order()
        if order[0]:
            self.send_order(order)
        else:
            self.schedule_next()

    def choose_order(self) -> VersionedOrder:
        """Return an order to send: an old one, or one under the newest version or a new one.

        Its version is 0 if no version was sent yet.
        """
        sample = self.rng.random()
        if sample < REPEATED_RATIO and self.acknowledged_orders:
            return self.rng.choice(self.acknowledged_orders)
        steps = 0 if sample < REPEATED_RATIO + SAME_VERSION_RATIO else self.rng.randrange(1, 3)
        return self.next_version(steps), self.rng.choice(VARIANTS)

    def choose_machine(self) -> str:
        """Return the address of a machine to send to."""
        return self.leader() if self.rng.random() < 0.5 else self.rng.choice(list(self.world.machines))

    def choose_timeout_us(self) -> int:
        """Return how long to wait for an answer."""
        return self.rng.choice((MIN_TIMEOUT_US, 50 * MS, MAX_TIMEOUT_US))

    def send_order(self, order: VersionedOrder) -> None:
        """Send a replacement."""
        on_answer = partial(self.on_answer, order)
        self.world.replace(
            self.choose_machine(), order[0], on_answer, order[1], self.schedule_next, self.choose_timeout_us()
        )

    def on_answer(self, order: VersionedOrder, acknowledged: bool) -> None:
        """Take or lose an answer; without an acknowledgement the order is sent again."""
        if acknowledged and self.rng.random() >= LOST_ANSWER_RATIO:
            self.acknowledged_orders = [*self.acknowledged_orders[1 - MAX_REMEMBERED_ORDERS :], order]
            self.schedule_next()
        else:
            self.schedule_retry(partial(self.send_order, order))

    def evacuate(self, on: bool) -> None:
        """Order an evacuation, or its end, until an acknowledgement arrives."""

        def answered(acknowledged: bool) -> None:
            if acknowledged and self.rng.random() >= LOST_ANSWER_RATIO:
                self.schedule_next()
            else:
                self.schedule_retry(partial(self.evacuate, on))

        self.world.evacuate(self.choose_machine(), self.zone, on, answered, self.choose_timeout_us())

    def schedule_retry(self, action: Callable[[], None]) -> None:
        """Schedule another attempt after a random delay."""
        self.world.schedule(self.rng.randrange(MS, SECOND // 4), action)

    def schedule_next(self) -> None:
        """Schedule the next order after a random pause."""
        self.world.schedule(self.rng.randrange(MS, MAX_PAUSE_US), self.send_next)
