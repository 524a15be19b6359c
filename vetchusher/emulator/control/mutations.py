"""Mutation testing of the control state: each guard is removed in turn to prove that the judge detects it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import Any
from unittest import mock

from returns.result import Failure, Result, Success

from vetchusher.control import (
    amnesia,
    deltas,
    durable_state,
    election,
    follower,
    messages,
    orders,
    progress,
    reconfiguration,
    state,
    target_members,
    voter,
)
from vetchusher.control.chunks import chunk_digest, parse_manifest
from vetchusher.control.leader_lease import LeaderLease
from vetchusher.control.primary import Primary
from vetchusher.control.replica import Replica
from vetchusher.control.replication import Replicator
from vetchusher.control.state import has_quorum, initial_replica_set, initial_state, state_stamp
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import (
    BodyDelta,
    ControlMessage,
    ControlState,
    LeaseRenewalReply,
    ReplicaSet,
    VoteReply,
    WriteReply,
)
from vetchusher.errors import Error

REAL_REPLICA_INIT, REAL_FOLLOW = Replica.__init__, Replica.follow
REAL_ON_RENEWAL_REPLY, REAL_ON_VOTE_REQUEST, REAL_ON_WRITE_REPLY = (
    progress.ProgressTracker.on_renewal_reply,
    Replica.on_vote_request,
    progress.ProgressTracker.on_write_reply,
)
REAL_BECOME_PRIMARY, REAL_VOTER_INIT, REAL_STANDS = (
    Replica.become_primary,
    voter.Voter.__init__,
    election.Candidate.has_quorum,
)
REAL_ON_PERSISTED = durable_state.DurableState.on_persisted
REAL_HAS_COPY_SINCE, REAL_PREFERRED_COPIES, REAL_TRANSFER_LEADERSHIP = (
    reconfiguration.Reconfiguration.has_copy_since,
    reconfiguration.Reconfiguration.preferred_copies,
    Replica.transfer_leadership,
)
REAL_PROPOSE = reconfiguration.Reconfiguration.propose

REAL_DECIDE_REPLACE, REAL_SUBMIT = orders.OrderBatch.decide_replace, Primary.submit
REAL_BATCH_INIT = orders.OrderBatch.__init__


def send_before_sync(
    self: durable_state.DurableState, to: str, message: ControlMessage, number: int
) -> list[messages.Output]:
    """Send a message before the state that it reports is synced."""
    return [messages.Send(to, message)]


def count_unsynced_own_copy(
    self: reconfiguration.Reconfiguration, now: int, ip: str, since: StampTuple
) -> bool:
    """Count the primary's own copy before it is synced."""
    return ip == self.own_ip or REAL_HAS_COPY_SINCE(self, now, ip, since)


def accept_any_quorum(replica_set: ReplicaSet, members: Any) -> bool:
    """Take any machine for a quorum."""
    return bool(set(members))


def accept_one_copy(self: Replicator, now: int, began_us: int) -> bool:
    """Take a write for replicated as soon as one required copy has it."""
    newest_stamp = state_stamp(self.durable.state)
    return self.reconfiguration.is_established and any(
        self.reconfiguration.has_copy_since(now, ip, newest_stamp)
        for ip in self.reconfiguration.required_copies()
    )


def propose_before_caught_up(self: Primary, now: int) -> bool:
    """Propose the preferred copies before they have caught up."""
    preferred = self.reconfiguration.preferred_copies(now)
    if preferred == set(self.reconfiguration.current.copies) and self.reconfiguration.is_established:
        return False
    self.reconfiguration.propose(preferred, self.reconfiguration.members)
    return True


def ignore_zones(
    self: reconfiguration.Reconfiguration, now: int, members: Sequence[str] | None = None
) -> set[str]:
    """Choose copies as if all machines were in one zone."""
    peers = self.progress.peers
    with mock.patch.object(peers, "zones", {}):
        return REAL_PREFERRED_COPIES(self, now, members)


