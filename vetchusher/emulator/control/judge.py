"""Safety checks of the replicated control state, independent of the code under test.

`Judge` observes every write, read and commit of one simulated run and records each violation of a safety
property: lost or changed acknowledged data, stale reads, and two primaries at once.
"""

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

# How old a version may be that a machine reports as in force: the report was received within a second, from a
# primary whose lease had not expired, in a delayed message.
MAX_IN_FORCE_AGE_US = 4 * SECOND


def committed_version(replica: Replica) -> int | None:
    """Return the version that the replica has committed as primary of its epoch; None if there is none."""
    role = replica.primary_role
    return role.committed.version if role is not None and role.committed is not None else None


def is_version_conflict(outcome: Result[bytes, Error]) -> bool:
    """Return whether an order was rejected because another body has its version."""
    return isinstance(outcome, Failure) and outcome.failure().code is ErrorCode.VERSION_CONFLICT


@dataclass(slots=True)
class Judge:
    """Checks the safety properties of one run against what was sent, acknowledged, read and committed.

    :param violations: descriptions of the violations found
    :param now_us: virtual time, for the descriptions
    :param sent_bodies: bodies that were ever sent under each version
    :param max_acknowledged_version: highest version acknowledged
    :param committed_bodies: body of each version that was committed
    :param acknowledged_bodies: body of each version that was acknowledged while no higher one was committed
    :param acknowledged_orders: versions and bodies that were ever acknowledged
    :param recent_acknowledgements: time and version of the acknowledgements of the last `MAX_IN_FORCE_AGE_US`
    :param min_in_force_version: highest version acknowledged longer ago than that
    :param max_read_version: highest version returned by a read
    :param expected_evacuations: whether a zone is evacuated, for zones whose last order was acknowledged
        while no other was in flight
    :param primary_by_epoch: the primary of each epoch, as address and incarnation
    :param state_by_stamp: the serialised state committed under each stamp
    :param newest_stamp: highest stamp committed
    :param disk_lost_at: when each machine's disk was last lost, us
    """

    violations: list[str] = field(default_factory=list)
    now_us: int = 0
    sent_bodies: dict[int, tuple[bytes, ...]] = field(default_factory=dict)
    max_acknowledged_version: int = 0
    committed_bodies: dict[int, bytes] = field(default_factory=dict)
    acknowledged_bodies: dict[int, bytes] = field(default_factory=dict)
    acknowledged_orders: set[tuple[int, bytes]] = field(default_factory=set)
    recent_acknowledgements: deque[tuple[int, int]] = field(default_factory=deque)
    min_in_force_version: int = 0
    max_read_version: int = 0
    expected_evacuations: dict[str, bool] = field(default_factory=dict)
    primary_by_epoch: dict[int, str] = field(default_factory=dict)
    state_by_stamp: dict[StampTuple, bytes] = field(default_factory=dict)
    newest_stamp: StampTuple = ZERO_STAMP
    disk_lost_at: dict[str, int] = field(default_factory=dict)

    def report(self, description: str) -> None:
        """Record a violation at the present time."""
        self.violations.append(f"{self.now_us / 1e6:.3f} s: {description}")

    def on_primary(self, epoch: int, who: str) -> None:
        """Check that each epoch has one primary.

        :param who: address and incarnation of a machine that became primary
        """
        before = self.primary_by_epoch.setdefault(epoch, who)
        if before != who:
            self.report(f"epoch {epoch} has two primaries: {before} and {who}")

    def on_leaders(self, leaders: list[str]) -> None:
        """Check that no two machines hold a valid leader lease at the same time."""
        if len(leaders) > 1:
            self.report(f"{' and '.join(leaders)} hold at once")

    def on_commit(self, who: str, state: ControlState) -> None:
        """Check a commit: one state for each stamp, nothing acknowledged lost, bodies as they were sent.

        :param who: address of the machine that committed
        """
        stamp, serialised = state_stamp(state), state.SerializeToString(deterministic=True)
        if self.state_by_stamp.setdefault(stamp, serialised) != serialised:
            self.report(f"{who} committed {stamp}, which stood for another state before")
        if stamp <= self.newest_stamp:
            return
        self.newest_stamp = stamp
        if state.version < self.max_acknowledged_version:
            self.report(
                f"{who} committed {stamp} with r{state.version}: "
                f"r{self.max_acknowledged_version} was acknowledged"
            )
        if state.version and state.configuration not in self.sent_bodies.get(state.version, ()):
            self.report(f"{who} committed r{state.version} that is not as it was sent")
        if self.committed_bodies.setdefault(state.version, state.configuration) != state.configuration:
            self.report(f"{who} committed r{state.version} with another body than before")
        self.check_evacuations(who, state)

    def check_evacuations(self, who: str, state: ControlState) -> None:
        """Check that a committed state evacuates exactly the zones that acknowledged orders say."""
        is_on = {e.zone: e.on for e in state.evacuations}
        for zone, on in self.expected_evacuations.items():
            if is_on.get(zone, False) != on:
                self.report(f"{who} committed {state_stamp(state)}: zone {zone} is not as acknowledged")

    def on_sent(self, version: int, body: bytes) -> None:
        """Record that a body was sent under a version."""
        bodies = self.sent_bodies.get(version, ())
        if body not in bodies:
            self.sent_bodies[version] = (*bodies, body)

    def on_acknowledged(self, version: int, body: bytes, committed_before: int | None) -> None:
        """Check an acknowledgement: the version is committed, with one body.

        :param committed_before: version that the machine asked had committed when the order came; None: none
            yet. Where it is higher than `version`, the order was already superseded, and its body isn't
            compared with that of other acknowledgements.
        """
        newest_version = max(self.committed_bodies, default=0)
        if version > newest_version:
            self.report(f"r{version} was acknowledged, and r{newest_version} is the newest committed")
        is_binding = version == newest_version or (
            committed_before is not None and committed_before <= version
        )
        if version == newest_version and self.committed_bodies[version] != body:
            self.report(f"r{version} was acknowledged with another body than is in force")
        if is_binding and self.acknowledged_bodies.setdefault(version, body) != body:
            self.report(f"r{version} was acknowledged with two bodies")
        self.acknowledged_orders.add((version, body))
        self.max_acknowledged_version = max(self.max_acknowledged_version, version)
        self.recent_acknowledgements.append((self.now_us, version))

    def on_rejected(self, version: int, body: bytes) -> None:
        """Check a rejection with a version conflict.

        Another body must have been sent under this version, and this one neither acknowledged nor committed.
        """
        newest_version = max(self.committed_bodies, default=0)
        if (version, body) in self.acknowledged_orders or self.committed_bodies.get(version) == body:
            self.report(f"r{version} was refused, though this very body was acknowledged or committed")
        if len(self.sent_bodies[version]) < 2:
            self.report(f"r{version} was refused, and has one body")
        if version > newest_version:
            self.report(f"r{version} was refused, and r{newest_version} is the newest committed")

    def check_in_force(self, who: str, version: int) -> None:
        """Check that the version which a machine reports as in force isn't out of date."""
        while (
            self.recent_acknowledgements
            and self.recent_acknowledgements[0][0] <= self.now_us - MAX_IN_FORCE_AGE_US
        ):
            self.min_in_force_version = max(
                self.min_in_force_version, self.recent_acknowledgements.popleft()[1]
            )
        if version < self.min_in_force_version:
            self.report(
                f"{who} takes r{version} to be in force, "
                f"r{self.min_in_force_version} was acknowledged long ago"
            )

    def lost_disk_recently(self, ip: str) -> bool:
        """Return whether the machine lost its disk within the last `MAX_IN_FORCE_AGE_US`."""
        return self.disk_lost_at.get(ip, -MAX_IN_FORCE_AGE_US) > self.now_us - MAX_IN_FORCE_AGE_US

    def on_replica_set_established(
        self, replica_set: ReplicaSet, disks: dict[str, PersistentState | None]
    ) -> None:
        """Check an established replica set: a majority has stored it, and every copy it names is complete.

        :param disks: what is synced on each machine; None: an empty disk
        """
        voter_count = len(replica_set.members)
        if voter_count % 2 == 0 and not replica_set.previous_members:
            self.report(
                f"replica set {replica_set_id(replica_set)} has {voter_count} voters: "
                f"an even number tolerates no more losses than one fewer"
            )
        if len(replica_set.copies) < voter_count - majority(voter_count) + 1 or set(replica_set.copies) - set(
            replica_set.members
        ):
            self.report(f"replica set {replica_set_id(replica_set)}: a majority may hold no copy")
        missing_copy = [
            ip
            for ip in replica_set.copies
            if not ((disk := disks[ip]) and disk.has_copy and state_stamp(disk.state) >= self.newest_stamp)
            and not self.lost_disk_recently(ip)
        ]
        if missing_copy:
            self.report(
                f"replica set {replica_set_id(replica_set)} names {', '.join(missing_copy)}, "
                f"without a whole copy"
            )
        voters_with_record = [
            ip
            for ip in sorted(voters(replica_set))
            if ((disk := disks[ip]) and replica_set_id(disk.replica_set) >= replica_set_id(replica_set))
            or self.lost_disk_recently(ip)
        ]
        if not has_quorum(replica_set, voters_with_record):
            self.report(
                f"replica set {replica_set_id(replica_set)} stands on {', '.join(voters_with_record)} only"
            )

    def min_readable_version(self) -> int:
        """Return the lowest version that a read which begins now may return."""
        return max(self.max_acknowledged_version, self.max_read_version)

    def version_of(self, body: bytes) -> int:
        """Return the version under which the body was sent; 0 if nobody sent it."""
        return next((version for version, bodies in self.sent_bodies.items() if body in bodies), 0)

    def on_read(self, body: bytes, min_version: int) -> int:
        """Check a read and return its version.

        :param min_version: lowest version that it may return
        """
        version = self.version_of(body)
        if not version:
            self.report("a reading showed what nobody sent")
        if version < min_version:
            self.report(f"a reading showed r{version} after r{min_version}")
        self.max_read_version = max(self.max_read_version, version)
        return version
