"""All interleavings of a small case, and random walks through the same.

What a case is, which steps lead on from a moment of it and what may never be seen are the case's own.  States
that were met are not explored again.  Breadth first: what is found is found by the shortest way there.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar

TIME = "time goes on"  # the step that random walks hold back, as little follows from it


class Moment(Protocol):
    """One state of a case.  It is not changed once steps were taken from it."""

    def following(self) -> Iterable[tuple[str, Callable[[], Self]]]:
        """Every step that may be taken: what it is called, and the state that it leads to."""

    def wrong(self) -> str | None:
        """What may not be; asked once of each state, before `shot`."""

    def shot(self) -> Hashable:
        """The state as it is remembered: two with the same shot have the same future."""


M = TypeVar("M", bound=Moment)


@dataclass(slots=True, frozen=True)
class Explored:
    """:param states: that were met
    :param depth: steps from the start to which all states were seen
    :param way: the steps that led to what is wrong
    :param whole: no state was left unseen, at any depth
    """

    states: int
    depth: int
    wrong: str = ""
    way: tuple[str, ...] = ()
    whole: bool = False


class Explorer(Generic[M]):
    """It owns the states met, each with the one it was first met from."""

    def __init__(self, start: M) -> None:
        self.start = start
        self.met: dict[Hashable, tuple[Hashable, str]] = {}

    def explore(self, most_states: int, most_depth: int) -> Explored:
        """By rounds, until a state is wrong or a bound is met; nothing beyond it is claimed."""
        wrong = self.start.wrong()
        shot = self.start.shot()
        self.met[shot] = (None, "")
        edge, depth = [(shot, self.start)], 0
        if wrong is not None:
            return Explored(1, 0, wrong)
        while edge and depth < most_depth:
            further: list[tuple[Hashable, M]] = []
            for before, how, after in self.steps(edge):
                wrong = after.wrong()
                shot = after.shot()
                if shot in self.met:
                    continue
                self.met[shot] = (before, how)
                if wrong is not None:
                    return Explored(len(self.met), depth, wrong, self.way(shot))
                if len(self.met) >= most_states:
                    return Explored(len(self.met), depth)
                further.append((shot, after))
            edge, depth = further, depth + 1
        return Explored(len(self.met), depth, whole=not edge)

    def steps(self, edge: list[tuple[Hashable, M]]) -> Iterator[tuple[Hashable, str, M]]:
        """The edge is given up as it is read: it is most of what is held."""
        edge.reverse()
        while edge:
            shot, state = edge.pop()
            for how, step in state.following():
                yield shot, how, step()

    def way(self, shot: Hashable) -> tuple[str, ...]:
        steps = []
        while shot is not None:
            shot, how = self.met[shot]
            steps.append(how)
        return tuple(reversed(steps))[1:]


def explore(start: M, most_states: int, most_depth: int = 1_000) -> Explored:
    return Explorer(start).explore(most_states, most_depth)


def wander(begin: Callable[[], M], walks: int, length: int, seed: int, haste: float = 0.1) -> Explored:
    """Random walks, longer than all interleavings can be followed.

    :param haste: how likely time goes on where something else could be done first
    """
    rng, seen = random.Random(seed), 0
    for _ in range(walks):
        state, steps = begin(), []
        for _ in range(length):
            choices = list(state.following())
            if not choices:
                break
            others = [c for c in choices if c[0] != TIME]
            if 0 < len(others) < len(choices) and rng.random() >= haste:
                choices = others
            how, step = rng.choice(choices)
            state = step()
            steps.append(how)
            seen += 1
            if (wrong := state.wrong()) is not None:
                return Explored(seen, len(steps), wrong, tuple(steps))
    return Explored(seen, length)
