"""Assembles the metrics of a process: registry, collectors of its parts, event-loop probe and listener."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from vetchusher.events import Event, LogEvent
from vetchusher.settings.node import NodeSettings

from .address import MetricsAddress
from .listener import metrics_endpoint
from .process_metrics import ProcessMetrics

if TYPE_CHECKING:  # each is imported at run time only if the process has that part
    from vetchusher.node.control_node import ControlNode
    from vetchusher.node.edge_node import EdgeNode


class MetricsExporter:
    """Owns a process's metrics from `open` to `close`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: NodeSettings, address: MetricsAddress
    ) -> None:
        """Create the metrics that every process has."""
        self.settings = settings
        self.address = address
        self.process = ProcessMetrics(settings.node_name, settings.zone, settings.region)
        self.listener = metrics_endpoint(loop, self.process.registry, address.path)
        self.loop = loop
        self.probe: asyncio.Task[None] | None = None

    def add_edge(self, node: EdgeNode) -> None:
        """Add the metrics of an edge node."""
        from .edge_metrics import register_edge_metrics

        register_edge_metrics(self.process.registry, node)

    def add_control(self, node: ControlNode) -> None:
        """Add the metrics of a control node."""
        from .control_metrics import register_control_metrics

        register_control_metrics(self.process.registry, node)

    async def open(self, log_event: Callable[[LogEvent], None]) -> None:
        """Start the probe and listen; if the port is in use, log it and go on without a listener."""
        self.probe = self.loop.create_task(self.process.probe_loop())
        try:
            await self.listener.open(self.settings.ip_address, self.address.port)
        except OSError as error:
            facts = {"port": self.address.port, "why": error.strerror or str(error)}
            log_event(LogEvent(Event.METRICS_UNAVAILABLE, facts))

    async def close(self) -> None:
        """Stop the probe and close the listener."""
        if self.probe is not None:
            self.probe.cancel()
        await self.listener.close()
