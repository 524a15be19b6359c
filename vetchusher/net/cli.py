"""vetchusher: an ingress that admits by plan and routes to share servers.

Usage:
  vetchusher serve [--config FILE] [--limits FILE] [--fleet FILE]
  vetchusher check-config [--config FILE] [--limits FILE] [--fleet FILE]
  vetchusher fleet (duties | report) --console ADDRESS
  vetchusher fleet members [--watch] --console ADDRESS
  vetchusher fleet move DUTY NUMBER --console ADDRESS
  vetchusher fleet free (on | off) --console ADDRESS
  vetchusher version
  vetchusher (-h | --help)

Commands:
  serve         Run one ingress in the foreground until SIGTERM; SIGHUP reads the configuration again.
  check-config  Read the configuration, say what it holds, and end.
  fleet         Ask an ingress's second address: which duties are held where, the last report of the fleet,
                whom it takes to serve;
                hand a duty that it holds to another ingress; keep it free of duties. Tables on a terminal,
                JSON Lines to a pipe; code 3 where the ingress says no.
  version       Print the version.

Options:
  --config FILE  The configuration; without it, the file that NODE_CONFIG names.
  --limits FILE  How quotas are kept while the counter fails, as in deploy/limits.json; without it, by the
                 figures of that file.
  --fleet FILE   What the ingresses of the tier do together, as in deploy/fleet.json; without it, nothing.
  --watch        Ask again each second, until interrupted.
  --console ADDRESS  The second address of an ingress, as HOST:PORT.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from typing import TYPE_CHECKING

import uvloop
from docopt import docopt

from vetchusher import __version__
from vetchusher.limits import Tuning
from vetchusher.settings import SettingsError

from . import config as configuration
from .ingress import LoadBalancer
from .logs import start_logging

if TYPE_CHECKING:
    from vetchusher.settings.fleet import FleetSettings


async def serve(
    config: configuration.Config, config_path: str, tuning: Tuning | None, fleet: FleetSettings | None
) -> None:
    """Run one load balancer until it is asked to stop."""
    # Objects created at start-up live as long as the process: exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    await LoadBalancer(config, asyncio.get_running_loop(), config_path, tuning, fleet).run()


def read_tuning(path: str | None) -> Tuning | None:
    """Read the file of `--limits`; None without one.

    :raises SettingsError: if it cannot be used
    """
    if not path:
        return None
    # Imported only if there is a file to check: the schema library costs time and memory at every start.
    from vetchusher.settings.limits import read_limits

    return read_limits(path)


def read_fleet_file(path: str | None, config: configuration.Config) -> FleetSettings | None:
    """Read the file of `--fleet`; None without one.

    :raises ConfigError, SettingsError: if it cannot be used
    """
    if not path:
        return None
    from vetchusher.settings.fleet import read_fleet

    if not config.settings.peers:
        raise configuration.ConfigError(
            f"{path}: needs settings.limits.peers, peer_listen and an address in peers for each ingress"
        )
    return read_fleet(path, config.settings.gateways, config.settings.peer_datagrams_per_s)


def main(argv: list[str]) -> int:
    """Run the command line `argv` and return the exit code: 0, 1 if it cannot serve, 2 for invalid input."""
    arguments = docopt(__doc__, argv)
    if arguments["fleet"]:
        from .fleet_cli import fleet_command

        return fleet_command(arguments)
    if arguments["version"]:
        print(f"vetchusher {__version__}")
        return 0
    path = arguments["--config"] or os.environ.get("NODE_CONFIG", "")
    try:
        if not path:
            raise configuration.ConfigError("no configuration: give --config or set NODE_CONFIG")
        config = configuration.load(path, os.environ)
        tuning = read_tuning(arguments["--limits"])
        fleet = read_fleet_file(arguments["--fleet"], config)
        if arguments["check-config"]:
            classes = ", ".join(c.name for c in config.settings.classes)
            plans = ", ".join(p.name for p in config.settings.plans)
            host, port = config.listen
            print(f"{config.name}: listens at {host}:{port}; classes {classes}; plans {plans}")
            sealed = "sealed" if tuning is not None and tuning.key is not None else "not sealed"
            print(f"messages between ingresses: {sealed if config.settings.peers else 'off'}")
            if fleet is not None:
                voters = ", ".join(map(str, fleet.plan.voters))
                duties = ", ".join(d.name for d in fleet.plan.duties)
                replaced_ms = fleet.plan.timing.max_vacancy_us // 1000
                print(f"duties {duties}; voters {voters}; a lost holder is replaced within {replaced_ms} ms")
                if fleet.members is not None:
                    death_ms, gap_ms = (
                        fleet.members.detection_bound_us // 1000,
                        fleet.members.max_pause_us // 1000,
                    )
                    print(
                        f"membership: pauses of {gap_ms} ms are borne; a death is known within {death_ms} ms"
                    )
            return 0
        start_logging()
        uvloop.run(serve(config, path, tuning, fleet))
    except (configuration.ConfigError, SettingsError) as err:
        print(f"vetchusher: {err}", file=sys.stderr)
        return 2
    except OSError as err:
        print(f"vetchusher: cannot serve: {err}", file=sys.stderr)
        return 1
    return 0
