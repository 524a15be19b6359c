"""Roles that run only on the leader: quota coordinator, server list poller, publisher of the directory.

They run while the leader's lease is valid. If the lease expires and is regained in the same epoch, the quota
coordinator continues with its state.
"""

from __future__ import annotations

import asyncio

from vetchusher.control import Replica
from vetchusher.directory.presence import Presence
from vetchusher.events import Event, LogEvent
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.windows import QuotaBounds as QuotaBounds
from vetchusher.settings.configuration import Configuration

from .context import NodeContext
from .server_list_poller import ServerListPoller
from .update_publisher import UpdatePublisher


class LeaderRoles:
    """Owner of the quota coordinator and of the task that polls the server list."""

    def __init__(
        self,
        context: NodeContext,
        replica: Replica,
        presence: Presence,
        publisher: UpdatePublisher,
        server_list_poller: ServerListPoller,
    ) -> None:
        """Begin with no role running."""
        self.context = context
        self.replica = replica
        self.presence = presence
        self.publisher = publisher
        self.directory = publisher.sources["directory"]
        self.server_list_poller = server_list_poller
        self.configuration: Configuration | None = None
        self.quota_coordinator: QuotaCoordinator | None = None
        # The coordinator of the last epoch, kept because its lease may be regained.
        self.paused_quota_coordinator: QuotaCoordinator | None = None
        self.server_list_task: asyncio.Task[None] | None = None

    def tick(self, now: int) -> None:
        """Start or stop the roles according to the lease, and run their periodic work."""
        is_leader = self.replica.is_leader(now)
        if is_leader and (self.server_list_task is None or self.server_list_task.done()):
            self.start(now)
        elif not is_leader and self.quota_coordinator is not None:
            self.stop()
        coordinator = self.quota_coordinator
        if coordinator is None:
            return
        coordinator.set_ingresses(now, self.presence.last_contact_times())
        fields = coordinator.log_fields()
        if fields is not None:
            facts = {"epoch": coordinator.epoch, **fields}
            self.context.log_event(LogEvent(Event.QUOTA_COORDINATOR_STATUS, facts))
        self.publish_ingresses()

    def start(self, now: int) -> None:
        """Start the roles for the epoch that this machine leads."""
        epoch = self.replica.epoch
        for name in self.directory.rows:
            self.presence.remember(now, name)
        if self.quota_coordinator is None:
            self.quota_coordinator = self.coordinator_for(epoch, now)
            self.quota_coordinator.set_ingresses(now, self.presence.last_contact_times())
            self.apply_configuration(now)
        self.server_list_task = self.context.loop.create_task(self.server_list_poller.run(epoch))

    def stop(self) -> None:
        """Stop the roles because the lease has expired."""
        self.paused_quota_coordinator, self.quota_coordinator = self.quota_coordinator, None
        if self.server_list_task is not None:
            self.server_list_task.cancel()
        self.context.log_event(LogEvent(Event.QUOTA_COORDINATOR_STOPPED))

    def coordinator_for(self, epoch: int, now: int) -> QuotaCoordinator:
        """Return the paused coordinator if it is of this epoch, else a new one.

        Safety: ingresses identify a coordinator by its epoch. If a new one started within the same epoch,
        they would assume that it has received all usage that they reported to the previous one.
        """
        paused = self.paused_quota_coordinator
        if paused is not None and paused.epoch == epoch:
            return paused
        bounds = self.context.settings.bounds
        quota = QuotaBounds(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)
        return QuotaCoordinator(epoch, now, quota)

    def configure(self, configuration: Configuration) -> None:
        """Store the configuration that was committed last."""
        self.configuration = configuration

    def apply_configuration(self, now: int) -> None:
        """Pass the tenants of the configuration to the coordinator, if it runs."""
        if self.quota_coordinator is not None and self.configuration is not None:
            self.quota_coordinator.configure(now, self.configuration.tenants)

    def publish_ingresses(self) -> None:
        """Publish the ingresses that may be serving: quotas are divided and neighbours chosen by them."""
        rows = self.presence.rows(self.context.now())
        if rows == self.directory.values():
            return
        epoch, seq = self.directory.stamp
        stamp = (self.replica.epoch, seq + 1 if epoch == self.replica.epoch else 1)
        if self.directory.publish(stamp, rows):
            self.publisher.notify_watchers()

    async def close(self) -> None:
        """Stop polling."""
        if self.server_list_task is not None:
            self.server_list_task.cancel()
        await self.server_list_poller.close()
