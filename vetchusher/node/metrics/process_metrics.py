"""Metrics that every process has: events of its log, and the lag of its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge

from vetchusher.events import LogEvent

PROBE_INTERVAL_S = 0.5
# Number of probes whose maximum lag is reported. They span 5 s, so scrapes every 5 s miss no probe.
PROBE_COUNT = 10


class ProcessMetrics:
    """Owns a process's registry, the counter of its events, and the probe of its event loop."""

    def __init__(self, node_name: str, zone: str, region: str) -> None:
        """Create a registry with the process's name and place."""
        self.registry = CollectorRegistry()
        self.events = Counter(
            "vetchusher_events",
            "Events written to the log, by name; docs/events.md explains each.",
            ["event"],
            registry=self.registry,
        )
        self.loop_lag = Gauge(
            "vetchusher_loop_lag_seconds",
            f"Longest delay of a timer of the event loop in the last {PROBE_INTERVAL_S * PROBE_COUNT:g} s.",
            registry=self.registry,
        )
        info = Gauge(
            "vetchusher_node_info",
            "Always 1; its labels name the process.",
            ["node", "zone", "region"],
            registry=self.registry,
        )
        info.labels(node_name, zone, region).set(1)

    def counting(self, log_event: Callable[[LogEvent], None]) -> Callable[[LogEvent], None]:
        """Return a function that counts an event and passes it to `log_event`."""

        def count_and_log(event: LogEvent) -> None:
            self.events.labels(event.event.name.lower()).inc()
            log_event(event)

        return count_and_log

    async def probe_loop(self) -> None:
        """Measure the delay of timers until cancelled."""
        loop = asyncio.get_running_loop()
        lags = [0.0] * PROBE_COUNT
        while True:
            due = loop.time() + PROBE_INTERVAL_S
            await asyncio.sleep(PROBE_INTERVAL_S)
            lags = [*lags[1:], max(0.0, loop.time() - due)]
            self.loop_lag.set(max(lags))
