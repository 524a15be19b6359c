"""The other machines as a primary knows them: their leases, their records, their copies.

Every word of another machine counts for `held_us` from the sending of what it answers.  Danger: a copy that
was told long ago may be on a disk that is gone since; a machine that came back empty asks nobody before
such words have run out (`recall`).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from vetchusher.distribution.wire_pb2 import LeaseRenewalReply, WriteReply

from .messages import Timing
from .state import START, Point, point

ROUNDS = 16  # renewals whose answers can still count


@dataclass(slots=True)
class Peers:
    """Who was heard when, from which zone, the life of its process, and who is about to end.  Bounded:
    `Replica` forgets the one longest unheard."""

    me: str
    zones: dict[str, str] = field(default_factory=dict)
    heard_at: dict[str, int] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def heard_within(self, now: int, period_us: int) -> set[str]:
        """Who was heard in that time until now."""
        return {ip for ip, heard in self.heard_at.items() if now < heard + period_us}

    def apart(self, ips: set[str]) -> bool:
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
    :param rested_until: it was late with a write: until then, or until it syncs one, it is not chosen
    """

    copy: Point = START
    copy_until: int = 0
    holds: bool = False
    dropped: Point = START
    record: Point = START
    lease_until: int = 0
    round: int = 0
    amnesiac: bool = False
    needs_whole: bool = False
    wrote: Point = START
    first_at: int = 0
    last_at: int = 0
    pause: int = 0
    rested_until: int = 0
    joined_at: int = 0  # of a learner: when it asked last

    def reborn(self) -> None:
        """Another process speaks: what it has on its disk it is to say anew."""
        self.copy = self.wrote = self.record = START
        self.amnesiac = False


class ProgressTracker:
    """It owns the members' and the learners' words (learners that stop asking are dropped), and when each
    renewal was sent."""

    def __init__(self, timing: Timing, peers: Peers, first_round: int, began: int = 0) -> None:
        """:param began: when the epoch did"""
        self.timing = timing
        self.answers_from = began + timing.answer_us
        self.peers = peers
        self.round = first_round
        self.rounds: dict[int, int] = {}  # sent when
        self.members: dict[str, ReplicaProgress] = {}
        self.learners: dict[str, ReplicaProgress] = {}

    def member(self, ip: str) -> ReplicaProgress:
        learner = self.learners.get(ip)
        return self.members.setdefault(ip, ReplicaProgress()) if learner is None else learner

    def seat(self, ip: str) -> None:
        """A learner is a voter from now on."""
        if ip in self.learners:
            self.members[ip] = self.learners.pop(ip)

    def known(self, ip: str) -> ReplicaProgress | None:
        return self.members.get(ip) or self.learners.get(ip)

    def heard(self, now: int, ip: str) -> bool:
        return (
            ip == self.peers.me
            or now < self.peers.heard_at.get(ip, now - self.timing.heard_us) + self.timing.heard_us
        )

    def next_round(self, now: int) -> int:
        self.round += 1
        self.rounds[self.round] = now
        self.rounds.pop(self.round - ROUNDS, None)
        return self.round

    def renewed(self, sender: str, answer: LeaseRenewalReply) -> None:
        backup, sent = self.known(sender), self.rounds.get(answer.round)
        if backup is None or sent is None or answer.round <= backup.round:
            return
        backup.round = answer.round
        backup.amnesiac = answer.amnesiac
        if answer.accepted:
            backup.lease_until = backup.copy_until = sent + self.timing.held_us
        # It may be less than it was: the newest word counts.
        backup.holds = answer.accepted and answer.copy
        told = point(answer.stamp)
        backup.copy = told if backup.holds and told > backup.dropped else START
        backup.record = point(answer.record) if answer.accepted else START

    def written(self, sender: str, answer: WriteReply) -> None:
        backup = self.known(sender)
        if backup is None or not answer.accepted or backup.wrote <= backup.dropped:
            return
        if point(answer.stamp) == backup.wrote:
            until = backup.first_at + self.timing.held_us
            # Danger: a late word must not borrow the time of a newer one that told less.
            backup.copy_until = max(until, backup.copy_until) if backup.copy == backup.wrote else until
            backup.copy, backup.holds, backup.rested_until = backup.wrote, True, 0
            backup.needs_whole = False

    def copy(self, now: int, ip: str) -> Point:
        """Stamp of the copy on that member's disk, as far as its word still counts."""
        backup = self.member(ip)
        return backup.copy if now < backup.copy_until else START

    def record(self, now: int, ip: str) -> Point:
        backup = self.member(ip)
        return backup.record if now < backup.lease_until else START

    def rests(self, now: int, ip: str) -> bool:
        """It was late a moment ago, and is up."""
        return now < self.member(ip).rested_until and self.heard(now, ip)

    def well(self, now: int, ip: str) -> bool:
        """Whether it may be chosen to hold a copy."""
        if ip == self.peers.me:
            return True
        backup = self.member(ip)
        ready = not backup.amnesiac and ip not in self.peers.leaving and self.answers(now, ip)
        return ready and self.heard(now, ip) and now >= backup.rested_until

    def answers(self, now: int, ip: str) -> bool:
        """Danger: one that is heard and hears nothing would be waited for with each write."""
        return now < self.answers_from or now < self.member(ip).lease_until

    def forget_learners(self, now: int) -> None:
        old = [ip for ip, x in self.learners.items() if now >= x.joined_at + self.timing.learner_us]
        for ip in old:
            del self.learners[ip]
