"""All duties at one ingress: its voters, its candidates, and the datagrams and log events they cause."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher.datagrams import Envelope, ReceivedMessage, SendDatagram

from . import messages
from .candidate import Candidate, Reason, Stage
from .lease import holder_of
from .messages import Message, Topic
from .plan import STANDBY, Plan
from .voter import Memory, Voter

RANK_PART = 8  # of a lease between the asking of one rank and the next
TO_VOTER = frozenset((Topic.ASK, Topic.TAKE, Topic.FREE, Topic.WAKE, Topic.KNOWN))


@dataclass(slots=True, frozen=True)
class Note:
    """A term was taken, renewed or left here.  Times in us on this ingress's lease clock."""

    what: str
    duty: str
    token: int
    at: int
    until: int = 0
    reason: str = ""


Act = SendDatagram | Note


@dataclass(slots=True)
class Figures:
    sent: int = 0
    heard: int = 0
    late_ticks: int = 0  # this ingress's own event loop came late by more than a renewal


@dataclass(slots=True)
class Duties:
    """The state machines of one process.

    It keeps one voter and one candidate a duty, as many as the plan has; none is ever added or removed.
    """

    plan: Plan
    number: int
    life: int
    rng: random.Random
    key: bytes | None = None
    candidates: list[Candidate] = field(default_factory=list)
    voters: list[Voter] = field(default_factory=list)
    figures: Figures = field(default_factory=Figures)
    kept_free: bool = False  # by hand: holds no duty, and stands for none
    stopping: bool = False
    ticked_at: int = -1
    heard_at: dict[int, int] = field(default_factory=dict)  # by ingress, as many as the cluster has
    envelope: Envelope = field(init=False)
    orders: list[list[int]] = field(init=False)

    def __post_init__(self) -> None:
        plan = self.plan
        self.envelope = Envelope(self.number, self.life, plan.members, plan.digest(), self.key)
        self.orders = plan.orders(plan.willing)

    def begin(self, now: int) -> None:
        plan = self.plan
        for duty in range(len(plan.duties)):
            candidate = Candidate(duty, self.number, self.life, plan.voters, plan.timing, self.rng)
            self.candidates.append(candidate)
            candidate.rank_wait = self.rank_wait(duty)
            candidate.wait(now, 0)
            if self.number in plan.voters:
                self.voters.append(Voter(duty, self.number, plan.voters, plan.timing))

    def vote(self, now: int, memory: list[Memory | None] | None = None) -> None:
        """No other process of this number votes any more; see `Voter.begin`.

        :param memory: by duty, what the process before this one left
        """
        for duty, voter in enumerate(self.voters):
            voter.begin(now, memory[duty] if memory is not None and duty < len(memory) else None)

    def retire(self, now: int) -> list[Memory | None]:
        """Stop voting, for good; gives what the next process of this number may go on with."""
        return [voter.retire(now) for voter in self.voters]

    def rank_wait(self, duty: int) -> int:
        """How long after others this one asks for a duty that may be free."""
        order, lease = self.orders[duty], self.plan.timing.lease
        if self.number not in order:
            return lease * len(order)
        rank = order.index(self.number)
        return rank * lease // RANK_PART if rank < STANDBY else lease * len(order) // 4

    def wants(self) -> bool:
        return self.number in self.plan.willing and not self.kept_free and not self.stopping

    # -- events -----------------------------------------------------------------------

    def tick(self, now: int, wall_s: int) -> list[Act]:
        """To be called several times a renewal."""
        acts: list[Act] = []
        stalled = self.ticked_at >= 0 and now - self.ticked_at > self.plan.timing.renew
        self.figures.late_ticks += stalled
        self.ticked_at = now
        for voter in self.voters:
            self.post(now, voter.tick(now, wall_s), acts)
        for candidate in self.candidates:
            self.post(now, candidate.tick(now, self.wants(), stalled), acts)
            self.note(candidate, acts)
        return acts

    def heard(self, now: int, sender: int, data: bytes) -> list[Act]:
        """Take in a datagram; one that cannot be used is counted and ignored."""
        acts: list[Act] = []
        received = self.envelope.read(sender, data)
        if received is not None:
            self.receive(now, received, acts)
        return acts

    def receive(self, now: int, received: ReceivedMessage, acts: list[Act]) -> None:
        message = messages.read(received.topic, received.body)
        if message is None or message.duty >= len(self.candidates):
            self.envelope.refuse("unreadable")
            return
        self.figures.heard += 1
        self.heard_at[received.sender] = now
        self.deliver(now, received.sender, received.life, message, acts)

    def deliver(self, now: int, sender: int, life: int, message: Message, acts: list[Act]) -> None:
        if message.topic in TO_VOTER:
            if self.voters:
                self.post(now, self.voters[message.duty].heard(now, sender, life, message), acts)
            return
        if message.topic is Topic.MOVE:
            self.asked_to_move(now, message, acts)
            return
        candidate = self.candidates[message.duty]
        self.post(now, candidate.heard(now, sender, message, self.wants()), acts)
        self.note(candidate, acts)

    def stop(self, now: int) -> list[Act]:
        """Release all duties: the process is about to end."""
        self.stopping = True
        return self.give_up(now, Reason.STOPPING)

    def keep_free(self, now: int, free: bool) -> list[Act]:
        """By hand: hold no duty until told otherwise."""
        self.kept_free = free
        return self.give_up(now, Reason.RELEASED) if free else []

    def move(self, now: int, duty: int, to: int) -> list[Act] | None:
        """By hand: hand a duty to another ingress, or ask its holder to; None where no holder is known here.

        The asking is one datagram: whether it was heeded shows in who holds the duty.
        """
        candidate, acts = self.candidates[duty], list[Act]()
        if candidate.token(now) is not None:
            self.leave(now, candidate, Reason.RELEASED, to, acts)
        elif now < candidate.holder_until and candidate.holder:
            ask = Message(Topic.MOVE, duty, candidate.holder, to)
            self.post(now, [(holder_of(candidate.holder), ask)], acts)
        else:
            return None
        return acts

    def asked_to_move(self, now: int, message: Message, acts: list[Act]) -> None:
        """Another ingress was asked by hand.  Danger: an old asking must not end a later term."""
        candidate = self.candidates[message.duty]
        if candidate.token(now) == message.ballot and message.number in self.plan.willing:
            self.leave(now, candidate, Reason.RELEASED, message.number, acts)

    def give_up(self, now: int, reason: Reason) -> list[Act]:
        acts: list[Act] = []
        for duty, candidate in enumerate(self.candidates):
            self.leave(now, candidate, reason, self.successor(now, duty), acts)
        return acts

    def leave(self, now: int, candidate: Candidate, reason: Reason, to: int, acts: list[Act]) -> None:
        out = candidate.leave(now, reason, to)
        self.note(candidate, acts)
        self.post(now, out, acts)

    def outbid(self, duty: int, token: int) -> None:
        """A target knows a higher token than ours: the next term must be above it."""
        self.candidates[duty].seen = max(self.candidates[duty].seen, token)

    # -- what it knows ----------------------------------------------------------------

    def token(self, now: int, duty: int) -> int | None:
        """The token to act with now, or nothing; to be asked at each act."""
        return self.candidates[duty].token(now)

    def successor(self, now: int, duty: int) -> int:
        """Who comes next of those heard lately, else the first other; below nothing: nobody."""
        others = [n for n in self.orders[duty] if n != self.number]
        lately = 2 * self.plan.timing.lease
        fresh = [n for n in others if now - self.heard_at.get(n, -lately - 1) <= lately]
        return (fresh or others or [-1])[0]

    def shown(self, now: int) -> list[dict[str, object]]:
        """By duty: who holds it as far as is known here, until when, and this ingress's own part."""
        rows: list[dict[str, object]] = []
        for duty, candidate in zip(self.plan.duties, self.candidates, strict=True):
            token = candidate.token(now)
            until = candidate.until if token is not None else candidate.holder_until
            ballot = token if token is not None else candidate.holder if now < until else 0
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

    # -- small things -----------------------------------------------------------------

    def post(self, now: int, out: list[tuple[int, Message]], acts: list[Act]) -> None:
        """Deliver messages to this ingress itself at once, in order; seal the others and send them."""
        for to, message in out:
            if to == self.number:
                self.deliver(now, self.number, self.life, message, acts)
            else:
                self.figures.sent += 1
                acts.append(SendDatagram(to, self.envelope.write(message.topic, messages.write(message))))

    def note(self, candidate: Candidate, acts: list[Act]) -> None:
        name = self.plan.duties[candidate.duty].name
        for what, at, detail in candidate.changes:
            if isinstance(detail, Reason):
                acts.append(Note(what, name, candidate.term.ballot, at, reason=detail.value))
            else:
                assert isinstance(detail, int)
                acts.append(Note(what, name, candidate.term.ballot, at, until=detail))
        candidate.changes.clear()

    def holds(self) -> bool:
        return any(c.stage is Stage.HOLDING for c in self.candidates)
