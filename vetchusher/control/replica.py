"""The replicated state machine of one control node: it votes, may hold a copy, and may be the primary.

The roles and the proof of safety are in docs/design/control-state.md. A replica does no I/O: it takes inputs
and the time, and returns outputs. Where the safety of a vote depends on it, a message is sent only after what
it reports is on disk. All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from vetchusher.distribution.stamps import StampTuple
from vetchusher.distribution.wire_pb2 import ControlMessage, ControlState
from vetchusher.events import Event

from .amnesia import AmnesiaRecovery
from .durable_state import DurableState
from .messages import (
    CopyRepaired,
    Input,
    Output,
    Persisted,
    PersistentState,
    Received,
    ReplicaSettings,
    Send,
    ShutDown,
    Submitted,
    Timing,
)
from .roles import RoleTransitions
from .state import initial_replica_set, initial_state, last_evacuation_order, state_stamp, voters
from .voter import Voter

MAX_PEERS = 64  # machines remembered in the peer table

__all__ = ["PersistentState", "Replica", "ReplicaSettings", "Timing"]


class Replica(RoleTransitions):
    """The state machine of one control node: `handle` takes inputs, other public methods query the state."""

    def __init__(
        self,
        settings: ReplicaSettings,
        stored: PersistentState | None,
        rng: random.Random,
        now: int,
        imported_state: PersistentState | None = None,
    ) -> None:
        """Start from the contents of the disk, or as an amnesiac if the disk is unexpectedly empty.

        :param stored: the contents of this machine's disk; None: it is empty or unreadable
        :param imported_state: the state from an import, which carries no votes (see `imported_state.py`)
        """
        timing = settings.timing
        is_first_start = stored is None and settings.first_start and imported_state is None
        contents = stored or PersistentState(
            0, initial_state(), replica_set=initial_replica_set(settings.seeds), has_copy=is_first_start
        )
        if not contents.replica_set.members:  # a disk of the first format, with which all members held copies
            contents = replace(contents, replica_set=initial_replica_set(contents.state.members))
        durable = DurableState(timing, contents, on_disk=stored is not None or not is_first_start)
        recovery = None
        if stored is None and not is_first_start:
            recovery = AmnesiaRecovery(settings, rng, now, imported_state)
        # Safety: the previous process may have granted a lease just before it ended, so this one must not
        # vote yet.
        no_votes_until = now if is_first_start else now + timing.lease_duration_us
        voter = Voter(timing, durable, no_votes_until, now)
        super().__init__(settings, durable, voter, rng, now)
        self.recovery = recovery
        self.last_run_at = now
        if self.recovery:
            self.log_event(Event.RECOVERY_STARTED)

    # -- queries of the process --------------------------------------------------------------------

    def is_leader(self, now: int) -> bool:
        """Return whether this replica is the primary, has committed in its epoch, and has a valid lease.

        Only a leader may answer reads, acknowledge changes and run the singleton roles.
        """
        return self.primary_role is not None and self.primary_role.is_leader(now)

    def is_in_force(self, now: int, published: StampTuple | None = None) -> bool:
        """Return whether a state was the newest committed one within the last `Timing.contact_timeout_us`.

        The evidence is the primary's own lease, or a primary's last report of what is committed.

        :param published: stamp of a committed state; None: the stamp of `committed`
        """
        if self.primary_role is not None:
            return self.primary_role.is_leader(now)
        if self.reported_commit is None:
            return False
        committed_stamp, reported_at = self.reported_commit
        if now >= reported_at + self.timing.contact_timeout_us:
            return False
        return committed_stamp <= (state_stamp(self._committed) if published is None else published)

    def was_paused(self, now: int) -> bool:
        """Return whether input that arrives now may have been queued while this process was paused."""
        return now < self.trusts_messages_from or now >= self.last_run_at + self.timing.pause_threshold_us

    @property
    def committed(self) -> ControlState:
        """The committed state, which may be published to ingresses; its stamp never decreases."""
        return self._committed

    @property
    def copy(self) -> ControlState | None:
        """This machine's copy, committed or not; None if it holds none."""
        return self.durable.state if self.durable.has_copy and not self.is_amnesiac else None

    @property
    def epoch(self) -> int:
        """The epoch of which this machine is primary, otherwise the highest in which it has voted."""
        return self.primary_role.epoch if self.primary_role is not None else self.durable.voted_epoch

    @property
    def primary_ip(self) -> str:
        """Address of the primary; empty: unknown."""
        return self.own_ip if self.primary_role is not None else self.voter.leaseholder

    @property
    def voters(self) -> tuple[str, ...]:
        """Addresses of all voters; during a change of voters both the previous and the new ones."""
        return tuple(sorted(voters(self.durable.replica_set)))

    @property
    def is_voter(self) -> bool:
        """Whether this machine is a voter of the newest replica set that it knows."""
        return self.own_ip in voters(self.durable.replica_set)

    def is_needed(self, now: int) -> bool:
        """Return whether this machine must keep running until another running machine has replaced it.

        It is needed as primary, as holder of a copy, as voter while the voters may change, and for its vote
        while there is no primary. It is not needed if all other running machines are leaving too.
        """
        timing = self.timing
        running = self.peers.contacted_within(now, timing.lease_duration_us + timing.contact_timeout_us)
        if running <= self.peers.leaving:
            return False
        is_primary_running = self.primary_ip in self.peers.contacted_within(now, timing.contact_timeout_us)
        if self.primary_role is not None or not is_primary_running:
            return True
        return self.own_ip in self.durable.replica_set.copies or now < self.reconfiguration_until

    def update_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds with those of changed settings."""
        self.seeds = tuple(seeds)
        if self.recovery is not None:
            self.recovery.seeds = self.seeds

    def last_evacuation_order(self, zone: str) -> int:
        """Return the number of the last evacuation order of a zone in this machine's copy; 0: none."""
        return last_evacuation_order(self.durable.state, zone)

    # -- inputs --------------------------------------------------------------------------------

    def handle(self, now: int, event: Input) -> list[Output]:
        """Process one input and return the messages, disk writes, answers and log events, in order."""
        if now >= self.last_run_at + self.timing.pause_threshold_us:
            self.trusts_messages_from, self.reported_commit = now + self.timing.renewal_interval_us, None
        self.last_run_at = now
        match event:
            case Received():
                self.record_contact(now, event)
                self.dispatch(now, event.sender, event.message)
            case Persisted():
                self.outputs += self.durable.on_persisted(now, event.token, synced=event.synced)
            case Submitted():
                self.on_submitted(now, event)
            case CopyRepaired():
                self.durable.repair_copy(event.state)
            case ShutDown():
                self.begin_shut_down(now)
            case _:
                self.tick(now)
        self.advance(now)
        return self.take_outputs()

    def take_outputs(self) -> list[Output]:
        """Return and clear the outputs; messages get this process's incarnation and whether it is leaving."""
        outputs, self.outputs = self.outputs, []
        for output in outputs:
            if isinstance(output, Send):
                output.message.life, output.message.leaving = self.incarnation, self.shutting_down
        return outputs

    def record_contact(self, now: int, received: Received) -> None:
        """Record the sender of a message in the peer table, and detect whether its process has restarted."""
        peers, sender, message = self.peers, received.sender, received.message
        peers.zones[sender], peers.last_contact_at[sender] = received.zone, now
        if message.leaving:
            peers.leaving.add(sender)
        else:
            peers.leaving.discard(sender)
        if peers.incarnations.get(sender) != message.life:
            peers.incarnations[sender] = message.life
            if self.primary_role is not None:
                self.primary_role.on_peer_restarted(sender)
        if self.recovery is not None:
            self.recovery.on_contact(sender)
        if len(peers.last_contact_at) > MAX_PEERS:
            peers.forget_oldest()

    def dispatch(self, now: int, sender: str, message: ControlMessage) -> None:
        """Pass a message to its handler; a kind that this release does not know is ignored."""
        handler = HANDLERS.get(message.WhichOneof("kind") or "")
        if handler is not None:
            handler(self, now, sender, message)

    def on_recovery_reply(self, sender: str, message: ControlMessage) -> None:
        """Record a reply to this machine's recovery request; after the recovery it is ignored."""
        if self.recovery is not None:
            self.recovery.on_reply(sender, message.recovery_reply)

    def tick(self, now: int) -> None:
        """Run what is due: lease expiry, renewals, election timeouts, recovery and join requests."""
        self.voter.expire_lease(now)
        if self.voter.leaseholder:
            self.unanswered_elections = self.lost_elections = 0
            self.may_yield = True
        primary, candidate = self.primary_role, self.candidate
        if primary is not None:
            self.tick_primary(now)
        elif candidate is not None:
            if candidate.timed_out(now) or candidate.is_lost():
                self.end_candidacy(candidate)
        elif self.recovery is not None:
            self.outputs += self.recovery.tick(now)
        elif not self.is_voter:
            self.request_to_join(now)
        else:
            self.consider_election(now)

    def tick_primary(self, now: int) -> None:
        """Renew the lease if that is due, or step down if the lease is lost."""
        primary = self.primary_role
        assert primary is not None
        primary.progress.expire_learners(now)
        if primary.lease.is_lost(now):
            self.step_down("the lease expired")
        elif primary.lease.is_renewal_due(now):
            self.outputs += primary.renew(now)

    def advance(self, now: int) -> None:
        """Take the steps that the last input has made possible, and write what has changed to the disk."""
        self.finish_recovery(now)
        if self.candidate is not None:
            self.run_election(now, self.candidate)
        if self.primary_role is not None:
            self.act_as_primary(now, self.primary_role)
        self.outputs += self.durable.persist_changes(now)


