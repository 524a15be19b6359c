"""The primary of one epoch: it coordinates the lease, replication, membership changes and pending orders.

A write is acknowledged when it is on the disks of all copies that the replica set names and the lease is
valid. A copy that is lost or late is replaced: another machine is first sent the complete state, then the
replica set is changed. All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    LeaseRenewal,
    LeaseRenewalReply,
    ReplicaSet,
    VoteRequest,
    WriteReply,
)
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent

from .epoch import EpochContext
from .leader_lease import LeaderLease
from .messages import Committed, Order, Output, RetrieveRolloutOrder, Send, Submitted
from .order_queue import OrderQueue
from .progress import ProgressTracker, ReplicaProgress
from .reconfiguration import Reconfiguration
from .replication import Replicator
from .rollouts import rollout_of
from .state import state_stamp, voters

MAX_LEARNERS = 8  # machines that ask to join and are tracked at the same time


class Primary:
    """The primary of one epoch, created by `Replica` on winning an election and discarded with the epoch."""

    def __init__(
        self,
        context: EpochContext,
        found_set: ReplicaSet,
        first_round: int,
    ) -> None:
        """Start an epoch.

        :param found_set: the newest replica set that the votes reported
        :param first_round: number from which the renewal rounds count up; random, so that the rounds of two
            epochs have different numbers
        """
        self.timing = context.timing
        self.durable = context.durable
        self.peers = context.peers
        self.epoch = context.epoch
        self.began_at = context.began_at
        self.progress = ProgressTracker(context.timing, context.peers, first_round, context.began_at)
        self.reconfiguration = Reconfiguration(context, self.progress, found_set)
        self.lease = LeaderLease(context, self.progress, self.reconfiguration)
        self.replicator = Replicator(context, self.progress, self.reconfiguration, self.lease)
        self.orders = OrderQueue(context.timing)

    @property
    def committed(self) -> ControlState | None:
        """The newest state committed in this epoch; None until the first commit."""
        return self.replicator.committed

    def is_leader(self, now: int) -> bool:
        """Return whether this primary may answer: it has committed in its epoch and its lease is valid."""
        return self.committed is not None and self.lease.is_valid(now)

    # -- lease ---------------------------------------------------------------------------------

    def renew(self, now: int) -> list[Output]:
        """Return renewals to all voters and learners, or probes while no majority is reachable."""
        round_number = self.lease.begin_renewal(now)
        if round_number is None:
            return self.probe()
        renewal = LeaseRenewal(
            epoch=self.epoch,
            round=round_number,
            committed=self.replicator.committed_stamp(now),
            record=self.reconfiguration.newest_of_epoch(),
            changing=self.is_changing_voters(now),
        )
        message = ControlMessage(renew=renewal)
        receivers = [*self.reconfiguration.other_voters(), *self.progress.learners, *self.departed(now)]
        return [Send(ip, message) for ip in receivers] + self.replicator.drop_unneeded_copies(now)

    def departed(self, now: int) -> list[str]:
        """Return the machines that are shutting down, are neither voter nor learner, and still run.

        They are sent renewals until they stop, from which they learn that they have been replaced as voters.
        Safety: their replies count for no majority.
        """
        known = {*self.reconfiguration.other_voters(), *self.progress.learners, self.peers.own_ip}
        reachable = self.peers.contacted_within(now, self.timing.contact_timeout_us)
        return sorted((self.peers.leaving & reachable) - known)

    def probe(self) -> list[Output]:
        """Return pre-vote requests to all other voters; any machine replies, and no lease is granted."""
        message = ControlMessage(ask=VoteRequest(epoch=0))
        return [Send(ip, message) for ip in self.reconfiguration.other_voters()]

    def is_changing_voters(self, now: int) -> bool:
        """Return whether a leaving voter has to stay because the voters are changing or may change soon.

        That is the case while a change is in progress, while learners are still making themselves known to a
        new primary, and while a reachable learner can replace a leaving voter.
        """
        reconfiguration = self.reconfiguration
        if any(one.previous_members for one in reconfiguration.replica_sets()):
            return True
        if self.committed is None or now < self.began_at + self.timing.learner_discovery_us:
            return True
        leaving = self.peers.leaving
        return not leaving.isdisjoint(reconfiguration.members) and any(
            ip not in leaving and self.progress.is_reachable(now, ip) for ip in self.progress.learners
        )

    def on_renewal_reply(self, sender: str, reply: LeaseRenewalReply) -> None:
        """Record the reply of a voter or learner to a renewal; replies of other epochs are ignored."""
        if reply.epoch == self.epoch:
            self.progress.on_renewal_reply(sender, reply)

    # -- progress after replies ------------------------------------------------------------------

    def advance(self, now: int) -> list[Output]:
        """Take all steps that the replies received so far allow.

        These are: establish a proposed replica set, commit the write in flight, answer orders, and start the
        next write.
        """
        outputs: list[Output] = []
        previous = self.reconfiguration.current
        if self.reconfiguration.commit_proposal(now):
            outputs += self.replica_set_events(previous)
        self.replicator.eject_late_copies(now)
        if self.reconfiguration.proposed is None and self.propose_replica_set(now):
            outputs += self.renew(now)
        write_began_at = self.replicator.write_began_at
        if write_began_at is not None and self.replicator.is_write_replicated(now, write_began_at):
            outputs += self.commit(now)
        outputs += self.answer_orders(now)
        if self.replicator.write_began_at is None and self.is_leader(now):
            outputs += self.begin_next_write(now)
            outputs += self.answer_orders(now)
        return outputs + self.replicator.replicate(now)

    def write(self, now: int, state: ControlState) -> list[Output]:
        """Start a write and return the messages that send it."""
        self.replicator.begin_write(now, state)
        return self.replicator.replicate(now)

    def commit(self, now: int) -> list[Output]:
        """Commit the write in flight, and announce the commit with an immediate renewal."""
        committed = self.replicator.commit()
        facts = {"stamp": state_stamp(committed), "version": committed.version}
        return [Committed(committed), LogEvent(Event.STATE_COMMITTED, facts), *self.renew(now)]

    def begin_next_write(self, now: int) -> list[Output]:
        """Decide all pending changes, and start one write for them if they change the state."""
        batch, outputs = self.orders.begin_batch(self.durable.state)
        if batch.state is not batch.committed or self.replicator.must_rewrite_dropped_copy(now):
            return outputs + self.write(now, batch.state)
        return outputs

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> list[Output]:
        """Record a machine's reply to a write, and return the messages that it requires."""
        return self.replicator.on_write_reply(now, sender, reply)

    def on_peer_restarted(self, ip: str) -> None:
        """Discard what a machine reported before it restarted, since its disk may have been replaced."""
        progress = self.progress.find(ip)
        if progress is not None:
            progress.reset_after_restart()

    # -- replica set -----------------------------------------------------------------------------

    def replica_set_events(self, previous: ReplicaSet) -> list[Output]:
        """Return the log events of a replica set that has just been established."""
        current = self.reconfiguration.current
        facts = {"epoch": self.epoch, "copies": ",".join(current.copies), "number": current.number}
        size = len(current.members)
        outputs: list[Output] = [LogEvent(Event.REPLICA_SET_ESTABLISHED, facts)]
        for ip in sorted(set(current.members) - voters(previous)):
            outputs.append(LogEvent(Event.MEMBER_JOINED, {"member": ip, "members": size}))
        for ip in sorted(voters(previous) - voters(current)):
            outputs.append(LogEvent(Event.MEMBER_REMOVED, {"member": ip, "members": size}))
        return outputs

    def propose_replica_set(self, now: int) -> bool:
        """Propose the next replica set if copies or voters have to change; return whether that was done."""
        reconfiguration = self.reconfiguration
        current = reconfiguration.current
        if not reconfiguration.is_established:
            # Safety: the set that the election found may or may not have been established, so the first set
            # of this epoch keeps its electorates.
            return self.propose_if_copied(now, current.members, current.previous_members)
        if reconfiguration.is_joint:
            reconfiguration.propose(current.copies, current.members)
            return True
        members = self.replicator.next_members(now)
        if set(members) != set(current.members) and self.propose_if_copied(now, members, current.members):
            return True
        is_copy_change = reconfiguration.preferred_copies(now) != set(current.copies)
        return is_copy_change and self.propose_if_copied(now, current.members)

    def propose_if_copied(self, now: int, members: Sequence[str], previous: Sequence[str] = ()) -> bool:
        """Propose a replica set if all machines that it adds hold the complete state.

        :param previous: the previous voters if `members` changes them, otherwise empty
        :returns: whether the set was proposed
        """
        reconfiguration = self.reconfiguration
        copies = reconfiguration.preferred_copies(now, members)
        newcomers = set(members) - set(reconfiguration.current.members)
        since = state_stamp(self.committed or self.durable.state)
        if not all(reconfiguration.has_copy_since(now, ip, since) for ip in copies | newcomers):
            return False
        reconfiguration.propose(copies, members, previous)
        return True

    # -- orders ----------------------------------------------------------------------------------

    def submit(self, now: int, submitted: Submitted) -> list[Output]:
        """Queue an order; return an answer if the queue is full."""
        return self.orders.submit(now, submitted)

    def answer_orders(self, now: int) -> list[Output]:
        """Answer reads and committed changes if this machine is leader, and orders that have expired."""
        outputs: list[Output] = []
        if self.is_leader(now):
            outputs += self.orders.answer_reads(self.read)
            if self.replicator.write_began_at is None:
                outputs += self.orders.answer_write()
        return outputs + self.orders.answer_expired(now)

    def read(self, order: Order) -> Result[bytes, Error]:
        """Return what a read order asks for from the committed state."""
        if isinstance(order, RetrieveRolloutOrder):
            return self.read_rollout(order.service)
        return self.read_configuration()

    def read_rollout(self, service: str) -> Result[bytes, Error]:
        """Return the serialised committed roll-out of a service, or `NOT_FOUND`."""
        rollout = rollout_of(self.committed, service) if self.committed is not None else None
        if rollout is None:
            return Failure(Error(ErrorCode.NOT_FOUND, f"no roll-out of {service}"))
        return Success(rollout.SerializeToString())

    def read_configuration(self) -> Result[bytes, Error]:
        """Return the committed configuration as the operator sent it, or `UNAVAILABLE` if there is none."""
        if self.committed is None or not self.committed.version:
            return Failure(Error(ErrorCode.UNAVAILABLE, "no configuration yet"))
        return Success(self.committed.configuration)

    def fail_pending_orders(self) -> list[Output]:
        """Answer all pending orders as not committed, because the epoch ends."""
        return self.orders.fail_all()

    # -- learners ----------------------------------------------------------------------------------

    def on_join(self, now: int, ip: str) -> list[Output]:
        """Track a machine that is no voter as a learner for as long as it keeps asking to join.

        :returns: renewals if the learner is new, otherwise nothing
        """
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
        return self.renew(now)  # sends the learner the established replica set without delay
