"""One member's view of the others: merged records, suspicions and their deadlines, updates to gossip.

Records merge by `records.later`, which is commutative, associative and idempotent, so views converge
whatever the order of messages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .records import ACCUSATIONS, BEAT_US, HERE, LIVING, MOST_BEAT, Record, State, later
from .rules import HELPERS, Rules


@dataclass(slots=True)
class Entry:
    """One member, as this one sees it.  Times in us on the own clock.

    :param anchor: a beat that the member had at the latest at `anchor_at`; reckoned on from there
    :param source: who sent the record; the member itself where it came directly
    :param accusers: whose probes failed, since `accused_at`
    """

    record: Record = field(default_factory=Record)
    state: State = State.UNKNOWN  # as shown: a death reported without a suspicion is one first
    since: int = 0
    anchor: int = 0
    anchor_at: int = 0
    source: int = -1
    direct_at: int = -1  # the last datagram from itself, of whatever life
    accused_at: int = -1
    accusers: set[int] = field(default_factory=set)
    lives: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """For the log and for whoever uses the view."""

    what: str  # suspected, refuted, dead, alive, left, leaving, reborn
    member: int
    record: Record
    by: int
    witnesses: int
    at: int


class View:
    """All members but oneself, by number: as many entries as the settings count, none ever removed.

    `updates` counts how often each changed record has been sent: an entry is removed after `Rules.sends`.
    """

    def __init__(self, rules: Rules, number: int, rng: random.Random) -> None:
        self.rules, self.number, self.rng = rules, number, rng
        self.entries = {n: Entry() for n in range(rules.members) if n != number}
        self.updates: dict[int, int] = {}
        self.changes: list[Change] = []
        self.suspects: set[int] = set()  # numbers under suspicion here
        self.vouching_from = -1  # since when others have answered; -1: nobody does
        self.muted_until = -1  # a partition has healed: accusations are neither sent nor believed
        self.stand_ins: set[int] = set()  # an older process answers for them: nobody knows of the newer one
        self.refuted = 0  # suspicions that ended well
        self.false_deaths = 0  # deaths that were taken back

    # -- what is known ----------------------------------------------------------------

    def reckoned(self, entry: Entry, at: int) -> int:
        """A beat that the member had at `at` at the latest, if it lives; never more than it really had."""
        spent = max(0, at - entry.anchor_at) * (1.0 - 2.0 * self.rules.drift) / BEAT_US
        return min(MOST_BEAT, entry.anchor + int(spent))

    def vouched(self, now: int, number: int) -> Record:
        """The record as this member may tell it: of one of which nothing bad is heard it may say that it
        lived `Rules.known` ago, or its death would have been told."""
        entry, since = self.entries[number], now - self.rules.known
        if entry.record.state not in LIVING or number in self.stand_ins:
            return entry.record
        if self.vouching_from < 0 or self.vouching_from > since:
            return entry.record
        beat = self.reckoned(entry, since)
        if beat <= entry.record.beat:
            return entry.record
        return Record(entry.record.life, beat, entry.record.state)

    def state_of(self, number: int) -> State:
        return self.entries[number].state

    def here(self) -> list[int]:
        """Members taken to serve, the suspected among them, without oneself."""
        return [n for n, e in self.entries.items() if e.state in HERE]

    def counts(self) -> dict[State, int]:
        found = dict.fromkeys(State, 0)
        for entry in self.entries.values():
            found[entry.state] += 1
        return found

    # -- merging ----------------------------------------------------------------------

    def take(self, now: int, number: int, told: Record, source: int) -> None:
        """Merge a record that `source` sent about another member."""
        entry = self.entries[number]
        accusation = told.state in ACCUSATIONS
        if accusation and now < self.muted_until:
            return
        same = told.life == entry.record.life
        if accusation and same and entry.record.state in LIVING:
            entry.record = self.vouched(now, number)
        if accusation and same and entry.record.state in ACCUSATIONS and told.state is State.SUSPECTED:
            self.witness(now, entry, number, told.by)
        stands = later(told, entry.record)
        if stands is entry.record or stands.key == entry.record.key:
            if accusation and same and entry.record.state in LIVING:
                self.updates[number] = 0  # the accuser lacks a later record that is here
            return
        self.adopt(now, number, entry, told, source)

    def adopt(self, now: int, number: int, entry: Entry, told: Record, source: int) -> None:
        reborn = told.life != entry.record.life
        before = entry.state
        if reborn:
            entry.lives += 1
            entry.anchor, entry.anchor_at = 0, now
            self.end_suspicion(number, entry)
            if before is not State.UNKNOWN:
                self.change("reborn", number, told, source, 0, now)
        entry.record, entry.source = told, source
        if told.state in ACCUSATIONS:
            self.accused(now, number, entry, told)
            return
        if told.state in LIVING and told.beat > self.reckoned(entry, now):
            entry.anchor, entry.anchor_at = told.beat, now
        if before is told.state and not reborn:
            return  # a later beat alone is no news
        self.updates[number] = 0
        if before in ACCUSATIONS and told.state in LIVING and not reborn:
            self.refuted += before is State.SUSPECTED
            if before is State.DEAD:
                # A cut has healed, or this member was the one cut off: its word on others is worth nothing.
                self.false_deaths += 1
                self.muted_until = now + self.rules.known
            what = "refuted" if before is State.SUSPECTED else "alive"
            self.change(what, number, told, source, len(entry.accusers), now)
        elif not reborn or before is State.UNKNOWN:
            self.change(told.state.name.lower(), number, told, source, 0, now)
        self.end_suspicion(number, entry)
        self.show(now, entry, told.state)

    def accused(self, now: int, number: int, entry: Entry, told: Record) -> None:
        """Danger: a death told out of the blue may come from the other side of a cut; the accused gets the
        time to be heard."""
        if entry.state is State.DEAD:
            return
        if entry.state is State.UNKNOWN and told.state is State.DEAD:
            self.show(now, entry, State.DEAD)  # it died before this member came
            self.change("dead", number, told, told.by, 1, now)
            return
        if entry.accused_at < 0:
            entry.accused_at = now
            self.suspects.add(number)
            self.show(now, entry, State.SUSPECTED)
            self.change("suspected", number, told, told.by, 1, now)
        self.updates[number] = 0
        self.witness(now, entry, number, told.by)

    def witness(self, now: int, entry: Entry, number: int, accuser: int) -> None:
        """Danger: one accuser whose word comes by many ways is still one."""
        if accuser == number or accuser in entry.accusers or entry.accused_at < 0:
            return
        if len(entry.accusers) <= HELPERS:
            entry.accusers.add(accuser)
            self.updates[number] = 0

    def accuse(self, now: int, number: int, beat: int) -> None:
        """An own probe failed; nothing was heard of the member since it had that beat."""
        entry = self.entries[number]
        if entry.state not in HERE or now < self.muted_until:
            return
        if entry.record.state in ACCUSATIONS:
            self.witness(now, entry, number, self.number)
            return
        beat = max(entry.record.beat, beat)
        told = Record(entry.record.life, beat, State.SUSPECTED, self.number)
        self.adopt(now, number, entry, told, self.number)

    def end_suspicion(self, number: int, entry: Entry) -> None:
        entry.accused_at = -1
        entry.accusers.clear()
        self.suspects.discard(number)

    def show(self, now: int, entry: Entry, state: State) -> None:
        if entry.state is not state:
            entry.state, entry.since = state, now

    def change(self, what: str, number: int, record: Record, by: int, witnesses: int, now: int) -> None:
        self.changes.append(Change(what, number, record, by, witnesses, now))

    # -- time -------------------------------------------------------------------------

    def deadline(self, entry: Entry) -> int:
        """Until when a suspected member may still be heard of."""
        if entry.record.state is State.DEAD:
            return entry.accused_at + self.rules.shortest
        others = len(self.here()) - 1
        return entry.accused_at + self.rules.suspicion(len(entry.accusers) - 1, others)

    def expire(self, now: int) -> None:
        """Suspicions whose time is over become deaths; not to be called by one in doubt of itself."""
        if now < self.muted_until:
            return  # they are of the cut that has healed
        for number in [n for n in self.suspects if now >= self.deadline(self.entries[n])]:
            entry = self.entries[number]
            accusers = len(entry.accusers)
            if entry.record.state is not State.DEAD:
                by = min(entry.accusers, default=self.number)
                entry.record = Record(entry.record.life, entry.record.beat, State.DEAD, by)
                self.updates[number] = 0
            self.show(now, entry, State.DEAD)
            self.change("dead", number, entry.record, entry.record.by, accusers, now)
            self.end_suspicion(number, entry)

    def put_off(self, by: int) -> None:
        """This member stood still: what it meant to conclude waits as long."""
        for number in self.suspects:
            self.entries[number].accused_at += by

    # -- sending ----------------------------------------------------------------------

    def record_to_send(self, now: int, number: int) -> Record:
        """A record as sent: of a suspicion with one of its accusers at random, so that all spread."""
        entry = self.entries[number]
        if entry.record.state is State.SUSPECTED and entry.accusers:
            by = self.rng.choice(sorted(entry.accusers))
            return Record(entry.record.life, entry.record.beat, State.SUSPECTED, by)
        return self.vouched(now, number)

    def may_send(self, now: int, number: int) -> bool:
        state = self.entries[number].record.state
        return state is not State.UNKNOWN and not (state in ACCUSATIONS and now < self.muted_until)

    def next_updates(self, now: int, most: int) -> list[tuple[int, Record]]:
        """The records sent least often first."""
        told = []
        for number in sorted(self.updates, key=self.updates.__getitem__)[:most]:
            self.updates[number] += 1
            if self.updates[number] >= self.rules.sends:
                del self.updates[number]
            if self.may_send(now, number):
                told.append((number, self.record_to_send(now, number)))
        return told
