"""One process's part in membership: SWIM's probes and gossip, with Lifeguard's local health.

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
from .outbox import Acts, Figures, Outbox
from .probe import MAX_INDIRECT_PROBES, BadDirection, IndirectProbe, Paths, Probe, Step, bad_direction
from .records import ACCUSATIONS, BEAT_US, HERE, LIVING, MOST_BEAT, MOST_LIFE, Record, State
from .rules import (
    AGAIN_MOST,
    HEALTH_MOST,
    HELPERS,
    JOIN_PERIODS,
    LOST_EVERY,
    LOST_PROBERS,
    PROBE_AGAIN,
    PROBE_HELP,
    PROBE_LAST,
    SUSPECT_PROBERS,
    Rules,
)
from .view import Change, View

SILENT_PERIODS = 3  # without an answer: nobody hears this member, or it hears nobody
PATH_PERIODS = 20  # for which the other end's report of a bad path holds
ANSWERS = frozenset((Topic.ACK, Topic.RELAYED, Topic.NACK, Topic.VIEW))


class Side(Enum):
    """Which side of a partition a member is on, as far as it sees."""

    MAJORITY = "majority"
    MINORITY = "minority"
    UNKNOWN = "unknown"


class Membership:
    """One process's part.  Times are us on the clock handed in, which goes on while it is stopped."""

    def __init__(self, rules: Rules, number: int, life: int, envelope: Envelope, rng: random.Random) -> None:
        """:param life: Unix ms of the start"""
        self.rules, self.number, self.life, self.rng = rules, number, min(MOST_LIFE, life), rng
        self.envelope = envelope
        self.view = View(rules, number, rng)
        self.paths = Paths()
        self.figures = Figures()
        self.health = 0
        self.began = self.ticked_at = self.probe_at = self.lost_at = self.period_at = 0
        self.jump = 0  # beats over the own clock's, taken to be above an accusation's
        self.probe: Probe | None = None
        self.order: list[int] = []
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.again: dict[int, tuple[int, int, int]] = {}  # by sequence: member, time and beat of the ping
        self.sequence = 0
        self.heard_at = self.answered_at = -1
        self.resumed_at = -1  # when a stall ended; -1 once others have answered since
        self.answered_since: set[int] = set()
        self.settled = False  # a whole view has come, or nobody gave one
        self.parts: set[int] = set()
        self.asked_view_at = -1
        self.ask_again_at = 0
        self.leaving = False
        self.superseded = 0  # life of the newer process of this number
        self.duplicates = DuplicateNumbers(rules)
        self.outbox = Outbox(rules, self.view, self.duplicates, envelope, rng, self.figures, self.own)

    # -- what holds -------------------------------------------------------------------

    def begin(self, now: int) -> None:
        self.began = self.ticked_at = self.period_at = now
        self.probe_at = now + self.rng.randrange(self.rules.period)
        self.lost_at = now + self.rules.period
        self.outbox.own_updates = self.rules.sends

    def beat(self, now: int) -> int:
        return min(MOST_BEAT, (now - self.began) // BEAT_US + self.jump)

    def own(self, now: int) -> Record:
        return Record(self.life, self.beat(now), State.LEAVING if self.leaving else State.ALIVE)

    def answered(self, now: int) -> bool:
        """Whether somebody hears this member and is heard by it."""
        return self.answered_at >= 0 and now - self.answered_at < SILENT_PERIODS * self.rules.period

    def alone(self, target: int) -> bool:
        """Whether there is nobody else who could be asked."""
        return not any(e.state in HERE for n, e in self.view.entries.items() if n != target)

    def doubts(self, now: int) -> bool:
        """Whether this member may accuse nobody now."""
        return (
            self.resumed_at >= 0 or bool(self.superseded) or self.duplicates.beside(now) or not self.settled
        )

    def side(self, now: int) -> Side:
        if not self.settled or self.resumed_at >= 0:
            return Side.UNKNOWN
        counts = self.view.counts()
        members = self.rules.members - counts[State.LEFT]
        there = 1 + (sum(counts[s] for s in LIVING) if self.answered(now) else 0)
        return Side.MAJORITY if 2 * there > members else Side.MINORITY

    def living(self) -> list[int]:
        """Numbers taken to serve, this one and the suspected among them: what others may reckon with."""
        return sorted([*self.view.here(), self.number])

    def path(self, now: int, number: int) -> str:
        """What is wrong with the way to another member; empty: nothing known."""
        return self.paths.bad(now, number, PATH_PERIODS * self.rules.period)

    def trouble(self, now: int) -> str:
        """What is wrong with this member's messages, for the readiness figures; it goes on serving."""
        if not self.settled or self.rules.members < 2:
            return ""
        since = SILENT_PERIODS * self.rules.period
        if self.heard_at < 0 or now - self.heard_at > since:
            return "hears nobody"
        return "is heard by nobody" if not self.answered(now) else ""

    # -- time -------------------------------------------------------------------------

    def tick(self, now: int) -> Acts:
        acts: Acts = []
        self.check_stall(now)
        if now - self.period_at >= self.rules.period:
            self.period_at = now
            self.turn(now, acts)
        self.advance_probe(now, acts)
        if now >= self.probe_at and self.probe is None:
            self.next_probe(now, acts)
        if now >= self.lost_at:
            self.lost_at = now + LOST_EVERY * self.rules.period
            self.probe_lost(now, acts)
        self.outbox.gossip(now, acts)
        self.outbox.send_views(now, acts)
        if not self.doubts(now) and (self.answered(now) or self.alone(self.number)):
            self.view.expire(now)
        elif not self.alone(self.number):
            self.view.put_off(now - self.ticked_at)
        self.ticked_at = now
        return acts

    def check_stall(self, now: int) -> None:
        """Detect that this process stood still.

        Danger: after a stall every answer is late, and everybody would seem dead.
        """
        late = now - self.ticked_at - self.rules.tick
        if late <= self.rules.period // 2:
            return
        self.figures.late_ticks += 1
        self.health = min(HEALTH_MOST, self.health + 1)
        self.resumed_at, self.probe, self.probe_at = now, None, now
        self.answered_since.clear()
        self.again.clear()
        self.view.put_off(late)
        self.view.vouching_from = -1

    def turn(self, now: int, acts: Acts) -> None:
        """Once a period."""
        rules = self.rules
        if self.answered(now):
            if self.view.vouching_from < 0:
                self.view.vouching_from = now
        else:
            self.view.vouching_from = -1
        for sequence in [n for n, e in self.indirect_probes.items() if now - e.began >= rules.period]:
            del self.indirect_probes[sequence]
        self.paths.sweep(now, set(self.view.here()), PATH_PERIODS * rules.period)
        self.duplicates.sweep(now)
        self.view.stand_ins = self.duplicates.stand_ins(now)
        self.probe_watched(now, acts)
        if not self.settled:
            self.join(now, acts)
        elif now >= self.ask_again_at and any(e.state is State.UNKNOWN for e in self.view.entries.values()):
            # Parts get lost; who has never been there stays unknown, and is asked for ever more seldom.
            self.ask_again_at = now + 2 * (now - self.began)
            if here := self.view.here():
                self.ask_view(now, self.rng.choice(here), acts)

    def join(self, now: int, acts: Acts) -> None:
        if now - self.began > JOIN_PERIODS * self.rules.period or self.rules.members < 2:
            self.settled = True
            return
        known = self.view.here()
        self.ask_view(now, self.rng.choice(known or sorted(self.view.entries)), acts)

    def ask_view(self, now: int, member: int, acts: Acts) -> None:
        self.asked_view_at = now
        self.parts.clear()
        self.outbox.send(now, member, Topic.SYNC, acts)

    # -- probing ----------------------------------------------------------------------

    def next_number(self) -> int:
        self.sequence = (self.sequence + 1) & 0xFFFF
        return self.sequence

    def next_probe(self, now: int, acts: Acts) -> None:
        """Each in turn, in an order drawn anew each round; nobody waits longer than two rounds."""
        self.probe_at = now + self.rules.period * (1 + self.health // 2)
        while True:
            if not self.order:
                there = State.UNKNOWN if not self.settled else None
                self.order = [n for n, e in self.view.entries.items() if e.state in HERE or e.state is there]
                self.rng.shuffle(self.order)
                if not self.order:
                    return
            target = self.order.pop()
            if self.view.state_of(target) in HERE or not self.settled:
                break
        period, stretch = self.rules.period, 1 + self.health / 4
        claim = self.view.reckoned(self.view.entries[target], now)
        number = self.next_number()
        parts = (
            (PROBE_AGAIN, Step.PING),
            (PROBE_HELP, Step.HELP),
            (PROBE_LAST, Step.LAST),
            (1.0, Step.VERDICT),
        )
        steps = [(now + int(part * period * stretch), step) for part, step in parts]
        self.probe = Probe(target, number, now, claim, steps)
        self.outbox.send(now, target, Topic.PING, acts, sequence=number)

    def advance_probe(self, now: int, acts: Acts) -> None:
        probe = self.probe
        if probe is None or now < probe.steps[0][0]:
            return
        _, step = probe.steps.pop(0)
        if step is Step.VERDICT:
            self.probe = None
            if not probe.reached or probe.target in self.view.stand_ins:
                self.failed(now, probe)
            return
        if probe.reached:
            return
        if step is not Step.HELP:
            self.outbox.send(now, probe.target, Topic.PING, acts, sequence=probe.sequence)
        if step is not Step.PING:
            self.ask_others(now, probe, acts)

    def ask_others(self, now: int, probe: Probe, acts: Acts) -> None:
        living = (n for n, e in self.view.entries.items() if e.state in LIVING)
        others = [n for n in living if n != probe.target and n not in probe.helpers]
        bad = bool(self.path(now, probe.target))
        for helper in self.rng.sample(others, min(HELPERS, len(others))):
            probe.helpers.add(helper)
            self.outbox.send(now, helper, Topic.ASK, acts, probe.sequence, probe.target, int(bad))

    def failed(self, now: int, probe: Probe) -> None:
        entry = self.view.entries[probe.target]
        heard = entry.direct_at >= probe.began
        told = entry.record.state in LIVING and entry.record.beat > probe.claim
        if (heard or told) and probe.target not in self.view.stand_ins:
            return
        if self.doubts(now) or not (probe.answered or self.alone(probe.target)):
            self.health = min(HEALTH_MOST, self.health + 1)
            return
        self.view.accuse(now, probe.target, probe.claim)

    def probe_watched(self, now: int, acts: Acts) -> None:
        """Beside the probe: ping members on watched paths, and suspects with a small probability each."""
        for sequence, (member, began, claim) in list(self.again.items()):
            del self.again[sequence]
            entry = self.view.entries[member]
            if entry.direct_at >= began or not self.answered(now) or self.doubts(now):
                continue
            if entry.state is State.SUSPECTED:
                self.view.accuse(now, member, claim)
            elif entry.state in HERE:
                self.path_failed(now, member)
        if not self.outbox.pay(now):
            return
        some = list(self.paths.watched)[: AGAIN_MOST // 2]
        for member in some:  # to the end of the line, so that each is tried
            self.paths.watched[member] = self.paths.watched.pop(member)
        odds = SUSPECT_PROBERS / max(1.0, len(self.view.here()))
        some += [n for n in sorted(self.view.suspects) if self.rng.random() < odds][: AGAIN_MOST - len(some)]
        for member in some:
            number, entry = self.next_number(), self.view.entries[member]
            self.again[number] = (member, now, self.view.reckoned(entry, now))
            self.outbox.send(now, member, Topic.PING, acts, sequence=number)

    def path_failed(self, now: int, member: int, way: BadDirection | None = None) -> None:
        if self.paths.add_failure(now, member, way):
            self.view.change("path bad", member, self.view.entries[member].record, self.number, 0, now)

    def probe_lost(self, now: int, acts: Acts) -> None:
        """A healed cut, or a member that nobody here has heard of.

        Danger: where one of hundreds is lost and all call it, its inbox is full when it comes back.
        """
        lost = [n for n, e in self.view.entries.items() if e.state in (State.DEAD, State.UNKNOWN)]
        if lost and self.rng.random() < LOST_PROBERS * len(lost) / (1 + len(self.view.here())):
            self.outbox.send(now, self.rng.choice(lost), Topic.PING, acts, sequence=self.next_number())

    # -- receiving ----------------------------------------------------------------------

    def receive(self, now: int, received: ReceivedMessage) -> Acts:
        acts: Acts = []
        message = messages.read(received.topic, received.body, self.rules.members)
        if message is None or received.sender == self.number:
            self.envelope.refuse("unreadable")
            return acts
        sender = received.sender
        self.figures.heard += 1
        self.heard_at = now
        healed = self.direct(now, sender, message)
        for number, record in message.records:
            if number == self.number:
                self.receive_about_self(now, record)
            else:
                self.view.take(now, number, record, sender)
        if message.topic in ANSWERS:
            self.was_answered(now, sender, message)
        elif message.topic in (Topic.PING, Topic.NEWS) and message.about != NOBODY:
            self.duplicate_reported(now, message.about, message.extra)
        self.answer(now, sender, message, acts)
        if healed and now - self.asked_view_at >= self.rules.period:
            self.ask_view(now, sender, acts)
        return acts

    def direct(self, now: int, sender: int, message: Message) -> bool:
        """Take in the sender's own heartbeat; true if it was thought dead."""
        entry = self.view.entries[sender]
        entry.direct_at = now
        if message.life < entry.record.life:
            self.duplicates.note(now, sender, now)
            return False
        healed = entry.state is State.DEAD and message.life == entry.record.life
        state = State.LEAVING if message.flags & messages.LEAVING else State.ALIVE
        self.view.take(now, sender, Record(message.life, message.beat, state), sender)
        return healed

    def receive_about_self(self, now: int, told: Record) -> None:
        if told.life > self.life:
            self.later_life(now, told)
        elif told.life == self.life and told.state is State.LEFT and not self.leaving:
            self.life += 1  # LEFT cannot be refuted within one life
            self.outbox.own_updates = self.rules.sends
        elif told.life == self.life and told.state in ACCUSATIONS:
            self.figures.accused += 1
            self.jump += max(0, told.beat + 1 - self.beat(now))
            self.outbox.own_updates = self.rules.sends
            if self.resumed_at < 0 and self.figures.accused % 4 == 1:
                self.health = min(HEALTH_MOST, self.health + 1)

    def later_life(self, now: int, told: Record) -> None:
        """This number has, or had, a process that began later than this one by its own word."""
        newborn = now - self.began < JOIN_PERIODS * self.rules.period and not self.leaving
        ended = told.state in (State.DEAD, State.LEFT)
        if told.life < MOST_LIFE and (newborn or (ended and not self.leaving)):
            self.life, self.superseded = told.life + 1, 0
            self.outbox.own_updates = self.rules.sends
        else:
            if not self.superseded:
                self.view.change("superseded", self.number, told, self.number, 0, now)
            self.superseded = told.life
            self.duplicate_seen(now)

    def duplicate_seen(self, now: int) -> None:
        if self.duplicates.own_seen(now):
            self.view.change("number used twice", self.number, self.own(now), self.number, 0, now)

    def duplicate_reported(self, now: int, number: int, age_ms: int) -> None:
        if number != self.number:
            self.duplicates.note(now, number, now - age_ms * 1000)
        elif age_ms * 1000 <= REPORT_PERIODS * self.rules.period:
            self.duplicate_seen(now)

    def was_answered(self, now: int, sender: int, message: Message) -> None:
        self.answered_at = now
        if self.resumed_at >= 0:
            self.answered_since.add(sender)
            if len(self.answered_since) >= min(HELPERS, len(self.view.here())):
                self.resumed_at = -1
        probe = self.probe
        if probe is not None:
            probe.answered = True

    def answer(self, now: int, sender: int, message: Message, acts: Acts) -> None:
        topic, sequence = message.topic, message.sequence
        if topic is Topic.PING:
            self.outbox.send(now, sender, Topic.ACK, acts, sequence)
        elif topic is Topic.ACK:
            self.acked(now, sender, sequence)
        elif topic is Topic.ASK:
            self.help(now, sender, message, acts)
        elif topic is Topic.FOR:
            self.answer_indirect(now, sender, message, acts)
        elif topic is Topic.ACK_FOR:
            self.relay(now, sender, message, acts)
        elif topic is Topic.RELAYED:
            self.relayed(now, message)
        elif topic is Topic.SYNC:
            self.outbox.queue_sync(sender)
        elif topic is Topic.VIEW:
            self.parts.add(message.about)
            self.settled = self.settled or len(self.parts) >= message.extra

    def answer_indirect(self, now: int, sender: int, message: Message, acts: Acts) -> None:
        """A ping made for another member; the answer says when that one was last heard here."""
        if message.extra and message.about != NOBODY:
            self.paths.told[message.about] = now
        heard_ms = messages.FOREVER
        other = self.view.entries.get(message.about)
        if other is not None and other.direct_at >= 0:
            heard_ms = min(messages.FOREVER - 1, (now - other.direct_at) // 1000)
        self.outbox.send(now, sender, Topic.ACK_FOR, acts, message.sequence, message.about, heard_ms)

    def relay(self, now: int, sender: int, message: Message, acts: Acts) -> None:
        """The target of an indirect probe answered: pass that on to the member that asked."""
        done = self.indirect_probes.pop(message.sequence, None)
        if done is not None and done.target == sender:
            self.outbox.send(now, done.asker, Topic.RELAYED, acts, done.sequence, sender, message.extra)

    def acked(self, now: int, sender: int, sequence: int) -> None:
        if self.paths.good(sender):
            self.view.change("path good", sender, self.view.entries[sender].record, self.number, 0, now)
        self.again.pop(sequence, None)
        probe = self.probe
        if probe is not None and probe.sequence == sequence and probe.target == sender:
            if sender in self.view.stand_ins:
                return
            self.probe = None
            self.health = max(0, self.health - 1)

    def relayed(self, now: int, message: Message) -> None:
        """Danger: a bad path between two members looks like the death of one of them."""
        probe = self.probe
        if probe is None or probe.sequence != message.sequence or probe.target != message.about:
            return
        if not probe.reached:
            probe.reached = True
            self.health = max(0, self.health - 1)
            self.path_failed(now, probe.target, bad_direction(message.extra, now - probe.began))

    def help(self, now: int, sender: int, message: Message, acts: Acts) -> None:
        """Probe a member for another one, which gets a nack at once: it knows then that it is received."""
        if message.about in (NOBODY, self.number, sender):
            return
        self.outbox.send(now, sender, Topic.NACK, acts, message.sequence, message.about)
        if len(self.indirect_probes) < MAX_INDIRECT_PROBES:
            number = self.next_number()
            self.indirect_probes[number] = IndirectProbe(sender, message.sequence, message.about, now)
            self.outbox.send(now, message.about, Topic.FOR, acts, number, sender, message.extra)

    # -- ending -----------------------------------------------------------------------

    def stop(self, now: int) -> Acts:
        """SIGTERM: announce LEAVING, so that the coming silence is not taken for a death."""
        self.leaving = True
        self.outbox.own_updates = self.rules.sends
        acts: Acts = []
        if not self.superseded:
            self.outbox.gossip(now, acts)
        return acts

    def left(self, now: int) -> Acts:
        """The process ends now: announce LEFT, unless a newer process has this number."""
        acts: Acts = []
        if not self.superseded:
            self.outbox.announce_left(now, self.number, acts)
        return acts

    def changes(self) -> list[Change]:
        """Changes since the last call."""
        done, self.view.changes = self.view.changes, []
        return done
