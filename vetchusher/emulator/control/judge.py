"""What may never be seen of the control state, whatever was lost: a judge that hears all and trusts
nobody."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from returns.result import Failure, Result

from vetchusher.control import PersistentState, Replica
from vetchusher.control.state import has_quorum, majority, replica_set_id, state_stamp, voters
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import ControlState, ReplicaSet
from vetchusher.emulator.fleet_world import SECOND
from vetchusher.errors import Error, ErrorCode

# How old what is said to be in force may be: heard within a second, from a primary whose lease had not run
# out, in a message that was late.
STALE = 4 * SECOND


def committed_version(member: Replica) -> int | None:
    """What it has committed as the primary of this epoch; None: nothing, or it leads none."""
    work = member.primary_role
    return work.committed.version if work is not None and work.committed is not None else None


def in_conflict(outcome: Result[bytes, Error]) -> bool:
    return isinstance(outcome, Failure) and outcome.failure().code is ErrorCode.VERSION_CONFLICT


@dataclass(slots=True)
class Judge:
    """It owns what was acknowledged, read and committed in one run.

    :param wrong: what was seen and may not be
    :param sent: bodies that were ever sent under each version
    :param acknowledged: highest version acknowledged
    :param taken: body of each version that was committed
    :param confirmed: body of each version that was acknowledged while no higher one was committed
    :param answered: versions and bodies that were ever acknowledged
    :param expected: zones whose last order was acknowledged, with no other on its way: whether it is
    evacuated
    """

    wrong: list[str] = field(default_factory=list)
    at: int = 0
    sent: dict[int, tuple[bytes, ...]] = field(default_factory=dict)
    acknowledged: int = 0
    taken: dict[int, bytes] = field(default_factory=dict)
    confirmed: dict[int, bytes] = field(default_factory=dict)
    answered: set[tuple[int, bytes]] = field(default_factory=set)
    at_ack: deque[tuple[int, int]] = field(default_factory=deque)  # when, what; those of the last `STALE`
    old: int = 0  # what was acknowledged longer ago than that
    read: int = 0
    expected: dict[str, bool] = field(default_factory=dict)
    primaries: dict[int, str] = field(default_factory=dict)
    committed: dict[StampTuple, bytes] = field(default_factory=dict)  # what each stamp stands for
    newest: StampTuple = ZERO_STAMP
    lost_at: dict[str, int] = field(default_factory=dict)  # when a machine's disk was last lost

    def report(self, what: str) -> None:
        self.wrong.append(f"{self.at / 1e6:.3f} s: {what}")

    def on_primary(self, epoch: int, who: str) -> None:
        before = self.primaries.setdefault(epoch, who)
        if before != who:
            self.report(f"epoch {epoch} has two primaries: {before} and {who}")

    def on_copy(self, holders: list[str]) -> None:
        if len(holders) > 1:
            self.report(f"{' and '.join(holders)} hold at once")

    def commits(self, who: str, state: ControlState) -> None:
        stamp, told = state_stamp(state), state.SerializeToString(deterministic=True)
        if self.committed.setdefault(stamp, told) != told:
            self.report(f"{who} committed {stamp}, which was something else before")
        if stamp <= self.newest:
            return
        self.newest = stamp
        if state.version < self.acknowledged:
            self.report(
                f"{who} committed {stamp} with r{state.version}: r{self.acknowledged} was acknowledged"
            )
        if state.version and state.configuration not in self.sent.get(state.version, ()):
            self.report(f"{who} committed r{state.version} that is not as it was sent")
        if self.taken.setdefault(state.version, state.configuration) != state.configuration:
            self.report(f"{who} committed r{state.version} with another body than before")
        self.zones(who, state)

    def zones(self, who: str, state: ControlState) -> None:
        is_on = {e.zone: e.on for e in state.evacuations}
        for zone, on in self.expected.items():
            if is_on.get(zone, False) != on:
                self.report(f"{who} committed {state_stamp(state)}: zone {zone} is not as acknowledged")

    def sends(self, version: int, body: bytes) -> None:
        bodies = self.sent.get(version, ())
        if body not in bodies:
            self.sent[version] = (*bodies, body)

    def on_acknowledged(self, version: int, body: bytes, floor: int | None) -> None:
        """:param floor: what the machine asked had committed as the order came; None: nothing yet"""
        newest = max(self.taken, default=0)
        if version > newest:
            self.report(f"r{version} was acknowledged, and r{newest} is the newest committed")
        counts = version == newest or (floor is not None and floor <= version)
        if version == newest and self.taken[version] != body:
            self.report(f"r{version} was acknowledged with another body than is in force")
        if counts and self.confirmed.setdefault(version, body) != body:
            self.report(f"r{version} was acknowledged with two bodies")
        self.answered.add((version, body))
        self.acknowledged = max(self.acknowledged, version)
        self.at_ack.append((self.at, version))

    def on_rejected(self, version: int, body: bytes) -> None:
        """As another body has that number."""
        newest = max(self.taken, default=0)
        if (version, body) in self.answered or self.taken.get(version) == body:
            self.report(f"r{version} was refused, though this very body was acknowledged or committed")
        if len(self.sent[version]) < 2:
            self.report(f"r{version} was refused, and has one body")
        if version > newest:
            self.report(f"r{version} was refused, and r{newest} is the newest committed")

    def in_force(self, who: str, version: int) -> None:
        while self.at_ack and self.at_ack[0][0] <= self.at - STALE:
            self.old = max(self.old, self.at_ack.popleft()[1])
        if version < self.old:
            self.report(f"{who} takes r{version} to be in force, r{self.old} was acknowledged long ago")

    def lost_lately(self, ip: str) -> bool:
        return self.lost_at.get(ip, -STALE) > self.at - STALE

    def stands(self, record: ReplicaSet, disks: dict[str, PersistentState | None]) -> None:
        """A record has come to stand: its copies are whole, a majority has it, none is without a copy."""
        members = len(record.members)
        if members % 2 == 0 and not record.previous_members:
            self.report(
                f"record {replica_set_id(record)} has {members} voters: one more than bears as many losses"
            )
        if len(record.copies) < members - majority(members) + 1 or set(record.copies) - set(record.members):
            self.report(f"record {replica_set_id(record)}: a majority may hold no copy")
        without = [
            ip
            for ip in record.copies
            if not ((disk := disks[ip]) and disk.has_copy and state_stamp(disk.state) >= self.newest)
            and not self.lost_lately(ip)
        ]
        if without:
            self.report(f"record {replica_set_id(record)} names {', '.join(without)}, without a whole copy")
        have = [
            ip
            for ip in sorted(voters(record))
            if ((disk := disks[ip]) and replica_set_id(disk.replica_set) >= replica_set_id(record))
            or self.lost_lately(ip)
        ]
        if not has_quorum(record, have):
            self.report(f"record {replica_set_id(record)} stands on {', '.join(have)} only")

    def committed_floor(self) -> int:
        """What a reading that begins now has to show at least."""
        return max(self.acknowledged, self.read)

    def version_of(self, body: bytes) -> int:
        """0: nobody sent it."""
        return next((version for version, bodies in self.sent.items() if body in bodies), 0)

    def reads(self, body: bytes, floor: int) -> int:
        """The version that was read."""
        version = self.version_of(body)
        if not version:
            self.report("a reading showed what nobody sent")
        if version < floor:
            self.report(f"a reading showed r{version} after r{floor}")
        self.read = max(self.read, version)
        return version
