"""The handlers of a control node for other machines' messages: vote, follow a primary, store or drop a copy.

Witnesses and backups have the same role: a backup is a witness that was sent a copy. All times are
microseconds of this machine's steady clock.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple
from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    Drop,
    Join,
    LeaseRenewal,
    LeaseRenewalReply,
    Stamp,
    VoteReply,
    VoteRequest,
    Write,
    WriteReply,
)
from vetchusher.events import Event, LogEvent

from .deltas import apply_delta
from .durable_state import DurableState
from .messages import Committed, Output, Send
from .state import replica_set_id, state_stamp, voters, with_body, with_configuration
from .voter import Voter


class Follower(ABC):
    """The base of a replica: answers vote requests, follows primaries, keeps the last reported commit."""

    def __init__(self, durable: DurableState, voter: Voter, incarnation: int, now: int) -> None:
        """Start as a follower of no primary.

        :param incarnation: identifies this process; a write addressed to another incarnation is rejected
        """
        self.durable = durable
        self.voter = voter
        self.incarnation = incarnation
        # Messages received before this time may have been queued here while this process was paused.
        self.trusts_messages_from = now
        # Stamp that a primary last reported as committed, and the time of the report; None: there was no
        # report since this process started or was paused.
        self.reported_commit: tuple[StampTuple, int] | None = None
        self.reconfiguration_until = now  # a primary reported that the voters may change until then
        self._committed = ControlState()
        self.outputs: list[Output] = []

    # -- implemented by the subclass for its other roles ------------------------------------------

    @property
    @abstractmethod
    def is_amnesiac(self) -> bool:
        """Whether this machine lost its disk and has not yet recovered its votes from the others."""

    @abstractmethod
    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """Return for how many microseconds this machine will grant the candidate no vote."""

    @abstractmethod
    def give_up_leadership(self, reason: str) -> None:
        """Stop being primary or candidate; `reason` is logged."""

    @abstractmethod
    def yield_election(self, now: int, sender: str) -> None:
        """Back off in favour of a machine that requests pre-votes, if this one would compete with it."""

    @abstractmethod
    def on_join(self, now: int, join: Join) -> None:
        """Handle a non-voter's request to join, or forward it to the primary."""

    # -- votes ----------------------------------------------------------------------------------

    def on_vote_request(self, now: int, sender: str, request: VoteRequest) -> None:
        """Answer a vote request; one for epoch 0 is a pre-vote, whose reply is not binding."""
        delay = self.vote_delay(now, sender, request.released)
        if request.epoch == 0:
            if not delay:
                self.yield_election(now, sender)
            delay = max(delay, self.voter.election_back_off(now, sender))
            if sender not in voters(self.durable.replica_set) and not self.is_amnesiac:
                # A machine that was removed while it was unreachable does not know that it is no voter.
                self.on_join(now, Join(ip=sender))
        elif not self.is_amnesiac and not delay and request.epoch > self.durable.voted_epoch:
            self.grant_vote(now, sender, request.epoch)
            return
        reply = self.vote_reply(request.epoch)
        reply.wait_ms = -(-delay // 1000)
        self.outputs.append(Send(sender, ControlMessage(granted=reply)))

    def vote_reply(self, epoch: int) -> VoteReply:
        """Return a reply with this machine's vote; unless it is amnesiac, also its replica set and copy."""
        durable = self.durable
        reply = VoteReply(epoch=epoch, promised=durable.voted_epoch, amnesiac=self.is_amnesiac)
        if not self.is_amnesiac:
            reply.record.CopyFrom(durable.replica_set)
            reply.stamp.CopyFrom(durable.state.stamp)
            reply.copy = durable.has_copy
        return reply

    def grant_vote(self, now: int, sender: str, epoch: int) -> None:
        """Vote for a candidate; the reply is sent once the vote is on disk."""
        self.give_up_leadership("voted for a candidate in a higher epoch")
        self.voter.defer_to(now, sender)
        self.durable.record_vote(epoch, sender)
        reply = self.vote_reply(epoch)
        reply.granted = True
        message = ControlMessage(granted=reply)
        self.outputs += self.durable.send_when_synced(sender, message, self.durable.revision)
        self.log_event(Event.VOTE_GRANTED, epoch=epoch, to=sender)

    # -- messages of a primary ------------------------------------------------------------------

    def follow(self, now: int, sender: str, epoch: int) -> bool:
        """Accept the sender as primary and grant it a lease, unless this machine voted in a higher epoch.

        :returns: whether the sender was accepted
        """
        if self.is_amnesiac or epoch == 0 or epoch < self.durable.voted_epoch:
            return False
        self.give_up_leadership("another machine is the primary of a later epoch")
        self.durable.record_vote(epoch, sender)
        self.voter.grant_lease(now, sender)
        return True

    def on_lease_renewal(self, now: int, sender: str, renewal: LeaseRenewal) -> None:
        """Renew the lease of a primary, and report the copy and the replica set on this disk."""
        is_accepted = self.follow(now, sender, renewal.epoch)
        reply = LeaseRenewalReply(epoch=renewal.epoch, round=renewal.round, accepted=is_accepted)
        durable = self.durable
        reply.promised, reply.amnesiac = durable.voted_epoch, self.is_amnesiac
        if not is_accepted:
            self.outputs.append(Send(sender, ControlMessage(renewed=reply)))
            return
        if renewal.record.members:
            durable.accept_replica_set(renewal.record)
        reply.copy = durable.synced_has_copy and durable.has_copy
        reply.stamp.CopyFrom(stamp_message(durable.synced_stamp))
        reply.record.CopyFrom(stamp_message(replica_set_id(durable.replica_set)))
        self.learn_commit(now, renewal.committed)
        if renewal.changing:
            self.reconfiguration_until = now + self.voter.timing.contact_timeout_us
        # Safety: accepting an epoch from its primary is equivalent to a vote. Like the replica set it is
        # reported only once it is on disk, because a restart could otherwise erase it.
        message = ControlMessage(renewed=reply)
        self.outputs += durable.send_when_synced(sender, message, durable.vote_revision)

    def on_write(self, now: int, sender: str, write: Write) -> None:
        """Store a primary's write; the reply is sent once it is on disk."""
        # Safety: a write addressed to an earlier incarnation may be older than the copy on a disk lost since
        # then.
        is_for_this_process = write.life == self.incarnation
        is_accepted = is_for_this_process and self.follow(now, sender, write.epoch)
        reply = WriteReply(epoch=write.epoch, accepted=is_accepted)
        reply.promised = self.durable.voted_epoch
        if not is_accepted:
            self.outputs.append(Send(sender, ControlMessage(written=reply)))
            return
        if not self.store_newer(write):
            reply.accepted, reply.need_whole = False, True
            self.outputs.append(Send(sender, ControlMessage(written=reply)))
            return
        reply.stamp.CopyFrom(self.durable.state.stamp)
        revision = max(self.durable.state_revision, self.durable.vote_revision)
        message = ControlMessage(written=reply)
        self.outputs += self.durable.send_when_synced(sender, message, revision)
        self.learn_commit(now, write.committed)

    def store_newer(self, write: Write) -> bool:
        """Store the state of a write unless the copy on this machine is at least as new.

        :returns: False if the write omitted configuration data that this machine lacks
        """
        durable = self.durable
        if durable.has_copy and state_stamp(write.state) <= state_stamp(durable.state):
            return True
        state: ControlState | None = write.state
        if write.state.configuration_left_out:
            state = complete_state(write, durable.state) if durable.has_copy else None
        if state is None:
            return False
        durable.store_copy(state)
        return True

    def on_drop(self, sender: str, drop: Drop) -> None:
        """Drop the copy, which the established replica set does not name, unless it is newer."""
        durable = self.durable
        if self.is_amnesiac or drop.epoch != durable.voted_epoch or durable.voted_for != sender:
            return
        if durable.has_copy and state_stamp(durable.state) <= stamp_tuple(drop.stamp):
            durable.drop_copy()

    def learn_commit(self, now: int, committed: Stamp) -> None:
        """Record the stamp that the primary, under its lease, reported as committed."""
        stamp = stamp_tuple(committed)
        if stamp == ZERO_STAMP:
            return
        if self.durable.has_copy and stamp == state_stamp(self.durable.state):
            self.advance_commit(self.durable.state)
        if now >= self.trusts_messages_from:
            self.reported_commit = stamp, now

    def advance_commit(self, state: ControlState) -> None:
        """Publish a committed state if its stamp is greater than that of the previous one."""
        if state_stamp(state) > state_stamp(self._committed):
            self._committed = state
            self.outputs.append(Committed(state))

    def log_event(self, event: Event, **facts: object) -> None:
        """Append an event for the log to the outputs."""
        self.outputs.append(LogEvent(event, facts))


def complete_state(write: Write, copy: ControlState) -> ControlState | None:
    """Fill in the configuration that a write omitted from a local copy; None: the copy does not suffice."""
    if not write.HasField("delta"):
        return with_configuration(write.state, copy)
    body = apply_delta(write.delta, copy.configuration)
    return with_body(write.state, body) if body is not None else None
