"""Assembles the parts of one load balancer process and shuts them down in order."""

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
from .instances import ServerAttempts
from .name_table import ServerList
from .peers import Peers
from .protocol import RequestReader
from .reducer import Reducer
from .runtime import Runtime
from .server import ClientServer

if TYPE_CHECKING:
    from vetchusher.settings.fleet import FleetSettings

    from .shared import SharedServices

log = logging.getLogger("vetchusher")

# Clients open connections and use existing ones for up to 0.4 s after SIGTERM.
SHUTDOWN_GRACE_US = 500_000
# Time after the longest deadline of a request; SIGKILL comes at least 0.7 s after that deadline.
SHUTDOWN_MARGIN_US = 100_000


class LoadBalancer:
    """One load balancer: the policy and the sockets, timers and files that it uses."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        config_path: str = "",
        tuning: Tuning | None = None,
        fleet: FleetSettings | None = None,
    ) -> None:
        """Create all parts; nothing is opened yet.

        :param config_path: file from which SIGHUP reads the configuration again
        :param tuning: how quotas are kept while the counter fails; None for the defaults
        :param fleet: the work shared with the other load balancers; None where it is off
        """
        self.config = config
        self.config_path = config_path  # read again by `reload`
        self.loop = loop
        settings, connection_limits = config.settings, config.connection_limits
        # Only the console sets exclusions; the previous process may have saved some.
        self.exclusions_path = handover.state_path(config.name) if config.console else None
        policy = AdmissionPolicy(settings, config.seed, tuning)
        reducer = Reducer(
            policy, settings, connection_limits.open_requests, handover.load_exclusions(self.exclusions_path)
        )
        self.runtime = Runtime(loop, reducer)
        self.clients = ClientServer(self.runtime, RequestReader(settings), connection_limits.clients)
        rng = random.Random(config.seed + 1)  # separate from the policy's random numbers
        self.server_list = ServerList(self.runtime, settings, config.discovery, self.server_list_changed, rng)
        self.server_attempts = ServerAttempts(
            self.runtime,
            settings,
            connection_limits.attempts,
            self.clients.forwarded_request,
            self.server_list.address_of,
        )
        self.counter = CounterCalls(self.runtime, config.counter, connection_limits.counter)
        self.peers = Peers(
            self.runtime, config.peer_listen, config.peers, config.peers_all, settings.peer_datagrams_per_s
        )
        self.runtime.attach(self.clients, self.server_attempts, self.counter, self.peers)
        self.shared: SharedServices | None = None
        if fleet is not None:
            # Imported only where it is switched on, to keep other starts small.
            from .shared import SharedServices

            self.shared = SharedServices(self.runtime, config, fleet, rng, config_path)
        self.console: Console | None = None
        if config.console is not None:
            self.console = Console(self.runtime, self.gauges)
            self.runtime.effect_handlers[fx.OperatorAnswer] = self.console.record_answer
            self.runtime.effect_handlers[fx.SaveExclusions] = lambda e: handover.save_exclusions(
                self.exclusions_path, e.servers
            )
        self.stop_requested = asyncio.Event()

    def gauges(self) -> dict[str, int]:
        """Return the current values that the console shows as gauges."""
        reducer = self.runtime.reducer
        return {
            "in_progress": reducer.open_request_count(),
            "known_share_servers": len(self.server_list.addresses),
            "skipped_share_servers": reducer.skipped_servers(),
        }

    def server_list_changed(self) -> None:
        """Close idle connections to servers that are no longer listed."""
        self.server_attempts.server_list_changed()

    def reload(self) -> None:
        """Take the addresses of discovery and counter from the configuration file; nothing else changes.

        Without a handler, SIGHUP would kill the process and with it every accepted request. An unusable file
        is logged and ignored.
        """
        try:
            new = load(self.config_path)
        except ConfigError as err:
            log.error("reload failed: %s; keeping the current configuration", err)
            return
        self.counter.change_address(new.counter)
        self.server_list.change_address(new.discovery)
        log.info("reloaded: discovery %s, counter %s", new.discovery, new.counter)

    async def start(self) -> None:
        """Open all sockets, start the watch on the server list and install the signal handlers.

        :raises OSError: if an address cannot be bound
        """
        if self.console is not None and self.config.console is not None:
            await self.console.open(*self.config.console)
        await self.peers.open()
        self.clients.listener.open(*self.config.listen, self.config.socket_fd)
        self.server_list.start(self.config.known)
        if self.shared is not None:
            self.shared.open()
            if self.console is not None:
                self.console.shared = self.shared
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        log.info("%s listens at %s:%d", self.config.name, *self.config.listen)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        await self.start()
        await self.stop_requested.wait()
        await self.finish()

    async def finish(self) -> None:
        """Shut down: keep accepting for the grace period, then finish the open requests.

        It ends at the latest when the longest deadline of a request, counted from the end of the grace
        period, is over.
        """
        runtime = self.runtime
        runtime.feed(fx.StopRequested())
        longest_deadline_us = max(c.deadline for c in self.config.settings.classes)
        end_at = self.loop.time() + (SHUTDOWN_GRACE_US + SHUTDOWN_MARGIN_US + longest_deadline_us) / 1e6
        await asyncio.sleep(SHUTDOWN_GRACE_US / 1e6)
        await self.clients.listener.close()
        while self.clients.listener.connections and self.loop.time() < end_at:
            await asyncio.sleep(0.01)
        self.clients.listener.stop()
        await self.server_list.close()
        await self.server_attempts.close()
        await self.counter.close()
        if self.shared is not None:
            await self.shared.close()
        self.peers.close()
        if self.console is not None:
            await self.console.close()
        log.info("%s ends", self.config.name)
