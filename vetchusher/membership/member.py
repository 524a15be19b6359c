"""The membership protocol of one process: SWIM's probes and gossip, with Lifeguard's local health.

Decides who is probed next, who is suspected, and what each message carries; `View` keeps what is known.
Invariant: a member accuses nobody while it may itself be the one that is cut off, stalled or superseded.
Sources: SWIM (Das, Gupta, Motivala 2002), Lifeguard (Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import random
from enum import Enum

from vetchusher.datagrams import Envelope, ReceivedMessage

from . import messages
from .duplicates import REPORT_PERIODS, DuplicateNumbers
from .messages import NOBODY, Message, Topic
from .outbox import Counters, Datagrams, Outbox
from .probe import MAX_INDIRECT_PROBES, BadDirection, IndirectProbe, Paths, Probe, Step, bad_direction
from .records import (
    ACCUSATIONS,
    HEARTBEAT_US,
    LIVE_STATES,
    MAX_HEARTBEAT,
    MAX_INCARNATION,
    PRESENT_STATES,
    Record,
    State,
)
from .rules import (
    FINAL_PROBE_RATIO,
    INDIRECT_PROBE_RATIO,
    INDIRECT_PROBES,
    JOIN_PERIODS,
    LOST_PROBE_PERIODS,
    LOST_PROBERS,
    MAX_EXTRA_PINGS,
    MAX_HEALTH_SCORE,
    PING_RETRY_RATIO,
    SUSPECT_PROBERS,
    MembershipTiming,
)
from .view import Change, View

UNANSWERED_PERIODS = 3  # without an answer for so long, this member takes itself to be cut off
PATH_REPORT_PERIODS = 20  # for which the other end's report of a bad path counts
ANSWERS = frozenset((Topic.ACK, Topic.PING_REQ_ACK, Topic.PING_REQ_NACK, Topic.VIEW))


class Side(Enum):
    """Which side of a partition a member is on, as far as it can tell."""

    MAJORITY = "majority"
    MINORITY = "minority"
    UNKNOWN = "unknown"


class Membership:
    """State machine of one process.

    All times are in us on the clock that the caller reads; it must go on while the process is stopped, so
    that stalls are noticed.
    """

    def __init__(
        self, rules: MembershipTiming, number: int, incarnation: int, envelope: Envelope, rng: random.Random
    ) -> None:
        """Create the state machine; `begin` starts it.

        :param number: the own member number
        :param incarnation: Unix ms of the start
        """
        self.rules, self.number, self.incarnation, self.rng = (
            rules,
            number,
            min(MAX_INCARNATION, incarnation),
            rng,
        )
        self.envelope = envelope
        self.view = View(rules, number, rng)
        self.paths = Paths()
        self.counters = Counters()
        self.health_score = 0  # Lifeguard's score of the own unreliability; it stretches the probes
        self.started_at = self.ticked_at = self.next_probe_at = self.next_lost_probe_at = (
            self.period_began_at
        ) = 0
        self.heartbeat_offset = 0  # added to the own age, so that a heartbeat is above that of an accusation
        self.probe: Probe | None = None
        self.probe_order: list[int] = []
        self.indirect_probes: dict[int, IndirectProbe] = {}
        # By sequence number: the member pinged, when, and a heartbeat that it had reached then.
        self.extra_pings: dict[int, tuple[int, int, int]] = {}
        self.sequence = 0
        self.last_received_at = self.last_answer_at = -1
        self.resumed_at = -1  # when a stall ended; -1 once others have answered since
        self.answered_since_resume: set[int] = set()
        self.joined = False  # whether a whole view has arrived, or nobody has sent one in time
        self.view_parts: set[int] = set()
        self.view_requested_at = -1
        self.next_view_request_at = 0
        self.leaving = False
        self.superseded = 0  # incarnation of the newer process of this number; 0: none
        self.duplicates = DuplicateNumbers(rules)
        self.outbox = Outbox(rules, self.view, self.duplicates, envelope, rng, self.counters, self.own_record)

    # -- own state ----------------------------------------------------------------------

    def begin(self, now: int) -> None:
        """Start the clocks; the first probe comes at a random moment of the first period."""
        self.started_at = self.ticked_at = self.period_began_at = now
        self.next_probe_at = now + self.rng.randrange(self.rules.period_us)
        self.next_lost_probe_at = now + self.rules.period_us
        self.outbox.own_updates = self.rules.retransmissions

    def heartbeat(self, now: int) -> int:
        """Return the own heartbeat: the age of this process, raised above that of any accusation received."""
        return min(MAX_HEARTBEAT, (now - self.started_at) // HEARTBEAT_US + self.heartbeat_offset)

    def own_record(self, now: int) -> Record:
        """Return the record of this member that others should know."""
        return Record(self.incarnation, self.heartbeat(now), State.LEAVING if self.leaving else State.ALIVE)

    def answered(self, now: int) -> bool:
        """Whether another member has answered lately, so that messages pass in both directions."""
        return (
            self.last_answer_at >= 0 and now - self.last_answer_at < UNANSWERED_PERIODS * self.rules.period_us
        )

    def no_others(self, target: int) -> bool:
        """Whether there is no member beside the target that could be asked for an indirect probe."""
        return not any(e.state in PRESENT_STATES for n, e in self.view.entries.items() if n != target)

    def must_not_accuse(self, now: int) -> bool:
        """Whether this member must not accuse others now.

        So it is after a stall, while a newer process has its number or another process uses it as well, and
        before a whole view has arrived.
        """
        return (
            self.resumed_at >= 0
            or bool(self.superseded)
            or self.duplicates.own_is_duplicate(now)
            or not self.joined
        )

    def side(self, now: int) -> Side:
        """Return whether this member sees a majority of the cluster, itself included."""
        if not self.joined or self.resumed_at >= 0:
            return Side.UNKNOWN
        counts = self.view.counts()
        members = self.rules.members - counts[State.LEFT]
        seen = 1 + (sum(counts[s] for s in LIVE_STATES) if self.answered(now) else 0)
        return Side.MAJORITY if 2 * seen > members else Side.MINORITY

    def serving_members(self) -> list[int]:
        """Return the numbers of the members taken to serve, this one and suspected ones included."""
        return sorted([*self.view.present(), self.number])

    def path_fault(self, now: int, number: int) -> str:
        """Return what is wrong with the path to another member, or an empty string if nothing is known."""
        return self.paths.bad(now, number, PATH_REPORT_PERIODS * self.rules.period_us)

    def connectivity_fault(self, now: int) -> str:
        """Return what is wrong with this member's messages, or an empty string.

        It is shown with the readiness state; the member goes on serving.
        """
        if not self.joined or self.rules.members < 2:
            return ""
        since = UNANSWERED_PERIODS * self.rules.period_us
        if self.last_received_at < 0 or now - self.last_received_at > since:
            return "hears nobody"
        return "is heard by nobody" if not self.answered(now) else ""

    # -- time ---------------------------------------------------------------------------

    def tick(self, now: int) -> Datagrams:
        """Do what is due, and return the datagrams to send; to be called several times a period."""
        out: Datagrams = []
        self.check_stall(now)
        if now - self.period_began_at >= self.rules.period_us:
            self.period_began_at = now
            self.run_period(now, out)
        self.advance_probe(now, out)
        if now >= self.next_probe_at and self.probe is None:
            self.next_probe(now, out)
        if now >= self.next_lost_probe_at:
            self.next_lost_probe_at = now + LOST_PROBE_PERIODS * self.rules.period_us
            self.probe_lost(now, out)
        self.outbox.gossip(now, out)
        self.outbox.send_views(now, out)
        if not self.must_not_accuse(now) and (self.answered(now) or self.no_others(self.number)):
            self.view.expire(now)
        elif not self.no_others(self.number):
            self.view.postpone_deadlines(now - self.ticked_at)
        self.ticked_at = now
        return out

    def check_stall(self, now: int) -> None:
        """Detect that this process has stalled, and drop what it has in flight.

        After a stall all answers arrive too late, and every other member would seem dead.
        """
        late = now - self.ticked_at - self.rules.tick_us
        if late <= self.rules.period_us // 2:
            return
        self.counters.late_ticks += 1
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
        self.resumed_at, self.probe, self.next_probe_at = now, None, now
        self.answered_since_resume.clear()
        self.extra_pings.clear()
        self.view.postpone_deadlines(late)
        self.view.answered_since = -1

    def run_period(self, now: int, out: Datagrams) -> None:
        """Do what is due once a period, beside the probe."""
        rules = self.rules
        if self.answered(now):
            if self.view.answered_since < 0:
                self.view.answered_since = now
        else:
            self.view.answered_since = -1
        for sequence in [n for n, e in self.indirect_probes.items() if now - e.began >= rules.period_us]:
            del self.indirect_probes[sequence]
        self.paths.sweep(now, set(self.view.present()), PATH_REPORT_PERIODS * rules.period_us)
        self.duplicates.sweep(now)
        self.view.answered_by_older = self.duplicates.answered_by_older(now)
        self.probe_watched(now, out)
        if not self.joined:
            self.join(now, out)
        elif now >= self.next_view_request_at and any(
            e.state is State.UNKNOWN for e in self.view.entries.values()
        ):
            # Parts of a view get lost.  A member that never existed stays unknown, so the requests become
            # less and less frequent.
            self.next_view_request_at = now + 2 * (now - self.started_at)
            if present := self.view.present():
                self.request_view(now, self.rng.choice(present), out)

    def join(self, now: int, out: Datagrams) -> None:
        """Request a whole view, or go on without one after `JOIN_PERIODS`."""
        if now - self.started_at > JOIN_PERIODS * self.rules.period_us or self.rules.members < 2:
            self.joined = True
            return
        present = self.view.present()
        self.request_view(now, self.rng.choice(present or sorted(self.view.entries)), out)

    def request_view(self, now: int, member: int, out: Datagrams) -> None:
        """Request a whole view from another member."""
        self.view_requested_at = now
        self.view_parts.clear()
        self.outbox.send(now, member, Topic.SYNC, out)

    # -- probing ------------------------------------------------------------------------

    def next_sequence(self) -> int:
        """Return the next sequence number of a ping."""
        self.sequence = (self.sequence + 1) & 0xFFFF
        return self.sequence

    def next_probe(self, now: int, out: Datagrams) -> None:
        """Probe the next member.

        The members are probed round-robin, in an order that is shuffled each round, so that nobody waits for
        longer than two rounds.
        """
        self.next_probe_at = now + self.rules.period_us * (1 + self.health_score // 2)
        while True:
            if not self.probe_order:
                also = State.UNKNOWN if not self.joined else None
                self.probe_order = [
                    n for n, e in self.view.entries.items() if e.state in PRESENT_STATES or e.state is also
                ]
                self.rng.shuffle(self.probe_order)
                if not self.probe_order:
                    return
            target = self.probe_order.pop()
            if self.view.state_of(target) in PRESENT_STATES or not self.joined:
                break
        period, stretch = self.rules.period_us, 1 + self.health_score / 4
        claim = self.view.estimated_heartbeat(self.view.entries[target], now)
        sequence = self.next_sequence()
        parts = (
            (PING_RETRY_RATIO, Step.PING),
            (INDIRECT_PROBE_RATIO, Step.INDIRECT),
            (FINAL_PROBE_RATIO, Step.FINAL),
            (1.0, Step.RESULT),
        )
        steps = [(now + int(part * period * stretch), step) for part, step in parts]
        self.probe = Probe(target, sequence, now, claim, steps)
        self.outbox.send(now, target, Topic.PING, out, sequence=sequence)

    def advance_probe(self, now: int, out: Datagrams) -> None:
        """Take the next step of the probe in flight if it is due."""
        probe = self.probe
        if probe is None or now < probe.steps[0][0]:
            return
        _, step = probe.steps.pop(0)
        if step is Step.RESULT:
            self.probe = None
            if not probe.reached or probe.target in self.view.answered_by_older:
                self.probe_failed(now, probe)
            return
        if probe.reached:
            return
        if step is not Step.INDIRECT:
            self.outbox.send(now, probe.target, Topic.PING, out, sequence=probe.sequence)
        if step is not Step.PING:
            self.request_indirect_probes(now, probe, out)

    def request_indirect_probes(self, now: int, probe: Probe, out: Datagrams) -> None:
        """Ask a few further members to ping the target."""
        live = (n for n, e in self.view.entries.items() if e.state in LIVE_STATES)
        others = [n for n in live if n != probe.target and n not in probe.helpers]
        bad = bool(self.path_fault(now, probe.target))
        for helper in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
            probe.helpers.add(helper)
            self.outbox.send(now, helper, Topic.PING_REQ, out, probe.sequence, probe.target, int(bad))

    def probe_failed(self, now: int, probe: Probe) -> None:
        """Accuse the target of a failed probe, unless the failure may be this member's own."""
        entry = self.view.entries[probe.target]
        contacted = entry.last_contact_at >= probe.started_at
        confirmed = entry.record.state in LIVE_STATES and entry.record.heartbeat > probe.claimed_heartbeat
        if (contacted or confirmed) and probe.target not in self.view.answered_by_older:
            return
        if self.must_not_accuse(now) or not (probe.answered or self.no_others(probe.target)):
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            return
        self.view.accuse(now, probe.target, probe.claimed_heartbeat)

    def probe_watched(self, now: int, out: Datagrams) -> None:
        """Ping members beside the probe: those on watched paths, and suspects with a small probability each.

        A path to a member is watched from the first failed direct ping until the member answers directly.
        The result of the pings of the last period is evaluated first.
        """
        for sequence, (member, began, claim) in list(self.extra_pings.items()):
            del self.extra_pings[sequence]
            entry = self.view.entries[member]
            if entry.last_contact_at >= began or not self.answered(now) or self.must_not_accuse(now):
                continue
            if entry.state is State.SUSPECTED:
                self.view.accuse(now, member, claim)
            elif entry.state in PRESENT_STATES:
                self.path_failed(now, member)
        if not self.outbox.has_budget(now):
            return
        pinged = list(self.paths.watched)[: MAX_EXTRA_PINGS // 2]
        for member in pinged:  # move it to the end, so that every path gets its turn
            self.paths.watched[member] = self.paths.watched.pop(member)
        probability = SUSPECT_PROBERS / max(1.0, len(self.view.present()))
        pinged += [n for n in sorted(self.view.suspects) if self.rng.random() < probability][
            : MAX_EXTRA_PINGS - len(pinged)
        ]
        for member in pinged:
            sequence, entry = self.next_sequence(), self.view.entries[member]
            self.extra_pings[sequence] = (member, now, self.view.estimated_heartbeat(entry, now))
            self.outbox.send(now, member, Topic.PING, out, sequence=sequence)

    def path_failed(self, now: int, member: int, direction: BadDirection | None = None) -> None:
        """Count a failure of the path to a member, and log it if the path has become bad by it."""
        if self.paths.add_failure(now, member, direction):
            self.view.record_change("path bad", member, self.view.entries[member].record, self.number, 0, now)

    def probe_lost(self, now: int, out: Datagrams) -> None:
        """Ping a member that is dead or unknown here: a partition may have healed, or it may be new.

        The probability is such that the cluster sends about `LOST_PROBERS` pings to each lost member.  Where
        all of hundreds of members ping one that is lost, its inbox would overflow when it comes back.
        """
        lost = [n for n, e in self.view.entries.items() if e.state in (State.DEAD, State.UNKNOWN)]
        if lost and self.rng.random() < LOST_PROBERS * len(lost) / (1 + len(self.view.present())):
            self.outbox.send(now, self.rng.choice(lost), Topic.PING, out, sequence=self.next_sequence())

    # -- receiving ----------------------------------------------------------------------

    def receive(self, now: int, received: ReceivedMessage) -> Datagrams:
        """Process a message, and return the datagrams to send; an unreadable one is counted and ignored."""
        out: Datagrams = []
        message = messages.read(received.topic, received.body, self.rules.members)
        if message is None or received.sender == self.number:
            self.envelope.refuse("unreadable")
            return out
        sender = received.sender
        self.counters.received += 1
        self.last_received_at = now
        healed = self.record_contact(now, sender, message)
        for number, record in message.records:
            if number == self.number:
                self.receive_about_self(now, record)
            else:
                self.view.merge(now, number, record, sender)
        if message.topic in ANSWERS:
            self.record_answer(now, sender, message)
        elif message.topic in (Topic.PING, Topic.GOSSIP) and message.about != NOBODY:
            self.duplicate_reported(now, message.about, message.extra)
        self.handle(now, sender, message, out)
        if healed and now - self.view_requested_at >= self.rules.period_us:
            self.request_view(now, sender, out)
        return out

    def record_contact(self, now: int, sender: int, message: Message) -> bool:
        """Merge the sender's own heartbeat.  Returns whether the sender was taken to be dead."""
        entry = self.view.entries[sender]
        entry.last_contact_at = now
        if message.incarnation < entry.record.incarnation:
            self.duplicates.add(now, sender, now)
            return False
        healed = entry.state is State.DEAD and message.incarnation == entry.record.incarnation
        state = State.LEAVING if message.flags & messages.LEAVING else State.ALIVE
        self.view.merge(now, sender, Record(message.incarnation, message.heartbeat, state), sender)
        return healed

    def receive_about_self(self, now: int, received: Record) -> None:
        """Process a record of this member: refute accusations, and notice a newer process of its number."""
        if received.incarnation > self.incarnation:
            self.receive_newer_incarnation(now, received)
        elif received.incarnation == self.incarnation and received.state is State.LEFT and not self.leaving:
            self.incarnation += 1  # LEFT can't be refuted within one incarnation
            self.outbox.own_updates = self.rules.retransmissions
        elif received.incarnation == self.incarnation and received.state in ACCUSATIONS:
            self.counters.accused += 1
            self.heartbeat_offset += max(0, received.heartbeat + 1 - self.heartbeat(now))
            self.outbox.own_updates = self.rules.retransmissions
            if self.resumed_at < 0 and self.counters.accused % 4 == 1:
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def receive_newer_incarnation(self, now: int, received: Record) -> None:
        """Process a record of a process of this number that, by its own clock, began later than this one.

        If that process has ended, or this one has only just started (the wall clock may have been set back),
        this one takes over with a greater incarnation; otherwise this one is superseded.
        """
        just_started = now - self.started_at < JOIN_PERIODS * self.rules.period_us and not self.leaving
        ended = received.state in (State.DEAD, State.LEFT)
        if received.incarnation < MAX_INCARNATION and (just_started or (ended and not self.leaving)):
            self.incarnation, self.superseded = received.incarnation + 1, 0
            self.outbox.own_updates = self.rules.retransmissions
        else:
            if not self.superseded:
                self.view.record_change("superseded", self.number, received, self.number, 0, now)
            self.superseded = received.incarnation
            self.own_number_duplicated(now)

    def own_number_duplicated(self, now: int) -> None:
        """Record that another process uses this number; log it once it lasts for longer than an upgrade."""
        if self.duplicates.own_seen(now):
            self.view.record_change(
                "number used twice", self.number, self.own_record(now), self.number, 0, now
            )

    def duplicate_reported(self, now: int, number: int, age_ms: int) -> None:
        """Process another member's report that two processes answer from a number.

        :param age_ms: how long ago the older one answered
        """
        if number != self.number:
            self.duplicates.add(now, number, now - age_ms * 1000)
        elif age_ms * 1000 <= REPORT_PERIODS * self.rules.period_us:
            self.own_number_duplicated(now)

    def record_answer(self, now: int, sender: int, message: Message) -> None:
        """Record that the sender received a message from this member; enough answers end a stall."""
        self.last_answer_at = now
        if self.resumed_at >= 0:
            self.answered_since_resume.add(sender)
            if len(self.answered_since_resume) >= min(INDIRECT_PROBES, len(self.view.present())):
                self.resumed_at = -1
        probe = self.probe
        if probe is not None:
            probe.answered = True

    def handle(self, now: int, sender: int, message: Message, out: Datagrams) -> None:
        """Do what the topic of a message demands."""
        topic, sequence = message.topic, message.sequence
        if topic is Topic.PING:
            self.outbox.send(now, sender, Topic.ACK, out, sequence)
        elif topic is Topic.ACK:
            self.receive_ack(now, sender, sequence)
        elif topic is Topic.PING_REQ:
            self.start_indirect_probe(now, sender, message, out)
        elif topic is Topic.INDIRECT_PING:
            self.answer_indirect(now, sender, message, out)
        elif topic is Topic.INDIRECT_ACK:
            self.relay_ack(now, sender, message, out)
        elif topic is Topic.PING_REQ_ACK:
            self.receive_relayed_ack(now, message)
        elif topic is Topic.SYNC:
            self.outbox.queue_sync(sender)
        elif topic is Topic.VIEW:
            self.view_parts.add(message.about)
            self.joined = self.joined or len(self.view_parts) >= message.extra

    def answer_indirect(self, now: int, sender: int, message: Message, out: Datagrams) -> None:
        """Answer a ping made for another member, with how long ago the last message of that one arrived."""
        if message.extra and message.about != NOBODY:
            self.paths.reported[message.about] = now
        last_contact_ms = messages.NEVER_HEARD
        requester = self.view.entries.get(message.about)
        if requester is not None and requester.last_contact_at >= 0:
            last_contact_ms = min(messages.NEVER_HEARD - 1, (now - requester.last_contact_at) // 1000)
        self.outbox.send(
            now, sender, Topic.INDIRECT_ACK, out, message.sequence, message.about, last_contact_ms
        )

    def relay_ack(self, now: int, sender: int, message: Message, out: Datagrams) -> None:
        """Relay the answer to an indirect probe to the member that requested it."""
        done = self.indirect_probes.pop(message.sequence, None)
        if done is not None and done.target == sender:
            self.outbox.send(
                now, done.requester, Topic.PING_REQ_ACK, out, done.sequence, sender, message.extra
            )

    def receive_ack(self, now: int, sender: int, sequence: int) -> None:
        """Process the answer to a direct ping: its path is good, and a probe of the sender has succeeded."""
        if self.paths.record_success(sender):
            self.view.record_change(
                "path good", sender, self.view.entries[sender].record, self.number, 0, now
            )
        self.extra_pings.pop(sequence, None)
        probe = self.probe
        if probe is not None and probe.sequence == sequence and probe.target == sender:
            if sender in self.view.answered_by_older:
                return
            self.probe = None
            self.health_score = max(0, self.health_score - 1)

    def receive_relayed_ack(self, now: int, message: Message) -> None:
        """Process the success of an indirect probe.

        The target is alive, and the direct path to it counts as failed: a bad path between two members would
        otherwise look like the death of one of them.
        """
        probe = self.probe
        if probe is None or probe.sequence != message.sequence or probe.target != message.about:
            return
        if not probe.reached:
            probe.reached = True
            self.health_score = max(0, self.health_score - 1)
            self.path_failed(now, probe.target, bad_direction(message.extra, now - probe.started_at))

    def start_indirect_probe(self, now: int, sender: int, message: Message, out: Datagrams) -> None:
        """Ping a member on behalf of the sender.

        The sender gets a nack at once, which shows it that its messages are received.
        """
        if message.about in (NOBODY, self.number, sender):
            return
        self.outbox.send(now, sender, Topic.PING_REQ_NACK, out, message.sequence, message.about)
        if len(self.indirect_probes) < MAX_INDIRECT_PROBES:
            sequence = self.next_sequence()
            self.indirect_probes[sequence] = IndirectProbe(sender, message.sequence, message.about, now)
            self.outbox.send(now, message.about, Topic.INDIRECT_PING, out, sequence, sender, message.extra)

    # -- ending -------------------------------------------------------------------------

    def stop(self, now: int) -> Datagrams:
        """Announce LEAVING on SIGTERM, so that the following silence isn't taken for a death."""
        self.leaving = True
        self.outbox.own_updates = self.rules.retransmissions
        out: Datagrams = []
        if not self.superseded:
            self.outbox.gossip(now, out)
        return out

    def announce_left(self, now: int) -> Datagrams:
        """Announce LEFT just before the process ends, unless a newer process has this number."""
        out: Datagrams = []
        if not self.superseded:
            self.outbox.announce_left(now, self.number, out)
        return out

    def take_changes(self) -> list[Change]:
        """Return the changes since the last call."""
        done, self.view.changes = self.view.changes, []
        return done
