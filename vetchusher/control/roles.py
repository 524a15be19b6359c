"""Changes of a replica's role: election, leadership, leadership transfer, shutdown, and recovery of a lost
disk.

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

MAX_JITTER_DOUBLINGS = 3


class RoleTransitions(Follower):
    """A follower that may also be candidate, primary, learner or amnesiac.

    At most one of `candidate`, `primary_role` and `recovery` is set; without any of them the machine follows.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        durable: DurableState,
        voter: Voter,
        rng: random.Random,
        now: int,
    ) -> None:
        """Begin as a follower."""
        super().__init__(durable, voter, rng.randrange(1, 1 << 63), now)
        self.own_ip = settings.own_ip
        self.seeds: Sequence[str] = tuple(settings.seeds)
        self.timing = settings.timing
        self.losses = settings.losses
        self.rng = rng
        self.peers = PeerTable(settings.own_ip, {settings.own_ip: settings.zone})
        self.recovery: AmnesiaRecovery | None = None  # set where this machine's disk came back empty
        self.persisting_recovery = False  # what was recovered is on its way to the disk
        self.candidate: Candidate | None = None
        self.primary_role: Primary | None = None
        self.election_due_at: int | None = None
        self.unanswered_elections = 0  # in a row
        self.lost_elections = 0  # in a row; each raised an epoch, and too few voted for it
        self.may_yield = True  # once from one primary to the next
        self.last_join_at = now
        self.shutting_down = False

    @property
    def is_amnesiac(self) -> bool:
        """Whether this machine lost its disk and has not recovered its votes from the others."""
        return self.recovery is not None

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """Return for how long (us) this machine grants that candidate no vote."""
        delay = self.voter.vote_delay(now, candidate, released_epoch)
        if self.primary_role is not None:
            delay = max(delay, self.primary_role.reconfiguration.lease_expires_at(now) - now)
        return delay

    def give_up_leadership(self, reason: str) -> None:
        """Stop being primary or candidate."""
        self.step_down(reason)
        self.candidate, self.election_due_at = None, None

    # -- elections -------------------------------------------------------------------------------

    def consider_election(self, now: int) -> None:
        """Without a primary: stand for election after a random pause, where there is a copy to go on from."""
        if not self.durable.has_copy:
            return
        if self.vote_delay(now, self.own_ip) or self.voter.election_back_off(now, self.own_ip):
            self.election_due_at = None
        elif self.election_due_at is None:
            # All copies may be on machines that are shutting down; then one of these leads once more.
            delay_us = self.timing.leaving_election_delay_us if self.shutting_down else 0
            self.election_due_at = now + delay_us + self.rng.randrange(self.election_jitter_us())
        elif now >= self.election_due_at:
            self.candidate = self.new_candidate(now)
            self.outputs += self.candidate.request_pre_votes()

    def election_jitter_us(self) -> int:
        """Return the bound of the random pause before a candidacy.

        It doubles with each election lost in a row: where a vote takes longer than the pauses differ, the
        same candidates would split the votes round after round.
        """
        return self.timing.election_jitter_us << min(self.lost_elections, MAX_JITTER_DOUBLINGS)

    def yield_election(self, now: int, sender: str) -> None:
        """Leave the field to a machine that asks for pre-votes, if this one would stand against it.

        Once from one primary to the next: the other may be one that hears no answers.
        """
        replica_set = self.durable.replica_set
        can_stand = self.durable.has_copy and not self.is_amnesiac and self.own_ip in replica_set.copies
        if not self.may_yield or not can_stand or sender not in replica_set.copies:
            return
        if self.candidate is not None and not self.candidate.may_yield_to(sender):
            return
        self.give_way(now, sender)

    def give_way(self, now: int, other: str) -> None:
        """Stand for no election for a while: another machine is to be elected."""
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
        """Take a voter's answer to a vote request."""
        if self.candidate is not None:
            self.outputs += self.candidate.on_reply(sender, reply)

    def run_election(self, now: int, candidate: Candidate) -> None:
        """Carry a candidacy on as far as the replies allow."""
        if candidate.may_request_votes() and not self.vote_delay(now, self.own_ip):
            further_on = candidate.copy_further_on() if self.may_yield else ""
            if further_on:
                self.give_way(now, further_on)
                return
            candidate.choose_epoch(now)
            self.voter.defer_to(now, self.own_ip)
        self.outputs += candidate.request_votes_when_synced(now)
        if candidate.timed_out(now) or not candidate.is_elected():
            return
        self.candidate = None
        self.become_primary(now, candidate.epoch, candidate.newest_replica_set(candidate.votes))

    def end_candidacy(self, candidate: Candidate) -> None:
        """Give up a candidacy whose time is over."""
        self.candidate, self.election_due_at = None, None
        self.unanswered_elections = self.unanswered_elections + 1 if candidate.unanswered else 0
        self.lost_elections += candidate.stage is Stage.REQUESTING_VOTES

    # -- leadership ------------------------------------------------------------------------------

    def become_primary(self, now: int, epoch: int, replica_set: ReplicaSet) -> None:
        """Begin an epoch as its primary.

        Safety: the state that was found may be on too few disks.  It is written again under this epoch, and a
        replica set names who has it, before anything is answered.

        :param replica_set: the newest that the votes reported
        """
        first_round = self.rng.randrange(1 << 32)
        context = EpochContext(self.timing, self.durable, self.peers, epoch, self.losses, now)
        primary = self.primary_role = Primary(context, replica_set, first_round)
        self.voter.leaseholder, self.election_due_at = "", None
        self.log_event(Event.BECAME_PRIMARY, epoch=epoch)
        self.outputs += primary.write(now, self.durable.state)
        self.outputs += primary.renew(now)

    def act_as_primary(self, now: int, primary: Primary) -> None:
        """Carry the primary's work on, and hand leadership over where another copy should lead."""
        self.outputs += primary.advance(now)
        if primary.committed is not None:
            self.advance_commit(primary.committed)
        replicator = primary.replicator
        if self.shutting_down:
            successor, reason = replicator.successor(now), "it hands over"
        else:
            successor, reason = replicator.successor_for_late_disk(now), "its disk is late"
        if successor:
            self.transfer_leadership(now, successor, reason)

    def transfer_leadership(self, now: int, successor: str, reason: str) -> None:
        """Hand leadership over.  Safety: this machine leads no more before it says so."""
        assert self.primary_role is not None
        epoch = self.primary_role.epoch
        self.step_down(reason)
        self.voter.defer_to(now, successor)
        self.outputs.append(Send(successor, ControlMessage(release=LeadershipTransfer(epoch=epoch))))

    def on_leadership_transfer(self, now: int, sender: str, transfer: LeadershipTransfer) -> None:
        """Stand for election at once: the primary has handed over to this machine."""
        durable = self.durable
        is_from_primary = transfer.epoch == durable.voted_epoch and durable.voted_for == sender
        may_stand = durable.has_copy and not self.is_amnesiac and not self.shutting_down
        if not is_from_primary or not may_stand or self.primary_role is not None:
            return
        self.voter.leaseholder = ""
        self.candidate = self.new_candidate(now, transfer.epoch)
        self.candidate.choose_epoch(now)

    def step_down(self, reason: str) -> None:
        """Stop being primary, if this machine is, and answer the orders that wait."""
        primary, self.primary_role = self.primary_role, None
        if primary is not None:
            self.outputs += primary.fail_pending_orders()
            self.election_due_at = None
            self.log_event(Event.STEPPED_DOWN, epoch=primary.epoch, why=reason)

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> None:
        """Take a machine's answer to a write."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_write_reply(now, sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_renewal_reply(self, now: int, sender: str, reply: LeaseRenewalReply) -> None:
        """Take a machine's answer to a lease renewal."""
        if self.primary_role is not None:
            self.primary_role.on_renewal_reply(sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_higher_epoch(self, now: int, primary: Primary, voted_epoch: int) -> None:
        """Begin a later epoch where a voter voted for one that came to nothing.

        That voter follows again only under an epoch later still.
        """
        if voted_epoch <= primary.epoch:
            return
        was_leader = primary.lease.is_valid(now)
        self.step_down("a member promised a later epoch")
        if was_leader:
            self.candidate = self.new_candidate(now)
            self.candidate.highest_epoch_seen = voted_epoch
            self.candidate.choose_epoch(now)

    def on_submitted(self, now: int, submitted: Submitted) -> None:
        """Queue an order at the primary, or answer at once that this machine is none."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.submit(now, submitted)
            return
        fault = Error(ErrorCode.UNAVAILABLE, "this machine is not the primary")
        self.outputs.append(Completed(submitted.order_id, Failure(fault)))

    # -- graceful shutdown -------------------------------------------------------------------------

    def begin_shut_down(self, now: int) -> None:
        """Stand for no election, hand leadership over, and ask to be replaced as copy and voter.

        A primary without a successor leads until there is one.
        """
        self.shutting_down, self.candidate = True, None
        if self.primary_role is not None:
            successor = self.primary_role.replicator.successor(now)
            if successor:
                self.transfer_leadership(now, successor, "it hands over")
        elif self.voter.leaseholder:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage()))

    # -- joining and recovery ----------------------------------------------------------------------

    def on_join(self, now: int, join: Join) -> None:
        """Take the request of a machine that does not vote, or forward it to the primary."""
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_join(now, join.ip)
        elif self.voter.leaseholder and self.voter.leaseholder != join.ip:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage(join=join)))

    def request_to_join(self, now: int) -> None:
        """Ask to become a learner, at every machine that is known."""
        if self.shutting_down or now < self.last_join_at + self.timing.join_interval_us:
            return
        self.last_join_at = now
        message = ControlMessage(join=Join(ip=self.own_ip))
        known = {*self.seeds, *voters(self.durable.replica_set)} - {self.own_ip}
        self.outputs += [Send(ip, message) for ip in sorted(known)]

    def on_recovery_request(self, sender: str, request: RecoveryRequest) -> None:
        """Tell an amnesiac this machine's vote and replica set, or that it is an amnesiac itself."""
        reply = RecoveryReply(round=request.round, amnesiac=self.is_amnesiac)
        if not self.is_amnesiac:
            reply.promised, reply.owner = self.durable.voted_epoch, self.durable.voted_for
            reply.record.CopyFrom(self.durable.replica_set)
        elif self.recovery is not None and self.recovery.imported_state is not None:
            reply.floor.CopyFrom(self.recovery.imported_state.state)
        self.outputs.append(Send(sender, ControlMessage(recovery_reply=reply)))

    def finish_recovery(self, now: int) -> None:
        """Sync what was recovered; only then does this machine vote and hold a copy again."""
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
