"""Log format: one JSON object per line, limited in rate and length whatever input causes the lines."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import orjson
import structlog
from structlog.typing import EventDict, WrappedLogger

MAX_LINES_PER_S, MAX_TEXT_CHARACTERS = 20, 2_000


class RateLimitFilter(logging.Filter):
    """Drops lines beyond `MAX_LINES_PER_S`: invalid input must not turn logging into load."""

    def __init__(self) -> None:
        """Start with an empty count."""
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Count the line and return whether it is within the limit of its second."""
        if int(record.created) != self.second:
            self.second, self.lines = int(record.created), 0
        self.lines += 1
        return self.lines <= MAX_LINES_PER_S


def truncate_texts(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Truncate each text: some quote input, and a truncated line would not be valid JSON."""
    for name, value in event.items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
            event[name] = value[:MAX_TEXT_CHARACTERS]
    return event


def add_facts(_: WrappedLogger, __: str, event: EventDict) -> EventDict:
    """Add the `facts` that the caller passed beside the text as fields of their own."""
    facts = getattr(event.get("_record"), "facts", None)
    return {**event, **facts} if facts else event


def render(_: WrappedLogger, __: str, event: EventDict) -> str:
    """Encode the line as JSON."""
    return orjson.dumps(event, default=repr).decode()


def formatter() -> logging.Formatter:
    """Return a formatter that produces the JSON lines."""
    return structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.stdlib.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
        ],
        processors=[
            add_facts,
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            structlog.processors.format_exc_info,
            truncate_texts,
            render,
        ],
    )


def start_logging(stream: TextIO | None = None) -> logging.Handler:
    """Send all loggers' lines to the stream, standard error by default; return the handler."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter())
    handler.addFilter(RateLimitFilter())
    logging.getLogger().addHandler(handler)
    logging.getLogger().setLevel(logging.INFO)
    return handler
