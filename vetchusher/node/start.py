"""Reads the settings of one process and runs it."""

from __future__ import annotations

import logging
import os
import sys
import threading
from typing import TYPE_CHECKING

from returns.result import Failure

from vetchusher.settings.node import read_node_settings

if TYPE_CHECKING:  # imported at run time only if metrics are enabled
    from vetchusher.node.metrics.address import MetricsAddress

SETTINGS_VARIABLE = "VETCHUSHER_CONFIG"
EXIT_UNUSABLE = 2


def start(path: str, metrics: str = "") -> int:
    """Run one process until a signal stops it; return the exit code.

    :param path: the settings file; empty: the settings are missing
    :param metrics: `PORT/PATH` at which metrics are served; empty: metrics are disabled
    """
    if not path:
        return report_unusable(f"no settings: give --config or set {SETTINGS_VARIABLE}")
    settings = read_node_settings(path)
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
    """Return the exit code, or end the process at once if other threads are still running.

    Python waits for every thread at exit, and a thread that writes to a hung disk would outlast the grace
    period. All connections are closed by now, and no write that is not yet synced was acknowledged.
    """
    if any(thread is not threading.main_thread() for thread in threading.enumerate()):
        logging.shutdown()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    return code


def report_unusable(line: str) -> int:
    """Print why the settings cannot be used, and return `EXIT_UNUSABLE`."""
    print(f"vetchusher: {line}", file=sys.stderr)
    return EXIT_UNUSABLE
