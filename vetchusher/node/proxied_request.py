"""One client request in flight: performs the actions of its state machine until a response is chosen."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from vetchusher.errors import Error, ErrorCode
from vetchusher.events import LogEvent
from vetchusher.net.links import StreamedAnswer
from vetchusher.routing.actions import (
    Action,
    CancelAttempt,
    ForwardResponse,
    Reject,
    SendAttempt,
    WakeAt,
)
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.routing.request import Request

from .attempts import Attempt, AttemptResult, RequestSpec, ServerAttempts, ServerResponse

log = logging.getLogger("vetchusher")


class RequestHost(Protocol):
    """What a request uses of its proxy."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Event loop of the process."""
        ...

    @property
    def attempts(self) -> ServerAttempts:
        """The owner of all attempts in flight."""
        ...

    def now(self) -> int:
        """Return the time, in microseconds of the steady clock."""

    def log_event(self, event: LogEvent, /) -> None:
        """Write one event to the log."""


class ProxiedRequest:
    """One request's attempts, until its response is chosen; `close` releases what is still open."""

    def __init__(self, host: RequestHost, request: Request, spec: RequestSpec) -> None:
        """Create a request without an attempt.

        :param request: the state machine that decides on attempts and response
        :param spec: what is forwarded to servers unchanged
        """
        self.host = host
        self.request = request
        self.spec = spec
        self.attempts: dict[int, Attempt] = {}
        self.responses: dict[int, ServerResponse] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.answer: asyncio.Future[Error | ServerResponse] = host.loop.create_future()

    def start(self) -> None:
        """Start the first attempt."""
        self.perform(self.request.start(self.host.now()))

    def on_attempt_report(self, result: AttemptResult) -> None:
        """Handle the end of an attempt, or the start of its streamed response."""
        now, response = self.host.now(), result.response
        try:
            if response is not None:
                self.responses[result.number] = response
            if response is not None and isinstance(response.body, StreamedAnswer):
                actions = self.request.on_response_begun(now, result.number)
            else:
                actions = self.request.on_attempt_ended(
                    now, result.number, result.outcome, result.reset_at_once
                )
            self.perform(actions)
        except Exception:  # the client has to get an answer whatever fails here
            log.exception("handling the result of an attempt failed")
            self.resolve(Error(ErrorCode.MAYBE_EXECUTED, "failed"))

    def on_late(self) -> None:
        """Handle the hedging timer: the state machine may start another attempt beside the first."""
        self.perform(self.request.on_hedge_timer(self.host.now()))

    def perform(self, actions: list[Action]) -> None:
        """Perform the actions of the request's state machine, and log its events."""
        for action in actions:
            match action:
                case SendAttempt():
                    self.attempts[action.number] = self.host.attempts.start(
                        action, self.spec, self.on_attempt_report
                    )
                case CancelAttempt():
                    self.host.attempts.cancel(self.attempts[action.number])
                case WakeAt():
                    self.timer = self.host.loop.call_at(action.at / 1e6, self.on_late)
                case ForwardResponse():
                    self.resolve(self.responses.pop(action.number))
                case Reject():
                    self.resolve(action.error)
        for event in self.request.events:
            self.host.log_event(event)
        self.request.events.clear()

    def resolve(self, answer: Error | ServerResponse) -> None:
        """Set the answer if there is none yet; else release the stream of this one."""
        if not self.answer.done():
            self.answer.set_result(answer)
        else:
            release(answer)

    def close(self, stream_outcome: AttemptOutcome) -> None:
        """End the request: cancel open attempts, and release responses that were not sent.

        :param stream_outcome: outcome of the attempt whose response was streamed, if one was
        """
        now, request = self.host.now(), self.request
        if self.timer is not None:
            self.timer.cancel()
        if (number := request.forwarded_attempt) is not None:
            request.on_attempt_ended(now, number, stream_outcome)
        self.perform(request.on_client_disconnected(now))
        if self.answer.done() and not self.answer.cancelled():
            release(self.answer.result())
        for response in self.responses.values():
            release(response)


def release(answer: Error | ServerResponse) -> None:
    """Close the stream, if any, of a response that is not sent."""
    if isinstance(answer, ServerResponse) and isinstance(answer.body, StreamedAnswer):
        answer.body.close()
