"""The other machines as a primary knows them: their leases, their records, their copies.

Every word of another machine counts for `held_us` from the sending of what it answers.  Danger: a copy that
was told long ago may be on a disk that is gone since; a machine that came back empty asks nobody before
such words have run out (`recall`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from vetchusher.distribution.wire_pb2 import LeaseRenewalReply, WriteReply

from .messages import Timing
from .state import ZERO_STAMP, StampTuple, stamp_tuple

MAX_OPEN_ROUNDS = 16  # renewals whose answers can still count


@dataclass(slots=True)
class PeerTable:
    """Who was heard when, from which zone, the life of its process, and who is about to end.  Bounded:
    `Replica` forgets the one longest unheard."""

    own_ip: str
    zones: dict[str, str] = field(default_factory=dict)
    last_contact_at: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def contacted_within(self, now: int, period_us: int) -> set[str]:
        """Who was heard in that time until now."""
        return {ip for ip, heard in self.last_contact_at.items() if now < heard + period_us}

    def span_zones(self, ips: set[str]) -> bool:
        """Whether they lie in more than one zone."""
        return len({self.zones.get(ip) for ip in ips}) > 1


@dataclass(slots=True)
class ReplicaProgress:
    """:param copy: stamp of the copy that it has synced, as last told; it counts until `copy_until`
    :param holds: it said that it has a copy on its disk, new or old
    :param dropped: stamp up to which it was told to drop its copy; none such counts
    :param record: epoch and number of the record that it has synced; it counts until `lease_until`
    :param needs_whole: it lacked what a delta built on: until it has synced a write it gets all of it
    :param wrote: stamp of the last write sent to it, first at `first_at`, last at `last_at`
    :param sent_bytes: of the configuration, in that write
    :param rested_until: it was late with a write: until then, or until it syncs one, it is not chosen
    """

    copy_stamp: StampTuple = ZERO_STAMP
    copy_valid_until: int = 0
    has_copy: bool = False
    dropped_stamp: StampTuple = ZERO_STAMP
    replica_set_id: StampTuple = ZERO_STAMP
    lease_expires_at: int = 0
    last_round: int = 0
    amnesiac: bool = False
    needs_full_body: bool = False
    sent_stamp: StampTuple = ZERO_STAMP
    first_sent_at: int = 0
    last_sent_at: int = 0
    sent_bytes: int = 0
    resend_delay_us: int = 0
    ejected_until: int = 0
    last_join_at: int = 0  # of a learner: when it asked last

    def reset_after_restart(self) -> None:
        """Another process speaks: what it has on its disk it is to say anew."""
        self.copy_stamp = self.sent_stamp = self.replica_set_id = ZERO_STAMP
        self.amnesiac = False


class ProgressTracker:
    """It owns the members' and the learners' words (learners that stop asking are dropped), and when each
    renewal was sent."""

    def __init__(self, timing: Timing, peers: PeerTable, first_round: int, began_at: int = 0) -> None:
        """:param began: when the epoch did"""
        self.timing = timing
        self.answers_expected_from = began_at + timing.first_answer_us
        self.peers = peers
        self.round = first_round
        self.round_sent_at: dict[int, int] = {}  # sent when
        self.members: dict[str, ReplicaProgress] = {}
        self.learners: dict[str, ReplicaProgress] = {}

    def of(self, ip: str) -> ReplicaProgress:
        learner = self.learners.get(ip)
        return self.members.setdefault(ip, ReplicaProgress()) if learner is None else learner

    def promote_learner(self, ip: str) -> None:
        """A learner is a voter from now on."""
        if ip in self.learners:
            self.members[ip] = self.learners.pop(ip)

    def find(self, ip: str) -> ReplicaProgress | None:
        return self.members.get(ip) or self.learners.get(ip)

    def is_reachable(self, now: int, ip: str) -> bool:
        return (
            ip == self.peers.own_ip
            or now
            < self.peers.last_contact_at.get(ip, now - self.timing.contact_timeout_us)
            + self.timing.contact_timeout_us
        )

    def next_round(self, now: int) -> int:
        self.round += 1
        self.round_sent_at[self.round] = now
        self.round_sent_at.pop(self.round - MAX_OPEN_ROUNDS, None)
        return self.round

    def on_renewal_reply(self, sender: str, reply: LeaseRenewalReply) -> None:
        progress, sent_at = self.find(sender), self.round_sent_at.get(reply.round)
        if progress is None or sent_at is None or reply.round <= progress.last_round:
            return
        progress.last_round = reply.round
        progress.amnesiac = reply.amnesiac
        if reply.accepted:
            progress.lease_expires_at = progress.copy_valid_until = sent_at + self.timing.answer_valid_us
        # It may be less than it was: the newest word counts.
        progress.has_copy = reply.accepted and reply.copy
        reported_stamp = stamp_tuple(reply.stamp)
        progress.copy_stamp = (
            reported_stamp if progress.has_copy and reported_stamp > progress.dropped_stamp else ZERO_STAMP
        )
        progress.replica_set_id = stamp_tuple(reply.record) if reply.accepted else ZERO_STAMP

    def on_write_reply(self, sender: str, reply: WriteReply) -> None:
        progress = self.find(sender)
        if progress is None or not reply.accepted or progress.sent_stamp <= progress.dropped_stamp:
            return
        if stamp_tuple(reply.stamp) == progress.sent_stamp:
            valid_until = progress.first_sent_at + self.timing.answer_valid_us
            # Danger: a late word must not borrow the time of a newer one that told less.
            progress.copy_valid_until = (
                max(valid_until, progress.copy_valid_until)
                if progress.copy_stamp == progress.sent_stamp
                else valid_until
            )
            progress.copy_stamp, progress.has_copy, progress.ejected_until = progress.sent_stamp, True, 0
            progress.needs_full_body = False

    def copy_stamp(self, now: int, ip: str) -> StampTuple:
        """Stamp of the copy on that member's disk, as far as its word still counts."""
        progress = self.of(ip)
        return progress.copy_stamp if now < progress.copy_valid_until else ZERO_STAMP

    def replica_set_id(self, now: int, ip: str) -> StampTuple:
        progress = self.of(ip)
        return progress.replica_set_id if now < progress.lease_expires_at else ZERO_STAMP

    def is_ejected(self, now: int, ip: str) -> bool:
        """It was late a moment ago, and is up."""
        return now < self.of(ip).ejected_until and self.is_reachable(now, ip)

    def is_eligible(self, now: int, ip: str) -> bool:
        """Whether it may be chosen to hold a copy."""
        if ip == self.peers.own_ip:
            return True
        progress = self.of(ip)
        may_hold_copy = not progress.amnesiac and ip not in self.peers.leaving and self.is_answering(now, ip)
        return may_hold_copy and self.is_reachable(now, ip) and now >= progress.ejected_until

    def is_answering(self, now: int, ip: str) -> bool:
        """Danger: one that is heard and hears nothing would be waited for with each write."""
        return now < self.answers_expected_from or now < self.of(ip).lease_expires_at

    def expire_learners(self, now: int) -> None:
        old = [
            ip for ip, x in self.learners.items() if now >= x.last_join_at + self.timing.learner_timeout_us
        ]
        for ip in old:
            del self.learners[ip]
