"""Changes of the replica set in an epoch, one at a time: which machines hold copies, and which vote.

A replica set is proposed once every machine that it adds has synced the complete state. It is established
once a majority of each electorate, both of the current set and of the proposed one, has it on disk. Until
then a write needs the copies of both sets.

Voters are changed by joint consensus (Ongaro and Ousterhout 2014, section 6). The first set names the new
voters and the previous ones; while it is in use, every decision needs a majority of both. Once it is
established, the same set without the previous voters follows. Thus a learner replaces a leaving or lost voter
in one step, and any two electorates that could decide at the same time have a voter in common.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from vetchusher.distribution.stamps import StampTuple
from vetchusher.distribution.wire_pb2 import ReplicaSet

from .epoch import EpochContext
from .progress import ProgressTracker
from .state import copies_needed, electorates, has_quorum, majority, replica_set_id, voters
from .target_members import MembershipView, next_members, voters_for


class Reconfiguration:
    """The current and the proposed replica set of an epoch.

    Until the first set of the epoch is established, the current set is the one that the election found.
    """

    def __init__(
        self,
        context: EpochContext,
        progress: ProgressTracker,
        found: ReplicaSet,
    ) -> None:
        """Start an epoch with the set that the election found.

        :param found: the newest replica set that the votes reported
        """
        self.durable = context.durable
        self.progress = progress
        self.own_ip = progress.peers.own_ip
        self.epoch = context.epoch
        self.losses = context.losses
        self.current = found
        self.proposed: ReplicaSet | None = None
        self.established_at = context.began_at

    @property
    def is_established(self) -> bool:
        """Whether the current set is of this epoch; until then no order may be acknowledged."""
        return self.current.epoch == self.epoch

    @property
    def is_joint(self) -> bool:
        """Whether the current set still names the previous voters, so that a change is not complete."""
        return bool(self.current.previous_members)

    @property
    def members(self) -> list[str]:
        """The voters of the current set."""
        return list(self.current.members)

    def replica_sets(self) -> list[ReplicaSet]:
        """Return the current set and, if there is one, the proposed set."""
        return [one for one in (self.current, self.proposed) if one is not None]

    def electorates(self) -> list[Sequence[str]]:
        """Return the electorates of both sets; every decision needs a majority of each."""
        return [electorate for one in self.replica_sets() for electorate in electorates(one)]

    def other_voters(self) -> list[str]:
        """Return all voters of the current and the proposed set except this machine."""
        return sorted({ip for one in self.replica_sets() for ip in voters(one)} - {self.own_ip})

    def required_copies(self) -> set[str]:
        """Return the machines that must sync a write before it is committed."""
        established = self.current.copies if self.is_established else ()
        return {*established, *(self.proposed.copies if self.proposed else ())}

    def newest_of_epoch(self) -> ReplicaSet | None:
        """Return the newest set of this epoch, or None if there is none yet."""
        return self.proposed or (self.current if self.is_established else None)

    def lease_expires_at(self, now: int) -> int:
        """Return the time until which a majority of each electorate grants the lease.

        This machine counts as one that grants it from now on.
        """
        own_expiry = now + self.progress.timing.answer_valid_us
        expiries = []
        for members in self.electorates():
            leases = [
                self.progress.get_or_track(ip).lease_expires_at if ip != self.own_ip else own_expiry
                for ip in members
            ]
            expiries.append(sorted(leases, reverse=True)[majority(len(members)) - 1])
        return min(expiries)

    def commit_proposal(self, now: int) -> bool:
        """Establish the proposed set if enough machines have it on disk; return whether that was done."""
        if self.proposed is None:
            return False
        proposed_id = replica_set_id(self.proposed)
        holders = {ip for ip in self.other_voters() if self.progress.replica_set_id(now, ip) >= proposed_id}
        if self.durable.synced_replica_set >= proposed_id:
            holders.add(self.own_ip)
        if not all(has_quorum(one, holders) for one in self.replica_sets()):
            return False
        self.current, self.proposed, self.established_at = self.proposed, None, now
        return True

    def propose(self, copies: Iterable[str], members: Sequence[str], previous: Sequence[str] = ()) -> None:
        """Propose a replica set; learners that it names as members become voters.

        :param previous: the previous voters if `members` changes them, otherwise empty
        """
        for ip in members:
            self.progress.promote_learner(ip)
        number = self.current.number + 1 if self.is_established else 1
        self.proposed = ReplicaSet(
            epoch=self.epoch,
            number=number,
            primary=self.own_ip,
            copies=sorted(copies),
            members=sorted(members),
            previous_members=sorted(previous),
        )
        self.durable.accept_replica_set(self.proposed)

    # -- voters --------------------------------------------------------------------------------

    def ready_learners(self, now: int) -> list[str]:
        """Return the learners that have the current set on disk and may become voters."""
        peers = self.progress.peers
        return [
            ip
            for ip, learner in sorted(self.progress.learners.items())
            if now < learner.lease_expires_at
            and learner.replica_set_id >= replica_set_id(self.current)
            and not learner.is_amnesiac
            and ip not in peers.leaving
        ]

    def next_members(self, now: int, epoch_began_at: int) -> list[str]:
        """Return the target set of voters according to the contacts and learners known now.

        :param epoch_began_at: start of the epoch, before which missing contact does not count
        """
        peers, timing = self.progress.peers, self.progress.timing
        contact_at = {
            ip: max(epoch_began_at, peers.last_contact_at.get(ip, 0))
            for ip in self.members
            if ip != self.own_ip
        }
        by_last_contact = sorted(contact_at, key=contact_at.__getitem__)
        leaving = [ip for ip in by_last_contact if ip in peers.leaving]
        unreachable = [
            ip
            for ip in by_last_contact
            if now >= contact_at[ip] + timing.replacement_timeout_us and ip not in leaving
        ]
        snapshot = MembershipView(
            members=self.members,
            unavailable=[*leaving, *unreachable],
            long_unavailable=[
                ip for ip in by_last_contact if now >= contact_at[ip] + timing.removal_timeout_us
            ],
            ready_learners=self.ready_learners(now),
            primary=self.own_ip,
            protected=frozenset({self.own_ip, *self.current.copies}),
            zones=peers.zones,
        )
        return next_members(snapshot, voters_for(self.losses))

    # -- holders of copies ---------------------------------------------------------------------

    def preferred_copies(self, now: int, members: Sequence[str] | None = None) -> set[str]:
        """Return the machines that should hold copies.

        There are as many as a write needs. This machine and current holders are preferred among the eligible
        machines, and another zone is included if any machine in one is eligible. If too few machines are
        eligible, others fill the set.

        :param members: the target set of voters; None: the voters of the current set
        """
        members, current_copies = self.members if members is None else members, self.current.copies
        size = copies_needed(len(members), self.losses)
        eligible = sorted(
            (ip for ip in members if self.progress.is_eligible(now, ip)),
            key=lambda ip: (ip != self.own_ip, ip not in current_copies, ip),
        )
        chosen = eligible[:size]
        zones = self.progress.peers.zones
        elsewhere = [ip for ip in eligible if zones.get(ip) != zones.get(self.own_ip)]
        if elsewhere and len(chosen) > 1 and not set(chosen) & set(elsewhere):
            chosen[-1] = elsewhere[0]
        # With too few eligible machines, writes have to wait until machines chosen here become available.
        fallback = sorted(set(members) - set(chosen), key=lambda ip: (ip not in current_copies, ip))
        return {*chosen, *fallback[: size - len(chosen)]}

    def has_copy_since(self, now: int, ip: str, since: StampTuple) -> bool:
        """Return whether a machine has synced a copy that is at least as new as a stamp."""
        if ip == self.own_ip:
            return self.durable.synced_has_copy and self.durable.synced_stamp >= since
        return self.progress.copy_stamp(now, ip) >= since
