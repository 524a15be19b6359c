"""vetchusher: an ingress that admits by plan and routes to share servers.

Usage:
  vetchusher serve [--config FILE]
  vetchusher check-config [--config FILE]
  vetchusher version
  vetchusher (-h | --help)

Commands:
  serve         Run one ingress in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, say what it holds, and end.
  version       Print the version.

Options:
  --config FILE  The configuration; without it, the file that NODE_CONFIG names.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys

import uvloop
from docopt import docopt

from vetchusher import __version__

from . import config as configuration
from .ingress import Ingress

MOST_LINES, MOST_CHARACTERS = 20, 2_000


class Bounded(logging.Formatter):
    """Lines of bounded length: others choose what some of them quote."""

    def format(self, record: logging.LogRecord) -> str:
        return super().format(record)[:MOST_CHARACTERS]


class FewLines(logging.Filter):
    """So many lines a second at most: junk from outside must not turn the log into work."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second, self.lines = int(record.created), 0
        self.lines += 1
        return self.lines <= MOST_LINES


def start_logging() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(Bounded("%(asctime)s %(levelname)s %(message)s"))
    handler.addFilter(FewLines())
    logging.getLogger().addHandler(handler)
    logging.getLogger().setLevel(logging.INFO)


async def serve(config: configuration.Config, path: str) -> None:
    # What start-up made lives as long as the process: the collector need not walk it again and again.
    gc.collect()
    gc.freeze()
    await Ingress(config, asyncio.get_running_loop(), path).run()


def main(argv: list[str]) -> int:
    given = docopt(__doc__, argv)
    if given["version"]:
        print(f"vetchusher {__version__}")
        return 0
    path = given["--config"] or os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise configuration.ConfigError("no configuration: give --config or set NODE_CONFIG")
        config = configuration.load(path)
        if given["check-config"]:
            classes = ", ".join(c.name for c in config.settings.classes)
            plans = ", ".join(p.name for p in config.settings.plans)
            host, port = config.listen
            print(f"{config.name}: listens at {host}:{port}; classes {classes}; plans {plans}")
            return 0
        start_logging()
        uvloop.run(serve(config, path))
    except configuration.ConfigError as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"vetchusher: cannot serve: {err}", file=sys.stderr)
        return 1
    return 0
