"""Carries out the reducer's effects and feeds their results back to it as events."""

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
    """Unix time in microseconds that never steps back.

    Window numbers are part of counter names that all load balancers share, so the time must agree between
    them. The system's clock is read once only: it could step back and reopen a window.
    """

    def __init__(self) -> None:
        """Read the system's clock once."""
        self.offset_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Return the current time."""
        return self.offset_us + time.monotonic_ns() // 1000

    def on_loop(self, at: int) -> float:
        """Convert to the event loop's clock, which counts as the monotonic clock does."""
        return (at - self.offset_us) / 1e6


class Clients(Protocol):
    """The clients' side, which must answer each accepted request once."""

    def serve(self, request_id: int, answer: object) -> None:
        """Pass on a server's answer."""
        ...

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer that the request was not started; `retry_after` in microseconds, 0 for no Retry-After."""
        ...

    def fail(self, request_id: int) -> None:
        """Answer that the request failed and may have run."""
        ...


class Attempts(Protocol):
    """The servers' side, which runs attempts."""

    def start(self, effect: fx.StartAttempt) -> None:
        """Start an attempt."""
        ...

    def cancel(self, request_id: int, attempt: int) -> None:
        """End an attempt that is no longer needed."""
        ...


class Counter(Protocol):
    """The quota counter service."""

    def call(self, effect: fx.CallCounter) -> None:
        """Start a call."""
        ...


class Peers(Protocol):
    """The other load balancers of the site."""

    def send(self, effect: fx.SendToPeer) -> None:
        """Send a datagram."""
        ...


class Runtime:
    """Applies events to the reducer in order and dispatches the effects by their class."""

    def __init__(self, loop: asyncio.AbstractEventLoop, reducer: Reducer) -> None:
        """Start with the effects that need no other part: timers and log lines."""
        self.loop = loop
        self.reducer = reducer
        self.clock = Clock()
        self.events: deque[fx.Event] = deque()
        self.is_processing = False
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            fx.StartTimer: self.start_timer,
            fx.WriteLog: self.write_log,
        }

    def attach(self, clients: Clients, attempts: Attempts, counter: Counter, peers: Peers) -> None:
        """Register the parts that carry out the other effects."""
        self.effect_handlers |= {
            fx.StartAttempt: attempts.start,
            fx.CancelAttempt: lambda e: attempts.cancel(e.request_id, e.attempt),
            fx.CallCounter: counter.call,
            fx.SendToPeer: peers.send,
            fx.SendAnswer: lambda e: clients.serve(e.request_id, e.answer),
            fx.SendRejection: lambda e: clients.reject(e.request_id, e.retry_after),
            fx.SendFailure: lambda e: clients.fail(e.request_id),
        }

    def feed(self, event: fx.Event) -> None:
        """Apply an event; events that its effects cause at once are queued and applied in order."""
        self.events.append(event)
        if self.is_processing:
            return
        self.is_processing = True
        try:
            while self.events:
                self.process(self.events.popleft())
        finally:
            self.is_processing = False

    def process(self, event: fx.Event) -> None:
        """Apply one event and carry out its effects."""
        for effect in self.reducer.apply(self.clock.now(), event):
            try:
                self.effect_handlers[type(effect)](effect)
            except Exception:  # a failing effect must not prevent the others
                log.exception("effect %s failed", type(effect).__name__)

    def start_timer(self, effect: fx.StartTimer) -> None:
        """Submit `TimerDue` at the time of the effect."""
        self.loop.call_at(self.clock.on_loop(effect.due_at), self.feed, fx.TimerDue(effect.token))

    def write_log(self, effect: fx.WriteLog) -> None:
        """Write a log line."""
        log.info("%s", effect.text, extra={"facts": effect.facts} if effect.facts else None)