Handler = Callable[[Replica, int, str, ControlMessage], None]

# Handlers by the field name of the message on the wire. The lambdas look up the method at each call, so that
# a replaced method takes effect.
HANDLERS: dict[str, Handler] = {
    "ask": lambda replica, now, sender, message: replica.on_vote_request(now, sender, message.ask),
    "granted": lambda replica, now, sender, message: replica.on_vote_reply(sender, message.granted),
    "write": lambda replica, now, sender, message: replica.on_write(now, sender, message.write),
    "written": lambda replica, now, sender, message: replica.on_write_reply(now, sender, message.written),
    "renew": lambda replica, now, sender, message: replica.on_lease_renewal(now, sender, message.renew),
    "renewed": lambda replica, now, sender, message: replica.on_renewal_reply(now, sender, message.renewed),
    "recovery_request": lambda replica, now, sender, message: replica.on_recovery_request(
        sender, message.recovery_request
    ),
    "recovery_reply": lambda replica, now, sender, message: replica.on_recovery_reply(sender, message),
    "join": lambda replica, now, sender, message: replica.on_join(now, message.join),
    "release": lambda replica, now, sender, message: replica.on_leadership_transfer(
        now, sender, message.release
    ),
    "drop": lambda replica, now, sender, message: replica.on_drop(sender, message.drop),
}
