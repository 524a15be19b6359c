"""The candidate of one ingress for one duty: requests, holds and renews the lease, and knows its end."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from .lease import ANY_INCARNATION, Timing, holder_of, next_ballot
from .messages import Message, Topic

MAX_TRACKED_RENEWALS = 8  # a lease counted from an older one has ended anyway
MAX_BACKOFF_DOUBLINGS = 3  # of the bound of the random wait after a failed attempt


class Stage(Enum):
    """What a candidate is doing; the values are shown to operators."""

    IDLE = "idle"
    ASKING = "asking"  # waits for a majority of promises
    TAKING = "taking"  # waits for a majority of grants
    HOLDING = "holding"


class Reason(Enum):
    """Why a term ended; the values are written to the log."""

    RELEASED = "released"
    RAN_OUT = "ran out"
    CUT_OFF = "cut off"
    STALLED = "stalled"
    STOPPING = "stopping"


def why_ended(unanswered_us: int, timing: Timing, stalled: bool) -> Reason:
    """Return why a lease was not renewed in time.

    :param unanswered_us: time since whoever grants the lease last answered
    :param stalled: whether this ingress's own event loop was late
    """
    if stalled:
        return Reason.STALLED
    return Reason.CUT_OFF if unanswered_us > 2 * timing.renewal_interval else Reason.RAN_OUT


@dataclass(slots=True)
class Term:
    """A term that is requested or held.

    :param promised: voters that have promised the ballot
    :param sent: by sequence: when TAKE was sent (us), for the last `MAX_TRACKED_RENEWALS`
    :param granted: by voter: the highest sequence that it has granted
    """

    ballot: int
    promised: set[int] = field(default_factory=set)
    sent: dict[int, int] = field(default_factory=dict)
    granted: dict[int, int] = field(default_factory=dict)
    sequence: int = 0


class Candidate:
    """The state of one duty at one ingress.

    `changes` collects what has happened (event, us, detail) until the owner takes it.
    """

    def __init__(
        self,
        duty: int,
        number: int,
        incarnation: int,
        voters: tuple[int, ...],
        timing: Timing,
        rng: random.Random,
    ) -> None:
        """Create an idle candidate.

        :param duty: index of the duty in the plan
        :param number: the own member number
        :param incarnation: of this process
        """
        self.incarnation = incarnation
        self.duty, self.number, self.voters, self.timing, self.rng = duty, number, voters, timing, rng
        self.stage = Stage.IDLE
        self.term = Term(0)
        self.lease_until = 0  # end of the term held, on this ingress's clock
        self.due_at = 0  # when `tick` has to do something next
        self.highest_ballot = 0  # the highest ballot in any message
        self.highest_taken_ballot = 0  # the highest ballot that TAKE was sent for
        self.holder_ballot = 0  # of the last holder that a voter reported
        self.holder_until = 0
        self.failed_attempts = 0  # in a row
        self.rank_delay_us = 0  # us that this ingress waits after a lease ends; set by the owner
        self.last_answer_at = -1  # when another voter last answered
        self.give_up_at = 0  # end of the present attempt
        self.changes: list[tuple[str, int, object]] = []

    def token(self, now: int) -> int | None:
        """Return the fencing token to act with now, or None.  It must be checked before each action."""
        return self.term.ballot if self.stage is Stage.HOLDING and now < self.lease_until else None

    def to_voters(self, message: Message) -> list[tuple[int, Message]]:
        """Address a message to all voters."""
        return [(voter, message) for voter in self.voters]

    def schedule_attempt(self, now: int, delay_us: int) -> None:
        """Become idle until the next attempt, after the delay, the wait by rank and a random part."""
        self.stage = Stage.IDLE
        jitter = self.rng.randrange(1 + self.timing.lease_us // 16)
        self.due_at = now + delay_us + self.rank_delay_us + jitter

    def back_off(self, now: int) -> None:
        """Wait for a random time after a failed attempt.

        Two candidates that retried at fixed intervals could outbid each other forever.
        """
        self.failed_attempts += 1
        bound = self.timing.answer_timeout << min(MAX_BACKOFF_DOUBLINGS, self.failed_attempts) >> 1
        self.stage, self.due_at = Stage.IDLE, now + self.rng.randrange(1, bound + 1)

    def tick(self, now: int, willing: bool, stalled: bool) -> list[tuple[int, Message]]:
        """Do what is due, and return the messages to send.

        :param willing: whether this ingress may stand for the duty now
        :param stalled: whether its own event loop was late
        """
        if self.stage is Stage.HOLDING:
            if now >= self.lease_until:
                self.end_term(now, why_ended(now - self.last_answer_at, self.timing, stalled))
                return []
            return self.renew(now) if now >= self.due_at else []
        if now < self.due_at:
            return []
        if self.stage is Stage.ASKING and now < self.give_up_at:
            return self.ask(now)
        if self.stage is Stage.TAKING and now < self.give_up_at:
            return self.renew(now)
        if self.stage is not Stage.IDLE:
            # The attempt has failed: without this, voters that granted it would reserve a lease that nobody
            # holds.
            ballot, taking = self.term.ballot, self.stage is Stage.TAKING
            self.back_off(now)
            return self.to_voters(Message(Topic.FREE, self.duty, ballot)) if taking else []
        if not willing:
            self.schedule_attempt(now, self.timing.renewal_interval)
            return []
        self.term = Term(next_ballot(max(self.highest_ballot, self.term.ballot), self.number))
        self.stage, self.give_up_at = Stage.ASKING, now + self.timing.answer_timeout
        return self.ask(now)

    def ask(self, now: int) -> list[tuple[int, Message]]:
        """Ask the voters that have not promised the ballot yet; repeated because messages get lost."""
        self.due_at = now + self.timing.resend_interval
        missing = [v for v in self.voters if v not in self.term.promised]
        return [(voter, Message(Topic.ASK, self.duty, self.term.ballot)) for voter in missing]

    def renew(self, now: int) -> list[tuple[int, Message]]:
        """Request the lease or its renewal from all voters, with a new sequence number."""
        term = self.term
        term.sequence += 1
        term.sent[term.sequence] = now
        term.sent.pop(term.sequence - MAX_TRACKED_RENEWALS, None)
        self.due_at = now + self.timing.resend_interval  # put off once a majority has answered
        return self.to_voters(Message(Topic.TAKE, self.duty, term.ballot, term.sequence))

    def receive(self, now: int, voter: int, message: Message, willing: bool) -> list[tuple[int, Message]]:
        """Process a voter's message, and return the messages to send.

        :param willing: whether this ingress may stand for the duty now
        """
        if voter not in self.voters:
            return []
        if message.topic is not Topic.HELD and message.other not in (self.incarnation, ANY_INCARNATION):
            # During an upgrade two processes of one number share an address.  What is promised or granted to
            # one of them must not count for the other.
            return []
        if voter != self.number:
            self.last_answer_at = now
        self.highest_ballot = max(self.highest_ballot, message.ballot)
        if message.topic is Topic.PROMISE:
            return self.receive_promise(now, voter, message.ballot, willing)
        if message.topic is Topic.TAKEN:
            self.receive_taken(now, voter, message)
        elif message.topic is Topic.HELD:
            self.receive_refusal(now, message)
        return []

    def receive_promise(self, now: int, voter: int, ballot: int, willing: bool) -> list[tuple[int, Message]]:
        """Count a promise; with a majority of them, request the lease."""
        # A ballot that was used for a term is its token: a delayed promise must not start a second term
        # with it.
        new = ballot > self.highest_taken_ballot and holder_of(ballot) == self.number
        if self.stage is Stage.IDLE and new and willing:
            # The last holder named this ingress as its successor, so the voters promise the ballot unasked.
            self.term = Term(ballot)
            self.stage, self.give_up_at = Stage.ASKING, now + self.timing.answer_timeout
            self.due_at = now + self.timing.resend_interval
        if self.stage is not Stage.ASKING or ballot != self.term.ballot:
            return []
        self.term.promised.add(voter)
        if len(self.term.promised) <= len(self.voters) // 2:
            return []
        self.stage, self.give_up_at = Stage.TAKING, now + self.timing.answer_timeout
        self.highest_taken_ballot = ballot
        return self.renew(now)

    def receive_taken(self, now: int, voter: int, message: Message) -> None:
        """Count a grant; with a majority of them, hold or extend the term from when TAKE was sent."""
        term = self.term
        if self.stage not in (Stage.TAKING, Stage.HOLDING) or message.ballot != term.ballot:
            return
        if message.number not in term.sent:
            return  # of an earlier attempt, or too old to count
        term.granted[voter] = max(term.granted.get(voter, 0), message.number)
        if len(term.granted) <= len(self.voters) // 2:
            return
        # The highest sequence that a majority has granted, itself or a later one.
        granted = sorted(term.granted.values(), reverse=True)[len(self.voters) // 2]
        if granted not in term.sent:
            return
        until = term.sent[granted] + self.timing.holder_lease_us
        if until <= max(now, self.lease_until if self.stage is Stage.HOLDING else 0):
            return
        self.lease_until = until
        self.due_at = term.sent[granted] + self.timing.renewal_interval
        if self.stage is Stage.TAKING:
            self.stage, self.failed_attempts = Stage.HOLDING, 0
            self.changes.append(("taken", now, until))
        else:
            self.changes.append(("renewed", now, until))

    def receive_refusal(self, now: int, message: Message) -> None:
        """Wait until the lease of the holder that the voter reports ends, or back off if there is none."""
        if message.number:
            self.holder_ballot, self.holder_until = message.other, now + message.number
        if self.stage is Stage.ASKING and message.ballot >= self.term.ballot and not message.number:
            self.back_off(now)
        elif self.stage is Stage.ASKING and message.number:
            self.failed_attempts = 0
            self.schedule_attempt(now, message.number)

    def end_term(self, now: int, reason: Reason, successor: int = -1) -> list[tuple[int, Message]]:
        """End the term held, and return the messages that release it, if it is released before its end.

        :param successor: number of the ingress that may have it next; below 0: whoever requests it first
        """
        if self.stage is not Stage.HOLDING:
            return []
        ballot, self.lease_until = self.term.ballot, 0
        self.changes.append(("left", now, reason))
        self.schedule_attempt(now, self.timing.lease_us // 2)
        if reason not in (Reason.RELEASED, Reason.STOPPING):
            return []
        following = next_ballot(max(self.highest_ballot, ballot), successor) if successor >= 0 else 0
        return self.to_voters(Message(Topic.FREE, self.duty, ballot, 0, following))
