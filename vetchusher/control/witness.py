"""What a core machine does on another's word: it promises, follows a primary, keeps a copy, drops it.

Witness and backup are one: a backup is a witness that was taught.
"""

from __future__ import annotations

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
from .state import (
    ZERO_STAMP,
    StampTuple,
    replica_set_id,
    stamp_message,
    stamp_tuple,
    state_stamp,
    voters,
    with_body,
    with_configuration,
)
from .voter import Voter


class Follower:
    """It owns what this machine took from primaries: what is committed, and when that was last said."""

    def __init__(self, durable: DurableState, voter: Voter, incarnation: int, now: int) -> None:
        """:param life: of this process; messages to another are not for it"""
        self.durable = durable
        self.voter = voter
        self.incarnation = incarnation
        self.trusts_messages_from = (
            now  # messages heard before it may have waited here while this machine stood still
        )
        self.reported_commit: tuple[StampTuple, int] | None = (
            None  # what the primary last said is in force, and when
        )
        self.reconfiguration_until = now  # as the primary last said: until then voters may be about to change
        self._committed = ControlState()
        self.outputs: list[Output] = []

    # -- of the whole member -------------------------------------------------------------------

    @property
    def is_amnesiac(self) -> bool:
        raise NotImplementedError

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """For how long (us) this machine promises that candidate nothing."""
        raise NotImplementedError

    def give_up_leadership(self, reason: str) -> None:
        """It leads no more, and does not stand."""
        raise NotImplementedError

    def on_join(self, now: int, join: Join) -> None:
        raise NotImplementedError

    # -- promises ------------------------------------------------------------------------------

    def on_vote_request(self, now: int, sender: str, request: VoteRequest) -> None:
        delay = self.vote_delay(now, sender, request.released)
        if request.epoch == 0:
            delay = max(delay, self.voter.election_back_off(now, sender))
            if sender not in voters(self.durable.replica_set) and not self.is_amnesiac:
                self.on_join(now, Join(ip=sender))  # it was left out while it was away
        elif not self.is_amnesiac and not delay and request.epoch > self.durable.voted_epoch:
            self.grant_vote(now, sender, request.epoch)
            return
        reply = self.vote_reply(request.epoch)
        reply.wait_ms = -(-delay // 1000)
        self.outputs.append(Send(sender, ControlMessage(granted=reply)))

    def vote_reply(self, epoch: int) -> VoteReply:
        """What a voter that remembers tells of itself: its promise, its record, and whether it has a copy."""
        durable = self.durable
        reply = VoteReply(epoch=epoch, promised=durable.voted_epoch, amnesiac=self.is_amnesiac)
        if not self.is_amnesiac:
            reply.record.CopyFrom(durable.replica_set)
            reply.stamp.CopyFrom(durable.state.stamp)
            reply.copy = durable.has_copy
        return reply

    def grant_vote(self, now: int, sender: str, epoch: int) -> None:
        self.give_up_leadership("a higher epoch was promised")
        self.voter.defer_to(now, sender)
        self.durable.record_vote(epoch, sender)
        reply = self.vote_reply(epoch)
        reply.granted = True
        self.outputs += self.durable.send_when_synced(
            sender, ControlMessage(granted=reply), self.durable.revision
        )
        self.log_event(Event.EPOCH_PROMISED, epoch=epoch, to=sender)

    def follow(self, now: int, sender: str, epoch: int) -> bool:
        """Takes the sender for the primary of an epoch, and gives it a lease, unless a higher one is
        promised."""
        if self.is_amnesiac or epoch == 0 or epoch < self.durable.voted_epoch:
            return False
        self.give_up_leadership("another is the primary of a later epoch")
        self.durable.record_vote(epoch, sender)
        self.voter.grant_lease(now, sender)
        return True

    # -- a primary's messages -------------------------------------------------------------------

    def on_lease_renewal(self, now: int, sender: str, renewal: LeaseRenewal) -> None:
        reply = LeaseRenewalReply(
            epoch=renewal.epoch, round=renewal.round, accepted=self.follow(now, sender, renewal.epoch)
        )
        durable = self.durable
        reply.promised, reply.amnesiac = durable.voted_epoch, self.is_amnesiac
        if not reply.accepted:
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
        # Danger: an epoch taken from its primary is a promise too: like a record, told only from the disk.
        self.outputs += durable.send_when_synced(sender, ControlMessage(renewed=reply), durable.vote_revision)

    def on_write(self, now: int, sender: str, write: Write) -> None:
        # Danger: what was sent to the process before this one may be older than what its lost disk had.
        to_this_incarnation = write.life == self.incarnation
        reply = WriteReply(
            epoch=write.epoch, accepted=to_this_incarnation and self.follow(now, sender, write.epoch)
        )
        reply.promised = self.durable.voted_epoch
        if not reply.accepted:
            self.outputs.append(Send(sender, ControlMessage(written=reply)))
            return
        if not self.durable.has_copy or state_stamp(write.state) > state_stamp(self.durable.state):
            state: ControlState | None = write.state
            if write.state.configuration_left_out:
                state = complete_state(write, self.durable.state) if self.durable.has_copy else None
            if state is None:
                reply.accepted, reply.need_whole = False, True
                self.outputs.append(Send(sender, ControlMessage(written=reply)))
                return
            self.durable.store_copy(state)
        reply.stamp.CopyFrom(self.durable.state.stamp)
        revision = max(self.durable.state_revision, self.durable.vote_revision)
        self.outputs += self.durable.send_when_synced(sender, ControlMessage(written=reply), revision)
        self.learn_commit(now, write.committed)

    def on_drop(self, sender: str, drop: Drop) -> None:
        """The record that stands does not name this machine: a witness keeps no state."""
        durable = self.durable
        if self.is_amnesiac or drop.epoch != durable.voted_epoch or durable.voted_for != sender:
            return
        if durable.has_copy and state_stamp(durable.state) <= stamp_tuple(drop.stamp):
            durable.drop_copy()

    def learn_commit(self, now: int, committed: Stamp) -> None:
        """The primary, under its lease, said what is committed."""
        if stamp_tuple(committed) == ZERO_STAMP:
            return
        if self.durable.has_copy and stamp_tuple(committed) == state_stamp(self.durable.state):
            self.advance_commit(self.durable.state)
        if now >= self.trusts_messages_from:
            self.reported_commit = stamp_tuple(committed), now

    def advance_commit(self, state: ControlState) -> None:
        if state_stamp(state) > state_stamp(self._committed):
            self._committed = state
            self.outputs.append(Committed(state))

    def log_event(self, event: Event, **facts: object) -> None:
        self.outputs.append(LogEvent(event, facts))


def complete_state(write: Write, copy: ControlState) -> ControlState | None:
    """The state of a write without its configuration, from the copy held here; None: that is not enough."""
    if not write.HasField("delta"):
        return with_configuration(write.state, copy)
    body = apply_delta(write.delta, copy.configuration)
    return with_body(write.state, body) if body is not None else None
