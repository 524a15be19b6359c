"""Polls the platform's list of servers while this control node is the leader, and publishes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from returns.result import Failure, Success

from vetchusher.directory.presence import Presence
from vetchusher.discovery.reader import ListedServer, ReadTiming, ServerListReader
from vetchusher.distribution.source import Source
from vetchusher.errors import Error
from vetchusher.events import Event, LogEvent

from .context import NodeContext
from .server_list_client import ServerListClient

POLL_INTERVAL_S = 0.6  # from the start of one poll to the start of the next
MIN_PAUSE_S = 0.05  # from the end of a poll to the next, also when it took longer than the interval


class ServerListPoller:
    """Owns the client of the platform's list; `run` is a singleton role of the leader of one epoch."""

    def __init__(
        self,
        context: NodeContext,
        discovery: Source,
        presence: Presence,
        is_leader_of: Callable[[int], bool],
        notify_watchers: Callable[[], None],
    ) -> None:
        """Create a poller.

        :param discovery: the source to publish to
        :param presence: the ingresses that are serving
        :param is_leader_of: returns whether this machine is the leader of an epoch
        :param notify_watchers: called after each publication
        """
        self.context = context
        self.discovery = discovery
        self.presence = presence
        self.is_leader_of = is_leader_of
        self.notify_watchers = notify_watchers
        self.client = ServerListClient(context.settings.cloud_api)

    async def run(self, epoch: int) -> None:
        """Poll and publish for as long as this machine is the leader of the epoch."""
        settings = self.context.settings
        lag_ms = settings.cloud_api.lag_ms if settings.cloud_api is not None else 0
        reader = ServerListReader(settings.zones, self.discovery.values(), epoch, self.context.now(), lag_ms)
        published_rows: Mapping[str, bytes] | None = None
        has_failed = False
        while self.is_leader_of(epoch):
            began_at = self.context.now()
            match await self.client.read():
                case Success(servers):
                    if not self.is_leader_of(epoch):
                        return
                    rows = self.read_rows(reader, servers, ReadTiming(began_at, self.context.now()))
                    if rows != published_rows:
                        published_rows = rows
                        self.publish(epoch, rows)
                    has_failed = False
                case Failure(error):
                    if not has_failed:
                        self.log_failure(error)
                    has_failed = True
            pause_s = max(POLL_INTERVAL_S, self.client.pause_s)
            passed_s = (self.context.now() - began_at) / 1e6
            await asyncio.sleep(max(MIN_PAUSE_S, pause_s - passed_s))

    def read_rows(
        self, reader: ServerListReader, servers: list[ListedServer], timing: ReadTiming
    ) -> Mapping[str, bytes]:
        """Return the rows to publish; cold servers are assigned to ingresses that serve now."""
        serving = [(one.node, one.region) for one in self.presence.serving(self.context.now())]
        return reader.read(servers, serving, timing)

    def publish(self, epoch: int, rows: Mapping[str, bytes]) -> None:
        """Publish rows under the next stamp of the epoch, and notify the subscribers.

        Safety: a lease that was lost and regained keeps its epoch, so sequence numbers go on from the last
        one. If they started again at 1, subscribers would ignore the updates as older than what they have.
        """
        published_epoch, last_seq = self.discovery.stamp
        seq = last_seq + 1 if published_epoch == epoch else 1
        self.discovery.publish((epoch, seq), rows)
        facts: dict[str, object] = {"epoch": epoch, "seq": seq, "servers": len(rows)}
        self.context.log_event(LogEvent(Event.SERVER_LIST_READ, facts))
        self.notify_watchers()

    def log_failure(self, error: Error) -> None:
        """Log a failed poll; `run` calls this only for the first of several failures in a row."""
        self.context.log_event(LogEvent(Event.SERVER_LIST_FAILED, {"why": error.text}))

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self.client.close()
