"""Explore all interleavings of a small case, or take random walks through it.

The case defines its states, their steps and what is a violation.  A state is explored once.  The search is
breadth first, so a violation is found with the fewest steps.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar

TIME = "time goes on"  # the step that random walks take less often, as it leads to few new states


class Moment(Protocol):
    """One state of a case.  It does not change once steps were taken from it."""

    def following(self) -> Iterable[tuple[str, Callable[[], Self]]]:
        """Return the name of each possible step with a function that returns its state."""

    def wrong(self) -> str | None:
        """Return the violation in this state, or None; called once per state, before `shot`."""

    def shot(self) -> Hashable:
        """Return the state in a hashable form; equal ones have the same future."""


M = TypeVar("M", bound=Moment)


@dataclass(slots=True, frozen=True)
class Explored:
    """The result of a search.

    :param states: number of states that were reached
    :param depth: all states within so many steps of the start were reached
    :param wrong: the violation found
    :param way: the steps that led to it
    :param whole: all states were reached
    """

    states: int
    depth: int
    wrong: str = ""
    way: tuple[str, ...] = ()
    whole: bool = False


class Explorer(Generic[M]):
    """Owns the states that were reached, each with its first predecessor."""

    def __init__(self, start: M) -> None:
        """Create a search from a state."""
        self.start = start
        self.met: dict[Hashable, tuple[Hashable, str]] = {}

    def explore(self, most_states: int, most_depth: int) -> Explored:
        """Search until a violation, or a limit of states or steps, is reached."""
        wrong = self.start.wrong()
        shot = self.start.shot()
        self.met[shot] = (None, "")
        edge, depth = [(shot, self.start)], 0
        if wrong is not None:
            return Explored(1, 0, wrong)
        while edge and depth < most_depth:
            further: list[tuple[Hashable, M]] = []
            for previous, name, after in self.steps(edge):
                wrong = after.wrong()
                shot = after.shot()
                if shot in self.met:
                    continue
                self.met[shot] = (previous, name)
                if wrong is not None:
                    return Explored(len(self.met), depth, wrong, self.way(shot))
                if len(self.met) >= most_states:
                    return Explored(len(self.met), depth)
                further.append((shot, after))
            edge, depth = further, depth + 1
        return Explored(len(self.met), depth, whole=not edge)

    def steps(self, edge: list[tuple[Hashable, M]]) -> Iterator[tuple[Hashable, str, M]]:
        """Yield the steps from the states of the edge, and empty it, as it takes most of the memory."""
        edge.reverse()
        while edge:
            shot, state = edge.pop()
            for name, step in state.following():
                yield shot, name, step()

    def way(self, shot: Hashable) -> tuple[str, ...]:
        """Return the steps that led to a state."""
        steps = []
        while shot is not None:
            shot, name = self.met[shot]
            steps.append(name)
        return tuple(reversed(steps))[1:]


def explore(start: M, most_states: int, most_depth: int = 1_000) -> Explored:
    """Search from a state, up to the given numbers of states and steps."""
    return Explorer(start).explore(most_states, most_depth)


def wander(begin: Callable[[], M], walks: int, length: int, seed: int, haste: float = 0.1) -> Explored:
    """Take random walks, which are longer than a search of all interleavings can be.

    :param haste: probability that time may advance while other steps are possible
    """
    rng, state_count = random.Random(seed), 0
    for _ in range(walks):
        state, steps = begin(), []
        for _ in range(length):
            choices = list(state.following())
            if not choices:
                break
            others = [c for c in choices if c[0] != TIME]
            if 0 < len(others) < len(choices) and rng.random() >= haste:
                choices = others
            name, step = rng.choice(choices)
            state = step()
            steps.append(name)
            state_count += 1
            if (wrong := state.wrong()) is not None:
                return Explored(state_count, len(steps), wrong, tuple(steps))
    return Explored(state_count, length)
