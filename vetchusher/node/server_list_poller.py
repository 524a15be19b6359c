"""Polls the platform's list of servers while this control node leads, and publishes what it says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from returns.result import Failure, Success

from vetchusher.directory.presence import Presence
from vetchusher.discovery.reader import ListedServer, ServerListReader
from vetchusher.distribution.source import Source
from vetchusher.errors import Error
from vetchusher.events import Event, LogEvent

from .context import NodeContext
from .server_list_client import ServerListClient

POLL_INTERVAL_S = 0.6  # between the begins of two polls
MIN_PAUSE_S = 0.05


class ServerListPoller:
    """Owner of the client of the platform's list; `run` is a singleton role of one epoch."""

    def __init__(
        self,
        context: NodeContext,
        discovery: Source,
        presence: Presence,
        is_leader_of: Callable[[int], bool],
        notify_watchers: Callable[[], None],
    ) -> None:
        """:param is_leader_of: whether this machine leads an epoch"""
        self.context = context
        self.discovery = discovery
        self.presence = presence
        self.is_leader_of = is_leader_of
        self.notify_watchers = notify_watchers
        self.client = ServerListClient(context.settings.cloud_api)

    async def run(self, epoch: int) -> None:
        """Poll and publish for as long as this machine leads the epoch."""
        reader = ServerListReader(self.context.settings.zones, self.discovery.values())
        published_rows: Mapping[str, bytes] | None = None
        has_failed = False
        loop = self.context.loop
        while self.is_leader_of(epoch):
            began_at = loop.time()
            match await self.client.read():
                case Success(servers):
                    if not self.is_leader_of(epoch):
                        return
                    rows = self.read_rows(reader, servers)
                    if rows != published_rows:
                        published_rows = rows
                        self.publish(epoch, rows)
                    has_failed = False
                case Failure(error):
                    if not has_failed:
                        self.log_failure(error)
                    has_failed = True
            pause_s = max(POLL_INTERVAL_S, self.client.pause_s)
            await asyncio.sleep(max(MIN_PAUSE_S, began_at + pause_s - loop.time()))

    def read_rows(self, reader: ServerListReader, servers: list[ListedServer]) -> Mapping[str, bytes]:
        """Return the rows to publish; cold servers are owned by ingresses that serve now."""
        serving = [(one.node, one.region) for one in self.presence.serving(self.context.now())]
        return reader.read(servers, serving)

    def publish(self, epoch: int, rows: Mapping[str, bytes]) -> None:
        """Publish under the next stamp of the epoch.

        Safety: a lease that was regained is of the same epoch.  Numbers that began again would be older than
        those that subscribers hold, and be ignored.
        """
        published_epoch, last_seq = self.discovery.stamp
        seq = last_seq + 1 if published_epoch == epoch else 1
        self.discovery.publish((epoch, seq), rows)
        facts: dict[str, object] = {"epoch": epoch, "seq": seq, "servers": len(rows)}
        self.context.log_event(LogEvent(Event.SERVER_LIST_READ, facts))
        self.notify_watchers()

    def log_failure(self, error: Error) -> None:
        """Log the first of several polls in a row that failed."""
        self.context.log_event(LogEvent(Event.SERVER_LIST_FAILED, {"why": error.text}))

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self.client.close()
