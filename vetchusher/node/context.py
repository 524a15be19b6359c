"""What every part of a process is given: its loop, settings, peers, clock, random numbers and log."""

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
    """The process as its parts see it.

    :param settings: replaced when the settings file changes
    :param now: microseconds of the steady clock
    :param process_began_at: us; this process did nothing for anybody before; 0: as its parts are made
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
        """Address of this machine, by which its peers know it."""
        return self.settings.ip_address

    @property
    def seeds(self) -> list[str]:
        """Addresses of the machines to ask first."""
        return [host for host, _ in self.settings.seed_nodes]
