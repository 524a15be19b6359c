"""One voter's memory of one duty: what it has promised and accepted (the acceptor of PaxosLease)."""

from __future__ import annotations

from .lease import ANY_INCARNATION, ERA_SHIFT, Timing, era_of, holder_of
from .messages import Message, Topic

Process = tuple[int, int]  # a process: member number and incarnation
Outgoing = list[tuple[int, Message]]  # messages to send, with the member number of the receiver
# Promised ballot and the process it is promised to; ballot and process of the term granted last, and the
# remaining us of that term.
Memory = tuple[int, Process, int, Process, int]


class Voter:
    """Promises ballots and grants leases of one duty, while it remembers what it has promised and granted.

    After a start it keeps one answer of each other voter; they are dropped once this one remembers again.
    """

    def __init__(self, duty: int, number: int, voters: tuple[int, ...], timing: Timing) -> None:
        """Create a voter that doesn't vote yet.

        :param duty: index of the duty in the plan
        :param number: the own member number
        """
        self.duty, self.number, self.voters, self.timing = duty, number, voters, timing
        self.promised, self.promised_to = 0, (-1, ANY_INCARNATION)
        self.term, self.term_holder, self.lease_until = 0, (-1, ANY_INCARNATION), 0
        self.remembers = False
        self.no_votes_before: int | None = None  # None: another process of this number may still vote
        self.known_by_others: dict[
            int, tuple[bool, int]
        ] = {}  # by voter: whether it remembers, its promised ballot
        self.wake_at = 0

    def start_voting(self, now: int, memory: Memory | None) -> None:
        """Start once no other process of this number votes any more.

        The time without a vote is counted from here, not from the start of the process: otherwise it would
        be over while a lease that the other process granted in the meantime is still valid.

        :param memory: what the other process handed over when it stopped voting, if it is known
        """
        self.no_votes_before = now + self.timing.voter_wait_us
        if memory is not None:
            self.promised, self.promised_to, self.term, self.term_holder, remaining = memory
            self.lease_until = now + remaining
            self.remembers = True

    def stop_voting(self, now: int) -> Memory | None:
        """Stop voting, and return the memory for the next process of this number, if there is any."""
        if not self.remembers:
            return None
        self.remembers, self.no_votes_before = False, None
        remaining = max(0, self.lease_until - now)
        return self.promised, self.promised_to, self.term, self.term_holder, remaining

    @property
    def majority(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    def receive(self, now: int, sender: int, incarnation: int, message: Message) -> Outgoing:
        """Process a message, and return the answers.

        :param incarnation: of the sender
        """
        topic, who = message.topic, (sender, incarnation)
        if topic is Topic.WAKE:
            known = Message(Topic.KNOWN, self.duty, self.promised, int(self.remembers))
            return [(sender, known)] if sender in self.voters and sender != self.number else []
        if topic is Topic.KNOWN:
            if sender in self.voters and not self.remembers:
                self.known_by_others[sender] = (bool(message.number), message.ballot)
            return []
        if not self.remembers:
            # A voter without its memory might grant a lease that it has already granted to another.
            return []
        if topic is Topic.ASK:
            return [(sender, self.receive_ask(now, who, message.ballot))]
        if topic is Topic.TAKE:
            return [(sender, self.receive_take(now, who, message))]
        if topic is Topic.FREE:
            return self.receive_free(now, who, message)
        return []

    def held_by_other(self, now: int, who: Process) -> bool:
        """Whether a lease granted to another process is still valid here."""
        return now < self.lease_until and self.term_holder != who

    def refusal(self, now: int) -> Message:
        """Return the answer HELD, with the remaining time of the present term."""
        remaining = max(0, self.lease_until - now)
        return Message(Topic.HELD, self.duty, self.promised, remaining, self.term if remaining else 0)

    def receive_ask(self, now: int, who: Process, ballot: int) -> Message:
        """Promise a ballot, or refuse it."""
        # A ballot promised while another process holds the lease would make the holder's next renewal fail.
        if self.held_by_other(now, who) or not self.may_promise(who, ballot):
            return self.refusal(now)
        self.promised, self.promised_to = ballot, who
        return Message(Topic.PROMISE, self.duty, ballot, 0, who[1])

    def may_promise(self, who: Process, ballot: int) -> bool:
        """Whether a ballot is above all that were promised, or has been promised to this process already."""
        if ballot == self.promised:
            return self.promised_to == who or self.promised_to == (who[0], ANY_INCARNATION)
        return ballot > self.promised and holder_of(ballot) == who[0]

    def receive_take(self, now: int, who: Process, message: Message) -> Message:
        """Grant or renew a lease, or refuse it."""
        if not self.may_promise(who, message.ballot):
            return self.refusal(now)
        self.promised, self.promised_to = message.ballot, who
        self.term, self.term_holder, self.lease_until = message.ballot, who, now + self.timing.lease_us
        return Message(Topic.TAKEN, self.duty, message.ballot, message.number, who[1])

    def receive_free(self, now: int, who: Process, message: Message) -> Outgoing:
        """End a lease that its holder releases, and promise the next ballot to the successor it names.

        Only the holder of exactly this term may release it: neither a term of another process nor a later one
        of the same process must end by a delayed message.
        """
        if message.ballot != self.promised or self.promised_to != who:
            return []
        self.lease_until = min(self.lease_until, now)
        next_round = ((message.ballot >> 10) + 1) << 10
        if message.other <= self.promised:
            self.promised, self.promised_to = next_round, (-1, ANY_INCARNATION)
            return []
        self.promised, self.promised_to = message.other, (holder_of(message.other), ANY_INCARNATION)
        return [(holder_of(message.other), Message(Topic.PROMISE, self.duty, message.other))]

    def tick(self, now: int, wall_s: int) -> Outgoing:
        """Query the other voters while nothing is remembered, and start to vote once that is safe.

        :param wall_s: the wall clock in seconds, which numbers a new era
        """
        if self.remembers or self.no_votes_before is None:
            return []
        if now >= self.no_votes_before and self.recall(wall_s):
            return []
        if now < self.wake_at:
            return []
        self.wake_at = now + self.timing.renewal_interval
        wake = Message(Topic.WAKE, self.duty)
        return [(v, wake) for v in self.voters if v != self.number]

    def recall(self, wall_s: int) -> bool:
        """Adopt the highest reported ballot, or begin a new era if a majority has lost its memory.

        The ballot is adopted if a majority has its memory. An era is the first part of a ballot: ballots of a
        new era are above all earlier ones. Returns whether this voter may vote now.
        """
        highest = max([self.promised, *(ballot for _, ballot in self.known_by_others.values())])
        remembering = sum(remembers for remembers, _ in self.known_by_others.values())
        forgotten = 1 + len(self.known_by_others) - remembering
        if remembering >= self.majority:
            self.promised = highest
        elif forgotten >= self.majority:
            self.promised = max(wall_s, era_of(highest) + 1) << ERA_SHIFT
        else:
            return False
        self.promised_to, self.remembers, self.known_by_others = (-1, ANY_INCARNATION), True, {}
        return True
