"""What a primary knows about the other machines: their leases, replica sets and copies.

Safety: a reply counts for `Timing.answer_valid_us` from the sending of its request, because a copy that was
reported earlier may be on a disk that has been lost since. A machine that lost its disk sends no recovery
requests until such replies have expired (`amnesia.py`). All times are microseconds of this machine's steady
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple, stamp_tuple
from vetchusher.distribution.wire_pb2 import LeaseRenewalReply, WriteReply

from .messages import Timing

MAX_OPEN_ROUNDS = 16  # renewal rounds whose replies are still accepted


@dataclass(slots=True)
class PeerTable:
    """The machines that sent messages: their zones, incarnations, last contact, and whether they are leaving.

    `Replica` limits the size by removing the machine with the oldest contact.

    :param own_ip: address of this machine
    :param zones: by address, as reported with the last message
    :param last_contact_at: by address, the time at which the last message was received
    :param incarnations: by address, the incarnation of the process that sent the last message
    :param leaving: addresses of the machines that reported that they are shutting down
    """

    own_ip: str
    zones: dict[str, str] = field(default_factory=dict)
    last_contact_at: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def contacted_within(self, now: int, period_us: int) -> set[str]:
        """Return the machines from which a message was received in the last `period_us`."""
        return {ip for ip, contact_at in self.last_contact_at.items() if now < contact_at + period_us}

    def forget_oldest(self) -> None:
        """Remove the machine with the oldest contact."""
        oldest = min(self.last_contact_at, key=self.last_contact_at.__getitem__)
        del self.last_contact_at[oldest], self.zones[oldest], self.incarnations[oldest]
        self.leaving.discard(oldest)

    def span_zones(self, ips: set[str]) -> bool:
        """Return whether the machines are in more than one zone; unknown zones count as one."""
        return len({self.zones.get(ip) for ip in ips}) > 1


@dataclass(slots=True)
class ReplicaProgress:
    """The replication progress of one machine, as known to the primary.

    :param copy_stamp: stamp of the copy that the machine reported as synced; valid until `copy_valid_until`
    :param copy_valid_until: end of the validity of `copy_stamp`
    :param has_copy: the machine reported a copy on its disk, whether current or outdated
    :param dropped_stamp: the machine was told to drop copies up to this stamp; they do not count
    :param replica_set_id: epoch and number of the replica set that the machine synced; valid until
        `lease_expires_at`
    :param lease_expires_at: end of the lease that the machine granted, as the primary counts it
    :param last_round: number of the newest renewal round to which the machine replied
    :param is_amnesiac: the machine reported that it has lost its disk and not recovered yet
    :param needs_complete_body: the machine could not apply a delta; it is sent complete bodies until it has
        synced a write
    :param sent_stamp: stamp of the last write sent to the machine
    :param first_sent_at: time at which that write was first sent
    :param last_sent_at: time at which that write was last sent
    :param sent_bytes: bytes of configuration data in that write
    :param resend_delay_us: delay before that write is resent
    :param ejected_until: the machine was late with a write and is not chosen until then or until it syncs one
    :param last_join_at: time of a learner's last request to join
    """

    copy_stamp: StampTuple = ZERO_STAMP
    copy_valid_until: int = 0
    has_copy: bool = False
    dropped_stamp: StampTuple = ZERO_STAMP
    replica_set_id: StampTuple = ZERO_STAMP
    lease_expires_at: int = 0
    last_round: int = 0
    is_amnesiac: bool = False
    needs_complete_body: bool = False
    sent_stamp: StampTuple = ZERO_STAMP
    first_sent_at: int = 0
    last_sent_at: int = 0
    sent_bytes: int = 0
    resend_delay_us: int = 0
    ejected_until: int = 0
    last_join_at: int = 0

    def reset_after_restart(self) -> None:
        """Discard the reports of the machine's earlier process; the new one reports its disk again."""
        self.copy_stamp = self.sent_stamp = self.replica_set_id = ZERO_STAMP
        self.is_amnesiac = False


