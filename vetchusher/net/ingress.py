"""Puts the parts of one ingress together, and takes them apart in order when it is asked to stop."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from typing import TYPE_CHECKING

from vetchusher.limits import Tuning
from vetchusher.policy import AdmissionPolicy

from . import effects as fx
from . import handover
from .config import Config, ConfigError, load
from .console import Console
from .counter import CounterCalls
from .instances import Instances
from .name_table import NameTable
from .peers import Peers
from .protocol import CommandReader
from .reducer import Reducer
from .runtime import Runtime
from .server import ServiceClients

if TYPE_CHECKING:
    from vetchusher.settings.fleet import FleetSettings

    from .shared import Shared

log = logging.getLogger("vetchusher")

# The front goes on for up to 0.4 s after SIGTERM to open connections and use the ones it has.
GRACE_US = 500_000
AFTER_GRACE_US = 100_000  # beyond the longest deadline: SIGKILL comes 0.7 s after that at the soonest


class Ingress:
    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        path: str = "",
        tuning: Tuning | None = None,
        fleet: FleetSettings | None = None,
    ) -> None:
        """:param fleet: what the ingresses of the tier do together; none where it is off"""
        self.config = config
        self.path = path  # where the configuration is read again
        self.loop = loop
        settings, bounds = config.settings, config.bounds
        # Exclusions come only by the second address; a process before this one may have left some.
        self.kept = handover.place(config.name) if config.console else None
        policy = AdmissionPolicy(settings, config.seed, tuning)
        reducer = Reducer(policy, settings, bounds.commands, handover.take(self.kept))
        self.runtime = Runtime(loop, reducer)
        self.clients = ServiceClients(self.runtime, CommandReader(settings), bounds.clients)
        rng = random.Random(config.seed + 1)  # apart from the module's own draws
        self.names = NameTable(self.runtime, settings, config.discovery, self.names_changed, rng)
        self.instances = Instances(
            self.runtime, settings, bounds.attempts, self.clients.payload, self.names.address_of
        )
        self.counter = CounterCalls(self.runtime, config.counter, bounds.counter)
        self.peers = Peers(
            self.runtime, config.peer_listen, config.peers, config.peers_all, settings.peer_in_per_s
        )
        self.runtime.attach(self.clients, self.instances, self.counter, self.peers)
        self.shared: Shared | None = None
        if fleet is not None:
            # Loaded where it is switched on only.
            from .shared import Shared

            self.shared = Shared(self.runtime, config, fleet, rng, path)
        self.console: Console | None = None
        if config.console is not None:
            self.console = Console(self.runtime, self.gauges)
            self.runtime.carriers[fx.Answered] = self.console.answered
            self.runtime.carriers[fx.KeepExclusions] = lambda e: handover.keep(self.kept, e.workers)
        self.stop = asyncio.Event()

    def gauges(self) -> dict[str, int]:
        """What holds now, for the second address."""
        reducer = self.runtime.reducer
        return {
            "in_progress": reducer.open_commands(),
            "known_share_servers": len(self.names.addresses),
            "skipped_share_servers": reducer.skipped(),
        }

    def names_changed(self) -> None:
        self.instances.names_changed()

    def reload(self) -> None:
        """Take the addresses of discovery and counter from a new configuration; all else stays as it is.

        Danger: SIGHUP kills a process that does not handle it, and with it every command taken.
        """
        try:
            new = load(self.path)
        except ConfigError as err:
            log.error("reload: %s; the old configuration stays", err)
            return
        self.counter.move(new.counter)
        self.names.move(new.discovery)
        log.info("reloaded: discovery %s, counter %s", new.discovery, new.counter)

    async def start(self) -> None:
        if self.console is not None and self.config.console is not None:
            await self.console.open(*self.config.console)
        await self.peers.open()
        self.clients.door.open(*self.config.listen, self.config.socket_fd)
        self.names.start(self.config.known)
        if self.shared is not None:
            self.shared.open()
            if self.console is not None:
                self.console.shared = self.shared
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        log.info("%s listens at %s:%d", self.config.name, *self.config.listen)

    async def run(self) -> None:
        await self.start()
        await self.stop.wait()
        await self.finish()

    async def finish(self) -> None:
        """Serve on for the grace, then finish what was taken, but no longer than any client waits."""
        runtime = self.runtime
        runtime.feed(fx.StopAsked())
        longest = max(c.deadline for c in self.config.settings.classes)
        last = self.loop.time() + (GRACE_US + AFTER_GRACE_US + longest) / 1e6
        await asyncio.sleep(GRACE_US / 1e6)
        await self.clients.door.close()
        while self.clients.door.links and self.loop.time() < last:
            await asyncio.sleep(0.01)
        self.clients.door.stop()
        await self.names.close()
        await self.instances.close()
        await self.counter.close()
        if self.shared is not None:
            await self.shared.close()
        self.peers.close()
        if self.console is not None:
            await self.console.close()
        log.info("%s ends", self.config.name)
