"""The log of the process: one line for each event, with a limited rate and length."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from absl import flags
from absl import logging as absl_logging

from vetchusher.events import WARNINGS, LogEvent

MAX_LINES_PER_SECOND = 10  # of one event
MAX_LINE_CHARACTERS = 2_000  # some lines quote input of unbounded length
MAX_KEYS = 256  # events and loggers that are counted


class RateLimitFilter(logging.Filter):
    """Limits the lines of each event, or of each logger, in a second.

    The first line of a later second says how many were left out. Without this, the requests of others could
    make logging take most of the processor time. At most `MAX_KEYS` events and loggers are counted; beyond
    that all counts are reset.
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_SECOND) -> None:
        """Create a filter without any count.

        :param max_lines: maximum lines of one event or logger in a second
        """
        super().__init__()
        self.max_lines = max_lines
        self.counts: dict[object, tuple[int, int]] = {}  # key to a second and the lines requested in it

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        key = getattr(record, "event", record.name)
        if key not in self.counts and len(self.counts) >= MAX_KEYS:
            self.counts.clear()
        second, lines = self.counts.get(key, (0, 0))
        if second != int(record.created):  # also if it is earlier: the wall clock may be set back
            if lines > self.max_lines:
                record.msg, record.args = f"{record.getMessage()} left_out={lines - self.max_lines}", ()
            second, lines = int(record.created), 0
        self.counts[key] = second, lines + 1
        return lines < self.max_lines


class SingleLineFormatter(logging.Formatter):
    """Formats each record as one line of bounded length."""

    def __init__(self) -> None:
        """Set the format: time with milliseconds, level, and message."""
        super().__init__("%(asctime)s.%(msecs)03d %(levelname).1s %(message)s", "%Y-%m-%dT%H:%M:%S")

    def format(self, record: logging.LogRecord) -> str:
        """Return the line; line breaks in it are replaced, so that quoted input cannot forge log lines."""
        return " | ".join(super().format(record).splitlines())[:MAX_LINE_CHARACTERS]


def start_logging(stream: TextIO | None = None) -> None:
    """Send all loggers' lines to a stream, standard error by default."""
    if not flags.FLAGS.is_parsed():
        # `fire` parses the command line; without this absl waits for its own parsing and logs a warning.
        flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = stream or sys.stderr
    handler.setFormatter(SingleLineFormatter())
    handler.addFilter(RateLimitFilter())


def log_event(event: LogEvent) -> None:
    """Write one event to the log."""
    level = logging.WARNING if event.event in WARNINGS else logging.INFO
    absl_logging.get_absl_logger().log(level, "%s", event.line(), extra={"event": event.event})