class ProgressTracker:
    """The progress of all voters and learners, and the times at which renewals were sent."""

    def __init__(self, timing: Timing, peers: PeerTable, first_round: int, began_at: int = 0) -> None:
        """Start to track at the beginning of an epoch, without any reports.

        :param first_round: number from which the renewal rounds count up
        :param began_at: start of the epoch
        """
        self.timing = timing
        self.answers_expected_from = began_at + timing.first_answer_us
        self.peers = peers
        self.round = first_round
        self.round_sent_at: dict[int, int] = {}  # by number of the round
        self.members: dict[str, ReplicaProgress] = {}
        self.learners: dict[str, ReplicaProgress] = {}

    def get_or_track(self, ip: str) -> ReplicaProgress:
        """Return the progress of a voter or learner; an unknown machine is added as a voter."""
        learner = self.learners.get(ip)
        return self.members.setdefault(ip, ReplicaProgress()) if learner is None else learner

    def promote_learner(self, ip: str) -> None:
        """Track a learner as a voter from now on."""
        if ip in self.learners:
            self.members[ip] = self.learners.pop(ip)

    def find(self, ip: str) -> ReplicaProgress | None:
        """Return the progress of a machine, or None if it is not tracked."""
        return self.members.get(ip) or self.learners.get(ip)

    def is_reachable(self, now: int, ip: str) -> bool:
        """Return whether a message was received from a machine within `Timing.contact_timeout_us`."""
        return (
            ip == self.peers.own_ip
            or now
            < self.peers.last_contact_at.get(ip, now - self.timing.contact_timeout_us)
            + self.timing.contact_timeout_us
        )

    def next_round(self, now: int) -> int:
        """Start a renewal round and return its number."""
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - MAX_OPEN_ROUNDS, None)
        return self.round

    def on_renewal_reply(self, sender: str, reply: LeaseRenewalReply) -> None:
        """Record a reply to a renewal; a reply to an older round than the last one is ignored."""
        progress, sent_at = self.find(sender), self.round_sent_at.get(reply.round)
        if progress is None or sent_at is None or reply.round <= progress.last_round:
            return
        progress.last_round = reply.round
        progress.is_amnesiac = reply.amnesiac
        if reply.accepted:
            progress.lease_expires_at = progress.copy_valid_until = sent_at + self.timing.answer_valid_us
        # The newest reply counts, even if it reports an older copy than before or none.
        progress.has_copy = reply.accepted and reply.copy
        reported_stamp = stamp_tuple(reply.stamp)
        progress.copy_stamp = (
            reported_stamp if progress.has_copy and reported_stamp > progress.dropped_stamp else ZERO_STAMP
        )
        progress.replica_set_id = stamp_tuple(reply.record) if reply.accepted else ZERO_STAMP

    def on_write_reply(self, sender: str, reply: WriteReply) -> None:
        """Record an accepted reply to the write that was last sent to the machine."""
        progress = self.find(sender)
        if progress is None or not reply.accepted or progress.sent_stamp <= progress.dropped_stamp:
            return
        if stamp_tuple(reply.stamp) == progress.sent_stamp:
            valid_until = progress.first_sent_at + self.timing.answer_valid_us
            # Safety: the validity may only be extended for the same stamp. A late reply must not inherit the
            # longer validity of a newer report of an older copy.
            progress.copy_valid_until = (
                max(valid_until, progress.copy_valid_until)
                if progress.copy_stamp == progress.sent_stamp
                else valid_until
            )
            progress.copy_stamp, progress.has_copy, progress.ejected_until = progress.sent_stamp, True, 0
            progress.needs_complete_body = False

    def copy_stamp(self, now: int, ip: str) -> StampTuple:
        """Return the stamp of the copy on a machine's disk, or `ZERO_STAMP` if no valid report exists."""
        progress = self.get_or_track(ip)
        return progress.copy_stamp if now < progress.copy_valid_until else ZERO_STAMP

    def replica_set_id(self, now: int, ip: str) -> StampTuple:
        """Return epoch and number of the replica set on a machine's disk.

        `ZERO_STAMP` is returned if no valid report exists.
        """
        progress = self.get_or_track(ip)
        return progress.replica_set_id if now < progress.lease_expires_at else ZERO_STAMP

    def is_ejected(self, now: int, ip: str) -> bool:
        """Return whether a machine is reachable but ejected because it was late with a write."""
        return now < self.get_or_track(ip).ejected_until and self.is_reachable(now, ip)

    def is_eligible(self, now: int, ip: str) -> bool:
        """Return whether a machine may be chosen to hold a copy."""
        if ip == self.peers.own_ip:
            return True
        progress = self.get_or_track(ip)
        is_ready = not progress.is_amnesiac and ip not in self.peers.leaving and self.is_answering(now, ip)
        return is_ready and self.is_reachable(now, ip) and now >= progress.ejected_until

    def is_answering(self, now: int, ip: str) -> bool:
        """Return whether a machine replies to renewals, as far as that is known so early in an epoch.

        A machine whose messages arrive but which receives none would delay each write if it held a copy.
        """
        return now < self.answers_expected_from or now < self.get_or_track(ip).lease_expires_at

    def expire_learners(self, now: int) -> None:
        """Remove the learners that have stopped asking to join."""
        expired = [
            ip
            for ip, learner in self.learners.items()
            if now >= learner.last_join_at + self.timing.learner_timeout_us
        ]
        for ip in expired:
            del self.learners[ip]
