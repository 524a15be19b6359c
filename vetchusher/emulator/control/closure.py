"""Check that the control state survives, at this moment, every further loss that is tolerated.

For each set of machines that may be lost now, besides those already lost, the remaining machines must be able
to elect a primary, and a possible primary must hold all that was acknowledged. The check looks at the disks
alone, without running on, so it is possible at each moment of a run.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations

from vetchusher.control import PersistentState
from vetchusher.control.state import has_quorum, newest_replica_set, replica_set_id, state_stamp
from vetchusher.distribution.stamps import StampTuple


@dataclass(slots=True, frozen=True)
class ClusterState:
    """The disks and losses of a cluster at one moment.

    :param disks: what is synced on each machine that runs and hasn't lost its disk
    :param lost: machines that count as lost, running or not
    :param catching_up: successors of some of the lost machines, which don't count as further losses yet
    :param tolerated: how many machines may be lost at a time
    :param committed: stamp of the newest state that was acknowledged
    """

    disks: Mapping[str, PersistentState]
    lost: frozenset[str]
    catching_up: frozenset[str]
    tolerated: int
    committed: StampTuple


def further_losses(cluster: ClusterState) -> Iterator[frozenset[str]]:
    """Yield every set of machines that may be lost now, besides those that are."""
    remaining = cluster.tolerated - len(cluster.lost)
    if remaining >= 0:
        healthy = sorted(cluster.disks.keys() - cluster.lost - cluster.catching_up)
        yield from map(frozenset, combinations(healthy, min(remaining, len(healthy))))


def untolerated_loss(cluster: ClusterState) -> str | None:
    """Return a description of a tolerated loss that would not be survived; None if there is none."""
    for lost in further_losses(cluster):
        disks = {ip: disk for ip, disk in cluster.disks.items() if ip not in lost}
        failure = recovery_failure(disks, cluster.committed)
        if failure:
            return f"without {', '.join(sorted(lost)) or 'any more'}: {failure}"
    return None


def recovery_failure(disks: Mapping[str, PersistentState], committed: StampTuple) -> str | None:
    """Return what prevents these machines from recovering by themselves; None if nothing does."""
    if not disks:
        return "no machine is left"
    replica_set = newest_replica_set(disk.replica_set for disk in disks.values())
    if not has_quorum(replica_set, disks):
        present, members = ", ".join(sorted(disks)), ", ".join(replica_set.members)
        return f"{present} are no majority of {replica_set_id(replica_set)}: {members}"
    successors = [
        ip
        for ip in replica_set.copies
        if ip in disks and disks[ip].has_copy and state_stamp(disks[ip].state) >= committed
    ]
    return None if successors else f"no copy of {committed} is left of {', '.join(replica_set.copies)}"
