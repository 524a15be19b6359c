"""A machine that came back with an empty disk: what it may have promised and accepted is asked of all others.

What it held is not: it is a witness until the primary has taught it.

It remembers once a majority of each electorate, itself not counted, who remember have answered: any majority
that counted it has another voter among those.  Or once all others have answered, whoever remembers.  It asks
only when every answer that it gave before has run out where it was counted (`lease_us` after its start): what
it took part in is decided by then, or given up.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    RecoveryReply,
    RecoveryRequest,
    ReplicaSet,
)

from .messages import Output, PersistentState, Send, Timing
from .restore import begun_from
from .state import first_record, first_state, has_quorum, newest, voters

MOST_MET = 64


class AmnesiaRecovery:
    """It owns the answers: one a machine asked.  Asked are the seeds, the members that others name, and
    whoever calls."""

    def __init__(
        self,
        timing: Timing,
        me: str,
        seeds: Sequence[str],
        rng: random.Random,
        now: int,
        floor: PersistentState | None = None,
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
        self.answers: dict[str, RecoveryReply] = {}
        self.met: set[str] = set()  # who called; whoever does may remember

    def tick(self, now: int) -> list[Output]:
        if now < max(self.begins, self.asked_at + self.timing.recall_us):
            return []
        self.asked_at = now
        message = ControlMessage(recovery_request=RecoveryRequest(round=self.round))
        return [Send(ip, message) for ip in sorted(self.contacts()) if not self.remembers(ip)]

    def contacts(self) -> set[str]:
        return {*self.seeds, *self.met, *voters(self.record() or ReplicaSet())} - {self.me}

    def meet(self, sender: str) -> None:
        if len(self.met) < MOST_MET:
            self.met.add(sender)

    def remembers(self, ip: str) -> bool:
        return ip in self.answers and not self.answers[ip].amnesiac

    def heard(self, sender: str, answer: RecoveryReply) -> None:
        if answer.round == self.round and sender in self.contacts() and not self.remembers(sender):
            self.answers[sender] = answer

    def record(self) -> ReplicaSet | None:
        """The newest that anybody who remembers told; None: nobody remembers yet."""
        told = [a.record for a in self.answers.values() if not a.amnesiac and a.record.members]
        return newest(told) if told else None

    def done(self, now: int) -> PersistentState | None:
        """What this machine may go on with, as soon as enough have answered."""
        record = self.record()
        if record is None:
            return self.anew(now)
        others = voters(record) - {self.me}
        remembering = {ip for ip in others if self.remembers(ip)}
        if not has_quorum(record, remembering) and not others <= self.answers.keys():
            return None
        promise = max(self.answers.values(), key=lambda a: a.promised)
        return PersistentState(promise.promised, ControlState(), promise.owner, record, copy=False)

    def anew(self, now: int) -> PersistentState | None:
        """All seeds have forgotten too, and nobody else has called: the system begins anew.

        Danger: members that are not among the seeds may remember, and only be on their way back; so this
        waits long, and asks whoever calls.
        """
        everybody = self.contacts() <= self.answers.keys()
        if self.me not in self.seeds or not everybody or now < self.began + self.timing.anew_us:
            return None
        told = [a.floor for a in self.answers.values() if a.HasField("floor")]
        floors = told + ([self.floor.state] if self.floor is not None else [])
        return begun_from(floors, self.seeds) or PersistentState(
            0, first_state(), record=first_record(self.seeds)
        )
