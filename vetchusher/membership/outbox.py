"""What one member sends: piggybacked records, gossip, whole views, within a budget for unasked messages.

SWIM's dissemination component: updates ride on probes and their answers, the least sent first.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from vetchusher.datagrams import Envelope, SendDatagram

from . import messages
from .duplicates import DuplicateNumbers
from .messages import NOBODY, RECORDS_SEALED, Message, Topic
from .records import ACCUSATIONS, LIVING, Record, State
from .rules import GOSSIP_FANOUT, REFRESHED, SYNC_PARTS, Rules
from .view import View

LEAVE_FANOUT = 8  # members that are sent the record LEFT at the end
MOST_SYNCS = 4  # members that wait for a whole view here; others ask elsewhere

Acts = list[SendDatagram]


@dataclass(slots=True)
class Figures:
    """Counts since the start, for `GET /api/members`."""

    sent: int = 0
    heard: int = 0
    bytes: int = 0
    late_ticks: int = 0
    accused: int = 0  # records received that say this member is suspected or dead


class Outbox:
    """Owner of the send budget, the members that wait for a whole view, and the cursor of refreshed records.

    :param own: this member's record now
    """

    def __init__(
        self,
        rules: Rules,
        view: View,
        duplicates: DuplicateNumbers,
        envelope: Envelope,
        rng: random.Random,
        figures: Figures,
        own: Callable[[int], Record],
    ) -> None:
        self.rules, self.view, self.duplicates = rules, view, duplicates
        self.envelope, self.rng, self.figures, self.own = envelope, rng, figures, own
        self.tokens, self.paid_at = rules.out_per_s, 0  # datagrams that may be sent unasked
        self.syncs: deque[tuple[int, int]] = deque()  # member, next part
        self.cursor = 0
        self.own_updates = 0  # times that the own record is still to be sent

    def pay(self, now: int) -> bool:
        """Whether there is a datagram to spare for what is no answer and can wait."""
        gained = max(0, now - self.paid_at) * self.rules.out_per_s / 1e6
        self.tokens = min(self.rules.out_per_s, self.tokens + gained)
        self.paid_at = now
        return self.tokens >= 1.0

    def send(
        self,
        now: int,
        to: int,
        topic: Topic,
        acts: Acts,
        sequence: int = 0,
        about: int = NOBODY,
        extra: int = 0,
        records: list[tuple[int, Record]] | None = None,
    ) -> None:
        """Append a datagram to `acts`.

        :param records: to carry instead of those that are due
        """
        if topic in (Topic.PING, Topic.NEWS) and (duplicate := self.duplicates.newest(now)) is not None:
            about, extra = duplicate
        carried = records if records is not None else self.carried(now, to, topic)
        own = self.own(now)
        flags = messages.LEAVING if own.state is State.LEAVING else 0
        message = Message(topic, own.life, own.beat, flags, sequence, about, extra, tuple(carried))
        data = self.envelope.write(topic, messages.write(message))
        self.figures.sent += 1
        self.tokens -= 1.0
        self.figures.bytes += len(data)
        acts.append(SendDatagram(to, data))

    def carried(self, now: int, to: int, topic: Topic) -> list[tuple[int, Record]]:
        """Records to piggyback: accusations of the receiver, updates, and a few other members in turn."""
        carried = []
        entry = self.view.entries[to]
        if entry.record.state in ACCUSATIONS or to in self.duplicates.seen:
            carried.append((to, self.view.record_to_send(now, to)))
        carried += self.view.next_updates(now, RECORDS_SEALED - len(carried))
        if topic in (Topic.PING, Topic.ACK):
            numbers = list(self.view.entries)
            for _ in range(min(REFRESHED, RECORDS_SEALED - len(carried), len(numbers))):
                self.cursor = (self.cursor + 1) % len(numbers)
                number = numbers[self.cursor]
                if number != to and self.view.may_send(now, number):
                    carried.append((number, self.view.record_to_send(now, number)))
        return carried

    def gossip(self, now: int, acts: Acts) -> None:
        """Send updates to a few random members.

        Danger: updates that wait for the next ping spread too late for the accused to refute.
        """
        if (not self.view.updates and self.own_updates <= 0) or not self.pay(now):
            return
        here = [n for n in self.view.here() if self.view.state_of(n) in LIVING]
        self.own_updates -= 1
        for member in self.rng.sample(here, min(GOSSIP_FANOUT, len(here))):
            self.send(now, member, Topic.NEWS, acts)

    def send_views(self, now: int, acts: Acts) -> None:
        """Send parts of the whole view to a member that asked: a few a tick, so that no inbox overflows."""
        if not self.syncs or not self.pay(now):
            return
        to, part = self.syncs[0]
        known = [n for n in self.view.entries if n != to and self.view.may_send(now, n)]
        parts = max(1, -(-len(known) // RECORDS_SEALED))
        for number in range(part, min(parts, part + SYNC_PARTS)):
            some = known[number * RECORDS_SEALED : (number + 1) * RECORDS_SEALED]
            records = [(n, self.view.record_to_send(now, n)) for n in some]
            self.send(now, to, Topic.VIEW, acts, about=number, extra=parts, records=records)
        if part + SYNC_PARTS >= parts:
            self.syncs.popleft()
        else:
            self.syncs[0] = (to, part + SYNC_PARTS)

    def queue_sync(self, sender: int) -> None:
        """The sender asks for the whole view."""
        if len(self.syncs) < MOST_SYNCS and all(to != sender for to, _ in self.syncs):
            self.syncs.append((sender, 0))

    def announce_left(self, now: int, number: int, acts: Acts) -> None:
        """Send the record LEFT of this member, whose number that is, to a few others."""
        here = self.view.here()
        own = self.own(now)
        gone = Record(own.life, own.beat, State.LEFT)
        for member in self.rng.sample(here, min(LEAVE_FANOUT, len(here))):
            self.send(now, member, Topic.NEWS, acts, records=[(number, gone)])
