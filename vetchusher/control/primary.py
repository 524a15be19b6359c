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

from .deltas import ConfigurationHistory
from .durable_state import DurableState
from .messages import Committed, Completed, Order, Output, RetrieveOrder, Send, Submitted, Timing
from .orders import Decision, KnownBodies, OrderBatch
from .progress import PeerTable, ProgressTracker, ReplicaProgress
from .reconfiguration import Reconfiguration
from .state import (
    ZERO_STAMP,
    copy_state,
    has_quorum,
    stamp_message,
    state_stamp,
    voters,
    without_configuration,
)

MAX_PENDING_ORDERS = 256  # that wait at once
MAX_LEARNERS = 8


@dataclass(slots=True)
class PendingOrder:
    order_id: int
    order: Order
    expires_at: int


class Primary:
    """It owns the backups, the office, and the orders waiting (`MOST_ORDERS`; each is answered within
    `order_us`)."""

    def __init__(
        self,
        timing: Timing,
        durable: DurableState,
        peers: PeerTable,
        epoch: int,
        found_set: ReplicaSet,
        losses: int,
        first_round: int,
        now: int,
    ) -> None:
        """:param found: the newest record that the promises told"""
        self.timing = timing
        self.durable = durable
        self.peers = peers
        self.epoch = epoch
        self.began_at = now
        self.renewed_at = now - timing.renewal_interval_us
        self.progress = ProgressTracker(timing, peers, first_round, now)
        self.reconfiguration = Reconfiguration(durable, self.progress, epoch, found_set, losses, now)
        self.configuration_history = ConfigurationHistory()
        self.committed: ControlState | None = None
        self.write_began_at: int | None = None
        self.last_write_at = now
        self.orders_in_write: list[tuple[PendingOrder, Decision]] = []
        self.known_bodies: KnownBodies | None = None  # of the last batch with a configuration
        self.pending_changes: list[PendingOrder] = []
        self.pending_reads: list[PendingOrder] = []
        self.lease_was_held = False  # the lease was held at least once
        self.lease_lapsed_at: int | None = None
        self.last_renewal_was_probe = False  # the last renewal was a question only

    # -- the lease -----------------------------------------------------------------------------

    def has_valid_lease(self, now: int) -> bool:
        return now < self.reconfiguration.lease_expires_at(now)

    def is_leader(self, now: int) -> bool:
        return self.committed is not None and self.has_valid_lease(now)

    def has_lost_lease(self, now: int) -> bool:
        """The lease ran out, and asking on did not bring it back: hearing without being heard ends it
        here."""
        if self.has_valid_lease(now):
            self.lease_lapsed_at, self.lease_was_held = None, True
            return False
        if self.lease_lapsed_at is None:
            self.lease_lapsed_at = now
        grace = (
            self.timing.lease_regain_us if self.lease_was_held else self.timing.lease_duration_us
        )  # the first answers take their time
        return now >= self.lease_lapsed_at + grace

    def is_renewal_due(self, now: int) -> bool:
        """At once when a majority is heard again."""
        regained = self.last_renewal_was_probe and not self.has_no_majority_contact(now)
        return regained or now >= self.renewed_at + self.timing.renewal_interval_us

    def renew(self, now: int) -> list[Output]:
        self.renewed_at = now
        self.last_renewal_was_probe = self.has_no_majority_contact(now)
        if self.last_renewal_was_probe:
            return self.probe()
        round_ = self.progress.next_round(now)
        renew = LeaseRenewal(
            epoch=self.epoch,
            round=round_,
            committed=self.committed_stamp(now),
            record=self.reconfiguration.newest_of_epoch(),
            changing=self.is_changing_voters(now),
        )
        message = ControlMessage(renew=renew)
        readers = [*self.reconfiguration.other_voters(), *self.progress.learners]
        return [Send(ip, message) for ip in readers] + self.drop_unneeded_copies(now)

    def is_changing_voters(self, now: int) -> bool:
        """Whether a voter that is leaving has to stay, as its seat is about to be taken."""
        reconfiguration = self.reconfiguration
        if any(one.previous_members for one in reconfiguration.replica_sets()):
            return True
        if self.committed is None or now < self.began_at + self.timing.learner_discovery_us:
            return True
        leaving = self.peers.leaving
        return not leaving.isdisjoint(reconfiguration.members) and any(
            ip not in leaving and self.progress.is_reachable(now, ip) for ip in self.progress.learners
        )

    def has_no_majority_contact(self, now: int) -> bool:
        """No majority of the members has been heard lately: nothing it says can bring it a lease.

        Danger: one that is heard and hears nobody would keep the others from another primary.
        """
        last_contact_at = self.peers.last_contact_at
        since = now - self.timing.majority_timeout_us
        others = self.reconfiguration.other_voters()
        reachable = {ip for ip in others if max(self.began_at, last_contact_at.get(ip, 0)) > since} | {
            self.peers.own_ip
        }
        return not all(has_quorum(one, reachable) for one in self.reconfiguration.replica_sets())

    def probe(self) -> list[Output]:
        """A question that anybody answers and that gives no lease."""
        message = ControlMessage(ask=VoteRequest(epoch=0))
        return [Send(ip, message) for ip in self.reconfiguration.other_voters()]

    def on_renewal_reply(self, sender: str, reply: LeaseRenewalReply) -> None:
        if reply.epoch == self.epoch:
            self.progress.on_renewal_reply(sender, reply)

    def committed_stamp(self, now: int) -> Stamp | None:
        """What is committed; without the lease nothing is said to be in force."""
        return (
            stamp_message(state_stamp(self.committed))
            if self.committed is not None and self.is_leader(now)
            else None
        )

    # -- writes --------------------------------------------------------------------------------

    def write(self, now: int, state: ControlState) -> list[Output]:
        before = self.durable.state
        state = copy_state(state, (self.epoch, state.stamp.seq + 1))
        first_write = self.committed is None and self.write_began_at is None
        if first_write or state.version != before.version:
            since = state_stamp(before) if first_write else self.configuration_history.current_since
            self.configuration_history.advance(
                state_stamp(state), state.configuration, before.configuration, since
            )
        self.durable.store_copy(state)
        self.write_began_at = self.last_write_at = now
        return self.replicate(now)

    def replication_targets(self, now: int) -> set[str]:
        """Who gets every write: the copies, and those that are to become copies."""
        # A late one in another zone: it holds a copy again as soon as it has shown that it can.
        reconfiguration = self.reconfiguration
        late = {
            ip
            for ip in reconfiguration.members
            if self.is_in_other_zone(ip) and self.progress.is_ejected(now, ip)
        }
        next_members = self.next_members(now)
        newcomers = set(next_members) - set(reconfiguration.members)
        wanted = reconfiguration.preferred_copies(now) | reconfiguration.preferred_copies(now, next_members)
        return (reconfiguration.required_copies() | wanted | newcomers | late) - {self.peers.own_ip}

    def is_in_other_zone(self, ip: str) -> bool:
        """Whether it lies in another zone."""
        return self.peers.span_zones({ip, self.peers.own_ip})

    def replicate(self, now: int) -> list[Output]:
        out: list[Output] = []
        newest = state_stamp(self.durable.state)
        for ip in sorted(self.replication_targets(now)):
            progress = self.progress.of(ip)
            if progress.copy_stamp >= newest or progress.amnesiac:
                continue
            if progress.sent_stamp != newest or (
                now >= progress.last_sent_at + progress.resend_delay_us
                and self.progress.is_reachable(now, ip)
            ):
                out += self.send_write(now, ip, progress)
        return out

    def send_write(self, now: int, ip: str, progress: ReplicaProgress) -> list[Output]:
        state = self.durable.state
        if progress.sent_stamp == state_stamp(state):
            progress.resend_delay_us = min(2 * progress.resend_delay_us, self.timing.max_resend_delay_us)
        else:
            progress.sent_stamp, progress.first_sent_at, progress.resend_delay_us = (
                state_stamp(state),
                now,
                self.timing.resend_delay_us,
            )
        progress.last_sent_at = now
        delta = self.delta_for(progress)
        if delta is not None or (
            progress.copy_stamp >= self.configuration_history.current_since and state.version
        ):
            state = without_configuration(state)
        progress.sent_bytes = delta.ByteSize() if delta is not None else len(state.configuration)
        incarnation = self.peers.incarnations.get(ip, 0)
        write = Write(
            epoch=self.epoch, state=state, committed=self.committed_stamp(now), life=incarnation, delta=delta
        )
        return [Send(ip, ControlMessage(write=write))]

    def delta_for(self, progress: ReplicaProgress) -> BodyDelta | None:
        """For one that holds the configuration before this one, as far as is known.

        Whoever takes a first write is expected to hold what this machine held.  A reader that lacks a chunk
        says so and gets the whole: the guess costs a round trip, nothing else.
        """
        if progress.needs_full_body or progress.copy_stamp >= self.configuration_history.current_since:
            return None
        guessed = self.committed is None and progress.copy_stamp == ZERO_STAMP and not progress.amnesiac
        return (
            self.configuration_history.delta()
            if guessed or progress.copy_stamp >= self.configuration_history.previous_since > ZERO_STAMP
            else None
        )

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> list[Output]:
        progress = self.progress.find(sender)
        if progress is None or reply.epoch != self.epoch:
            return []
        if reply.need_whole:
            progress.copy_stamp, progress.needs_full_body = ZERO_STAMP, True
            return self.send_write(now, sender, progress)
        self.progress.on_write_reply(sender, reply)
        return []

    def on_peer_restarted(self, ip: str) -> None:
        progress = self.progress.find(ip)
        if progress is not None:
            progress.reset_after_restart()

    def eject_late_copies(self, now: int) -> None:
        """Danger: one that stalls again and again must not hold up a write each time."""
        newest = state_stamp(self.durable.state)
        copies = self.reconfiguration.required_copies()
        for ip in self.replication_targets(now):
            progress = self.progress.of(ip)
            if progress.sent_stamp != newest or progress.copy_stamp >= newest:
                continue
            # Danger: without the copy in another zone that zone's loss is more than is borne.
            timeout_us = (
                self.timing.other_zone_timeout_us
                if self.is_in_other_zone(ip)
                else self.timing.write_timeout_us
            )
            # What was sent takes its time on any link and disk.
            if now >= progress.first_sent_at + timeout_us + progress.sent_bytes:
                progress.ejected_until = now + self.timing.ejection_us
                if ip not in copies:
                    progress.sent_stamp = ZERO_STAMP  # when it is chosen again it has its time again

    def successor_for_late_disk(self, now: int) -> str:
        """Who should lead, as this machine's own disk is late with a write; empty: nobody."""
        newest = state_stamp(self.durable.state)
        timeout_us = self.timing.own_disk_timeout_us + len(
            self.durable.state.configuration
        )  # it may be written whole
        is_late = now >= self.last_write_at + timeout_us
        if self.durable.synced_stamp >= newest or not is_late:
            return ""
        return self.successor(now)

    def successor(self, now: int) -> str:
        """Of the copies, the one with the newest state."""
        others = [ip for ip in self.reconfiguration.current.copies if ip != self.peers.own_ip]
        candidates = [
            (self.progress.copy_stamp(now, ip), ip) for ip in others if self.progress.is_eligible(now, ip)
        ]
        best = max(candidates, default=(ZERO_STAMP, ""))
        return best[1] if best[0] > ZERO_STAMP else ""

    # -- what others' answers make possible ----------------------------------------------------

    def advance(self, now: int) -> list[Output]:
        """Lets the record stand and commits the write under way if it may be, then begins what comes next,
        and answers what can be answered."""
        out: list[Output] = []
        before = self.reconfiguration.current
        if self.reconfiguration.commit_proposal(now):
            out += self.replica_set_events(before)
        self.eject_late_copies(now)
        if self.reconfiguration.proposed is None and self.propose_replica_set(now):
            out += self.renew(now)
        if self.write_began_at is not None and self.is_committed(now, self.write_began_at):
            out += self.commit(now)
        out += self.answer_orders(now)
        if self.write_began_at is None and self.is_leader(now):
            out += self.begin_next_write(now)
            out += self.answer_orders(now)
        return out + self.replicate(now)

    def replica_set_events(self, before: ReplicaSet) -> list[Output]:
        """What the log says of a set that has come to stand.

        :param before: the set that stood until now
        """
        record = self.reconfiguration.current
        facts = {"copies": ",".join(record.copies), "number": record.number}
        events = [LogEvent(Event.COPIES_HELD, {"epoch": self.epoch} | facts)]
        for ip in sorted(set(record.members) - voters(before)):
            events.append(LogEvent(Event.MEMBER_JOINED, {"member": ip, "members": len(record.members)}))
        for ip in sorted(voters(before) - voters(record)):
            events.append(LogEvent(Event.MEMBER_REMOVED, {"member": ip, "members": len(record.members)}))
        return list(events)

    def propose_replica_set(self, now: int) -> bool:
        """Whether the next replica set was proposed: other copies, or other voters."""
        reconfiguration = self.reconfiguration
        record = reconfiguration.current
        if not reconfiguration.is_established:
            # Danger: the set that was found may stand or not; the same electorates have to decide on it.
            return self.propose_if_copied(now, record.members, record.previous_members)
        if reconfiguration.is_joint:
            reconfiguration.propose(record.copies, record.members)
            return True
        members = self.next_members(now)
        if set(members) != set(record.members) and self.propose_if_copied(now, members, record.members):
            return True
        copies_change = reconfiguration.preferred_copies(now) != set(record.copies)
        return copies_change and self.propose_if_copied(now, record.members)

    def propose_if_copied(self, now: int, members: Sequence[str], previous: Sequence[str] = ()) -> bool:
        """Whether a set was proposed: all that it newly names hold the whole state.

        :param previous: the voters before, where `members` are others
        """
        reconfiguration = self.reconfiguration
        wanted = reconfiguration.preferred_copies(now, members)
        newcomers = set(members) - set(reconfiguration.current.members)
        since = state_stamp(self.committed or self.durable.state)
        if not all(reconfiguration.has_copy_since(now, ip, since) for ip in wanted | newcomers):
            return False
        reconfiguration.propose(wanted, members, previous)
        return True

    def next_members(self, now: int) -> list[str]:
        """The voters that there should be."""
        if self.committed is None or self.reconfiguration.is_joint:
            return self.reconfiguration.members
        return self.reconfiguration.next_members(now, self.began_at)

    def is_committed(self, now: int, began_at: int) -> bool:
        reconfiguration, newest = self.reconfiguration, state_stamp(self.durable.state)
        if not reconfiguration.is_established or not all(
            reconfiguration.has_copy_since(now, ip, newest) for ip in reconfiguration.required_copies()
        ):
            return False
        # Copies in another zone are on their way: a zone may be lost right after the answer.
        coming = self.peers.span_zones(reconfiguration.preferred_copies(now)) and not self.peers.span_zones(
            set(reconfiguration.current.copies)
        )
        return not coming or now >= began_at + self.timing.other_zone_timeout_us

    def commit(self, now: int) -> list[Output]:
        self.committed, self.write_began_at = self.durable.state, None
        facts = {"stamp": state_stamp(self.committed), "version": self.committed.version}
        return [Committed(self.committed), LogEvent(Event.STATE_COMMITTED, facts), *self.renew(now)]

    def begin_next_write(self, now: int) -> list[Output]:
        """All orders that wait go into one write."""
        batch = OrderBatch(self.durable.state, self.known_bodies)
        pending, self.pending_changes = self.pending_changes, []
        outputs: list[Output] = []
        for one in pending:
            decision = batch.decide(one.order)
            if decision.needs_commit:
                self.orders_in_write.append((one, decision))
            else:
                outputs += decision.outputs(one.order_id)
        self.known_bodies = batch.known_bodies()
        if batch.state is not batch.committed or self.must_rewrite_dropped_copy(now):
            return outputs + self.write(now, batch.state)
        return outputs

    # -- copies that are needed no more --------------------------------------------------------

    def drop_unneeded_copies(self, now: int) -> list[Output]:
        reconfiguration = self.reconfiguration
        if (
            not reconfiguration.is_established
            or reconfiguration.proposed is not None
            or self.committed is None
        ):
            return []
        if now < reconfiguration.established_at + self.timing.copy_retention_us:
            return []
        # Danger: what is being written now may be needed there yet.
        keep, dropped_stamp = self.replication_targets(now), state_stamp(self.committed)
        out: list[Output] = []
        for ip in [*reconfiguration.other_voters(), *self.progress.learners]:
            progress = self.progress.of(ip)
            if ip not in keep and progress.has_copy:
                progress.dropped_stamp, progress.has_copy, progress.copy_stamp = (
                    dropped_stamp,
                    False,
                    ZERO_STAMP,
                )
                out.append(
                    Send(ip, ControlMessage(drop=Drop(epoch=self.epoch, stamp=stamp_message(dropped_stamp))))
                )
        return out

    def must_rewrite_dropped_copy(self, now: int) -> bool:
        """Whether one is to hold a copy again that was told to drop this very state: it counts under a later
        stamp only, as the order to drop may be late."""
        return any(
            self.progress.of(ip).dropped_stamp >= state_stamp(self.durable.state)
            for ip in self.replication_targets(now)
        )

    # -- orders --------------------------------------------------------------------------------

    def submit(self, now: int, asked: Submitted) -> list[Output]:
        if (
            len(self.pending_changes) + len(self.orders_in_write) + len(self.pending_reads)
            >= MAX_PENDING_ORDERS
        ):
            return [Completed(asked.order_id, Failure(Fault(Kind.NOT_SETTLED, "too many orders wait")))]
        queue = self.pending_reads if isinstance(asked.order, RetrieveOrder) else self.pending_changes
        queue.append(PendingOrder(asked.order_id, asked.order, now + self.timing.order_timeout_us))
        return []

    def answer_orders(self, now: int) -> list[Output]:
        """What a settled write carries, what is to be read, and what waited too long."""
        out: list[Output] = []
        if self.is_leader(now):
            out += [Completed(w.order_id, self.read_configuration()) for w in self.pending_reads]
            self.pending_reads = []
            if self.write_began_at is None:
                out += [one for w, decision in self.orders_in_write for one in decision.outputs(w.order_id)]
                self.orders_in_write = []
        expired = [w for w in self.all_pending() if now >= w.expires_at]
        if expired:
            self.pending_reads = [w for w in self.pending_reads if now < w.expires_at]
            self.pending_changes = [w for w in self.pending_changes if now < w.expires_at]
            self.orders_in_write = [
                (w, decision) for w, decision in self.orders_in_write if now < w.expires_at
            ]
        return out + uncommitted(expired, "not on enough disks in time")

    def all_pending(self) -> list[PendingOrder]:
        return [*self.pending_reads, *self.pending_changes, *(w for w, _ in self.orders_in_write)]

    def read_configuration(self) -> Result[bytes, Fault]:
        if self.committed is None or not self.committed.version:
            return Failure(Fault(Kind.NOT_SETTLED, "no configuration yet"))
        return Success(self.committed.configuration)

    def fail_pending_orders(self) -> list[Output]:
        late = self.all_pending()
        self.pending_reads, self.pending_changes, self.orders_in_write = [], [], []
        return uncommitted(late, "this machine is the primary no more")

    # -- machines that ask to join -------------------------------------------------------------

    def on_join(self, now: int, ip: str) -> list[Output]:
        """A machine with a disk that does not vote is a learner for as long as it asks."""
        learners = self.progress.learners
        if ip in self.reconfiguration.other_voters():
            return []
        if ip in learners:
            learners[ip].last_join_at = now
            return []
        if len(learners) >= MAX_LEARNERS:
            return []
        self.progress.members.pop(ip, None)
        learners[ip] = ReplicaProgress(last_join_at=now)
        return self.renew(now)  # it has the set that stands as soon as can be


def uncommitted(pending: Iterable[PendingOrder], text: str) -> list[Output]:
    return [Completed(w.order_id, Failure(Fault(Kind.NOT_SETTLED, text))) for w in pending]
