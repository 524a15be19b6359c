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
