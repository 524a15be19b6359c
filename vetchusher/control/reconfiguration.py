"""Who holds copies, and who votes: the record of an epoch, as its primary changes it.

One change at a time.  A record is proposed once every machine that it newly names holds a copy whole; it
stands once a majority of the members, of the old and of the new ones, has it on disk.  Until then a write
needs the copies of both.
"""

from __future__ import annotations

from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import ReplicaSet

from .durable_state import DurableState
from .progress import ProgressTracker
from .state import Point, copies_needed, enough, majority, place


class Reconfiguration:
    """It owns the record that stands (before the first of its epoch: the one that was found), and the one
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
        """Without a record of this epoch nothing may be acknowledged."""
        return self.record.epoch == self.epoch

    @property
    def members(self) -> list[str]:
        return list(self.record.members)

    def electorates(self) -> list[Sequence[str]]:
        """A majority of each is needed for whatever needs one."""
        return [r.members for r in (self.record, self.proposed) if r is not None]

    def everybody(self) -> list[str]:
        """All members but this machine, the coming ones too."""
        return sorted({ip for members in self.electorates() for ip in members} - {self.me})

    def copies(self) -> set[str]:
        """Whose disks a write needs now."""
        standing = self.record.copies if self.standing else ()
        return {*standing, *(self.proposed.copies if self.proposed else ())}

    def newest(self) -> ReplicaSet | None:
        """Of this epoch."""
        return self.proposed or (self.record if self.standing else None)

    def lease_until(self, now: int) -> int:
        """Until when a majority of the members promises no other epoch; this machine is one of them."""
        held = now + self.progress.timing.held_us
        ends = []
        for members in self.electorates():
            leases = [self.progress.member(ip).lease_until if ip != self.me else held for ip in members]
            ends.append(sorted(leases, reverse=True)[majority(len(members)) - 1])
        return min(ends)

    def settle(self, now: int) -> bool:
        """Whether the proposed record has come to stand just now."""
        if self.proposed is None:
            return False
        wanted = place(self.proposed)
        holders = {ip for ip in self.everybody() if self.progress.record(now, ip) >= wanted}
        if self.memory.synced_record >= wanted:
            holders.add(self.me)
        if not all(enough(members, holders) for members in self.electorates()):
            return False
        self.record, self.proposed, self.changed_at = self.proposed, None, now
        return True

    def propose(self, copies: set[str], members: Sequence[str]) -> None:
        number = self.record.number + 1 if self.standing else 1
        self.proposed = ReplicaSet(
            epoch=self.epoch, number=number, primary=self.me, copies=sorted(copies), members=sorted(members)
        )
        self.memory.accept(self.proposed)

    # -- who is to hold copies -----------------------------------------------------------------

    def wanted(self, now: int) -> set[str]:
        """As many as are needed, of those that are well; those that hold copies already first; in two zones
        where any member of another zone is well."""
        members, holding = self.members, self.record.copies
        size = self.size(now)
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

    def size(self, now: int) -> int:
        """Danger: with one member more it may be one copy more, which has to be there first."""
        return copies_needed(len(self.members) + bool(self.ready(now)), self.losses)

    def ready(self, now: int) -> list[str]:
        """Learners that have the record on disk, and may become members."""
        learners = self.progress.learners.items()
        return [
            ip
            for ip, x in learners
            if now < x.lease_until and x.record >= place(self.record) and not x.amnesiac
        ]

    def next_members(self, now: int, began: int) -> list[str] | None:
        """One more, or one less; None: as they are."""
        ready = self.ready(now)
        if ready and len(self.record.copies) >= self.size(now):
            self.progress.members[ready[0]] = self.progress.learners.pop(ready[0])
            return [*self.members, ready[0]]
        return self.without_lost(now, began)

    def without_lost(self, now: int, began: int) -> list[str] | None:
        """Without the member longest lost, if those who are left could not bear one more loss otherwise."""
        members, heard_at = self.members, self.progress.peers.heard_at
        since = {ip: max(began, heard_at.get(ip, 0)) for ip in members if ip != self.me}
        lost = [ip for ip, at_ in since.items() if now >= at_ + self.progress.timing.drop_us]
        if not lost or len(members) <= 3 or len(members) - len(lost) > majority(len(members)):
            return None
        longest = min(lost, key=since.__getitem__)
        if longest in self.record.copies:
            return None
        return [ip for ip in members if ip != longest]

    def whole(self, now: int, ip: str, since: Point) -> bool:
        """Whether that machine's disk has a copy not older than that."""
        if ip == self.me:
            return self.memory.synced_copy and self.memory.synced_stamp >= since
        return self.progress.copy(now, ip) >= since
