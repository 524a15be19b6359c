"""Replication of a primary's state to the other machines, one write at a time.

A write is sent to every copy that the replica sets name, to machines that are to become copies, and to
ejected copies in another zone. It is resent until the receiver reports its stamp as synced. A configuration
is sent as a delta if the receiver is known or expected to hold the previous one.

All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from vetchusher.distribution.stamps import ZERO_STAMP, stamp_message
from vetchusher.distribution.wire_pb2 import (
    BodyDelta,
    ControlMessage,
    ControlState,
    Drop,
    Stamp,
    Write,
    WriteReply,
)

from .deltas import ConfigurationHistory
from .epoch import EpochContext
from .leader_lease import LeaderLease
from .messages import Output, Send
from .progress import ProgressTracker, ReplicaProgress
from .reconfiguration import Reconfiguration
from .state import state_stamp, without_configuration
from .state_copy import copy_state


class Replicator:
    """Sends the write in flight to the other machines, and keeps the state committed in this epoch."""

    def __init__(
        self,
        context: EpochContext,
        progress: ProgressTracker,
        reconfiguration: Reconfiguration,
        lease: LeaderLease,
    ) -> None:
        """Start an epoch with no write in flight."""
        self.timing = context.timing
        self.durable = context.durable
        self.peers = context.peers
        self.progress = progress
        self.reconfiguration = reconfiguration
        self.lease = lease
        self.epoch = context.epoch
        self.history = ConfigurationHistory()
        self.committed: ControlState | None = None  # None: nothing committed in this epoch yet
        self.write_began_at: int | None = None  # None: no write is in flight
        self.last_write_at = context.began_at

    # -- write in flight -----------------------------------------------------------------------

    def begin_write(self, now: int, state: ControlState) -> None:
        """Store a state on this machine under the epoch's next stamp; `replicate` sends it to the others."""
        previous = self.durable.state
        state = copy_state(state, (self.epoch, state.stamp.seq + 1))
        is_first_write = self.committed is None and self.write_began_at is None
        if is_first_write or state.version != previous.version:
            previous_since = state_stamp(previous) if is_first_write else self.history.current_since
            self.history.advance(
                state_stamp(state), state.configuration, previous.configuration, previous_since
            )
        self.durable.store_copy(state)
        self.write_began_at = self.last_write_at = now

    def is_write_replicated(self, now: int, began_at: int) -> bool:
        """Return whether the write is on the disk of every required copy and can be committed."""
        reconfiguration, newest = self.reconfiguration, state_stamp(self.durable.state)
        if not reconfiguration.is_established:
            return False
        if not all(
            reconfiguration.has_copy_since(now, ip, newest) for ip in reconfiguration.required_copies()
        ):
            return False
        # A copy is being established in another zone. Waiting for it protects the write against the loss of
        # this zone right after the acknowledgement.
        needs_other_zone = self.peers.span_zones(reconfiguration.preferred_copies(now))
        has_other_zone = self.peers.span_zones(set(reconfiguration.current.copies))
        is_other_zone_coming = needs_other_zone and not has_other_zone
        return not is_other_zone_coming or now >= began_at + self.timing.other_zone_timeout_us

    def commit(self) -> ControlState:
        """Mark the write in flight as committed and return its state."""
        self.committed, self.write_began_at = self.durable.state, None
        return self.committed

    def committed_stamp(self, now: int) -> Stamp | None:
        """Return the stamp of the committed state; None if there is none or the lease is not valid."""
        if self.committed is None or not self.lease.is_valid(now):
            return None
        return stamp_message(state_stamp(self.committed))

    # -- sending -------------------------------------------------------------------------------

    def next_members(self, now: int) -> list[str]:
        """Return the target set of voters: the current one before the first commit and during a change."""
        if self.committed is None or self.reconfiguration.is_joint:
            return self.reconfiguration.members
        return self.reconfiguration.next_members(now, self.lease.began_at)

    def targets(self, now: int) -> set[str]:
        """Return the machines that every write is sent to."""
        reconfiguration = self.reconfiguration
        # An ejected copy in another zone is still sent writes: syncing one makes it eligible again.
        late = {
            ip
            for ip in reconfiguration.members
            if self.is_in_other_zone(ip) and self.progress.is_ejected(now, ip)
        }
        next_members = self.next_members(now)
        newcomers = set(next_members) - set(reconfiguration.members)
        chosen = reconfiguration.preferred_copies(now) | reconfiguration.preferred_copies(now, next_members)
        return (reconfiguration.required_copies() | chosen | newcomers | late) - {self.peers.own_ip}

    def is_in_other_zone(self, ip: str) -> bool:
        """Return whether a machine is in another zone than this machine."""
        return self.peers.span_zones({ip, self.peers.own_ip})

    def replicate(self, now: int) -> list[Output]:
        """Return a write of the newest state for each target that has not synced it and is due a sending."""
        outputs: list[Output] = []
        newest = state_stamp(self.durable.state)
        for ip in sorted(self.targets(now)):
            progress = self.progress.get_or_track(ip)
            if progress.copy_stamp >= newest or progress.is_amnesiac:
                continue
            if progress.sent_stamp != newest or self.is_resend_due(now, ip, progress):
                outputs += self.send_write(now, ip, progress)
        return outputs

    def is_resend_due(self, now: int, ip: str, progress: ReplicaProgress) -> bool:
        """Return whether a write already sent to a machine has to be resent."""
        is_delay_over = now >= progress.last_sent_at + progress.resend_delay_us
        return is_delay_over and self.progress.is_reachable(now, ip)

    def send_write(self, now: int, ip: str, progress: ReplicaProgress) -> list[Output]:
        """Return a write of the newest state for one machine, without configuration data that it holds."""
        state = self.durable.state
        self.record_sending(now, progress)
        delta = self.delta_for(progress)
        has_configuration = progress.copy_stamp >= self.history.current_since and state.version
        if delta is not None or has_configuration:
            state = without_configuration(state)
        progress.sent_bytes = delta.ByteSize() if delta is not None else len(state.configuration)
        write = Write(
            epoch=self.epoch,
            state=state,
            committed=self.committed_stamp(now),
            life=self.peers.incarnations.get(ip, 0),
            delta=delta,
        )
        return [Send(ip, ControlMessage(write=write))]

    def record_sending(self, now: int, progress: ReplicaProgress) -> None:
        """Record that the newest state is sent; each resending doubles the delay before the next one."""
        stamp = state_stamp(self.durable.state)
        if progress.sent_stamp == stamp:
            progress.resend_delay_us = min(2 * progress.resend_delay_us, self.timing.max_resend_delay_us)
        else:
            progress.sent_stamp, progress.first_sent_at = stamp, now
            progress.resend_delay_us = self.timing.resend_delay_us
        progress.last_sent_at = now

    def delta_for(self, progress: ReplicaProgress) -> BodyDelta | None:
        """Return the delta for a machine that holds the previous configuration, or None if it needs none.

        None is also returned if the machine needs the complete configuration. The receiver of the first
        write of an epoch is expected to hold the configuration that this machine held. A receiver that lacks
        a chunk reports that and is sent the complete body, so a wrong guess costs one round trip.
        """
        if progress.needs_complete_body or progress.copy_stamp >= self.history.current_since:
            return None
        is_guess = self.committed is None and progress.copy_stamp == ZERO_STAMP and not progress.is_amnesiac
        if is_guess or progress.copy_stamp >= self.history.previous_since > ZERO_STAMP:
            return self.history.delta()
        return None

    def on_write_reply(self, now: int, sender: str, reply: WriteReply) -> list[Output]:
        """Record a reply of this epoch; a machine that could not apply a delta is sent the complete body."""
        progress = self.progress.find(sender)
        if progress is None or reply.epoch != self.epoch:
            return []
        if reply.need_whole:
            progress.copy_stamp, progress.needs_complete_body = ZERO_STAMP, True
            return self.send_write(now, sender, progress)
        self.progress.on_write_reply(sender, reply)
        return []

    # -- late copies ---------------------------------------------------------------------------

    def eject_late_copies(self, now: int) -> None:
        """Eject copies that are late with the write, so that they are not chosen for `Timing.ejection_us`.

        Otherwise a disk that stalls repeatedly would delay a write each time.
        """
        newest = state_stamp(self.durable.state)
        copies = self.reconfiguration.required_copies()
        for ip in self.targets(now):
            progress = self.progress.get_or_track(ip)
            if progress.sent_stamp != newest or progress.copy_stamp >= newest:
                continue
            if now >= progress.first_sent_at + self.write_timeout_us(ip, progress):
                progress.ejected_until = now + self.timing.ejection_us
                if ip not in copies:
                    progress.sent_stamp = ZERO_STAMP  # its timeout restarts when it is chosen again

    def write_timeout_us(self, ip: str, progress: ReplicaProgress) -> int:
        """Return the time (us) that a copy has to sync the write: a base by zone, plus 1 us per byte sent.

        Safety: a copy in another zone gets more time: without such a copy, losing this zone would be more
        than the tolerated loss.
        """
        timing = self.timing
        base_us = timing.other_zone_timeout_us if self.is_in_other_zone(ip) else timing.write_timeout_us
        return base_us + progress.sent_bytes

    def successor_for_late_disk(self, now: int) -> str:
        """Return the machine to hand leadership to if the disk of this one is late; empty: none."""
        # The disk may have to write the complete configuration, for which it gets 1 us per byte.
        timeout_us = self.timing.own_disk_timeout_us + len(self.durable.state.configuration)
        is_late = now >= self.last_write_at + timeout_us
        if self.durable.synced_stamp >= state_stamp(self.durable.state) or not is_late:
            return ""
        return self.successor(now)

    def successor(self, now: int) -> str:
        """Return the eligible machine with the newest copy; empty: there is none."""
        others = [ip for ip in self.reconfiguration.current.copies if ip != self.peers.own_ip]
        eligible = [ip for ip in others if self.progress.is_eligible(now, ip)]
        candidates = [(self.progress.copy_stamp(now, ip), ip) for ip in eligible]
        newest, ip = max(candidates, default=(ZERO_STAMP, ""))
        return ip if newest > ZERO_STAMP else ""

    # -- copies that are no longer needed ------------------------------------------------------

    def drop_unneeded_copies(self, now: int) -> list[Output]:
        """Return requests to drop the copies that the established replica set does not name."""
        reconfiguration = self.reconfiguration
        is_stable = reconfiguration.is_established and reconfiguration.proposed is None
        if not is_stable or self.committed is None:
            return []
        if now < reconfiguration.established_at + self.timing.copy_retention_us:
            return []
        # Safety: targets of the current write are spared, because the write may need their copies.
        targets, dropped_stamp = self.targets(now), state_stamp(self.committed)
        outputs: list[Output] = []
        for ip in [*reconfiguration.other_voters(), *self.progress.learners]:
            progress = self.progress.get_or_track(ip)
            if ip not in targets and progress.has_copy:
                progress.dropped_stamp, progress.has_copy = dropped_stamp, False
                progress.copy_stamp = ZERO_STAMP
                drop = Drop(epoch=self.epoch, stamp=stamp_message(dropped_stamp))
                outputs.append(Send(ip, ControlMessage(drop=drop)))
        return outputs

    def must_rewrite_dropped_copy(self, now: int) -> bool:
        """Return whether a target was told to drop the newest state, which must then get a later stamp.

        The drop message may still be on its way, so a copy with a stamp that it covers does not count.
        """
        newest = state_stamp(self.durable.state)
        return any(self.progress.get_or_track(ip).dropped_stamp >= newest for ip in self.targets(now))
