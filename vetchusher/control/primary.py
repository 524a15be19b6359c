"""The primary of one epoch: its lease, its backups' copies, one write at a time, and the orders that wait.

A write is acknowledged once it is on the disks of all copies that the record names, under the lease.  A copy
that is lost or late is replaced: another is taught the whole state first, then the record is changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import (
    BodyDelta,
    ControlMessage,
    ControlState,
    Drop,
    LeaseRenewal,
    LeaseRenewalReply,
    ReplicaSet,
    Stamp,
    VoteRequest,
    Write,
    WriteReply,
)
from vetchusher.events import Event, LogEvent
from vetchusher.kinds import Fault, Kind

from .deltas import BodyHistory
from .durable_state import DurableState
from .messages import Committed, Completed, Order, Output, Retrieve, Send, Submitted, Timing
from .orders import Decision, Numbers, OrderBatch
from .progress import Peers, ProgressTracker, ReplicaProgress
from .reconfiguration import Reconfiguration
from .state import START, at, changed, has_quorum, stamp, voters, without_configuration

MOST_ORDERS = 256  # that wait at once
MOST_LEARNERS = 8


@dataclass(slots=True)
class Waiting:
    number: int
    order: Order
    until: int


class Primary:
    """It owns the backups, the office, and the orders waiting (`MOST_ORDERS`; each is answered within
    `order_us`)."""

    def __init__(
        self,
        timing: Timing,
        memory: DurableState,
        peers: Peers,
        epoch: int,
        found: ReplicaSet,
        losses: int,
        first_round: int,
        now: int,
    ) -> None:
        """:param found: the newest record that the promises told"""
        self.timing = timing
        self.memory = memory
        self.peers = peers
        self.epoch = epoch
        self.began = now
        self.renewed_at = now - timing.renew_us
        self.progress = ProgressTracker(timing, peers, first_round, now)
        self.reconfiguration = Reconfiguration(memory, self.progress, epoch, found, losses, now)
        self.bodies = BodyHistory()
        self.committed: ControlState | None = None
        self.write_began: int | None = None
        self.wrote_at = now
        self.writing: list[tuple[Waiting, Decision]] = []
        self.numbers: Numbers | None = None  # of the last batch with a configuration
        self.waiting: list[Waiting] = []
        self.reading: list[Waiting] = []
        self.led = False  # the lease was held at least once
        self.lapsed_at: int | None = None
        self.probing = False  # the last renewal was a question only

    # -- the lease -----------------------------------------------------------------------------

    def leads(self, now: int) -> bool:
        return now < self.reconfiguration.lease_until(now)

    def holds(self, now: int) -> bool:
        return self.committed is not None and self.leads(now)

    def gone(self, now: int) -> bool:
        """The lease ran out, and asking on did not bring it back: hearing without being heard ends it
        here."""
        if self.leads(now):
            self.lapsed_at, self.led = None, True
            return False
        if self.lapsed_at is None:
            self.lapsed_at = now
        grace = (
            self.timing.regain_us if self.led else self.timing.lease_us
        )  # the first answers take their time
        return now >= self.lapsed_at + grace

    def renewal_due(self, now: int) -> bool:
        """At once when a majority is heard again."""
        regained = self.probing and not self.unheard(now)
        return regained or now >= self.renewed_at + self.timing.renew_us

    def renew(self, now: int) -> list[Output]:
        self.renewed_at = now
        self.probing = self.unheard(now)
        if self.probing:
            return self.probe()
        round_ = self.progress.next_round(now)
        renew = LeaseRenewal(
            epoch=self.epoch,
            round=round_,
            committed=self.told(now),
            record=self.reconfiguration.newest(),
            changing=self.changing(now),
        )
        message = ControlMessage(renew=renew)
        readers = [*self.reconfiguration.everybody(), *self.progress.learners]
        return [Send(ip, message) for ip in readers] + self.drop(now)

    def changing(self, now: int) -> bool:
        """Whether a voter that is leaving has to stay, as its seat is about to be taken."""
        reconfiguration = self.reconfiguration
        if any(one.previous_members for one in reconfiguration.sets()):
            return True
        if self.committed is None or now < self.began + self.timing.settle_us:
            return True
        leaving = self.peers.leaving
        return not leaving.isdisjoint(reconfiguration.members) and any(
            ip not in leaving and self.progress.heard(now, ip) for ip in self.progress.learners
        )

    def unheard(self, now: int) -> bool:
        """No majority of the members has been heard lately: nothing it says can bring it a lease.

        Danger: one that is heard and hears nobody would keep the others from another primary.
        """
        heard_at = self.peers.heard_at
        since = now - self.timing.unheard_us
        others = self.reconfiguration.everybody()
        heard = {ip for ip in others if max(self.began, heard_at.get(ip, 0)) > since} | {self.peers.me}
        return not all(has_quorum(one, heard) for one in self.reconfiguration.sets())

    def probe(self) -> list[Output]:
        """A question that anybody answers and that gives no lease."""
        message = ControlMessage(ask=VoteRequest(epoch=0))
        return [Send(ip, message) for ip in self.reconfiguration.everybody()]

    def renewed(self, sender: str, answer: LeaseRenewalReply) -> None:
        if answer.epoch == self.epoch:
            self.progress.renewed(sender, answer)

    def told(self, now: int) -> Stamp | None:
        """What is committed; without the lease nothing is said to be in force."""
        return stamp(at(self.committed)) if self.committed is not None and self.holds(now) else None

    # -- writes --------------------------------------------------------------------------------

    def write(self, now: int, state: ControlState) -> list[Output]:
        before = self.memory.state
        state = changed(state, (self.epoch, state.stamp.seq + 1))
        first_write = self.committed is None and self.write_began is None
        if first_write or state.version != before.version:
            since = at(before) if first_write else self.bodies.since
            self.bodies.advance(at(state), state.configuration, before.configuration, since)
        self.memory.hold(state)
        self.write_began = self.wrote_at = now
        return self.teach(now)

    def taught(self, now: int) -> set[str]:
        """Who gets every write: the copies, and those that are to become copies."""
        # A late one in another zone: it holds a copy again as soon as it has shown that it can.
        reconfiguration = self.reconfiguration
        late = {ip for ip in reconfiguration.members if self.away(ip) and self.progress.rests(now, ip)}
        coming = self.next_members(now)
        newcomers = set(coming) - set(reconfiguration.members)
        wanted = reconfiguration.wanted(now) | reconfiguration.wanted(now, coming)
        return (reconfiguration.copies() | wanted | newcomers | late) - {self.peers.me}

    def away(self, ip: str) -> bool:
        """Whether it lies in another zone."""
        return self.peers.apart({ip, self.peers.me})

    def teach(self, now: int) -> list[Output]:
        out: list[Output] = []
        newest = at(self.memory.state)
        for ip in sorted(self.taught(now)):
            backup = self.progress.member(ip)
            if backup.copy >= newest or backup.amnesiac:
                continue
            if backup.wrote != newest or (
                now >= backup.last_at + backup.pause and self.progress.heard(now, ip)
            ):
                out += self.send(now, ip, backup)
        return out

    def send(self, now: int, ip: str, backup: ReplicaProgress) -> list[Output]:
        state = self.memory.state
        if backup.wrote == at(state):
            backup.pause = min(2 * backup.pause, self.timing.resend_most_us)
        else:
            backup.wrote, backup.first_at, backup.pause = at(state), now, self.timing.resend_us
        backup.last_at = now
        delta = self.delta_for(backup)
        if delta is not None or (backup.copy >= self.bodies.since and state.version):
            state = without_configuration(state)
        life = self.peers.lives.get(ip, 0)
        write = Write(epoch=self.epoch, state=state, committed=self.told(now), life=life, delta=delta)
        return [Send(ip, ControlMessage(write=write))]

    def delta_for(self, backup: ReplicaProgress) -> BodyDelta | None:
        """For one that holds the configuration before this one, as far as is known.

        Whoever takes a first write is expected to hold what this machine held.  A reader that lacks a chunk
        says so and gets the whole: the guess costs a round trip, nothing else.
        """
        if backup.needs_whole or backup.copy >= self.bodies.since:
            return None
        guessed = self.committed is None and backup.copy == START and not backup.amnesiac
        return self.bodies.delta() if guessed or backup.copy >= self.bodies.former_since > START else None

    def written(self, now: int, sender: str, answer: WriteReply) -> list[Output]:
        backup = self.progress.known(sender)
        if backup is None or answer.epoch != self.epoch:
            return []
        if answer.need_whole:
            backup.copy, backup.needs_whole = START, True
            return self.send(now, sender, backup)
        self.progress.written(sender, answer)
        return []

    def reborn(self, ip: str) -> None:
        backup = self.progress.known(ip)
        if backup is not None:
            backup.reborn()

    def patience(self, most: int) -> int:
        """A large configuration takes its time on any disk."""
        return most + len(self.memory.state.configuration)

    def mark_late(self, now: int) -> None:
        """Danger: one that stalls again and again must not hold up a write each time."""
        newest = at(self.memory.state)
        copies = self.reconfiguration.copies()
        for ip in self.taught(now):
            backup = self.progress.member(ip)
            if backup.wrote != newest or backup.copy >= newest:
                continue
            # Danger: without the copy in another zone that zone's loss is more than is borne.
            most = self.timing.other_zone_us if self.away(ip) else self.timing.late_us
            if now >= backup.first_at + self.patience(most):
                backup.rested_until = now + self.timing.rest_us
                if ip not in copies:
                    backup.wrote = START  # when it is chosen again it has its time again

    def heir(self, now: int) -> str:
        """Who should lead, as this machine's own disk is late with a write; empty: nobody."""
        newest = at(self.memory.state)
        late = now >= self.wrote_at + self.patience(self.timing.yield_us)
        if self.memory.synced_stamp >= newest or not late:
            return ""
        return self.best_heir(now)

    def best_heir(self, now: int) -> str:
        """Of the copies, the one with the newest state."""
        others = [ip for ip in self.reconfiguration.record.copies if ip != self.peers.me]
        known = [(self.progress.copy(now, ip), ip) for ip in others if self.progress.well(now, ip)]
        found = max(known, default=(START, ""))
        return found[1] if found[0] > START else ""

    # -- what others' answers make possible ----------------------------------------------------

    def settle(self, now: int) -> list[Output]:
        """Lets the record stand and commits the write under way if it may be, then begins what comes next,
        and answers what can be answered."""
        out: list[Output] = []
        before = self.reconfiguration.record
        if self.reconfiguration.settle(now):
            out += self.standing_events(before)
        self.mark_late(now)
        if self.reconfiguration.proposed is None and self.propose(now):
            out += self.renew(now)
        if self.write_began is not None and self.settled(now, self.write_began):
            out += self.commit(now)
        out += self.answer(now)
        if self.write_began is None and self.holds(now):
            out += self.next_write(now)
            out += self.answer(now)
        return out + self.teach(now)

    def standing_events(self, before: ReplicaSet) -> list[Output]:
        """What the log says of a set that has come to stand.

        :param before: the set that stood until now
        """
        record = self.reconfiguration.record
        facts = {"copies": ",".join(record.copies), "number": record.number}
        events = [LogEvent(Event.COPIES_HELD, {"epoch": self.epoch} | facts)]
        for ip in sorted(set(record.members) - voters(before)):
            events.append(LogEvent(Event.MEMBER_JOINED, {"member": ip, "members": len(record.members)}))
        for ip in sorted(voters(before) - voters(record)):
            events.append(LogEvent(Event.MEMBER_REMOVED, {"member": ip, "members": len(record.members)}))
        return list(events)

    def propose(self, now: int) -> bool:
        """Whether the next replica set was proposed: other copies, or other voters."""
        reconfiguration = self.reconfiguration
        record = reconfiguration.record
        if not reconfiguration.standing:
            # Danger: the set that was found may stand or not; the same electorates have to decide on it.
            return self.propose_whole(now, record.members, record.previous_members)
        if reconfiguration.joint:
            reconfiguration.propose(record.copies, record.members)
            return True
        members = self.next_members(now)
        if set(members) != set(record.members) and self.propose_whole(now, members, record.members):
            return True
        copies_change = reconfiguration.wanted(now) != set(record.copies)
        return copies_change and self.propose_whole(now, record.members)

    def propose_whole(self, now: int, members: Sequence[str], previous: Sequence[str] = ()) -> bool:
        """Whether a set was proposed: all that it newly names hold the whole state.

        :param previous: the voters before, where `members` are others
        """
        reconfiguration = self.reconfiguration
        wanted = reconfiguration.wanted(now, members)
        newcomers = set(members) - set(reconfiguration.record.members)
        since = at(self.committed or self.memory.state)
        if not all(reconfiguration.whole(now, ip, since) for ip in wanted | newcomers):
            return False
        reconfiguration.propose(wanted, members, previous)
        return True

    def next_members(self, now: int) -> list[str]:
        """The voters that there should be."""
        if self.committed is None or self.reconfiguration.joint:
            return self.reconfiguration.members
        return self.reconfiguration.next_members(now, self.began)

    def settled(self, now: int, began: int) -> bool:
        reconfiguration, newest = self.reconfiguration, at(self.memory.state)
        if not reconfiguration.standing or not all(
            reconfiguration.whole(now, ip, newest) for ip in reconfiguration.copies()
        ):
            return False
        # Copies in another zone are on their way: a zone may be lost right after the answer.
        coming = self.peers.apart(reconfiguration.wanted(now)) and not self.peers.apart(
            set(reconfiguration.record.copies)
        )
        return not coming or now >= began + self.timing.other_zone_us

    def commit(self, now: int) -> list[Output]:
        self.committed, self.write_began = self.memory.state, None
        facts = {"stamp": at(self.committed), "version": self.committed.version}
        return [Committed(self.committed), LogEvent(Event.STATE_COMMITTED, facts), *self.renew(now)]

    def next_write(self, now: int) -> list[Output]:
        """All orders that wait go into one write."""
        batch = OrderBatch(self.memory.state, self.numbers)
        waiting, self.waiting = self.waiting, []
        done: list[Output] = []
        for one in waiting:
            decision = batch.decide(one.order)
            if decision.relies_on_write:
                self.writing.append((one, decision))
            else:
                done += decision.answer(one.number)
        self.numbers = batch.numbers()
        if batch.state is not batch.held or self.dropped(now):
            return done + self.write(now, batch.state)
        return done

    # -- copies that are needed no more --------------------------------------------------------

    def drop(self, now: int) -> list[Output]:
        reconfiguration = self.reconfiguration
        if not reconfiguration.standing or reconfiguration.proposed is not None or self.committed is None:
            return []
        if now < reconfiguration.changed_at + self.timing.drop_copy_us:
            return []
        # Danger: what is being written now may be needed there yet.
        keep, upto = self.taught(now), at(self.committed)
        out: list[Output] = []
        for ip in [*reconfiguration.everybody(), *self.progress.learners]:
            backup = self.progress.member(ip)
            if ip not in keep and backup.holds:
                backup.dropped, backup.holds, backup.copy = upto, False, START
                out.append(Send(ip, ControlMessage(drop=Drop(epoch=self.epoch, stamp=stamp(upto)))))
        return out

    def dropped(self, now: int) -> bool:
        """Whether one is to hold a copy again that was told to drop this very state: it counts under a later
        stamp only, as the order to drop may be late."""
        return any(self.progress.member(ip).dropped >= at(self.memory.state) for ip in self.taught(now))

    # -- orders --------------------------------------------------------------------------------

    def submit(self, now: int, asked: Submitted) -> list[Output]:
        if len(self.waiting) + len(self.writing) + len(self.reading) >= MOST_ORDERS:
            return [Completed(asked.number, Failure(Fault(Kind.NOT_SETTLED, "too many orders wait")))]
        queue = self.reading if isinstance(asked.order, Retrieve) else self.waiting
        queue.append(Waiting(asked.number, asked.order, now + self.timing.order_us))
        return []

    def answer(self, now: int) -> list[Output]:
        """What a settled write carries, what is to be read, and what waited too long."""
        out: list[Output] = []
        if self.holds(now):
            out += [Completed(w.number, self.read()) for w in self.reading]
            self.reading = []
            if self.write_began is None:
                out += [one for w, decision in self.writing for one in decision.answer(w.number)]
                self.writing = []
        late = [w for w in self.all_waiting() if now >= w.until]
        if late:
            self.reading = [w for w in self.reading if now < w.until]
            self.waiting = [w for w in self.waiting if now < w.until]
            self.writing = [(w, decision) for w, decision in self.writing if now < w.until]
        return out + unsettled(late, "not on enough disks in time")

    def all_waiting(self) -> list[Waiting]:
        return [*self.reading, *self.waiting, *(w for w, _ in self.writing)]

    def read(self) -> Result[bytes, Fault]:
        if self.committed is None or not self.committed.version:
            return Failure(Fault(Kind.NOT_SETTLED, "no configuration yet"))
        return Success(self.committed.configuration)

    def give_up(self) -> list[Output]:
        late = self.all_waiting()
        self.reading, self.waiting, self.writing = [], [], []
        return unsettled(late, "this machine is the primary no more")

    # -- machines that ask to join -------------------------------------------------------------

    def join(self, now: int, ip: str) -> list[Output]:
        """A machine with a disk that does not vote is a learner for as long as it asks."""
        learners = self.progress.learners
        if ip in self.reconfiguration.everybody():
            return []
        if ip in learners:
            learners[ip].joined_at = now
            return []
        if len(learners) >= MOST_LEARNERS:
            return []
        self.progress.members.pop(ip, None)
        learners[ip] = ReplicaProgress(joined_at=now)
        return self.renew(now)  # it has the set that stands as soon as can be


def unsettled(waiting: Iterable[Waiting], text: str) -> list[Output]:
    return [Completed(w.number, Failure(Fault(Kind.NOT_SETTLED, text))) for w in waiting]
