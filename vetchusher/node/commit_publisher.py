"""Publishes committed states in order; a long configuration is first parsed in a thread, not on the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import Event, LogEvent

from .configuration_parser import ConfigurationParser, ParsedConfiguration

RETRY_S = 0.1  # pause before parsing is tried again after the parser's queue was full


class CommitPublisher:
    """Owner of the newest committed state that is not published yet; a newer one replaces it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        parser: ConfigurationParser,
        publish: Callable[[wire.ControlState, ParsedConfiguration | None], None],
        log_event: Callable[[LogEvent], None],
    ) -> None:
        """Begin with nothing to publish.

        :param publish: called with each state and its parsed configuration; None: none was ever committed
        """
        self.loop, self.parser, self.publish, self.log_event = loop, parser, publish, log_event
        self.last_parsed: ParsedConfiguration | None = None
        self.pending: wire.ControlState | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def is_behind(self) -> bool:
        """Whether a committed state is not published yet."""
        return self.task is not None

    def on_committed(self, state: wire.ControlState) -> None:
        """Publish a state, at once or after its configuration has been parsed."""
        if self.task is None and self.publish_at_once(state):
            return
        self.pending = state
        if self.task is None:
            self.task = self.loop.create_task(self.publish_pending())

    def publish_at_once(self, state: wire.ControlState) -> bool:
        """Publish a state if its configuration is short or already parsed; return whether that was so."""
        raw = state.configuration
        if not state.version:
            self.publish(state, None)
        elif self.last_parsed is not None and self.last_parsed.body == raw:
            self.publish(state, self.last_parsed)
        else:
            found = self.parser.parse_at_once(raw)
            if found is None:
                return False
            self.publish_parsed(state, found)
        return True

    def publish_parsed(self, state: wire.ControlState, found: Result[ParsedConfiguration, Error]) -> None:
        """Publish a state with its parsed configuration; log an error if it could not be parsed."""
        match found:
            case Success(parsed):
                self.last_parsed = parsed
                self.publish(state, parsed)
            # A configuration is validated before it is committed, so a newer release committed this one.
            case Failure(error):
                self.log_event(LogEvent(Event.UPDATE_REJECTED, {"why": error.text}))

    async def publish_pending(self) -> None:
        """Parse and publish until no state is pending."""
        try:
            while self.pending is not None:
                state, self.pending = self.pending, None
                if self.publish_at_once(state):
                    continue
                found = await self.parser.parse_with_rows(state.configuration)
                if isinstance(found, Failure) and found.failure().code is ErrorCode.UNAVAILABLE:
                    self.pending = self.pending or state
                    await asyncio.sleep(RETRY_S)
                    continue
                self.publish_parsed(state, found)
        finally:
            self.task = None

    def close(self) -> None:
        """Cancel the task that parses and publishes, if it runs."""
        if self.task is not None:
            self.task.cancel()
