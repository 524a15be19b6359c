"""Role changes of a replica: election, leadership, leadership transfer, shutdown, recovery from a lost disk.

All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from returns.result import Failure

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    Join,
    LeadershipTransfer,
    LeaseRenewalReply,
    RecoveryReply,
    RecoveryRequest,
    ReplicaSet,
    VoteReply,
    WriteReply,
)
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event

from .amnesia import AmnesiaRecovery
from .durable_state import DurableState
from .election import Candidate, Stage
from .epoch import EpochContext
from .follower import Follower
from .messages import Completed, ReplicaSettings, Send, Submitted
from .primary import Primary
from .progress import PeerTable
from .state import replica_set_id, voters
from .voter import Voter

MAX_JITTER_DOUBLINGS = 3  # bounds the election jitter to 8 times its base


class RoleTransitions(Follower):
    """A follower that may also become candidate, primary, learner or amnesiac.

    At most one of `candidate`, `primary_role` and `recovery` is set; with none set the machine is a follower.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        durable: DurableState,
        voter: Voter,
        rng: random.Random,
        now: int,
    ) -> None:
        """Start as a follower."""
        super().__init__(durable, voter, rng.randrange(1, 1 << 63), now)
        self.own_ip = settings.own_ip
        self.seeds: Sequence[str] = tuple(settings.seeds)
        self.timing = settings.timing
        self.losses = settings.losses
        self.rng = rng
        self.peers = PeerTable(settings.own_ip, {settings.own_ip: settings.zone})
        self.recovery: AmnesiaRecovery | None = None  # set if this machine started with a lost disk
        self.persisting_recovery = False  # the recovered state is being synced
        self.candidate: Candidate | None = None
        self.primary_role: Primary | None = None
        self.election_due_at: int | None = None
        self.unanswered_elections = 0  # number of consecutive elections that lacked replies
        self.lost_elections = 0  # number of consecutive ones that raised the epoch and got too few votes
        self.may_yield = True  # backing off is allowed once until the next primary is elected
        self.last_join_at = now
        self.shutting_down = False

    @property
    def is_amnesiac(self) -> bool:
        """Whether this machine lost its disk and has not yet recovered its votes from the others."""
        return self.recovery is not None

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """Return for how many microseconds this machine will grant the candidate no vote."""
        delay = self.voter.vote_delay(now, candidate, released_epoch)
        if self.primary_role is not None:
            delay = max(delay, self.primary_role.reconfiguration.lease_expires_at(now) - now)
        return delay

    def give_up_leadership(self, reason: str) -> None:
        """Stop being primary or candidate; `reason` is logged."""
        self.step_down(reason)
        self.candidate, self.election_due_at = None, None

    # -- elections -------------------------------------------------------------------------------

    def consider_election(self, now: int) -> None:
        """Become a candidate after a random delay if there is no primary and this machine holds a copy."""
        if not self.durable.has_copy:
            return
        if self.vote_delay(now, self.own_ip) or self.voter.election_back_off(now, self.own_ip):
            self.election_due_at = None
        elif self.election_due_at is None:
            # A machine that is shutting down waits longer, but still becomes a candidate: all copies may be
            # on machines that are shutting down.
            delay_us = self.timing.leaving_election_delay_us if self.shutting_down else 0
            self.election_due_at = now + delay_us + self.rng.randrange(self.election_jitter_us())
        elif now >= self.election_due_at:
            self.candidate = self.new_candidate(now)
            self.outputs += self.candidate.request_pre_votes()

    def election_jitter_us(self) -> int:
        """Return the upper bound (us) of the random delay before a candidacy.

        The bound doubles with each consecutive lost election. If a vote took longer than the delays differ,
        the same candidates would otherwise split the votes in each round.
        """
        return self.timing.election_jitter_us << min(self.lost_elections, MAX_JITTER_DOUBLINGS)

    def yield_election(self, now: int, sender: str) -> None:
        """Back off in favour of a machine that requests pre-votes, if this one would compete with it.

        This happens at most once until the next primary is elected, because the other machine may be one that
        receives no replies and so cannot win.
        """
        replica_set = self.durable.replica_set
        can_be_candidate = (
            self.durable.has_copy and not self.is_amnesiac and self.own_ip in replica_set.copies
        )
        if not self.may_yield or not can_be_candidate or sender not in replica_set.copies:
            return
        if self.candidate is not None and not self.candidate.may_yield_to(sender):
            return
        self.back_off_for(now, sender)

    def back_off_for(self, now: int, other: str) -> None:
        """Abandon any candidacy and start none for `Timing.election_back_off_us`, so that `other` can win."""
        self.may_yield = False
        self.candidate, self.election_due_at = None, None
        self.voter.defer_to(now, other)

    def new_candidate(self, now: int, released_epoch: int = 0) -> Candidate:
        """Return a candidacy of this machine.

        :param released_epoch: epoch whose primary has handed its lease over to this machine; 0: none
        """
        candidate = Candidate(self.timing, self.durable, self.own_ip, self.unanswered_elections, now)
        candidate.released_epoch = released_epoch
        return candidate

    def on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        """Pass a voter's reply to the candidacy, if there is one."""
        if self.candidate is not None:
            self.outputs += self.candidate.on_reply(sender, reply)

    def run_election(self, now: int, candidate: Candidate) -> None:
        """Advance a candidacy as far as the replies allow, up to becoming primary."""
        if candidate.may_request_votes() and not self.vote_delay(now, self.own_ip):
            newer_replica = candidate.replica_with_newer_copy() if self.may_yield else ""
            if newer_replica:
                self.back_off_for(now, newer_replica)
                return
            candidate.choose_epoch(now)
            self.voter.defer_to(now, self.own_ip)
        self.outputs += candidate.request_votes_when_synced(now)
        if candidate.timed_out(now) or not candidate.is_elected():
            return
        self.candidate = None
        self.become_primary(now, candidate.epoch, candidate.newest_replica_set(candidate.votes))

    def end_candidacy(self, candidate: Candidate) -> None:
        """End a candidacy that timed out or lost, and count how it failed."""
        self.candidate, self.election_due_at = None, None
        self.unanswered_elections = self.unanswered_elections + 1 if candidate.unanswered else 0
        self.lost_elections += candidate.stage is Stage.REQUESTING_VOTES

    # -- leadership ------------------------------------------------------------------------------

    def become_primary(self, now: int, epoch: int, replica_set: ReplicaSet) -> None:
        """Start an epoch as its primary.

        Safety: the state of this machine may be on fewer disks than a write needs. Before anything is
        answered it is therefore written again under this epoch, and a replica set names the machines that
        have it.

        :param replica_set: the newest replica set that the votes reported
        """
        first_round = self.rng.randrange(1 << 32)
        context = EpochContext(self.timing, self.durable, self.peers, epoch, self.losses, now)
        primary = self.primary_role = Primary(context, replica_set, first_round)
        self.voter.leaseholder, self.election_due_at = "", None
        self.log_event(Event.BECAME_PRIMARY, epoch=epoch)
        self.outputs += primary.write(now, self.durable.state)
        self.outputs += primary.renew(now)

    def act_as_primary(self, now: int, primary: Primary) -> None:
        """Advance the primary's work, and transfer leadership if another machine should lead."""
        self.outputs += primary.advance(now)
        if primary.committed is not None:
            self.advance_commit(primary.committed)
        replicator = primary.replicator
        if self.shutting_down:
            successor, reason = replicator.successor(now), "shutting down"
        else:
            successor, reason = replicator.successor_for_late_disk(now), "the local disk is too slow"
        if successor:
            self.transfer_leadership(now, successor, reason)

    def transfer_leadership(self, now: int, successor: str, reason: str) -> None:
        """Step down and hand leadership over. Safety: stepping down first rules out two leaders at a time."""
        assert self.primary_role is not None
        epoch = self.primary_role.epoch
        self.step_down(reason)
        self.voter.defer_to(now, successor)
        self.outputs.append(Send(successor, ControlMessage(release=LeadershipTransfer(epoch=epoch))))

    def on_leadership_transfer(self, now: int, sender: str, transfer: LeadershipTransfer) -> None:
        """Start an election at once if the current primary has handed its leadership over to this machine."""
        durable = self.durable
        is_from_primary = transfer.epoch == durable.voted_epoch and durable.voted_for == sender
        may_be_candidate = durable.has_copy and not self.is_amnesiac and not self.shutting_down
        if not is_from_primary or not may_be_candidate or self.primary_role is not None:
            return
        self.voter.leaseholder = ""
        self.candidate = self.new_candidate(now, transfer.epoch)
        self.candidate.choose_epoch(now)

    def step_down(self, reason: str) -> None:
        """Stop being primary, if this machine is, and answer its pending orders; `reason` is logged."""
        primary, self.primary_role = self.primary_role, None
        if primary is not None:
            self.outputs += primary.fail_pending_orders()
            self.election_due_at = None
            self.log_event(Event.STEPPED_DOWN, epoch=primary.epoch, why=reason)

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> None:
        """Pass a machine's reply to a write on to the primary role."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_write_reply(now, sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_renewal_reply(self, now: int, sender: str, reply: LeaseRenewalReply) -> None:
        """Pass a machine's reply to a lease renewal on to the primary role."""
        if self.primary_role is not None:
            self.primary_role.on_renewal_reply(sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_higher_epoch(self, now: int, primary: Primary, voted_epoch: int) -> None:
        """Step down if a voter has voted in a later epoch, and start an election if the lease was valid.

        A valid lease shows that the later epoch did not win. Its voter will only follow a primary of an epoch
        that is later still.
        """
        if voted_epoch <= primary.epoch:
            return
        was_leader = primary.lease.is_valid(now)
        self.step_down("a voter has voted in a later epoch")
        if was_leader:
            self.candidate = self.new_candidate(now)
            self.candidate.highest_epoch_seen = voted_epoch
            self.candidate.choose_epoch(now)

    def on_submitted(self, now: int, submitted: Submitted) -> None:
        """Queue an order if this machine is the primary, otherwise answer it with `UNAVAILABLE`."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.submit(now, submitted)
            return
        fault = Error(ErrorCode.UNAVAILABLE, "this machine is not the primary")
        self.outputs.append(Completed(submitted.order_id, Failure(fault)))

    # -- graceful shutdown -------------------------------------------------------------------------

    def begin_shut_down(self, now: int) -> None:
        """Start to shut down: abandon any candidacy, transfer leadership, and announce the shutdown.

        The primary replaces a leaving machine as voter and holder of a copy. A primary without a successor
        keeps leading until there is one.
        """
        self.shutting_down, self.candidate = True, None
        if self.primary_role is not None:
            successor = self.primary_role.replicator.successor(now)
            if successor:
                self.transfer_leadership(now, successor, "shutting down")
        elif self.voter.leaseholder:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage()))

    # -- joining and recovery ----------------------------------------------------------------------

    def on_join(self, now: int, join: Join) -> None:
        """Handle a non-voter's request to join, or forward it to the primary."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_join(now, join.ip)
        elif self.voter.leaseholder and self.voter.leaseholder != join.ip:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage(join=join)))

    def request_to_join(self, now: int) -> None:
        """Send all known machines a request to join as a learner, every `Timing.join_interval_us`."""
        if self.shutting_down or now < self.last_join_at + self.timing.join_interval_us:
            return
        self.last_join_at = now
        message = ControlMessage(join=Join(ip=self.own_ip))
        known = {*self.seeds, *voters(self.durable.replica_set)} - {self.own_ip}
        self.outputs += [Send(ip, message) for ip in sorted(known)]

    def on_recovery_request(self, sender: str, request: RecoveryRequest) -> None:
        """Reply to an amnesiac with this machine's vote and replica set, or that it is amnesiac too."""
        reply = RecoveryReply(round=request.round, amnesiac=self.is_amnesiac)
        if not self.is_amnesiac:
            reply.promised, reply.owner = self.durable.voted_epoch, self.durable.voted_for
            reply.record.CopyFrom(self.durable.replica_set)
        elif self.recovery is not None and self.recovery.imported_state is not None:
            reply.floor.CopyFrom(self.recovery.imported_state.state)
        self.outputs.append(Send(sender, ControlMessage(recovery_reply=reply)))

    def finish_recovery(self, now: int) -> None:
        """Sync the recovered state once it is complete; only after that this machine votes again."""
        if self.recovery is None:
            return
        if not self.persisting_recovery:
            recovered = self.recovery.recovered_state(now)
            if recovered is not None:
                self.persisting_recovery = True
                self.durable.restore(recovered)
        elif self.durable.synced_revision == self.durable.revision:
            self.recovery = None
            self.log_event(
                Event.RECOVERY_FINISHED,
                promised=self.durable.voted_epoch,
                record=replica_set_id(self.durable.replica_set),
            )