def propose_without_previous(
    self: reconfiguration.Reconfiguration,
    copies: Sequence[str],
    members: Sequence[str],
    previous: Sequence[str] = (),
) -> None:
    """Propose new members without the previous ones."""
    REAL_PROPOSE(self, copies, members)


def add_before_remove(membership: target_members.MembershipView, size: int) -> list[str]:
    """Add a newcomer beside the member that it replaces, which is removed later."""
    members, learners = list(membership.members), list(membership.ready_learners)
    if learners:
        return [*members, learners[0]]
    unavailable = [ip for ip in membership.long_unavailable if ip not in membership.protected]
    return [ip for ip in members if ip != unavailable[0]] if len(members) > 3 and unavailable else members


def start_without_recovery(self: Replica, *args: Any, **keywords: Any) -> None:
    """Start with an empty disk as an intact member that holds a copy."""
    REAL_REPLICA_INIT(self, *args, **keywords)
    self.recovery, self.durable.has_copy = None, True


def vote_after_restart(self: voter.Voter, *args: Any) -> None:
    """Vote at once after a start."""
    REAL_VOTER_INIT(self, *args)
    self.no_votes_until = 0


def drop_drift_margin(self: Replica, *args: Any, **keywords: Any) -> None:
    """Count answers as valid for the whole lease, without the margin for clock drift."""
    REAL_REPLICA_INIT(self, *args, **keywords)
    self.timing = replace(self.timing, answer_valid_us=self.timing.lease_duration_us)


def ignore_pauses(self: Replica, *args: Any, **keywords: Any) -> None:
    """Never notice a pause of the process."""
    REAL_REPLICA_INIT(self, *args, **keywords)
    self.timing = replace(self.timing, pause_threshold_us=1 << 60)


def follow_any_primary(self: Replica, now: int, sender: str, epoch: int) -> bool:
    """Follow any primary of a recent enough epoch, voted for or not."""
    if self.is_amnesiac or epoch == 0:
        return False
    if epoch >= self.durable.voted_epoch:
        return REAL_FOLLOW(self, now, sender, epoch)
    return True


def accept_any_state(self: Replica, now: int, sender: str, write: Any) -> None:
    """Replace the copy by the state received, newer or not."""
    is_own_incarnation = write.life == self.incarnation
    reply = WriteReply(
        epoch=write.epoch, accepted=is_own_incarnation and self.follow(now, sender, write.epoch)
    )
    if reply.accepted and not write.state.configuration_left_out:
        self.durable.store_copy(write.state)
        reply.stamp.CopyFrom(write.state.stamp)
        self.outputs += self.durable.send_when_synced(
            sender, ControlMessage(written=reply), self.durable.revision
        )


def vote_twice(self: Replica, now: int, sender: str, request: Any) -> None:
    """Grant a second vote in an epoch."""
    if (
        request.epoch
        and request.epoch == self.durable.voted_epoch
        and not self.is_amnesiac
        and not self.vote_delay(now, sender)
    ):
        reply = self.vote_reply(request.epoch)
        reply.granted = True
        self.outputs.append(messages.Send(sender, ControlMessage(granted=reply)))
    else:
        REAL_ON_VOTE_REQUEST(self, now, sender, request)


def ignore_copy_set(self: election.Candidate, replies: dict[str, VoteReply]) -> bool:
    """Let a candidate win that holds a copy but isn't named in the replica set."""
    newest = self.newest_replica_set(replies)
    return self.durable.has_copy and has_quorum(newest, {self.own_ip, *replies})


def commit_on_election(self: Replica, now: int, epoch: int, found: ReplicaSet) -> None:
    """Commit upon the election, before the first write of the epoch."""
    REAL_BECOME_PRIMARY(self, now, epoch, found)
    assert self.primary_role is not None
    self.primary_role.replicator.commit()


