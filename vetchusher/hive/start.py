"""Reads the settings of one process and runs it."""

from __future__ import annotations

import sys

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
    return run(settings.unwrap(), path)


def unusable(line: str) -> int:
    print(f"vetchusher: {line}", file=sys.stderr)
    return UNUSABLE
