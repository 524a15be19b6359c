"""What one member sends: piggybacked records, gossip, whole views, within a budget for unsolicited messages.

SWIM's dissemination component: updates are piggybacked on probes and their answers, those sent least often
first.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from vetchusher.datagrams import Envelope, SendDatagram

from . import messages
from .duplicates import DuplicateNumbers
from .messages import MAX_RECORDS, NOBODY, Message, Topic
from .records import ACCUSATIONS, LIVE_STATES, Record, State
from .rules import GOSSIP_FANOUT, REFRESH_RECORDS, SYNC_PARTS_PER_TICK, MembershipTiming
from .view import View

LEAVE_FANOUT = 8  # members that the record LEFT is sent to at the end
MAX_QUEUED_SYNCS = 4  # members that wait for a whole view here; others will request it elsewhere

Datagrams = list[SendDatagram]


@dataclass(slots=True)
class Counters:
    """Counts since the start, for `GET /api/members`.

    :param accused: records received that say this member is suspected or dead
    """

    sent: int = 0
    received: int = 0
    bytes: int = 0
    late_ticks: int = 0
    accused: int = 0


class Outbox:
    """Owns the send budget, the queue of members that wait for a whole view, and the refresh cursor.

    The budget is a token bucket that holds one second's worth of datagrams.  Answers draw on it as well, but
    are always sent.
    """

    def __init__(
        self,
        rules: MembershipTiming,
        view: View,
        duplicates: DuplicateNumbers,
        envelope: Envelope,
        rng: random.Random,
        counters: Counters,
        own_record: Callable[[int], Record],
    ) -> None:
        """Create an outbox with a full budget.

        :param own_record: returns this member's record at a time (us)
        """
        self.rules, self.view, self.duplicates = rules, view, duplicates
        self.envelope, self.rng, self.counters, self.own_record = envelope, rng, counters, own_record
        self.tokens, self.refilled_at = rules.sends_per_s, 0  # datagrams that may be sent unsolicited
        self.sync_queue: deque[tuple[int, int]] = deque()  # the member, and the next part of the view
        self.cursor = 0
        self.own_updates = 0  # how often the own record is still to be gossiped

    def has_budget(self, now: int) -> bool:
        """Refill the bucket, and return whether a message that is no answer and can wait may be sent."""
        gained = max(0, now - self.refilled_at) * self.rules.sends_per_s / 1e6
        self.tokens = min(self.rules.sends_per_s, self.tokens + gained)
        self.refilled_at = now
        return self.tokens >= 1.0

    def send(
        self,
        now: int,
        to: int,
        topic: Topic,
        out: Datagrams,
        sequence: int = 0,
        about: int = NOBODY,
        extra: int = 0,
        records: list[tuple[int, Record]] | None = None,
    ) -> None:
        """Append a datagram to `out`.

        A ping or gossip also reports the newest duplicate number.

        :param records: sent instead of those that are due
        """
        if topic in (Topic.PING, Topic.GOSSIP) and (duplicate := self.duplicates.newest(now)) is not None:
            about, extra = duplicate
        piggybacked = records if records is not None else self.piggybacked(now, to, topic)
        own = self.own_record(now)
        flags = messages.LEAVING if own.state is State.LEAVING else 0
        message = Message(
            topic, own.incarnation, own.heartbeat, flags, sequence, about, extra, tuple(piggybacked)
        )
        data = self.envelope.write(topic, messages.write(message))
        self.counters.sent += 1
        self.tokens -= 1.0
        self.counters.bytes += len(data)
        out.append(SendDatagram(to, data))

    def piggybacked(self, now: int, to: int, topic: Topic) -> list[tuple[int, Record]]:
        """Return the records to piggyback: accusations of the receiver, updates, and a few others in turn."""
        records = []
        entry = self.view.entries[to]
        if entry.record.state in ACCUSATIONS or to in self.duplicates.seen:
            records.append((to, self.view.record_to_send(now, to)))
        records += self.view.next_updates(now, MAX_RECORDS - len(records))
        if topic in (Topic.PING, Topic.ACK):
            numbers = list(self.view.entries)
            for _ in range(min(REFRESH_RECORDS, MAX_RECORDS - len(records), len(numbers))):
                self.cursor = (self.cursor + 1) % len(numbers)
                number = numbers[self.cursor]
                if number != to and self.view.may_send(now, number):
                    records.append((number, self.view.record_to_send(now, number)))
        return records

    def gossip(self, now: int, out: Datagrams) -> None:
        """Send updates to a few random members.

        If updates waited for the next ping, they would spread too late for the accused to refute them.
        """
        if (not self.view.updates and self.own_updates <= 0) or not self.has_budget(now):
            return
        live = [n for n in self.view.present() if self.view.state_of(n) in LIVE_STATES]
        self.own_updates -= 1
        for member in self.rng.sample(live, min(GOSSIP_FANOUT, len(live))):
            self.send(now, member, Topic.GOSSIP, out)

    def send_views(self, now: int, out: Datagrams) -> None:
        """Send parts of the whole view to a member that requested it.

        Only a few parts are sent at a tick, so that no inbox overflows.
        """
        if not self.sync_queue or not self.has_budget(now):
            return
        to, part = self.sync_queue[0]
        known = [n for n in self.view.entries if n != to and self.view.may_send(now, n)]
        parts = max(1, -(-len(known) // MAX_RECORDS))
        for number in range(part, min(parts, part + SYNC_PARTS_PER_TICK)):
            some = known[number * MAX_RECORDS : (number + 1) * MAX_RECORDS]
            records = [(n, self.view.record_to_send(now, n)) for n in some]
            self.send(now, to, Topic.VIEW, out, about=number, extra=parts, records=records)
        if part + SYNC_PARTS_PER_TICK >= parts:
            self.sync_queue.popleft()
        else:
            self.sync_queue[0] = (to, part + SYNC_PARTS_PER_TICK)

    def queue_sync(self, sender: int) -> None:
        """Queue the sender's request for the whole view; ignored while the queue is full."""
        if len(self.sync_queue) < MAX_QUEUED_SYNCS and all(to != sender for to, _ in self.sync_queue):
            self.sync_queue.append((sender, 0))

    def announce_left(self, now: int, number: int, out: Datagrams) -> None:
        """Send the record LEFT of this member to a few others.

        :param number: the own member number
        """
        present = self.view.present()
        own = self.own_record(now)
        departed = Record(own.incarnation, own.heartbeat, State.LEFT)
        for member in self.rng.sample(present, min(LEAVE_FANOUT, len(present))):
            self.send(now, member, Topic.GOSSIP, out, records=[(number, departed)])
