"""The log of the process: one line an event, and few of them whatever happens."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from absl import flags
from absl import logging as absl_logging

from vetchusher.events import WARNINGS, LogEvent

MAX_LINES_PER_SECOND = 10  # a second, of one event
MAX_LINE_CHARACTERS = 2_000  # of a line: others choose what some of them quote
MAX_KEYS = 256


class RateLimitFilter(logging.Filter):
    """So many lines of one event, or one logger, in a second; the next one says how many were left out.

    What others send must not turn the log into work. The counts, one for each event and logger, are
    `MAX_KEYS` at most; then all begin anew.
    """

    def __init__(self, most: int = MAX_LINES_PER_SECOND) -> None:
        """Begin with no line counted.

        :param most: lines of one key in a second
        """
        super().__init__()
        self.most = most
        self.counts: dict[object, tuple[int, int]] = {}  # the second, and lines asked for in it

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        key = getattr(record, "event", record.name)
        if key not in self.counts and len(self.counts) >= MAX_KEYS:
            self.counts.clear()
        second, lines = self.counts.get(key, (0, 0))
        if second != int(record.created):  # either way: the time of day jumps
            if lines > self.most:
                record.msg, record.args = f"{record.getMessage()} left_out={lines - self.most}", ()
            second, lines = int(record.created), 0
        self.counts[key] = second, lines + 1
        return lines < self.most


class SingleLineFormatter(logging.Formatter):
    """One line a record, of bounded length."""

    def __init__(self) -> None:
        """Write time (ms), level and message."""
        super().__init__("%(asctime)s.%(msecs)03d %(levelname).1s %(message)s", "%Y-%m-%dT%H:%M:%S")

    def format(self, record: logging.LogRecord) -> str:
        """Return the line. A line's end inside it would let others write lines of their own."""
        return " | ".join(super().format(record).splitlines())[:MAX_LINE_CHARACTERS]


def start_logging(stream: TextIO | None = None) -> None:
    """Send all loggers' lines to a stream, standard error by default."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()  # the command line is another's; absl would wait for it, and say so
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
