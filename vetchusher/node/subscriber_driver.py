"""Carries out what a `Subscriber` wants sent, and tells it what became of that."""

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

HEARTBEAT_TIMEOUT_S = 1.2  # for the answer to a beat
PULL_TIMEOUT_S = 1.4
MAX_ROWS_ON_LOOP = 512  # that the loop itself sorts out


class SubscriberOwner(Protocol):
    """Whose heartbeats are sent, and who is told of updates."""

    now: Callable[[], int]
    log_event: Callable[[LogEvent], None]
    parser: ConfigurationParser

    def heartbeat(self) -> wire.Heartbeat:
        """Return the heartbeat of this moment."""

    def on_updates_applied(self, changed: set[str]) -> None:
        """Take the names of sources that have changed."""


class SubscriberDriver:
    """Owner of the requests in flight: one heartbeat a control node, and one pull."""

    def __init__(self, network: PeerNetwork, subscriber: Subscriber, owner: SubscriberOwner) -> None:
        """Begin with no request in flight."""
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
        """Send a heartbeat and take its reply, or that there was none in time."""
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
        """Send a pull and take the updates that answer it."""
        frame = await self.network.request(send.to, wire.Frame(pull=send.pull), PULL_TIMEOUT_S)
        message = frame.news if frame is not None and frame.WhichOneof("body") == "news" else wire.News()
        await self.apply_updates(send.number, message)

    async def apply_updates(self, number: int, message: wire.News) -> None:
        """Apply updates; many rows are parsed off the loop first.

        :param number: of the pull; 0: they came with a heartbeat's reply
        """
        if sum(len(source.rows) for source in message.sources) > MAX_ROWS_ON_LOOP:
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
