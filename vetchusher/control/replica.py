"""One core machine's part in the control state: it votes, may hold a copy, and may be the primary.

docs/design/control-state.md has the roles and the proof.  Pure: inputs and the time in, outputs out.  What is
told was on disk before, where the promise needs it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace

from returns.result import Failure

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    Join,
    LeadershipTransfer,
    LeaseRenewalReply,
    RecoveryReply,
    RecoveryRequest,
    ReplicaSet,
    VoteReply,
    WriteReply,
)
from vetchusher.events import Event
from vetchusher.kinds import Fault, Kind

from .amnesia import AmnesiaRecovery
from .durable_state import DurableState
from .election import Candidate
from .messages import (
    Completed,
    CopyRepaired,
    Input,
    Output,
    Persisted,
    PersistentState,
    Received,
    Send,
    ShutDown,
    Submitted,
    Timing,
)
from .primary import Primary
from .progress import PeerTable
from .state import (
    StampTuple,
    first_replica_set,
    first_state,
    last_evacuation_order,
    replica_set_id,
    state_stamp,
    voters,
)
from .voter import Voter
from .witness import Follower

MAX_PEERS = 64

__all__ = ["PersistentState", "Replica", "Timing"]


class Replica(Follower):
    """:param me: this machine's ip
    :param seeds: ips of the machines that it was told of at its start; at the very first start the members
    :param first_start: the system has never run
    :param kept: what was on this machine's disk; None: nothing, or nothing that could be read
    :param now: us of the machine's steady clock
    :param losses: how many machines may be lost at a time
    :param floor: what an import brought; it is no memory (`floor.py`)
    """

    def __init__(
        self,
        own_ip: str,
        zone: str,
        seeds: Sequence[str],
        first_start: bool,
        stored: PersistentState | None,
        timing: Timing,
        rng: random.Random,
        now: int,
        losses: int = 1,
        imported_state: PersistentState | None = None,
    ) -> None:
        self.own_ip = own_ip
        self.seeds = tuple(seeds)
        self.timing = timing
        self.rng = rng
        is_first_start = stored is None and first_start and imported_state is None
        self.losses = losses
        self.peers = PeerTable(own_ip, {own_ip: zone})
        contents = stored or PersistentState(
            0, first_state(), replica_set=first_replica_set(seeds), has_copy=is_first_start
        )
        if not contents.replica_set.members:  # a disk of the first format: all members held copies
            contents = replace(contents, replica_set=first_replica_set(contents.state.members))
        durable = DurableState(timing, contents, on_disk=stored is not None or not is_first_start)
        self.recovery = (
            None
            if stored is not None or is_first_start
            else AmnesiaRecovery(timing, own_ip, seeds, rng, now, imported_state)
        )
        self.persisting_recovery = False  # what was recalled is on its way to the disk
        voter = Voter(timing, durable, now if is_first_start else now + timing.lease_duration_us, now)
        super().__init__(durable, voter, rng.randrange(1, 1 << 63), now)
        self.candidate: Candidate | None = None
        self.primary_role: Primary | None = None
        self.election_due_at: int | None = None
        self.failed_elections = 0  # candidacies in a row that came to nothing
        self.last_join_at = now
        self.shutting_down = False
        self.last_run_at = now  # last
        if self.recovery:
            self.log_event(Event.AMNESIAC)

    # -- what others may ask -------------------------------------------------------------------

    def is_leader(self, now: int) -> bool:
        """Primary, active, its lease not over: it may read out, keep duties, answer."""
        return self.primary_role is not None and self.primary_role.is_leader(now)

    def is_in_force(self, now: int, published: StampTuple | None = None) -> bool:
        """Whether a majority stands behind what has that stamp, as of about a second ago.

        :param told: of what is told here; None: of `committed`.  Only what was committed is ever told.
        """
        if self.primary_role is not None:
            return self.primary_role.is_leader(now)
        if self.reported_commit is None or now >= self.reported_commit[1] + self.timing.contact_timeout_us:
            return False
        return self.reported_commit[0] <= (state_stamp(self._committed) if published is None else published)

    def was_paused(self, now: int) -> bool:
        """Whether what reaches this machine now may have waited while its process ran nothing."""
        return now < self.trusts_messages_from or now >= self.last_run_at + self.timing.pause_threshold_us

    @property
    def committed(self) -> ControlState:
        """What this machine's copy has that may be told to ingresses; only ever grows in stamp."""
        return self._committed

    @property
    def copy(self) -> ControlState | None:
        """This machine's copy, committed or not; None: it has none."""
        return self.durable.state if self.durable.has_copy and not self.is_amnesiac else None

    @property
    def epoch(self) -> int:
        return self.primary_role.epoch if self.primary_role is not None else self.durable.voted_epoch

    @property
    def primary_ip(self) -> str:
        """The primary as far as is known; empty: unknown."""
        return self.own_ip if self.primary_role is not None else self.voter.leaseholder

    @property
    def voters(self) -> tuple[str, ...]:
        """All who vote; while voters are being changed, those before and after."""
        return tuple(sorted(voters(self.durable.replica_set)))

    @property
    def is_voter(self) -> bool:
        """It votes, as far as is known here."""
        return self.own_ip in voters(self.durable.replica_set)

    def is_needed(self, now: int) -> bool:
        """Whether another has to take over first what this machine does, and is up to do so: its epoch, its
        copy, its seat, or its vote in an election under way."""
        timing = self.timing
        up = self.peers.contacted_within(now, timing.lease_duration_us + timing.contact_timeout_us)
        if up <= self.peers.leaving:
            return False
        primary_is_up = self.primary_ip in self.peers.contacted_within(now, timing.contact_timeout_us)
        if (
            self.primary_role is not None
            or not primary_is_up
            or self.own_ip in self.durable.replica_set.copies
        ):
            return True
        return now < self.reconfiguration_until

    @property
    def is_amnesiac(self) -> bool:
        return self.recovery is not None

    def update_seeds(self, seeds: Sequence[str]) -> None:
        """The settings name other machines to ask."""
        self.seeds = tuple(seeds)
        if self.recovery is not None:
            self.recovery.seeds = self.seeds

    def last_evacuation_order(self, zone: str) -> int:
        """Number of the zone's last order, as far as it has been taken here."""
        return last_evacuation_order(self.durable.state, zone)

    # -- inputs --------------------------------------------------------------------------------

    def handle(self, now: int, event: Input) -> list[Output]:
        if now >= self.last_run_at + self.timing.pause_threshold_us:
            self.trusts_messages_from, self.reported_commit = now + self.timing.renewal_interval_us, None
        self.last_run_at = now
        if isinstance(event, Received):
            self.record_contact(now, event.sender, event.zone, event.message)
            self.dispatch(now, event.sender, event.message)
        elif isinstance(event, Persisted):
            self.outputs += self.durable.on_persisted(now, event.token, event.synced)
        elif isinstance(event, Submitted):
            self.on_submitted(now, event)
        elif isinstance(event, CopyRepaired):
            self.durable.repair_copy(event.state)
        elif isinstance(event, ShutDown):
            self.begin_shut_down(now)
        else:
            self.tick(now)
        self.advance(now)
        out, self.outputs = self.outputs, []
        for one in out:
            if isinstance(one, Send):
                one.message.life, one.message.leaving = self.incarnation, self.shutting_down
        return out

    def record_contact(self, now: int, sender: str, zone: str, message: ControlMessage) -> None:
        peers = self.peers
        peers.zones[sender], peers.last_contact_at[sender] = zone, now
        (peers.leaving.add if message.leaving else peers.leaving.discard)(sender)
        if peers.incarnations.get(sender) != message.life:
            peers.incarnations[sender] = message.life
            if self.primary_role is not None:
                self.primary_role.on_peer_restarted(sender)
        if self.recovery is not None:
            self.recovery.on_contact(sender)
        if len(peers.last_contact_at) > MAX_PEERS:
            oldest = min(peers.last_contact_at, key=peers.last_contact_at.__getitem__)
            del peers.last_contact_at[oldest], peers.zones[oldest], peers.incarnations[oldest]
            peers.leaving.discard(oldest)

    def dispatch(self, now: int, sender: str, message: ControlMessage) -> None:
        match message.WhichOneof("kind"):
            case "ask":
                self.on_vote_request(now, sender, message.ask)
            case "granted":
                self.on_vote_reply(sender, message.granted)
            case "write":
                self.on_write(now, sender, message.write)
            case "written":
                self.on_write_reply(now, sender, message.written)
            case "renew":
                self.on_lease_renewal(now, sender, message.renew)
            case "renewed":
                self.on_renewal_reply(now, sender, message.renewed)
            case "recovery_request":
                self.on_recovery_request(sender, message.recovery_request)
            case "recovery_reply" if self.recovery is not None:
                self.recovery.on_reply(sender, message.recovery_reply)
            case "join":
                self.on_join(now, message.join)
            case "release":
                self.on_leadership_transfer(now, sender, message.release)
            case "drop":
                self.on_drop(sender, message.drop)

    def tick(self, now: int) -> None:
        self.voter.expire_lease(now)
        if self.voter.leaseholder:
            self.failed_elections = 0
        primary, candidate = self.primary_role, self.candidate
        if primary is not None:
            primary.progress.expire_learners(now)
            if primary.has_lost_lease(now):
                self.step_down("its lease ran out")
            elif primary.is_renewal_due(now):
                self.outputs += primary.renew(now)
        elif candidate is not None:
            if candidate.timed_out(now):
                self.candidate, self.election_due_at = None, None
                self.failed_elections = self.failed_elections + 1 if candidate.unanswered else 0
        elif self.recovery is not None:
            self.outputs += self.recovery.tick(now)
        elif not self.is_voter:
            self.request_to_join(now)
        else:
            self.consider_election(now)

    def advance(self, now: int) -> None:
        """Whatever the input has made possible."""
        self.finish_recovery(now)
        if self.candidate is not None:
            self.run_election(now, self.candidate)
        if self.primary_role is not None:
            self.act_as_primary(now, self.primary_role)
        self.outputs += self.durable.persist_changes(now)

    # -- what it does on another's word: `Witness` ---------------------------------------------

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """For how long (us) this voter promises that candidate nothing."""
        delay = self.voter.vote_delay(now, candidate, released_epoch)
        if self.primary_role is not None:
            delay = max(delay, self.primary_role.reconfiguration.lease_expires_at(now) - now)
        return delay

    def give_up_leadership(self, reason: str) -> None:
        self.step_down(reason)
        self.candidate, self.election_due_at = None, None

    # -- as a candidate ------------------------------------------------------------------------

    def consider_election(self, now: int) -> None:
        """Nobody leads: a random pause, then a candidacy, where there is a copy to go on from."""
        if not self.durable.has_copy:
            return
        if self.vote_delay(now, self.own_ip) or self.voter.election_back_off(now, self.own_ip):
            self.election_due_at = None
        elif self.election_due_at is None:
            # Danger: all copies may be on machines that are about to end; then one of these leads once more.
            behind = self.timing.leaving_election_delay_us if self.shutting_down else 0
            self.election_due_at = now + behind + self.rng.randrange(self.timing.election_jitter_us)
        elif now >= self.election_due_at:
            self.candidate = Candidate(self.timing, self.durable, self.own_ip, self.failed_elections, now)
            self.outputs += self.candidate.request_pre_votes()

    def on_vote_reply(self, sender: str, reply: VoteReply) -> None:
        if self.candidate is not None:
            self.outputs += self.candidate.on_reply(sender, reply)

    def run_election(self, now: int, candidate: Candidate) -> None:
        if candidate.may_request_votes() and not self.vote_delay(now, self.own_ip):
            candidate.choose_epoch(now)
        self.outputs += candidate.request_votes_when_synced(now)
        if candidate.timed_out(now) or not candidate.is_elected():
            return
        self.candidate = None
        self.become_primary(now, candidate.epoch, candidate.newest_replica_set(candidate.votes))

    def become_primary(self, now: int, epoch: int, replica_set: ReplicaSet) -> None:
        first_round = self.rng.randrange(1 << 32)
        primary = self.primary_role = Primary(
            self.timing, self.durable, self.peers, epoch, replica_set, self.losses, first_round, now
        )
        self.voter.leaseholder, self.election_due_at = "", None
        self.log_event(Event.PRIMARY, epoch=epoch)
        # What was found may be on too few disks: it is written again under this epoch, and a record names
        # who has it, before anything is answered.
        self.outputs += primary.write(now, self.durable.state)
        self.outputs += primary.renew(now)

    # -- as the primary ------------------------------------------------------------------------

    def act_as_primary(self, now: int, primary: Primary) -> None:
        self.outputs += primary.advance(now)
        if primary.committed is not None:
            self.advance_commit(primary.committed)
        successor = primary.successor(now) if self.shutting_down else primary.successor_for_late_disk(now)
        if successor:
            self.transfer_leadership(
                now, successor, "it hands over" if self.shutting_down else "its disk is late"
            )

    def transfer_leadership(self, now: int, successor: str, reason: str) -> None:
        """Danger: it leads no more before it says so."""
        assert self.primary_role is not None
        epoch = self.primary_role.epoch
        self.step_down(reason)
        self.voter.defer_to(now, successor)
        self.outputs.append(Send(successor, ControlMessage(release=LeadershipTransfer(epoch=epoch))))

    def on_leadership_transfer(self, now: int, sender: str, transfer: LeadershipTransfer) -> None:
        """The primary has handed over to this machine, which stands at once."""
        durable = self.durable
        named = transfer.epoch == durable.voted_epoch and durable.voted_for == sender
        if (
            not named
            or not durable.has_copy
            or self.is_amnesiac
            or self.shutting_down
            or self.primary_role is not None
        ):
            return
        self.voter.leaseholder = ""
        self.candidate = Candidate(
            self.timing, durable, self.own_ip, self.failed_elections, now, transfer.epoch
        )
        self.candidate.choose_epoch(now)

    def begin_shut_down(self, now: int) -> None:
        """The process is about to end: it stands no more, hands over if it leads, is replaced as a copy and
        as a voter.  Without an heir it leads until there is one."""
        self.shutting_down, self.candidate = True, None
        if self.primary_role is not None:
            successor = self.primary_role.successor(now)
            if successor:
                self.transfer_leadership(now, successor, "it hands over")
        elif self.voter.leaseholder:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage()))

    def step_down(self, reason: str) -> None:
        primary, self.primary_role = self.primary_role, None
        if primary is not None:
            self.outputs += primary.fail_pending_orders()
            self.election_due_at = None
            self.log_event(Event.PRIMARY_NO_MORE, epoch=primary.epoch, why=reason)

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> None:
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_write_reply(now, sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_renewal_reply(self, now: int, sender: str, reply: LeaseRenewalReply) -> None:
        if self.primary_role is not None:
            self.primary_role.on_renewal_reply(sender, reply)
            self.on_higher_epoch(now, self.primary_role, reply.promised)

    def on_higher_epoch(self, now: int, primary: Primary, voted_epoch: int) -> None:
        """A member promised a later epoch that came to nothing: it follows again only under one later
        still."""
        if voted_epoch <= primary.epoch:
            return
        was_leader = primary.has_valid_lease(now)
        self.step_down("a member promised a later epoch")
        if was_leader:
            self.candidate = Candidate(self.timing, self.durable, self.own_ip, self.failed_elections, now)
            self.candidate.highest_epoch_seen = voted_epoch
            self.candidate.choose_epoch(now)

    def on_submitted(self, now: int, submitted: Submitted) -> None:
        if self.primary_role is not None:
            self.outputs += self.primary_role.submit(now, submitted)
        else:
            self.outputs.append(
                Completed(
                    submitted.order_id, Failure(Fault(Kind.NOT_SETTLED, "this machine is not the primary"))
                )
            )

    # -- joining, remembering ------------------------------------------------------------------

    def on_join(self, now: int, join: Join) -> None:
        if self.primary_role is not None:
            self.outputs += self.primary_role.on_join(now, join.ip)
        elif self.voter.leaseholder and self.voter.leaseholder != join.ip:
            self.outputs.append(Send(self.voter.leaseholder, ControlMessage(join=join)))

    def request_to_join(self, now: int) -> None:
        if not self.shutting_down and now >= self.last_join_at + self.timing.join_interval_us:
            self.last_join_at = now
            message = ControlMessage(join=Join(ip=self.own_ip))
            self.outputs += [Send(ip, message) for ip in sorted({*self.seeds, *self.voters} - {self.own_ip})]

    def on_recovery_request(self, sender: str, request: RecoveryRequest) -> None:
        reply = RecoveryReply(round=request.round, amnesiac=self.is_amnesiac)
        if not self.is_amnesiac:
            reply.promised, reply.owner = self.durable.voted_epoch, self.durable.voted_for
            reply.record.CopyFrom(self.durable.replica_set)
        elif self.recovery is not None and self.recovery.imported_state is not None:
            reply.floor.CopyFrom(self.recovery.imported_state.state)
        self.outputs.append(Send(sender, ControlMessage(recovery_reply=reply)))

    def finish_recovery(self, now: int) -> None:
        """What was recalled is synced first; only then does this machine vote and hold again."""
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
                Event.RECOVERED,
                promised=self.durable.voted_epoch,
                record=replica_set_id(self.durable.replica_set),
            )
