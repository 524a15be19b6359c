"""One voter's memory of one duty: what it promised and accepted (PaxosLease's acceptor)."""

from __future__ import annotations

from .lease import ANY_LIFE, ERA_SHIFT, Timing, era_of, holder_of
from .messages import Message, Topic

Who = tuple[int, int]  # number and life
Out = list[tuple[int, Message]]
Memory = tuple[int, Who, int, Who, int]  # promised ballot and to whom, term and whose, us left of it


class Voter:
    """What was promised and accepted, and whether it is remembered.

    It keeps a handful of numbers, and in `told` what each other voter answered since this one started: as
    many entries as there are voters, dropped when it remembers.
    """

    def __init__(self, duty: int, number: int, voters: tuple[int, ...], timing: Timing) -> None:
        self.duty, self.number, self.voters, self.timing = duty, number, voters, timing
        self.promised, self.promised_to = 0, (-1, ANY_LIFE)
        self.term, self.term_of, self.until = 0, (-1, ANY_LIFE), 0
        self.remembers = False
        self.silent_until: int | None = None  # none: another process of this number may still vote
        self.told: dict[int, tuple[bool, int]] = {}
        self.wake_at = 0

    def begin(self, now: int, memory: Memory | None) -> None:
        """No other process of this number votes any more.

        Danger: counted from this process's start, the silence would be over while what the other one gave
        away in the meantime still holds.

        :param memory: what that one left when it stopped voting
        """
        self.silent_until = now + self.timing.silence
        if memory is not None:
            self.promised, self.promised_to, self.term, self.term_of, left = memory
            self.until = now + left
            self.remembers = True

    def retire(self, now: int) -> Memory | None:
        """Vote no more, and give what is remembered to the next process of this number."""
        if not self.remembers:
            return None
        self.remembers, self.silent_until = False, None
        left = max(0, self.until - now)
        return self.promised, self.promised_to, self.term, self.term_of, left

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def heard(self, now: int, sender: int, life: int, message: Message) -> Out:
        """Take in a message; the answers, by number of whom they go to."""
        topic, who = message.topic, (sender, life)
        if topic is Topic.WAKE:
            known = Message(Topic.KNOWN, self.duty, self.promised, int(self.remembers))
            return [(sender, known)] if sender in self.voters and sender != self.number else []
        if topic is Topic.KNOWN:
            if sender in self.voters and not self.remembers:
                self.told[sender] = (bool(message.number), message.ballot)
            return []
        if not self.remembers:
            # Danger: whoever votes without its memory may give away what it has already given.
            return []
        if topic is Topic.ASK:
            return [(sender, self.asked(now, who, message.ballot))]
        if topic is Topic.TAKE:
            return [(sender, self.take(now, who, message))]
        if topic is Topic.FREE:
            return self.free(now, who, message)
        return []

    def held_by_other(self, now: int, who: Who) -> bool:
        return now < self.until and self.term_of != who

    def held(self, now: int) -> Message:
        left = max(0, self.until - now)
        return Message(Topic.HELD, self.duty, self.promised, left, self.term if left else 0)

    def asked(self, now: int, who: Who, ballot: int) -> Message:
        # Danger: promised while another holds, the holder's next renewal would be turned away.
        if self.held_by_other(now, who) or not self.may_have(who, ballot):
            return self.held(now)
        self.promised, self.promised_to = ballot, who
        return Message(Topic.PROMISE, self.duty, ballot, 0, who[1])

    def may_have(self, who: Who, ballot: int) -> bool:
        """Whether a ballot is above all that was promised, or is the one promised to this life."""
        if ballot == self.promised:
            return self.promised_to == who or self.promised_to == (who[0], ANY_LIFE)
        return ballot > self.promised and holder_of(ballot) == who[0]

    def take(self, now: int, who: Who, message: Message) -> Message:
        if not self.may_have(who, message.ballot):
            return self.held(now)
        self.promised, self.promised_to = message.ballot, who
        self.term, self.term_of, self.until = message.ballot, who, now + self.timing.lease
        return Message(Topic.TAKEN, self.duty, message.ballot, message.number, who[1])

    def free(self, now: int, who: Who, message: Message) -> Out:
        # Danger: a term that another holds, or a later one of the same ingress, must not end by this.
        if message.ballot != self.promised or self.promised_to != who:
            return []
        self.until = min(self.until, now)
        closed = ((message.ballot >> 10) + 1) << 10
        if message.other <= self.promised:
            self.promised, self.promised_to = closed, (-1, ANY_LIFE)
            return []
        self.promised, self.promised_to = message.other, (holder_of(message.other), ANY_LIFE)
        return [(holder_of(message.other), Message(Topic.PROMISE, self.duty, message.other))]

    def tick(self, now: int, wall_s: int) -> Out:
        """Ask the others while nothing is remembered, and remember once it is safe.

        :param wall_s: seconds of the wall clock: a new era's number
        """
        if self.remembers or self.silent_until is None:
            return []
        if now >= self.silent_until and self.recall(wall_s):
            return []
        if now < self.wake_at:
            return []
        self.wake_at = now + self.timing.renew
        wake = Message(Topic.WAKE, self.duty)
        return [(v, wake) for v in self.voters if v != self.number]

    def recall(self, wall_s: int) -> bool:
        """Take up what the others know, or begin an era where a majority has forgotten."""
        highest = max([self.promised, *(ballot for _, ballot in self.told.values())])
        remembering = sum(remembers for remembers, _ in self.told.values())
        forgotten = 1 + len(self.told) - remembering
        if remembering >= self.majority:
            self.promised = highest
        elif forgotten >= self.majority:
            self.promised = max(wall_s, era_of(highest) + 1) << ERA_SHIFT
        else:
            return False
        self.promised_to, self.remembers, self.told = (-1, ANY_LIFE), True, {}
        return True
