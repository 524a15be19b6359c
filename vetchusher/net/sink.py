"""Delivers reports to the sink, one at a time, and reports its acknowledgements to the reducer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import aiohttp
import orjson

from . import effects as fx
from .runtime import Runtime

log = logging.getLogger("vetchusher")

ANSWER_TIMEOUT_S = 2.0  # time limit of the sink's answer
MAX_QUEUED_RECORDS = 4  # beyond that the oldest is dropped, and its period stays missing
MAX_ANSWER_BYTES = 4_096


class ReportSink:
    """Owns its HTTP session and the task that delivers records.

    A record is sent again, with the same period and token, until the sink answers or newer records replace
    it; the sink recognises a period that it already has.
    """

    def __init__(self, runtime: Runtime, url: str, permits: Callable[[int, int], bool]) -> None:
        """Register for `DeliverReport`.

        :param url: where to deliver; empty to keep the last record only
        :param permits: whether, at a time in microseconds, a record with this token may be sent
        """
        self.runtime, self.url, self.permits = runtime, url, permits
        self.queue: asyncio.Queue[fx.DeliverReport] = asyncio.Queue(MAX_QUEUED_RECORDS)
        self.task: asyncio.Task[None] | None = None
        self.last_record: dict[str, Any] | None = None
        self.failure_count = 0
        runtime.effect_handlers[fx.DeliverReport] = self.enqueue

    def enqueue(self, effect: fx.DeliverReport) -> None:
        """Queue a record; drop the oldest if the queue is full."""
        self.last_record = effect.record
        if not self.url:
            return
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(effect)
        if self.task is None:
            self.task = self.runtime.loop.create_task(self.deliver_all())

    async def deliver_all(self) -> None:
        """Deliver queued records until cancelled."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
            while True:
                effect = await self.queue.get()
                while not await self.deliver(session, effect) and self.queue.empty():
                    await asyncio.sleep(ANSWER_TIMEOUT_S / 4)

    async def deliver(self, session: aiohttp.ClientSession, effect: fx.DeliverReport) -> bool:
        """Send a record; return whether it is done: the sink has answered, or the role is no longer held."""
        if not self.permits(self.runtime.clock.now(), effect.record["token"]):
            return True
        try:
            async with session.post(self.url, data=orjson.dumps(effect.record)) as response:
                raw = await response.content.read(MAX_ANSWER_BYTES)
                answer = orjson.loads(raw)
                latest_period, token = int(answer["period"]), int(answer["token"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError) as err:
            self.failure_count += 1
            if self.failure_count == 1:
                log.warning("report sink does not answer: %s", type(err).__name__)
            return False
        self.failure_count = 0
        if response.status != 200:
            log.warning("report refused", extra={"facts": {"period": effect.period, "known": latest_period}})
        self.runtime.feed(fx.ReportAcknowledged(effect.period, latest_period, token))
        return True

    async def close(self) -> None:
        """Stop delivering."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
