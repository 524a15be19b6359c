"""One ingress's candidacy for one duty: it asks, takes, holds and renews, and knows when its lease ends."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from .lease import ANY_LIFE, Timing, above, holder_of
from .messages import Message, Topic

SEQUENCES = 8  # renewals whose sending is remembered: older ones hold no longer anyway
BACKOFFS = 3  # times a random wait doubles


class Stage(Enum):
    IDLE = "idle"
    ASKING = "asking"
    TAKING = "taking"
    HOLDING = "holding"


class Reason(Enum):
    """Why a term was left; the words of the log."""

    RELEASED = "released"
    RAN_OUT = "ran out"
    CUT_OFF = "cut off"
    STALLED = "stalled"
    STOPPING = "stopping"


def why_ended(unanswered: int, timing: Timing, stalled: bool) -> Reason:
    """Why a lease was not prolonged in time.

    :param unanswered: us since whoever keeps the lease last answered
    :param stalled: whether this ingress's own event loop was late
    """
    if stalled:
        return Reason.STALLED
    return Reason.CUT_OFF if unanswered > 2 * timing.renew else Reason.RAN_OUT


@dataclass(slots=True)
class Term:
    """An attempt at a term, or a term held."""

    ballot: int
    promised: set[int] = field(default_factory=set)
    sent: dict[int, int] = field(default_factory=dict)  # by sequence: us; the last `SEQUENCES`
    acked: dict[int, int] = field(default_factory=dict)  # by voter: the highest sequence it answered
    sequence: int = 0


class Candidate:
    """The state of one duty at one ingress.  `changes` holds what happened since it was last taken."""

    def __init__(
        self, duty: int, number: int, life: int, voters: tuple[int, ...], timing: Timing, rng: random.Random
    ) -> None:
        self.life = life
        self.duty, self.number, self.voters, self.timing, self.rng = duty, number, voters, timing, rng
        self.stage = Stage.IDLE
        self.term = Term(0)
        self.until = 0  # of the term held, on this ingress's clock
        self.due_at = 0  # when the next thing is to be done
        self.seen = 0  # the highest ballot
        self.taken_up_to = 0  # the highest that `take` was sent for
        self.holder = 0  # the ballot of whoever was last said to hold
        self.holder_until = 0
        self.failed = 0  # attempts in a row
        self.rank_wait = 0  # us after a free duty at which this one asks; set by the owner
        self.answered_at = -1  # when another voter last answered
        self.give_up_at = 0  # of an attempt
        self.changes: list[tuple[str, int, object]] = []  # what, us, detail

    def token(self, now: int) -> int | None:
        """The token to act with now, or nothing.  To be asked at each act."""
        return self.term.ballot if self.stage is Stage.HOLDING and now < self.until else None

    def all(self, message: Message) -> list[tuple[int, Message]]:
        return [(voter, message) for voter in self.voters]

    def wait(self, now: int, least: int) -> None:
        self.stage = Stage.IDLE
        chance = self.rng.randrange(1 + self.timing.lease // 16)
        self.due_at = now + least + self.rank_wait + chance

    def back_off(self, now: int) -> None:
        """Danger: two that ask by turns unseat each other for ever."""
        self.failed += 1
        bound = self.timing.patience << min(BACKOFFS, self.failed) >> 1
        self.stage, self.due_at = Stage.IDLE, now + self.rng.randrange(1, bound + 1)

    def tick(self, now: int, wants: bool, stalled: bool) -> list[tuple[int, Message]]:
        """Do what is due.

        :param wants: whether this ingress may stand for the duty now
        :param stalled: whether its own event loop was late
        """
        if self.stage is Stage.HOLDING:
            if now >= self.until:
                self.leave(now, why_ended(now - self.answered_at, self.timing, stalled))
                return []
            return self.renew(now) if now >= self.due_at else []
        if now < self.due_at:
            return []
        if self.stage is Stage.ASKING and now < self.give_up_at:
            return self.ask(now)
        if self.stage is Stage.TAKING and now < self.give_up_at:
            return self.renew(now)
        if self.stage is not Stage.IDLE:
            # Danger: voters that accepted would hold the term for one that never had it.
            ballot, taking = self.term.ballot, self.stage is Stage.TAKING
            self.back_off(now)
            return self.all(Message(Topic.FREE, self.duty, ballot)) if taking else []
        if not wants:
            self.wait(now, self.timing.renew)
            return []
        self.term = Term(above(max(self.seen, self.term.ballot), self.number))
        self.stage, self.give_up_at = Stage.ASKING, now + self.timing.patience
        return self.ask(now)

    def ask(self, now: int) -> list[tuple[int, Message]]:
        """Ask those that have not promised: messages get lost."""
        self.due_at = now + self.timing.again
        left = [v for v in self.voters if v not in self.term.promised]
        return [(voter, Message(Topic.ASK, self.duty, self.term.ballot)) for voter in left]

    def renew(self, now: int) -> list[tuple[int, Message]]:
        term = self.term
        term.sequence += 1
        term.sent[term.sequence] = now
        term.sent.pop(term.sequence - SEQUENCES, None)
        self.due_at = now + self.timing.again  # unless a majority has answered by then
        return self.all(Message(Topic.TAKE, self.duty, term.ballot, term.sequence))

    def heard(self, now: int, voter: int, message: Message, wants: bool) -> list[tuple[int, Message]]:
        if voter not in self.voters:
            return []
        if message.topic is not Topic.HELD and message.other not in (self.life, ANY_LIFE):
            # Danger: two processes of one number share an address during an upgrade; what was promised to
            # the one, or taken by it, must not count for the other.
            return []
        if voter != self.number:
            self.answered_at = now
        self.seen = max(self.seen, message.ballot)
        if message.topic is Topic.PROMISE:
            return self.promised(now, voter, message.ballot, wants)
        if message.topic is Topic.TAKEN:
            self.taken(now, voter, message)
        elif message.topic is Topic.HELD:
            self.held(now, message)
        return []

    def promised(self, now: int, voter: int, ballot: int, wants: bool) -> list[tuple[int, Message]]:
        # Danger: a ballot taken once is a token; a late promise of it must not make it one again.
        new = ballot > self.taken_up_to and holder_of(ballot) == self.number
        if self.stage is Stage.IDLE and new and wants:
            # The holder before named this one: its ballot is promised unasked.
            self.term = Term(ballot)
            self.stage, self.give_up_at = Stage.ASKING, now + self.timing.patience
            self.due_at = now + self.timing.again
        if self.stage is not Stage.ASKING or ballot != self.term.ballot:
            return []
        self.term.promised.add(voter)
        if len(self.term.promised) <= len(self.voters) // 2:
            return []
        self.stage, self.give_up_at = Stage.TAKING, now + self.timing.patience
        self.taken_up_to = ballot
        return self.renew(now)

    def taken(self, now: int, voter: int, message: Message) -> None:
        term = self.term
        if self.stage not in (Stage.TAKING, Stage.HOLDING) or message.ballot != term.ballot:
            return
        if message.number not in term.sent:
            return  # of an earlier attempt, or too old to count
        term.acked[voter] = max(term.acked.get(voter, 0), message.number)
        if len(term.acked) <= len(self.voters) // 2:
            return
        # A majority answered this sequence or a later one.
        sure = sorted(term.acked.values(), reverse=True)[len(self.voters) // 2]
        if sure not in term.sent:
            return
        until = term.sent[sure] + self.timing.held
        if until <= max(now, self.until if self.stage is Stage.HOLDING else 0):
            return
        self.until = until
        self.due_at = term.sent[sure] + self.timing.renew
        if self.stage is Stage.TAKING:
            self.stage, self.failed = Stage.HOLDING, 0
            self.changes.append(("taken", now, until))
        else:
            self.changes.append(("renewed", now, until))

    def held(self, now: int, message: Message) -> None:
        if message.number:
            self.holder, self.holder_until = message.other, now + message.number
        if self.stage is Stage.ASKING and message.ballot >= self.term.ballot and not message.number:
            self.back_off(now)
        elif self.stage is Stage.ASKING and message.number:
            self.failed = 0
            self.wait(now, message.number)

    def leave(self, now: int, reason: Reason, successor: int = -1) -> list[tuple[int, Message]]:
        """Stop holding.  What is given back at once is said to the voters after that.

        :param successor: number of the ingress that may have it next; below nothing: whoever asks
        """
        if self.stage is not Stage.HOLDING:
            return []
        ballot, self.until = self.term.ballot, 0
        self.changes.append(("left", now, reason))
        self.wait(now, self.timing.lease // 2)
        if reason not in (Reason.RELEASED, Reason.STOPPING):
            return []
        following = above(max(self.seen, ballot), successor) if successor >= 0 else 0
        return self.all(Message(Topic.FREE, self.duty, ballot, 0, following))