def renew_from_reply_time(self: progress.ProgressTracker, sender: str, answer: LeaseRenewalReply) -> None:
    """Count the lease from the arrival of the answer instead of the sending of the request."""
    if answer.round in self.round_sent_at:
        self.round_sent_at[answer.round] = self.peers.last_contact_at[sender]
    REAL_ON_RENEWAL_REPLY(self, sender, answer)


def trust_copy_forever(self: progress.ProgressTracker, sender: str, answer: WriteReply) -> None:
    """Never let the confirmation of a copy expire."""
    REAL_ON_WRITE_REPLY(self, sender, answer)
    backup = self.find(sender)
    if backup is not None and answer.accepted:
        backup.copy_valid_until = 1 << 60


def never_lower_copy_stamp(self: progress.ProgressTracker, sender: str, answer: LeaseRenewalReply) -> None:
    """Ignore that a backup reports an older copy than before."""
    backup = self.find(sender)
    before = backup.copy_stamp if backup else ZERO_STAMP
    REAL_ON_RENEWAL_REPLY(self, sender, answer)
    if backup is not None:
        backup.copy_stamp, backup.copy_valid_until = max(before, backup.copy_stamp), 1 << 60


def recover_from_any_reply(self: amnesia.AmnesiaRecovery, now: int) -> messages.PersistentState | None:
    """Let an amnesiac recover from a single voter's reply."""
    replica_set = self.newest_replica_set()
    if replica_set is None:
        return None
    newest_vote = max(self.replies.values(), key=lambda a: a.promised)
    return messages.PersistentState(
        newest_vote.promised, initial_state(), newest_vote.owner, replica_set, has_copy=False
    )


def bootstrap_at_once(self: amnesia.AmnesiaRecovery, now: int) -> messages.PersistentState | None:
    """Let amnesiacs bootstrap a new state upon the first reply."""
    return (
        messages.PersistentState(0, initial_state(), replica_set=initial_replica_set(self.seeds))
        if self.replies
        else None
    )


def count_amnesiacs(self: amnesia.AmnesiaRecovery, ip: str) -> bool:
    """Count amnesiacs' replies as those of intact voters."""
    return ip in self.replies


def restore_empty_copy(self: durable_state.DurableState, stored: messages.PersistentState) -> None:
    """Let an amnesiac take the empty state for its copy."""
    self.voted_epoch, self.voted_for, self.replica_set = (
        stored.voted_epoch,
        stored.voted_for,
        stored.replica_set,
    )
    self.store_copy(stored.state)
    self.vote_revision = self.revision


def ignore_persist_failure(
    self: durable_state.DurableState, now: int, token: int, *, synced: bool
) -> list[messages.Output]:
    """Take a failed write to disk for a completed one."""
    return REAL_ON_PERSISTED(self, now, token, synced=True)


def ignore_commit_stamp(self: Replica, now: int, reported: Any = None) -> bool:
    """Report a state as in force without checking that it is the newest one."""
    if self.primary_role is not None:
        return self.primary_role.is_leader(now)
    return self.reported_commit is not None and now < self.reported_commit[1] + self.timing.contact_timeout_us


def apply_partial_delta(delta: BodyDelta, base: bytes) -> bytes | None:
    """Skip chunks that are missing."""
    known_chunks = dict(deltas.digested_chunks(base)) | {chunk_digest(chunk): chunk for chunk in delta.chunks}
    return b"".join(known_chunks.get(name, b"") for name in parse_manifest(delta.manifest))


def keep_leading(self: Replica, now: int, successor: str, reason: str) -> None:
    """Keep the primary role after the transfer of leadership."""
    primary_role = self.primary_role
    REAL_TRANSFER_LEADERSHIP(self, now, successor, reason)
    self.primary_role = primary_role


