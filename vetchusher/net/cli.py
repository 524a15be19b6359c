"""vetchusher: an ingress that admits by plan and routes to share servers.

Usage:
  vetchusher serve [--config FILE] [--limits FILE]
  vetchusher check-config [--config FILE] [--limits FILE]
  vetchusher version
  vetchusher (-h | --help)

Commands:
  serve         Run one ingress in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, say what it holds, and end.
  version       Print the version.

Options:
  --config FILE  The configuration; without it, the file that NODE_CONFIG names.
  --limits FILE  How quotas are kept while the counter fails, as in deploy/limits.json; without it, by the
                 figures of that file.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys

import uvloop
from docopt import docopt

from vetchusher import __version__
from vetchusher.limits import Tuning
from vetchusher.settings import SettingsError

from . import config as configuration
from .ingress import Ingress
from .logs import start_logging


async def serve(config: configuration.Config, path: str, tuning: Tuning | None) -> None:
    # What start-up made lives as long as the process: the collector need not walk it again and again.
    gc.collect()
    gc.freeze()
    await Ingress(config, asyncio.get_running_loop(), path, tuning).run()


def read_tuning(path: str | None) -> Tuning | None:
    if not path:
        return None
    # Loaded where there is a file to check: the schema library takes time and memory at every start.
    from vetchusher.settings.limits import read_limits

    return read_limits(path)


def main(argv: list[str]) -> int:
    given = docopt(__doc__, argv)
    if given["version"]:
        print(f"vetchusher {__version__}")
        return 0
    path = given["--config"] or os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise configuration.ConfigError("no configuration: give --config or set NODE_CONFIG")
        config = configuration.load(path, os.environ)
        tuning = read_tuning(given["--limits"])
        if given["check-config"]:
            classes = ", ".join(c.name for c in config.settings.classes)
            plans = ", ".join(p.name for p in config.settings.plans)
            host, port = config.listen
            print(f"{config.name}: listens at {host}:{port}; classes {classes}; plans {plans}")
            sealed = "sealed" if tuning is not None and tuning.key is not None else "not sealed"
            print(f"messages between ingresses: {sealed if config.settings.peers else 'off'}")
            return 0
        start_logging()
        uvloop.run(serve(config, path, tuning))
    except (configuration.ConfigError, SettingsError) as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"vetchusher: cannot serve: {err}", file=sys.stderr)
        return 1
    return 0
