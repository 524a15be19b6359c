"""The dependencies of every part of a process: event loop, settings, network, clock, RNG and log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from vetchusher.events import LogEvent
from vetchusher.settings.node import NodeSettings

from .peer_network import PeerNetwork


@dataclass(slots=True)
class NodeContext:
    """The dependencies that a process passes to its parts.

    :param settings: replaced when the settings file changes
    :param now: returns the time, in microseconds of the steady clock
    :param process_began_at: us; the process had no effect on others before; 0: use the parts' creation time
    """

    loop: asyncio.AbstractEventLoop
    settings: NodeSettings
    network: PeerNetwork
    rng: random.Random
    now: Callable[[], int]
    log_event: Callable[[LogEvent], None]
    process_began_at: int = 0

    @property
    def own_ip(self) -> str:
        """Address by which peers know this machine."""
        return self.settings.ip_address

    @property
    def seeds(self) -> list[str]:
        """Addresses of the seed nodes, which are contacted first."""
        return [host for host, _ in self.settings.seed_nodes]
