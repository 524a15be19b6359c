"""A machine that came back with an empty disk: what it may have promised and held is asked of all others.

It remembers once a majority of the members, itself not counted, who remember have answered: any majority that
counted it has another voter among those, and so has any majority of members changed by one.  Or once all
others have answered, whoever remembers.  It asks only when every answer that it gave before has run out
where it was counted (`lease_us` after its start): what it took part in is decided by then, or given up.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from vetchusher.waggle.wire_pb2 import CombLetter, CombState, Recall, Recalled

from .acts import Kept, Output, Tell, Timing
from .floor import begun_from
from .state import first_state, majority, newest

MOST_MET = 64


class Recalling:
    """It owns the answers: one a machine asked.  Asked are the seeds, the members that others name, and
    whoever calls."""

    def __init__(
        self,
        timing: Timing,
        me: str,
        seeds: Sequence[str],
        rng: random.Random,
        now: int,
        floor: Kept | None = None,
    ) -> None:
        """:param floor: what an import brought: where nobody remembers, all begin from the highest"""
        self.floor = floor
        self.timing = timing
        self.me = me
        self.seeds = tuple(seeds)
        self.began = now
        self.begins = now + timing.lease_us
        self.asked_at = now - timing.recall_us
        self.round = rng.randrange(1, 1 << 32)
        self.answers: dict[str, Recalled] = {}
        self.met: set[str] = set()  # who called; whoever does may remember

    def tick(self, now: int) -> list[Output]:
        if now < max(self.begins, self.asked_at + self.timing.recall_us):
            return []
        self.asked_at = now
        letter = CombLetter(recall=Recall(round=self.round))
        return [Tell(ip, letter) for ip in sorted(self.contacts()) if not self.remembers(ip)]

    def contacts(self) -> set[str]:
        return {*self.seeds, *self.met, *(self.state() or first_state(())).members} - {self.me}

    def meet(self, sender: str) -> None:
        if len(self.met) < MOST_MET:
            self.met.add(sender)

    def remembers(self, ip: str) -> bool:
        return ip in self.answers and not self.answers[ip].forgetful

    def heard(self, sender: str, answer: Recalled) -> None:
        if answer.round == self.round and sender in self.contacts() and not self.remembers(sender):
            self.answers[sender] = answer

    def state(self) -> CombState | None:
        """The newest that anybody who remembers told; None: nobody remembers yet."""
        told = [a.state for a in self.answers.values() if not a.forgetful and a.state.members]
        return newest(told) if told else None

    def done(self, now: int) -> Kept | None:
        """What this machine may go on with, as soon as enough have answered."""
        state = self.state()
        if state is None:
            return self.anew(now)
        others = set(state.members) - {self.me}
        remembering = sum(self.remembers(ip) for ip in others)
        if remembering < majority(len(state.members)) and not others <= self.answers.keys():
            return None
        return Kept(max(a.promised for a in self.answers.values() if not a.forgetful), state)

    def anew(self, now: int) -> Kept | None:
        """All seeds have forgotten too, and nobody else has called: the system begins anew.

        Danger: members that are not among the seeds may remember, and only be on their way back; so this
        waits long, and asks whoever calls.
        """
        everybody = self.contacts() <= self.answers.keys()
        if self.me not in self.seeds or not everybody or now < self.began + self.timing.anew_us:
            return None
        told = [Kept(a.promised, a.state) for a in self.answers.values() if a.forgetful and a.state.members]
        floors = told + ([self.floor] if self.floor is not None else [])
        return begun_from(floors, sorted(set(self.seeds))) or Kept(0, first_state(self.seeds))