def accept_any_body(current: ControlState, order: messages.ReplaceOrder) -> Result[ControlState, Error]:
    """Accept an order that isn't above the current version whatever its body, without changing the state."""
    return Success(current) if order.version <= current.version else state.apply_replace(current, order)


def acknowledge_any_body(self: orders.OrderBatch, order: messages.ReplaceOrder) -> orders.Decision:
    """Acknowledge an order whatever its body."""
    next_state = accept_any_body(self.state, order)
    self.state = next_state.value_or(self.state)
    return orders.Decision(Success(b""), order.version > self.committed.version)


def reject_before_commit(self: orders.OrderBatch, order: messages.ReplaceOrder) -> orders.Decision:
    """Reject an order before the conflicting one is committed."""
    decision = REAL_DECIDE_REPLACE(self, order)
    return replace(decision, needs_commit=False) if isinstance(decision.outcome, Failure) else decision


def acknowledge_before_commit(self: orders.OrderBatch, order: messages.ReplaceOrder) -> orders.Decision:
    """Acknowledge a repeated order while the first is in the batch."""
    is_known = self.digests.get(order.version) == orders.digest(order.body)
    decision = REAL_DECIDE_REPLACE(self, order)
    return replace(decision, needs_commit=False) if is_known else decision


def forget_superseded(self: orders.OrderBatch, order: messages.ReplaceOrder) -> orders.Decision:
    """Forget the bodies that the batch has superseded."""
    decision = REAL_DECIDE_REPLACE(self, order)
    self.digests = {self.committed.version: self.digests[self.committed.version]}
    return decision


def forget_last_batch(self: orders.OrderBatch, current: ControlState, before: Any) -> None:
    """Forget the bodies of the last batch."""
    REAL_BATCH_INIT(self, current, None)


def keep_all_digests(self: orders.OrderBatch, current: ControlState, before: Any) -> None:
    """Reject by bodies of old versions too."""
    REAL_BATCH_INIT(self, current, orders.KnownBodies(0, before.digests if before else {}))


def reject_by_uncommitted(self: Primary, now: int, submitted: messages.Submitted) -> list[messages.Output]:
    """Reject an order by a body that may not be committed."""
    if isinstance(submitted.order, messages.ReplaceOrder):
        found = state.apply_order(self.durable.state, submitted.order)
        if isinstance(found, Failure):
            return [messages.Completed(submitted.order_id, Failure(found.failure()))]
    return REAL_SUBMIT(self, now, submitted)


def acknowledge_uncommitted(self: Primary, now: int, submitted: messages.Submitted) -> list[messages.Output]:
    """Acknowledge an order by a body that may not be committed."""
    order, own_state = submitted.order, self.durable.state
    current = (own_state.version, own_state.configuration)
    if isinstance(order, messages.ReplaceOrder) and (order.version, order.body) == current:
        return [messages.Completed(submitted.order_id, Success(b""))]
    return REAL_SUBMIT(self, now, submitted)


