"""Who holds copies, and who votes: the replica set of an epoch, as its primary changes it.

One change at a time.  A set is proposed once every machine that it newly names has synced the whole state; it
stands once a majority of each electorate, of the set before and of the new one, has it on disk.  Until then a
write needs the copies of both.

Voters are changed by joint consensus (Ongaro and Ousterhout 2014, section 6): first a set that names the new
voters and the previous ones, of which both need a majority for whatever needs one; once it stands, the same
set without the previous ones.  So a successor takes the seat of the one that is leaving or lost in one step,
and no two electorates that could decide at the same time are without a common voter.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from vetchusher.distribution.wire_pb2 import ReplicaSet

from .durable_state import DurableState
from .progress import ProgressTracker
from .seats import Roster, next_members, size_for
from .state import Point, copies_needed, electorates, has_quorum, majority, place, voters


class Reconfiguration:
    """It owns the set that stands (before the first of its epoch: the one that was found), and the one
    proposed."""

    def __init__(
        self,
        memory: DurableState,
        progress: ProgressTracker,
        epoch: int,
        found: ReplicaSet,
        losses: int,
        now: int,
    ) -> None:
        """:param losses: how many machines may be lost at a time"""
        self.memory = memory
        self.progress = progress
        self.me = progress.peers.me
        self.epoch = epoch
        self.losses = losses
        self.record = found
        self.proposed: ReplicaSet | None = None
        self.changed_at = now

    @property
    def standing(self) -> bool:
        """Without a set of this epoch nothing may be acknowledged."""
        return self.record.epoch == self.epoch

    @property
    def joint(self) -> bool:
        """A change of voters has come to stand, and is to be ended."""
        return bool(self.record.previous_members)

    @property
    def members(self) -> list[str]:
        return list(self.record.members)

    def sets(self) -> list[ReplicaSet]:
        return [one for one in (self.record, self.proposed) if one is not None]

    def electorates(self) -> list[Sequence[str]]:
        """A majority of each is needed for whatever needs one."""
        return [electorate for one in self.sets() for electorate in electorates(one)]

    def everybody(self) -> list[str]:
        """All voters but this machine, the coming ones too."""
        return sorted({ip for one in self.sets() for ip in voters(one)} - {self.me})

    def copies(self) -> set[str]:
        """Whose disks a write needs now."""
        standing = self.record.copies if self.standing else ()
        return {*standing, *(self.proposed.copies if self.proposed else ())}

    def newest(self) -> ReplicaSet | None:
        """Of this epoch."""
        return self.proposed or (self.record if self.standing else None)

    def lease_until(self, now: int) -> int:
        """Until when a majority of each electorate promises no other epoch; this machine is one of them."""
        held = now + self.progress.timing.held_us
        ends = []
        for members in self.electorates():
            leases = [self.progress.member(ip).lease_until if ip != self.me else held for ip in members]
            ends.append(sorted(leases, reverse=True)[majority(len(members)) - 1])
        return min(ends)

    def settle(self, now: int) -> bool:
        """Whether the proposed set has come to stand just now."""
        if self.proposed is None:
            return False
        wanted = place(self.proposed)
        holders = {ip for ip in self.everybody() if self.progress.record(now, ip) >= wanted}
        if self.memory.synced_record >= wanted:
            holders.add(self.me)
        if not all(has_quorum(one, holders) for one in self.sets()):
            return False
        self.record, self.proposed, self.changed_at = self.proposed, None, now
        return True

    def propose(self, copies: Iterable[str], members: Sequence[str], previous: Sequence[str] = ()) -> None:
        """:param previous: the voters before, while these are being changed"""
        for ip in members:
            self.progress.seat(ip)
        number = self.record.number + 1 if self.standing else 1
        self.proposed = ReplicaSet(
            epoch=self.epoch,
            number=number,
            primary=self.me,
            copies=sorted(copies),
            members=sorted(members),
            previous_members=sorted(previous),
        )
        self.memory.accept(self.proposed)

    # -- who is to vote ------------------------------------------------------------------------

    def ready(self, now: int) -> list[str]:
        """Learners that have the standing set on disk, and may become members."""
        peers = self.progress.peers
        return [
            ip
            for ip, x in sorted(self.progress.learners.items())
            if now < x.lease_until
            and x.record >= place(self.record)
            and not x.amnesiac
            and ip not in peers.leaving
        ]

    def next_members(self, now: int, began: int) -> list[str]:
        """The voters that there should be, as far as is known now."""
        peers, timing = self.progress.peers, self.progress.timing
        since = {ip: max(began, peers.heard_at.get(ip, 0)) for ip in self.members if ip != self.me}
        silent = sorted(since, key=since.__getitem__)
        leaving = [ip for ip in silent if ip in peers.leaving]
        unheard = [ip for ip in silent if now >= since[ip] + timing.replace_us and ip not in leaving]
        roster = Roster(
            members=self.members,
            gone=[*leaving, *unheard],
            gone_for_long=[ip for ip in silent if now >= since[ip] + timing.drop_us],
            spares=self.ready(now),
            primary=self.me,
            keep=frozenset({self.me, *self.record.copies}),
            zones=peers.zones,
        )
        return next_members(roster, size_for(self.losses))

    # -- who is to hold copies -----------------------------------------------------------------

    def wanted(self, now: int, members: Sequence[str] | None = None) -> set[str]:
        """As many as are needed, of those that are well; those that hold copies already first; in two zones
        where any member of another zone is well.

        :param members: the voters that there should be; None: those of today
        """
        members, holding = self.members if members is None else members, self.record.copies
        size = copies_needed(len(members), self.losses)
        well = sorted(
            (ip for ip in members if self.progress.well(now, ip)),
            key=lambda ip: (ip != self.me, ip not in holding, ip),
        )
        chosen = well[:size]
        zones = self.progress.peers.zones
        elsewhere = [ip for ip in well if zones.get(ip) != zones.get(self.me)]
        if elsewhere and len(chosen) > 1 and not set(chosen) & set(elsewhere):
            chosen[-1] = elsewhere[0]
        # Too few are well: the others have to come back.
        left = sorted(set(members) - set(chosen), key=lambda ip: (ip not in holding, ip))
        return {*chosen, *left[: size - len(chosen)]}

    def whole(self, now: int, ip: str, since: Point) -> bool:
        """Whether that machine's disk has a copy not older than that."""
        if ip == self.me:
            return self.memory.synced_copy and self.memory.synced_stamp >= since
        return self.progress.copy(now, ip) >= since
