"""Carries out what a `Subscriber` wants sent, and tells it what became of that."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import all_sorted_out
from vetchusher.distribution.subscriber import Send, SendBeat, SendPull, Subscriber
from vetchusher.events import LogEvent

from .paths import Paths
from .reading import Reading

BEAT_S = 1.2  # for the answer to a beat
PULL_S = 1.4
ROWS_AT_ONCE = 512  # that the loop itself sorts out


class Standing(Protocol):
    """Whose beats they are, and who is told of news."""

    now: Callable[[], int]
    note: Callable[[LogEvent], None]
    reading: Reading

    def heartbeat(self) -> wire.Heartbeat: ...

    def news_taken(self, changed: set[str]) -> None: ...


class Following:
    """Owner of the questions under way: one beat a core machine, and one pull."""

    def __init__(self, paths: Paths, follower: Subscriber, standing: Standing) -> None:
        self.paths, self.follower, self.standing = paths, follower, standing
        self.tasks: set[asyncio.Task[None]] = set()

    def carry(self, sends: Sequence[Send]) -> None:
        for send in sends:
            work = self.heartbeat(send) if isinstance(send, SendBeat) else self.pull(send)
            task = self.paths.loop.create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def heartbeat(self, send: SendBeat) -> None:
        sent_at, heartbeat = self.standing.now(), self.standing.heartbeat()
        heartbeat.wants_news = send.wants_news
        answer = await self.paths.ask(send.to, wire.Frame(heartbeat=heartbeat), BEAT_S)
        told = (
            answer.heartbeat_reply
            if answer is not None and answer.WhichOneof("body") == "heartbeat_reply"
            else None
        )
        if told is not None and told.HasField("news"):
            await self.taken(0, told.news)
        self.carry(self.follower.heard_beat(self.standing.now(), send.to, sent_at, told))

    async def pull(self, send: SendPull) -> None:
        answer = await self.paths.ask(send.to, wire.Frame(pull=send.pull), PULL_S)
        told = answer.news if answer is not None and answer.WhichOneof("body") == "news" else wire.News()
        await self.taken(send.number, told)

    async def taken(self, number: int, news: wire.News) -> None:
        if sum(len(source.rows) for source in news.sources) > ROWS_AT_ONCE:
            told = await self.standing.reading.sort_out(news)
        else:
            told = all_sorted_out(news)
        changed, notes = self.follower.heard_news(number, told)
        for note in notes:
            self.standing.note(note)
        self.standing.news_taken(changed)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
