"""One candidacy: who may be asked, which epoch, whose promises, and the state to go on from.

First only questions (epoch 0): a machine that hears nobody, or that nobody would vote for, raises no promise
anywhere.  Then its own promise is synced, and only then others are asked: an epoch has one candidate.
"""

from __future__ import annotations

from enum import Enum, auto

from vetchusher.waggle.wire_pb2 import Ask, CombLetter, CombState, Granted

from .acts import Output, Tell, Timing
from .memory import Memory
from .state import enough, newest


class Stage(Enum):
    PROBING = auto()
    SYNCING = auto()  # of its own promise
    ASKING = auto()


class Candidate:
    """It owns what others answered; bounded by the members known.  `Member` drops it when its time is
    over."""

    def __init__(self, timing: Timing, memory: Memory, me: str, tries: int, now: int) -> None:
        self.timing = timing
        self.memory = memory
        self.me = me
        # Answers may take longer than was thought: each try waits longer for them.
        self.probe_us = min(timing.probe_us << min(tries, 8), timing.ask_us)
        self.stage = Stage.PROBING
        self.since = now  # of the stage
        self.epoch = 0
        self.highest = memory.promised  # that anybody promised
        self.willing: set[str] = {me}
        self.unheard: set[str] = set()
        self.granted: dict[str, CombState] = {}
        self.asked: set[str] = set()

    def probe(self) -> list[Output]:
        """Asks all members what they would say."""
        return self.ask_all(self.memory.state)

    def ask_all(self, state: CombState) -> list[Output]:
        new = [ip for ip in state.members if ip != self.me and ip not in self.asked]
        self.asked.update(new)
        self.unheard.update(new)
        return [Tell(ip, CombLetter(ask=Ask(epoch=self.epoch))) for ip in new]

    def over(self, now: int) -> bool:
        """Danger: a promise counts no longer than any answer (`primary`), so neither does a candidacy."""
        if self.stage is Stage.PROBING:
            return now >= self.since + (self.probe_us if self.unheard else self.timing.probe_us)
        return self.stage is Stage.ASKING and now >= self.since + self.timing.ask_us

    def heard(self, sender: str, answer: Granted) -> list[Output]:
        self.highest = max(self.highest, answer.promised)
        if sender not in self.asked or answer.epoch != self.epoch:
            return []
        self.unheard.discard(sender)
        if self.stage is Stage.PROBING and not answer.forgetful and not answer.wait_ms:
            self.willing.add(sender)
        elif self.stage is Stage.ASKING and answer.granted:
            self.granted[sender] = answer.state
            return self.ask_all(
                self.best()
            )  # the newest state may name members that this machine did not know
        return []

    def may_ask(self) -> bool:
        return self.stage is Stage.PROBING and enough(self.memory.state.members, self.willing)

    def choose(self, now: int) -> None:
        """Promises itself an epoch that nobody is known to have promised."""
        self.epoch = max(self.highest, self.memory.promised) + 1
        self.memory.promise(self.epoch)
        self.stage, self.since = Stage.SYNCING, now

    def synced(self, now: int) -> list[Output]:
        """Its own promise is on disk: now the others."""
        if self.stage is not Stage.SYNCING or self.memory.synced_promise < self.epoch:
            return []
        self.stage, self.since = Stage.ASKING, now
        self.granted = {self.me: self.memory.state}
        self.asked = set()
        return self.ask_all(self.memory.state)

    def best(self) -> CombState:
        return newest(self.granted.values())

    def elected(self) -> bool:
        """Promises from a majority of the members that the newest state names; an older state's members are
        met on the way there, as members change by one."""
        if self.stage is not Stage.ASKING:
            return False
        members = self.best().members
        return self.me in members and enough(members, self.granted)
