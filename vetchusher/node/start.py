"""Reads the settings of one process and runs it."""

from __future__ import annotations

import logging
import os
import sys
import threading
from typing import TYPE_CHECKING

from returns.result import Failure

from vetchusher.settings.node import read_node

if TYPE_CHECKING:  # loaded only where metrics are on
    from vetchusher.node.metrics.address import MetricsAddress

SETTINGS_VARIABLE = "VETCHUSHER_CONFIG"
EXIT_UNUSABLE = 2


def start(path: str, metrics: str = "") -> int:
    """Run by a settings file until asked to stop; return the exit code.

    :param metrics: `PORT/PATH` at which metrics are read; empty: they are off
    """
    if not path:
        return report_unusable(f"no settings: give --config or set {SETTINGS_VARIABLE}")
    settings = read_node(path)
    if isinstance(settings, Failure):
        return report_unusable(settings.failure().text)
    address: MetricsAddress | None = None
    if metrics:
        from vetchusher.node.metrics.address import parse_address

        parsed = parse_address(metrics)
        if isinstance(parsed, Failure):
            return report_unusable(parsed.failure().text)
        address = parsed.unwrap()
    from .log import start_logging
    from .process import run

    start_logging()
    return exit_with(run(settings.unwrap(), path, address))


def exit_with(code: int) -> int:
    """Return the exit code, or end here where a thread would hold the process up.

    Python waits for every thread, and one that writes to a disk that hangs would outlive the grace. All that
    was to be sent and closed has been; what is not synced was acknowledged to nobody.
    """
    if any(thread is not threading.main_thread() for thread in threading.enumerate()):
        logging.shutdown()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    return code


def report_unusable(line: str) -> int:
    """Print why the settings cannot be used, and return the exit code for it."""
    print(f"vetchusher: {line}", file=sys.stderr)
    return EXIT_UNUSABLE
