"""Carries out what a `Subscriber` wants sent, and tells it what became of that."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import parse_updates
from vetchusher.distribution.subscriber import SendHeartbeat, SendPull, Subscriber, SubscriberOutput
from vetchusher.events import LogEvent

from .paths import PeerNetwork
from .reading import ConfigurationParser

HEARTBEAT_TIMEOUT_S = 1.2  # for the answer to a beat
PULL_TIMEOUT_S = 1.4
MAX_ROWS_ON_LOOP = 512  # that the loop itself sorts out


class SubscriberOwner(Protocol):
    """Whose beats they are, and who is told of news."""

    now: Callable[[], int]
    log_event: Callable[[LogEvent], None]
    parser: ConfigurationParser

    def heartbeat(self) -> wire.Heartbeat: ...

    def on_updates_applied(self, changed: set[str]) -> None: ...


class SubscriberDriver:
    """Owner of the questions under way: one beat a core machine, and one pull."""

    def __init__(self, paths: PeerNetwork, subscriber: Subscriber, owner: SubscriberOwner) -> None:
        self.paths, self.subscriber, self.owner = paths, subscriber, owner
        self.tasks: set[asyncio.Task[None]] = set()

    def carry(self, sends: Sequence[SubscriberOutput]) -> None:
        for send in sends:
            work = self.heartbeat(send) if isinstance(send, SendHeartbeat) else self.pull(send)
            task = self.paths.loop.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def heartbeat(self, send: SendHeartbeat) -> None:
        sent_at, heartbeat = self.owner.now(), self.owner.heartbeat()
        heartbeat.wants_news = send.wants_delta
        answer = await self.paths.request(send.to, wire.Frame(heartbeat=heartbeat), HEARTBEAT_TIMEOUT_S)
        told = (
            answer.heartbeat_reply
            if answer is not None and answer.WhichOneof("body") == "heartbeat_reply"
            else None
        )
        if told is not None and told.HasField("news"):
            await self.apply_updates(0, told.news)
        self.carry(self.subscriber.on_heartbeat_reply(self.owner.now(), send.to, sent_at, told))

    async def pull(self, send: SendPull) -> None:
        answer = await self.paths.request(send.to, wire.Frame(pull=send.pull), PULL_TIMEOUT_S)
        told = answer.news if answer is not None and answer.WhichOneof("body") == "news" else wire.News()
        await self.apply_updates(send.number, told)

    async def apply_updates(self, number: int, message: wire.News) -> None:
        if sum(len(source.rows) for source in message.sources) > MAX_ROWS_ON_LOOP:
            updates = await self.owner.parser.parse_updates(message)
        else:
            updates = parse_updates(message)
        changed, events = self.subscriber.on_updates(number, updates)
        for note in events:
            self.owner.log_event(note)
        self.owner.on_updates_applied(changed)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
