"""All duties at one ingress: its voters, its candidates, and the datagrams and log events they cause."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher.datagrams import Envelope, ReceivedMessage, SendDatagram

from . import messages
from .candidate import Candidate, Reason, Stage
from .lease import holder_of
from .messages import Message, Topic
from .plan import STANDBY_COUNT, Plan
from .voter import Memory, Voter

RANKS_PER_LEASE = 8  # standbys whose attempts are spread over one lease
VOTER_TOPICS = frozenset((Topic.ASK, Topic.TAKE, Topic.FREE, Topic.WAKE, Topic.KNOWN))


@dataclass(slots=True, frozen=True)
class TermEvent:
    """A term was taken, renewed or left here.  Times in us on this ingress's lease clock.

    :param kind: taken, renewed or left
    :param duty: name of the duty
    :param until: end of the term, unless it was left
    :param reason: why it was left
    """

    kind: str
    duty: str
    token: int
    at: int
    until: int = 0
    reason: str = ""


Output = SendDatagram | TermEvent


@dataclass(slots=True)
class Counters:
    """Counts since the start, for `GET /api/duties`.

    :param late_ticks: ticks that came later than the previous one by more than a renewal interval
    """

    sent: int = 0
    received: int = 0
    late_ticks: int = 0


@dataclass(slots=True)
class Duties:
    """The state machines of one process: for each duty of the plan a candidate and, at a voter, a voter.

    :param number: the own member number
    :param incarnation: of this process
    :param key: seals the messages; None: they are sent without a seal
    :param drained: an operator's order: hold no duty, and stand for none
    :param last_received_at: by ingress: when its last message arrived (us)
    :param orders: for each duty the ingresses in the order in which they stand for it
    """

    plan: Plan
    number: int
    incarnation: int
    rng: random.Random
    key: bytes | None = None
    candidates: list[Candidate] = field(default_factory=list)
    voters: list[Voter] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)
    drained: bool = False
    stopping: bool = False
    ticked_at: int = -1
    last_received_at: dict[int, int] = field(default_factory=dict)
    envelope: Envelope = field(init=False)
    orders: list[list[int]] = field(init=False)

    def __post_init__(self) -> None:
        """Derive the envelope and the orders from the plan."""
        plan = self.plan
        self.envelope = Envelope(self.number, self.incarnation, plan.members, plan.digest(), self.key)
        self.orders = plan.preference_orders(plan.willing)

    def begin(self, now: int) -> None:
        """Create all candidates and voters, and schedule the first attempts; the voters are started later."""
        plan = self.plan
        for duty in range(len(plan.duties)):
            candidate = Candidate(duty, self.number, self.incarnation, plan.voters, plan.timing, self.rng)
            self.candidates.append(candidate)
            candidate.rank_delay_us = self.rank_delay_us(duty)
            candidate.schedule_attempt(now, 0)
            if self.number in plan.voters:
                self.voters.append(Voter(duty, self.number, plan.voters, plan.timing))

    def start_voting(self, now: int, memory: list[Memory | None] | None = None) -> None:
        """Start to vote, as no other process of this number votes any more; see `Voter`.

        :param memory: for each duty, the memory that the previous process handed over
        """
        for duty, voter in enumerate(self.voters):
            voter.start_voting(now, memory[duty] if memory is not None and duty < len(memory) else None)

    def stop_voting(self, now: int) -> list[Memory | None]:
        """Stop voting for good, and return the memory that the next process of this number can go on with."""
        return [voter.stop_voting(now) for voter in self.voters]

    def rank_delay_us(self, duty: int) -> int:
        """Return how long (us) this ingress waits before it requests a duty that may be free."""
        order, lease = self.orders[duty], self.plan.timing.lease_us
        if self.number not in order:
            return lease * len(order)
        rank = order.index(self.number)
        return rank * lease // RANKS_PER_LEASE if rank < STANDBY_COUNT else lease * len(order) // 4

    def is_willing(self) -> bool:
        """Whether this ingress stands for duties now."""
        return self.number in self.plan.willing and not self.drained and not self.stopping

    # -- events -----------------------------------------------------------------------

    def tick(self, now: int, wall_s: int) -> list[Output]:
        """Do what is due; to be called several times a renewal interval.

        :param wall_s: the wall clock in seconds
        """
        outputs: list[Output] = []
        stalled = self.ticked_at >= 0 and now - self.ticked_at > self.plan.timing.renewal_interval
        self.counters.late_ticks += stalled
        self.ticked_at = now
        for voter in self.voters:
            self.send(now, voter.tick(now, wall_s), outputs)
        for candidate in self.candidates:
            self.send(now, candidate.tick(now, self.is_willing(), stalled), outputs)
            self.emit_changes(candidate, outputs)
        return outputs

    def receive_datagram(self, now: int, sender: int, data: bytes) -> list[Output]:
        """Process a datagram; one that can't be used is counted and ignored."""
        outputs: list[Output] = []
        received = self.envelope.read(sender, data)
        if received is not None:
            self.receive(now, received, outputs)
        return outputs

    def receive(self, now: int, received: ReceivedMessage, outputs: list[Output]) -> None:
        """Process a message without its envelope; one that can't be used is counted and ignored."""
        message = messages.read(received.topic, received.body)
        if message is None or message.duty >= len(self.candidates):
            self.envelope.refuse("unreadable")
            return
        self.counters.received += 1
        self.last_received_at[received.sender] = now
        self.deliver(now, received.sender, received.incarnation, message, outputs)

    def deliver(
        self, now: int, sender: int, incarnation: int, message: Message, outputs: list[Output]
    ) -> None:
        """Pass a message to the voter or the candidate of its duty, or a MOVE to `receive_move`.

        :param incarnation: of the sender
        """
        if message.topic in VOTER_TOPICS:
            if self.voters:
                self.send(now, self.voters[message.duty].receive(now, sender, incarnation, message), outputs)
            return
        if message.topic is Topic.MOVE:
            self.receive_move(now, message, outputs)
            return
        candidate = self.candidates[message.duty]
        self.send(now, candidate.receive(now, sender, message, self.is_willing()), outputs)
        self.emit_changes(candidate, outputs)

    def stop(self, now: int) -> list[Output]:
        """Release all duties, as the process is about to end."""
        self.stopping = True
        return self.end_terms(now, Reason.STOPPING)

    def drain(self, now: int, free: bool) -> list[Output]:
        """Release all duties on an operator's order, and stand for none until the order is taken back."""
        self.drained = free
        return self.end_terms(now, Reason.RELEASED) if free else []

    def move(self, now: int, duty: int, to: int) -> list[Output] | None:
        """Hand a duty over to another ingress on an operator's order, or ask its holder to do so.

        Returns None if no holder is known here.  The request to the holder is a single datagram; whether it
        was followed shows in who holds the duty.
        """
        candidate, outputs = self.candidates[duty], list[Output]()
        if candidate.token(now) is not None:
            self.end_term(now, candidate, Reason.RELEASED, to, outputs)
        elif now < candidate.holder_until and candidate.holder_ballot:
            request = Message(Topic.MOVE, duty, candidate.holder_ballot, to)
            self.send(now, [(holder_of(candidate.holder_ballot), request)], outputs)
        else:
            return None
        return outputs

    def receive_move(self, now: int, message: Message, outputs: list[Output]) -> None:
        """Hand a duty over as an operator has ordered at another ingress.

        The request names the term that it is for: a delayed one must not end a later term.
        """
        candidate = self.candidates[message.duty]
        if candidate.token(now) == message.ballot and message.number in self.plan.willing:
            self.end_term(now, candidate, Reason.RELEASED, message.number, outputs)

    def end_terms(self, now: int, reason: Reason) -> list[Output]:
        """End all terms held here, each in favour of its successor."""
        outputs: list[Output] = []
        for duty, candidate in enumerate(self.candidates):
            self.end_term(now, candidate, reason, self.successor(now, duty), outputs)
        return outputs

    def end_term(
        self, now: int, candidate: Candidate, reason: Reason, to: int, outputs: list[Output]
    ) -> None:
        """End one term in favour of an ingress."""
        out = candidate.end_term(now, reason, to)
        self.emit_changes(candidate, outputs)
        self.send(now, out, outputs)

    def observe_token(self, duty: int, token: int) -> None:
        """Make the next term's token greater than one seen by a receiver that checks fencing tokens."""
        self.candidates[duty].highest_ballot = max(self.candidates[duty].highest_ballot, token)

    # -- state --------------------------------------------------------------------------

    def token(self, now: int, duty: int) -> int | None:
        """Return the fencing token to act with now, or None.  It must be checked before each action."""
        return self.candidates[duty].token(now)

    def successor(self, now: int, duty: int) -> int:
        """Return the next ingress in a duty's order, or -1 if there is no other.

        Ingresses from which a message has arrived lately come before all others.
        """
        others = [n for n in self.orders[duty] if n != self.number]
        recent_us = 2 * self.plan.timing.lease_us
        recent = [n for n in others if now - self.last_received_at.get(n, -recent_us - 1) <= recent_us]
        return (recent or others or [-1])[0]

    def status(self, now: int) -> list[dict[str, object]]:
        """Return a row for each duty: its holder and remaining term, as far as known, and the stage here."""
        rows: list[dict[str, object]] = []
        for duty, candidate in zip(self.plan.duties, self.candidates, strict=True):
            token = candidate.token(now)
            until = candidate.lease_until if token is not None else candidate.holder_until
            ballot = token if token is not None else candidate.holder_ballot if now < until else 0
            rows.append(
                {
                    "duty": duty.name,
                    "here": token is not None,
                    "holder": holder_of(ballot) if ballot else None,
                    "token": ballot or None,
                    "left_ms": max(0, until - now) // 1000 if ballot else 0,
                    "stage": candidate.stage.value,
                }
            )
        return rows

    # -- output -------------------------------------------------------------------------

    def send(self, now: int, out: list[tuple[int, Message]], outputs: list[Output]) -> None:
        """Deliver messages to this ingress itself at once, in order; encode and send the others."""
        for to, message in out:
            if to == self.number:
                self.deliver(now, self.number, self.incarnation, message, outputs)
            else:
                self.counters.sent += 1
                outputs.append(SendDatagram(to, self.envelope.write(message.topic, messages.write(message))))

    def emit_changes(self, candidate: Candidate, outputs: list[Output]) -> None:
        """Convert a candidate's changes to log events."""
        name = self.plan.duties[candidate.duty].name
        for what, at, detail in candidate.changes:
            if isinstance(detail, Reason):
                outputs.append(TermEvent(what, name, candidate.term.ballot, at, reason=detail.value))
            else:
                assert isinstance(detail, int)
                outputs.append(TermEvent(what, name, candidate.term.ballot, at, until=detail))
        candidate.changes.clear()

    def holds_any(self) -> bool:
        """Whether this ingress holds any duty."""
        return any(c.stage is Stage.HOLDING for c in self.candidates)
