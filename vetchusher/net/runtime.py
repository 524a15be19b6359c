"""Carries out the reducer's effects and feeds their outcomes back to it as events."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from . import effects as fx
from .reducer import Reducer

log = logging.getLogger("vetchusher")


class Clock:
    """Unix microseconds that never step back.

    Danger: window numbers go into counter names that all ingresses share, so the time must be the same
    everywhere; set from the system's clock at each call it could step back and open a window again.
    """

    def __init__(self) -> None:
        self.anchor = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return self.anchor + time.monotonic_ns() // 1000

    def on_loop(self, at: int) -> float:
        """The same moment on the event loop's clock, which counts as the monotonic clock does."""
        return (at - self.anchor) / 1e6


class Clients(Protocol):
    """The side that took the commands and owes their answers."""

    def serve(self, command: int, answer: object) -> None: ...

    def nack(self, command: int, retry_after: int) -> None: ...

    def fail(self, command: int) -> None: ...


class Attempts(Protocol):
    def start(self, effect: fx.StartAttempt) -> None: ...

    def abandon(self, command: int, attempt: int) -> None: ...


class Counter(Protocol):
    def call(self, effect: fx.CallCounter) -> None: ...


class Peers(Protocol):
    def tell(self, effect: fx.TellPeer) -> None: ...


class Runtime:
    def __init__(self, loop: asyncio.AbstractEventLoop, reducer: Reducer) -> None:
        self.loop = loop
        self.reducer = reducer
        self.clock = Clock()
        self.events: deque[fx.Event] = deque()
        self.feeding = False
        self.carriers: dict[type, Callable[[Any], None]] = {
            fx.WakeAt: self.wake_at,
            fx.WriteLog: self.write_log,
        }

    def attach(self, clients: Clients, attempts: Attempts, counter: Counter, peers: Peers) -> None:
        self.carriers |= {
            fx.StartAttempt: attempts.start,
            fx.AbandonAttempt: lambda e: attempts.abandon(e.command, e.attempt),
            fx.CallCounter: counter.call,
            fx.TellPeer: peers.tell,
            fx.Serve: lambda e: clients.serve(e.command, e.answer),
            fx.Nack: lambda e: clients.nack(e.command, e.retry_after),
            fx.Failure: lambda e: clients.fail(e.command),
        }

    def feed(self, event: fx.Event) -> None:
        """Take in one event; events that effects cause at once wait their turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.feeding = False

    def step(self, event: fx.Event) -> None:
        for effect in self.reducer.apply(self.clock.now(), event):
            try:
                self.carriers[type(effect)](effect)
            except Exception:  # one effect that fails must not take the others with it
                log.exception("effect %s failed", type(effect).__name__)

    def wake_at(self, effect: fx.WakeAt) -> None:
        self.loop.call_at(self.clock.on_loop(effect.at), self.feed, fx.TimerDue(effect.token))

    def write_log(self, effect: fx.WriteLog) -> None:
        log.info("%s", effect.text, extra={"facts": effect.facts} if effect.facts else None)
