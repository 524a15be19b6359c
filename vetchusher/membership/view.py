"""One member's view of the others: merged records, suspicions and their deadlines, updates to gossip.

Records merge by the order of `Record.key`.  That is commutative, associative and idempotent, so views
converge whatever the order of messages.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .records import (
    ACCUSATIONS,
    HEARTBEAT_US,
    LIVE_STATES,
    MAX_HEARTBEAT,
    PRESENT_STATES,
    Record,
    State,
    newer,
)
from .rules import INDIRECT_PROBES, MembershipTiming


@dataclass(slots=True)
class Entry:
    """One member, as this one sees it.  Times in us on the own clock; -1: never.

    :param record: the newest record received of it
    :param state: state in which this member treats it; a death that is reported without an earlier suspicion
        counts as a suspicion first
    :param since: when `state` last changed
    :param base_heartbeat: a heartbeat that the member had reached by `base_at` at the latest; the present one
        is estimated from it
    :param source: who sent the record; the member itself where it came directly
    :param last_contact_at: when the last datagram from the member itself arrived, of any incarnation
    :param suspected_at: when the present suspicion began
    :param accusers: members whose probes of it have failed since `suspected_at`
    :param incarnations: how many incarnations of it have been seen
    """

    record: Record = field(default_factory=Record)
    state: State = State.UNKNOWN
    since: int = 0
    base_heartbeat: int = 0
    base_at: int = 0
    source: int = -1
    last_contact_at: int = -1
    suspected_at: int = -1
    accusers: set[int] = field(default_factory=set)
    incarnations: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A change of the view, for the log and for the users of the view.

    :param kind: suspected, refuted, dead, alive, left, leaving, reborn (a new incarnation), path bad,
        path good, superseded, number used twice
    :param reporter: who reported it
    :param witnesses: number of independent accusers
    :param at: us on the own clock
    """

    kind: str
    member: int
    record: Record
    reporter: int
    witnesses: int
    at: int