MUTATIONS: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "told before it is synced": ((durable_state.DurableState, "send_when_synced", send_before_sync),),
    "own copy counts before it is synced": (
        (reconfiguration.Reconfiguration, "has_copy_since", count_unsynced_own_copy),
    ),
    "a refused save counts as synced": (
        (durable_state.DurableState, "on_persisted", ignore_persist_failure),
    ),
    "acknowledged with one copy": ((Replicator, "is_write_replicated", accept_one_copy),),
    "a record without a majority": ((reconfiguration, "has_quorum", accept_any_quorum),),
    "a copy named before it is whole": ((Primary, "propose_replica_set", propose_before_caught_up),),
    "elected without a majority": ((election, "has_quorum", accept_any_quorum),),
    "a copy stands that the record does not name": ((election.Candidate, "has_quorum", ignore_copy_set),),
    "an empty disk votes": ((Replica, "__init__", start_without_recovery),),
    "an empty disk is a copy": ((durable_state.DurableState, "restore", restore_empty_copy),),
    "one voter is enough to an amnesiac": (
        (amnesia.AmnesiaRecovery, "recovered_state", recover_from_any_reply),
    ),
    "amnesiacs count to one another": ((amnesia.AmnesiaRecovery, "is_intact", count_amnesiacs),),
    "amnesiacs begin anew at once": ((amnesia.AmnesiaRecovery, "bootstrap", bootstrap_at_once),),
    "no other zone": ((reconfiguration.Reconfiguration, "preferred_copies", ignore_zones),),
    "no margin for drift": ((Replica, "__init__", drop_drift_margin),),
    "lease counted from the answer": ((progress.ProgressTracker, "on_renewal_reply", renew_from_reply_time),),
    "a lease without end": ((LeaderLease, "is_valid", lambda self, now: True),),
    "promises while another leads": ((Replica, "vote_delay", lambda self, now, candidate, released=0: 0),),
    "votes at once after a start": ((voter.Voter, "__init__", vote_after_restart),),
    "anybody is taken for the owner": ((voter.Voter, "has_voted_for", lambda self, candidate: True),),
    "leads on after handing over": ((Replica, "transfer_leadership", keep_leading),),
    "an epoch promised twice": ((Replica, "on_vote_request", vote_twice),),
    "any epoch is followed": (
        (Replica, "follow", follow_any_primary),
        (Replica, "on_higher_epoch", lambda self, now, primary, voted_epoch: None),
    ),
    "an older copy replaces a newer": ((Replica, "on_write", accept_any_state),),
    "answers before its first write": ((Replica, "become_primary", commit_on_election),),
    "a word of a copy counts for good": (
        (progress.ProgressTracker, "on_write_reply", trust_copy_forever),
        (progress.ProgressTracker, "on_renewal_reply", never_lower_copy_stamp),
    ),
    "renews though it hears nobody": ((LeaderLease, "has_no_majority_contact", lambda self, now: False),),
    "a copy is chosen that does not answer": (
        (progress.ProgressTracker, "is_answering", lambda self, now, ip: True),
    ),
    "in force without the newest": ((Replica, "is_in_force", ignore_commit_stamp),),
    "voters changed without the previous ones": (
        (reconfiguration.Reconfiguration, "propose", propose_without_previous),
    ),
    "a successor beside the one that it replaces": ((reconfiguration, "next_members", add_before_remove),),
    "the lost keep their seats": (
        (reconfiguration, "next_members", lambda membership, size: list(membership.members)),
    ),
    "a leaving machine does not wait": ((Replica, "is_needed", lambda self, now: False),),
    "a delta is put onto whatever is held": ((follower, "apply_delta", apply_partial_delta),),
    "a late copy is waited for": ((Replicator, "eject_late_copies", lambda self, now: None),),
    "messages that waited through a stop are news": ((Replica, "__init__", ignore_pauses),),
    "a number has any body": ((orders.OrderBatch, "decide_replace", acknowledge_any_body),),
    "refused before the other is committed": ((orders.OrderBatch, "decide_replace", reject_before_commit),),
    "sent twice, acknowledged before it is committed": (
        (orders.OrderBatch, "decide_replace", acknowledge_before_commit),
    ),
    "what a batch overtook is forgotten": ((orders.OrderBatch, "decide_replace", forget_superseded),),
    "what the last batch took is forgotten": ((orders.OrderBatch, "__init__", forget_last_batch),),
    "old numbers are refused too": ((orders.OrderBatch, "__init__", keep_all_digests),),
    "refused by what is not committed": ((Primary, "submit", reject_by_uncommitted),),
    "an evacuation that waited through a stop": ((Replica, "was_paused", lambda self, now: False),),
    "acknowledged by what is not committed": ((Primary, "submit", acknowledge_uncommitted),),
}


@contextlib.contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Apply the mutation of that name within the context; an unknown name changes nothing."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in MUTATIONS.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
