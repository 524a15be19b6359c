"""Metrics of a control node: its role, lease, replication, snapshots, orders, ingresses and subscribers."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .families import NOT_AVAILABLE, directory_answers, gauge

if TYPE_CHECKING:
    from vetchusher.control import Replica
    from vetchusher.node.control_node import ControlNode

ROLES = ("primary", "candidate", "amnesiac", "learner", "backup", "witness")


def role_of(replica: Replica) -> str:
    """Return the name of a replica's role; of the voters, a backup holds a copy and a witness does not."""
    if replica.primary_role is not None:
        return "primary"
    if replica.is_amnesiac:
        return "amnesiac"
    if replica.candidate is not None:
        return "candidate"
    if not replica.is_voter:
        return "learner"
    return "backup" if replica.copy is not None else "witness"


class ControlCollector(Collector):
    """Reads gauges from a control node at each scrape."""

    def __init__(self, node: ControlNode) -> None:
        """Create a collector for that node."""
        self.node = node

    def collect(self) -> Iterator[Metric]:
        """Return the gauges with their current values."""
        now = self.node.now()
        yield from self.control_state(now)
        yield from self.primary(now)
        yield from self.published(now)

    def control_state(self, now: int) -> Iterator[Metric]:
        """Return role, epoch, voters and committed version, as known to this machine."""
        replica = self.node.replica
        roles = GaugeMetricFamily("vetchusher_role", "1 for the role of this machine.", labels=["role"])
        current = role_of(replica)
        for role in ROLES:
            roles.add_metric([role], float(role == current))
        yield roles
        yield gauge("vetchusher_is_leader", "1 while the leader lease is valid.", replica.is_leader(now))
        yield gauge("vetchusher_epoch", "Epoch that is led here, or the highest voted for.", replica.epoch)
        yield gauge("vetchusher_voters", "Voters of the replica set known here.", len(replica.voters))
        yield gauge(
            "vetchusher_copies",
            "Machines that the replica set known here names as holders of a copy.",
            len(replica.durable.replica_set.copies),
        )
        yield gauge(
            "vetchusher_committed_version", "Configuration that is committed.", replica.committed.version
        )
        yield gauge(
            "vetchusher_in_force",
            "1 while a majority stands behind what is published here.",
            self.node.is_in_force(now),
        )
        yield gauge("vetchusher_lost_elections", "Elections lost in a row.", replica.lost_elections)

    def primary(self, now: int) -> Iterator[Metric]:
        """Return lease, replication lag, pending orders and learners; all zero unless this is the primary."""
        primary = self.node.replica.primary_role
        lease_s = lag_s = 0.0
        pending = learners = 0
        if primary is not None:
            lease_s = max(0.0, (primary.reconfiguration.lease_expires_at(now) - now) / 1e6)
            began_at = primary.replicator.write_began_at
            lag_s = (now - began_at) / 1e6 if began_at is not None else 0.0
            pending, learners = len(primary.orders.pending()), len(primary.progress.learners)
        yield gauge("vetchusher_lease_remaining_seconds", "Time that the leader lease has left.", lease_s)
        yield gauge(
            "vetchusher_replication_lag_seconds", "Age of the write that is not on all copies yet.", lag_s
        )
        yield gauge("vetchusher_pending_orders", "Orders of operators without an answer.", pending)
        yield gauge("vetchusher_learners", "Machines that ask for a seat.", learners)

    def published(self, now: int) -> Iterator[Metric]:
        """Return the published rows and snapshots, subscribers, ingresses, and the state of the disk."""
        node = self.node
        rows = GaugeMetricFamily("vetchusher_published_rows", "Rows of each source.", labels=["source"])
        behind = GaugeMetricFamily(
            "vetchusher_snapshot_behind", "1 while a source is newer than its snapshot.", labels=["source"]
        )
        writer = node.snapshot_writer
        for name, source in sorted(node.sources.items()):
            rows.add_metric([name], len(source.rows))
            if writer is not None:
                behind.add_metric([name], float(writer.persisted_stamps.get(name) != source.stamp))
        yield rows
        yield behind
        yield directory_answers(node.resolver.counts)
        yield gauge("vetchusher_subscribers", "Machines that are sent updates.", len(node.publisher.watchers))
        ingresses = GaugeMetricFamily("vetchusher_ingresses", "Ingresses by state.", labels=["state"])
        serving = len(node.presence.serving(now))
        ingresses.add_metric(["serving"], serving)
        ingresses.add_metric(["other"], len(node.presence.ingresses) - serving)
        yield ingresses
        coordinator = node.leader_roles.quota_coordinator
        yield gauge(
            "vetchusher_quota_silent_ingresses",
            "Ingresses that report no usage to the quota coordinator here; -1: it runs elsewhere.",
            NOT_AVAILABLE if coordinator is None else coordinator.unresponsive_ingresses,
        )
        yield gauge(
            "vetchusher_disk_refuses", "1 while the disk refuses writes.", float(bool(node.disk_failure()))
        )


def register_control_metrics(registry: CollectorRegistry, node: ControlNode) -> None:
    """Register all metrics of a control node."""
    registry.register(ControlCollector(node))
