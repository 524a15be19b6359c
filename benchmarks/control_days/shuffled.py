"""A random order in which every item comes once before any comes again."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Generic, TypeVar

Item = TypeVar("Item")


class ShuffledCycle(Generic[Item]):
    """Endless draws without replacement; after the last item all are shuffled anew."""

    def __init__(self, rng: random.Random, items: Sequence[Item]) -> None:
        self.rng, self.items, self.left = rng, items, list[Item]()

    def draw(self) -> Item:
        """The next item.

        :raises IndexError: if there are no items
        """
        if not self.left:
            self.left = self.rng.sample(self.items, len(self.items))
        return self.left.pop()


class GroupedCycle(Generic[Item]):
    """Draws a group, then that group's next item; large groups come more often than small ones.

    A group comes once, and once more for each `PER_TURN` items that it has: one with many does not crowd
    out the others.
    """

    PER_TURN = 4

    def __init__(self, rng: random.Random, groups: Sequence[Sequence[Item]]) -> None:
        turns = [
            number for number, items in enumerate(groups) for _ in range(1 + len(items) // self.PER_TURN)
        ]
        self.cycles = [ShuffledCycle(rng, items) for items in groups]
        self.order = ShuffledCycle(rng, turns)

    def draw(self) -> Item:
        """The next item."""
        return self.cycles[self.order.draw()].draw()
