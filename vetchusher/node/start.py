"""Reads the settings of one process and runs it."""

from __future__ import annotations

import logging
import os
import sys
import threading

from returns.result import Failure

from vetchusher.settings.node import read_node

CONFIG = "VETCHUSHER_CONFIG"
UNUSABLE = 2


def start(path: str) -> int:
    """Run by the settings file until asked to stop; the exit code."""
    if not path:
        return unusable(f"no settings: give --config or set {CONFIG}")
    settings = read_node(path)
    if isinstance(settings, Failure):
        return unusable(settings.failure().text)
    from .log import start_logging
    from .process import run

    start_logging()
    return end(run(settings.unwrap(), path))


def end(code: int) -> int:
    """Danger: Python waits for every thread, and one that writes to a disk that hangs would outlive the
    grace.  All that was to be told and closed has been; what is not synced was told to nobody."""
    if any(thread is not threading.main_thread() for thread in threading.enumerate()):
        logging.shutdown()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)
    return code


def unusable(line: str) -> int:
    print(f"vetchusher: {line}", file=sys.stderr)
    return UNUSABLE
