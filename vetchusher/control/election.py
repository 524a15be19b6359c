"""One candidacy: who may be asked, which epoch, whose promises.

First only questions (epoch 0): a machine that hears nobody, that nobody would vote for, or that the newest
record does not name, raises no promise anywhere.  Then its own promise is synced, and only then others are
asked: an epoch has one candidate.

Only a machine that holds a copy stands.  Its copy has all that was ever acknowledged if the newest record
names it: so no state is fetched, and witnesses tell what they accepted only.
"""

from __future__ import annotations

from enum import Enum, auto

from vetchusher.distribution.wire_pb2 import ControlMessage, ReplicaSet, VoteReply, VoteRequest

from .durable_state import DurableState
from .messages import Output, Send, Timing
from .state import at, has_quorum, newest, point, voters


class Stage(Enum):
    PROBING = auto()
    SYNCING = auto()  # of its own promise
    ASKING = auto()


class Candidate:
    """It owns what others answered; bounded by the members known.  `Replica` drops it when its time is
    over."""

    def __init__(
        self, timing: Timing, memory: DurableState, me: str, tries: int, now: int, released: int = 0
    ) -> None:
        """:param released: an epoch whose primary has handed over to this machine"""
        self.timing = timing
        self.memory = memory
        self.me = me
        self.released = released
        # Answers may take longer than was thought: each try waits longer for them.
        self.probe_us = min(timing.probe_us << min(tries, 8), timing.ask_us)
        self.stage = Stage.PROBING
        self.since = now  # of the stage
        self.epoch = 0
        self.highest = memory.promised  # that anybody promised
        self.willing: dict[str, VoteReply] = {}
        self.granted: dict[str, VoteReply] = {}
        self.unheard: set[str] = set()
        self.asked: set[str] = set()

    def probe(self) -> list[Output]:
        """Asks all members what they would say."""
        return self.ask_all(self.memory.record)

    def ask_all(self, record: ReplicaSet) -> list[Output]:
        new = [ip for ip in sorted(voters(record)) if ip != self.me and ip not in self.asked]
        self.asked.update(new)
        self.unheard.update(new)
        ask = VoteRequest(epoch=self.epoch, released=self.released)
        return [Send(ip, ControlMessage(ask=ask)) for ip in new]

    def over(self, now: int) -> bool:
        """Danger: a promise counts no longer than any answer (`primary`), so neither does a candidacy."""
        if self.stage is Stage.PROBING:
            return now >= self.since + (self.probe_us if self.unheard else self.timing.probe_us)
        return self.stage is Stage.ASKING and now >= self.since + self.timing.ask_us

    def heard(self, sender: str, answer: VoteReply) -> list[Output]:
        self.highest = max(self.highest, answer.promised)
        if sender not in self.asked or answer.epoch != self.epoch:
            return []
        self.unheard.discard(sender)
        if self.stage is Stage.PROBING and not answer.amnesiac and not answer.wait_ms:
            self.willing[sender] = answer
        elif self.stage is Stage.ASKING and answer.granted:
            self.granted[sender] = answer
        else:
            return []
        return self.ask_all(self.best(self.answers()))  # it may name members that this machine did not know

    def answers(self) -> dict[str, VoteReply]:
        return self.willing if self.stage is Stage.PROBING else self.granted

    def best(self, answers: dict[str, VoteReply]) -> ReplicaSet:
        return newest([self.memory.record, *(a.record for a in answers.values())])

    def stands(self, answers: dict[str, VoteReply]) -> bool:
        """Whether a majority of each electorate of the newest record answered, and it names this machine's
        copy.  An older record's voters are met on the way there: a change of voters names both sets."""
        best = self.best(answers)
        if not self.memory.copy or self.me not in best.copies or self.me not in best.members:
            return False
        if not has_quorum(best, {self.me, *answers}):
            return False
        # Of the first start, or of disks of the first format, on which a majority of copies was enough.
        return best.number > 0 or all(
            point(a.stamp) <= at(self.memory.state) for a in answers.values() if a.copy
        )

    def may_ask(self) -> bool:
        return self.stage is Stage.PROBING and self.stands(self.willing)

    def choose(self, now: int) -> None:
        """Promises itself an epoch that nobody is known to have promised."""
        self.epoch = max(self.highest, self.memory.promised) + 1
        self.memory.promise(self.epoch, self.me)
        self.stage, self.since = Stage.SYNCING, now

    def synced(self, now: int) -> list[Output]:
        """Its own promise is on disk: now the others."""
        if self.stage is not Stage.SYNCING or self.memory.synced_promise < self.epoch:
            return []
        self.stage, self.since = Stage.ASKING, now
        self.asked = set()
        return self.ask_all(self.memory.record)

    def elected(self) -> bool:
        return self.stage is Stage.ASKING and self.stands(self.granted)