class View:
    """All other members by number: one entry for each number in the settings, none ever removed.

    `updates` counts how often each changed record has been sent; an entry is removed once that suffices for
    all members to receive it.
    """

    def __init__(self, rules: MembershipTiming, number: int, rng: random.Random) -> None:
        """Create a view in which every other member is unknown.

        :param number: the own number
        """
        self.rules, self.number, self.rng = rules, number, rng
        self.entries = {n: Entry() for n in range(rules.members) if n != number}
        self.updates: dict[int, int] = {}
        self.changes: list[Change] = []
        self.suspects: set[int] = set()  # numbers under suspicion here
        self.answered_since = -1  # since when other members have answered without a break; -1: none does now
        # Until then a partition has healed only recently: accusations are neither sent nor believed.
        self.accusations_ignored_until = -1
        self.answered_by_older: set[int] = set()  # an older process answers; nobody knows about the newer one
        self.refuted = 0  # suspicions that were refuted
        self.false_deaths = 0  # deaths that were taken back

    # -- records as they stand ----------------------------------------------------------

    def estimated_heartbeat(self, entry: Entry, at: int) -> int:
        """Return a heartbeat that the member has reached by `at` if it is alive.

        It never exceeds the real one: the time since the last known heartbeat is shortened by the drift of
        both clocks.
        """
        spent = max(0, at - entry.base_at) * (1.0 - 2.0 * self.rules.drift) / HEARTBEAT_US
        return min(MAX_HEARTBEAT, entry.base_heartbeat + int(spent))

    def confirmed_record(self, now: int, number: int) -> Record:
        """Return the record of a member with the latest heartbeat that this member can confirm.

        A member of which no accusation has arrived was alive one detection time ago: its death would be known
        here by now.  This holds only while others have answered this member for as long.
        """
        entry, since = self.entries[number], now - self.rules.detection_bound_us
        if entry.record.state not in LIVE_STATES or number in self.answered_by_older:
            return entry.record
        if self.answered_since < 0 or self.answered_since > since:
            return entry.record
        heartbeat = self.estimated_heartbeat(entry, since)
        if heartbeat <= entry.record.heartbeat:
            return entry.record
        return Record(entry.record.incarnation, heartbeat, entry.record.state)

    def state_of(self, number: int) -> State:
        """Return the state in which this member treats another one."""
        return self.entries[number].state

    def present(self) -> list[int]:
        """Return the members that are taken to serve, suspected ones included, without oneself."""
        return [n for n, e in self.entries.items() if e.state in PRESENT_STATES]

    def counts(self) -> dict[State, int]:
        """Return the number of other members in each state."""
        found = dict.fromkeys(State, 0)
        for entry in self.entries.values():
            found[entry.state] += 1
        return found

    # -- merging ------------------------------------------------------------------------

    def merge(self, now: int, number: int, received: Record, source: int) -> None:
        """Merge a record that `source` sent about another member."""
        entry = self.entries[number]
        accusation = received.state in ACCUSATIONS
        if accusation and now < self.accusations_ignored_until:
            return
        same = received.incarnation == entry.record.incarnation
        if accusation and same and entry.record.state in LIVE_STATES:
            entry.record = self.confirmed_record(now, number)
        if accusation and same and entry.record.state in ACCUSATIONS and received.state is State.SUSPECTED:
            self.add_accuser(now, entry, number, received.accuser)
        newest = newer(received, entry.record)
        if newest is entry.record or newest.key == entry.record.key:
            if accusation and same and entry.record.state in LIVE_STATES:
                self.updates[number] = 0  # the accuser lacks a newer record that is known here
            return
        self.apply(now, number, entry, received, source)

    def apply(self, now: int, number: int, entry: Entry, received: Record, source: int) -> None:
        """Replace a member's record by a newer one, and change its state and its suspicion accordingly."""
        new_incarnation = received.incarnation != entry.record.incarnation
        before = entry.state
        if new_incarnation:
            entry.incarnations += 1
            entry.base_heartbeat, entry.base_at = 0, now
            self.end_suspicion(number, entry)
            if before is not State.UNKNOWN:
                self.record_change("reborn", number, received, source, 0, now)
        entry.record, entry.source = received, source
        if received.state in ACCUSATIONS:
            self.apply_accusation(now, number, entry, received)
            return
        if received.state in LIVE_STATES and received.heartbeat > self.estimated_heartbeat(entry, now):
            entry.base_heartbeat, entry.base_at = received.heartbeat, now
        if before is received.state and not new_incarnation:
            return  # a newer heartbeat alone is no update to gossip
        self.updates[number] = 0
        if before in ACCUSATIONS and received.state in LIVE_STATES and not new_incarnation:
            self.refuted += before is State.SUSPECTED
            if before is State.DEAD:
                # A partition has healed, or this member was the one cut off: its accusations of other members
                # may be just as wrong.
                self.false_deaths += 1
                self.accusations_ignored_until = now + self.rules.detection_bound_us
            what = "refuted" if before is State.SUSPECTED else "alive"
            self.record_change(what, number, received, source, len(entry.accusers), now)
        elif not new_incarnation or before is State.UNKNOWN:
            self.record_change(received.state.name.lower(), number, received, source, 0, now)
        self.end_suspicion(number, entry)
        self.set_state(now, entry, received.state)

    def apply_accusation(self, now: int, number: int, entry: Entry, received: Record) -> None:
        """Suspect a member, or add an accuser to the suspicion that it is under.

        A death that is reported without an earlier suspicion may come from the other side of a partition; so
        it starts a suspicion here, in which the accused has the time to refute it.
        """
        if entry.state is State.DEAD:
            return
        if entry.state is State.UNKNOWN and received.state is State.DEAD:
            self.set_state(now, entry, State.DEAD)  # it died before this member joined
            self.record_change("dead", number, received, received.accuser, 1, now)
            return
        if entry.suspected_at < 0:
            entry.suspected_at = now
            self.suspects.add(number)
            self.set_state(now, entry, State.SUSPECTED)
            self.record_change("suspected", number, received, received.accuser, 1, now)
        self.updates[number] = 0
        self.add_accuser(now, entry, number, received.accuser)

    def add_accuser(self, now: int, entry: Entry, number: int, accuser: int) -> None:
        """Count an accuser once, however many members relay its accusation."""
        if accuser == number or accuser in entry.accusers or entry.suspected_at < 0:
            return
        if len(entry.accusers) <= INDIRECT_PROBES:
            entry.accusers.add(accuser)
            self.updates[number] = 0

    def accuse(self, now: int, number: int, heartbeat: int) -> None:
        """Suspect a member after an own probe of it has failed.

        :param heartbeat: what the member had reached when it was last known to be alive
        """
        entry = self.entries[number]
        if entry.state not in PRESENT_STATES or now < self.accusations_ignored_until:
            return
        if entry.record.state in ACCUSATIONS:
            self.add_accuser(now, entry, number, self.number)
            return
        heartbeat = max(entry.record.heartbeat, heartbeat)
        accusation = Record(entry.record.incarnation, heartbeat, State.SUSPECTED, self.number)
        self.apply(now, number, entry, accusation, self.number)

    def end_suspicion(self, number: int, entry: Entry) -> None:
        """Forget the suspicion of a member and its accusers."""
        entry.suspected_at = -1
        entry.accusers.clear()
        self.suspects.discard(number)

    def set_state(self, now: int, entry: Entry, state: State) -> None:
        """Change the state in which a member is treated, and note the time of the change."""
        if entry.state is not state:
            entry.state, entry.since = state, now

    def record_change(
        self, what: str, number: int, record: Record, by: int, witnesses: int, now: int
    ) -> None:
        """Append a change for the log; see `Change` for the parameters."""
        self.changes.append(Change(what, number, record, by, witnesses, now))

    # -- time ---------------------------------------------------------------------------

    def deadline(self, entry: Entry) -> int:
        """Return the time by which a suspected member must refute the suspicion."""
        if entry.record.state is State.DEAD:
            return entry.suspected_at + self.rules.min_suspicion_us
        others = len(self.present()) - 1
        return entry.suspected_at + self.rules.suspicion_us(len(entry.accusers) - 1, others)

    def expire(self, now: int) -> None:
        """Declare dead the members whose suspicion has lasted until its deadline.

        Must not be called by a member that may itself be cut off, stalled or superseded.
        """
        if now < self.accusations_ignored_until:
            return  # these suspicions stem from the partition that has healed
        for number in [n for n in self.suspects if now >= self.deadline(self.entries[n])]:
            entry = self.entries[number]
            accusers = len(entry.accusers)
            if entry.record.state is not State.DEAD:
                by = min(entry.accusers, default=self.number)
                entry.record = Record(entry.record.incarnation, entry.record.heartbeat, State.DEAD, by)
                self.updates[number] = 0
            self.set_state(now, entry, State.DEAD)
            self.record_change("dead", number, entry.record, entry.record.accuser, accusers, now)
            self.end_suspicion(number, entry)

    def postpone_deadlines(self, by: int) -> None:
        """Extend all suspicions by the time (us) in which this member could not receive refutations."""
        for number in self.suspects:
            self.entries[number].suspected_at += by

    # -- sending ------------------------------------------------------------------------

    def record_to_send(self, now: int, number: int) -> Record:
        """Return a record as it is sent.

        A suspicion is sent with one of its accusers, chosen at random, so that all of them spread.
        """
        entry = self.entries[number]
        if entry.record.state is State.SUSPECTED and entry.accusers:
            by = self.rng.choice(sorted(entry.accusers))
            return Record(entry.record.incarnation, entry.record.heartbeat, State.SUSPECTED, by)
        return self.confirmed_record(now, number)

    def may_send(self, now: int, number: int) -> bool:
        """Whether there is a record of the member that may be sent now."""
        state = self.entries[number].record.state
        return state is not State.UNKNOWN and not (
            state in ACCUSATIONS and now < self.accusations_ignored_until
        )

    def next_updates(self, now: int, limit: int) -> list[tuple[int, Record]]:
        """Return up to `limit` updates to send, those sent least often first, and count the sending."""
        sent = []
        for number in sorted(self.updates, key=self.updates.__getitem__)[:limit]:
            self.updates[number] += 1
            if self.updates[number] >= self.rules.retransmissions:
                del self.updates[number]
            if self.may_send(now, number):
                sent.append((number, self.record_to_send(now, number)))
        return sent
