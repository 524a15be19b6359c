"""Sends the heartbeats and pulls that a `Subscriber` asks for, and passes it the replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import parse_updates
from vetchusher.distribution.subscriber import SendHeartbeat, SendPull, Subscriber, SubscriberOutput
from vetchusher.events import LogEvent

from .configuration_parser import ConfigurationParser
from .peer_network import PeerNetwork

HEARTBEAT_TIMEOUT_S = 1.2  # for the reply to a heartbeat
PULL_TIMEOUT_S = 1.4  # for the updates that answer a pull
MAX_INLINE_PARSE_ROWS = 512  # updates with more rows are parsed in a thread, not on the event loop


class SubscriberOwner(Protocol):
    """The node that provides the heartbeats and is notified of updates."""

    now: Callable[[], int]
    log_event: Callable[[LogEvent], None]
    parser: ConfigurationParser

    def heartbeat(self) -> wire.Heartbeat:
        """Return a heartbeat with the node's current state."""

    def on_updates_applied(self, changed: set[str]) -> None:
        """Handle updates that were applied.

        :param changed: names of the sources that have changed
        """


class SubscriberDriver:
    """Owns the requests in flight: one heartbeat for each control node, and one pull."""

    def __init__(self, network: PeerNetwork, subscriber: Subscriber, owner: SubscriberOwner) -> None:
        """Create a driver with no request in flight."""
        self.network, self.subscriber, self.owner = network, subscriber, owner
        self.tasks: set[asyncio.Task[None]] = set()

    def perform(self, outputs: Sequence[SubscriberOutput]) -> None:
        """Send heartbeats and pulls, each in a task."""
        for output in outputs:
            work = (
                self.send_heartbeat(output) if isinstance(output, SendHeartbeat) else self.send_pull(output)
            )
            task = self.network.loop.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def send_heartbeat(self, send: SendHeartbeat) -> None:
        """Send a heartbeat, and pass its reply to the subscriber; None if there was none in time."""
        sent_at, heartbeat = self.owner.now(), self.owner.heartbeat()
        heartbeat.wants_news = send.wants_delta
        frame = await self.network.request(send.to, wire.Frame(heartbeat=heartbeat), HEARTBEAT_TIMEOUT_S)
        reply = (
            frame.heartbeat_reply
            if frame is not None and frame.WhichOneof("body") == "heartbeat_reply"
            else None
        )
        if reply is not None and reply.HasField("news"):
            await self.apply_updates(0, reply.news)
        self.perform(self.subscriber.on_heartbeat_reply(self.owner.now(), send.to, sent_at, reply))

    async def send_pull(self, send: SendPull) -> None:
        """Send a pull and apply the updates that answer it; no answer in time counts as no updates."""
        frame = await self.network.request(send.to, wire.Frame(pull=send.pull), PULL_TIMEOUT_S)
        message = frame.news if frame is not None and frame.WhichOneof("body") == "news" else wire.News()
        await self.apply_updates(send.number, message)

    async def apply_updates(self, number: int, message: wire.News) -> None:
        """Apply updates; more than `MAX_INLINE_PARSE_ROWS` rows are parsed in a thread.

        :param number: of the pull; 0: the updates came with the reply to a heartbeat
        """
        if sum(len(source.rows) for source in message.sources) > MAX_INLINE_PARSE_ROWS:
            updates = await self.owner.parser.parse_updates(message)
        else:
            updates = parse_updates(message)
        changed, events = self.subscriber.on_updates(number, updates)
        for event in events:
            self.owner.log_event(event)
        self.owner.on_updates_applied(changed)

    async def close(self) -> None:
        """Cancel the requests in flight."""
        for task in list(self.tasks):
            task.cancel()
