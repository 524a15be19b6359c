"""One process of the system: starts the parts that its settings ask for, and shuts them down."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

import uvloop
from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import Error
from vetchusher.events import Event, LogEvent
from vetchusher.settings.node import NodeSettings, read_node_settings

from .context import NodeContext
from .log import log_event
from .peer_network import Channel, PeerNetwork

if TYPE_CHECKING:  # imported at run time only if a control node or metrics are enabled
    from vetchusher.control import PersistentState, Store
    from vetchusher.distribution.snapshot import SnapshotStore
    from vetchusher.node.metrics.address import MetricsAddress
    from vetchusher.node.metrics.exporter import MetricsExporter

    from .control_node import ControlNode

EXIT_UNUSABLE = 2  # the settings, or a file that they name, cannot be used
MIN_GRACE_S = 0.5  # for draining, however short the grace period of the settings is
SETTINGS_POLL_S = 1.0  # between two checks of the settings file, which may change without a SIGHUP
# A configuration and its envelope have to fit into one frame (`peer_network.MAX_FRAME_BYTES`).
MAX_CONFIGURATION_BYTES = 16 << 20
# A configuration may take the machine's memory divided by this: parsing the worst case takes 36 times its
# length.
CONFIGURATION_MEMORY_DIVISOR = 64
MAX_START_UP_US = 300_000  # limit on the processor time that counts as time since the process started
TEARDOWN_S = 0.4  # end of the grace period, reserved for closing listeners and connections


class Part(Protocol):
    """An edge node or a control node, as its process sees it."""

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Handle a frame of another process."""

    async def run(self) -> None:
        """Run until cancelled."""

    def update_settings(self, settings: NodeSettings) -> None:
        """Apply reloaded settings."""

    def begin_shut_down(self) -> None:
        """Begin to drain."""

    async def close(self, deadline_s: float) -> None:
        """Drain until the deadline, in seconds on the loop's clock, and close."""


class Listener(Protocol):
    """A listener of the HTTP API."""

    def open(self) -> None:
        """Listen."""

    async def close(self) -> None:
        """Close the listener and its connections."""


def steady_us() -> int:
    """Return the time, in microseconds of the steady clock."""
    return time.monotonic_ns() // 1000


def start_up_us() -> int:
    """Return the minimum age of this process in us: its processor time, at most `MAX_START_UP_US`."""
    return min(MAX_START_UP_US, time.process_time_ns() // 1000)


def block_signals() -> None:
    """Block further signals, so that a process that has shut down in order ends with its own exit code.

    The event loop removes its signal handlers when it is closed; a SIGHUP after that would kill the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def max_configuration_bytes(settings: NodeSettings) -> int:
    """Return the maximum bytes of one configuration, and of all that are received at the same time."""
    return min(MAX_CONFIGURATION_BYTES, settings.limits.memory_mb * (1 << 20) // CONFIGURATION_MEMORY_DIVISOR)


class Process:
    """One process: the parts that its settings ask for, the listeners of its HTTP API, and its network."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: NodeSettings,
        settings_path: str,
        metrics: MetricsAddress | None = None,
    ) -> None:
        """Create a process; `run` starts it.

        :param settings_path: file that is watched for changes
        :param metrics: where metrics are served; None: metrics are disabled
        """
        self.loop, self.settings, self.settings_path = loop, settings, settings_path
        self.began_at = steady_us() - start_up_us()
        self.rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.log_event: Callable[[LogEvent], None] = log_event
        self.exporter: MetricsExporter | None = None
        if metrics is not None:
            from vetchusher.node.metrics.exporter import MetricsExporter

            self.exporter = MetricsExporter(loop, settings, metrics)
            self.log_event = self.exporter.process.counting(log_event)
        address, port = settings.ip_address, settings.internal_ports[0]
        self.network = PeerNetwork(loop, address, settings.zone, port, self.on_frame, self.log_event)
        self.parts: list[Part] = []
        self.listeners: list[Listener] = []
        self.stop_requested = asyncio.Event()
        self.settings_version = self.read_settings_version()

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        """Pass a frame of another process to all parts."""
        for part in self.parts:
            part.on_frame(frame, channel)

    def context(self) -> NodeContext:
        """Return the dependencies that each part is given."""
        return NodeContext(
            self.loop,
            self.settings,
            self.network,
            self.rng,
            steady_us,
            self.log_event,
            self.began_at,
        )

    # -- start -----------------------------------------------------------------------------------

    async def start_parts(self) -> Result[None, Error]:
        """Start the parts that the settings ask for, the network, and metrics."""
        if self.settings.data_directory:
            started = self.start_control()
            if isinstance(started, Failure):
                return started
        if "edge" in self.settings.serves:
            await self.start_edge()
        await self.network.open()
        if self.exporter is not None:
            await self.exporter.open(self.log_event)
        return Success(None)

    async def start_edge(self) -> None:
        """Start an edge node, and the directory's listener unless a control node opens it."""
        from .edge_node import EdgeNode

        settings = self.settings
        edge = EdgeNode(self.context())
        self.parts.append(edge)
        if self.exporter is not None:
            self.exporter.add_edge(edge)
        await edge.open()
        if settings.listen.directory is not None and not settings.data_directory:
            from .api_listener import DirectoryApi

            listener = DirectoryApi(edge.execute, settings.listen.directory)
            self.listeners.append(listener)
            listener.open()

    def start_control(self) -> Result[None, Error]:
        """Start a control node with its data folder, and its listeners."""
        from vetchusher.control import Store

        from .control_node import ControlNode

        settings = self.settings
        opened = Store.open(settings.data_directory, settings.limits.disk_mb)
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        store = opened.unwrap()
        stored, first_start = self.load_state(store)
        if not first_start or store.imported_state is not None:
            settings = replace(settings, first_start=False)
        context = self.context()
        context.settings = settings
        control_node = ControlNode(context, store, stored, self.open_snapshots())
        self.parts.append(control_node)
        if self.exporter is not None:
            self.exporter.add_control(control_node)
        self.open_control_listeners(control_node)
        return Success(None)

    def load_state(self, store: Store) -> tuple[PersistentState | None, bool]:
        """Return a store's state, and whether this may be the first start of the system.

        Safety: a state that cannot be read is treated as lost: this machine does not vote until it has
        recovered its votes from the other machines.
        """
        match store.load():
            case Success(stored):
                return stored, self.settings.first_start
            case Failure(error):
                self.log_event(LogEvent(Event.STORE_FAILED, {"why": error.text}))
        return None, False

    def open_snapshots(self) -> SnapshotStore | None:
        """Open the snapshots of published sources.

        :returns: None if they cannot be opened: this machine then starts with nothing to publish
        """
        from vetchusher.distribution.snapshot import SnapshotStore

        opened = SnapshotStore.open(self.settings.data_directory, self.settings.limits.disk_mb)
        if isinstance(opened, Failure):
            self.log_event(LogEvent(Event.STORE_FAILED, {"why": opened.failure().text}))
        return opened.value_or(None)

    def open_control_listeners(self, control_node: ControlNode) -> None:
        """Open the listeners for operators and for clients' resolvers that the settings name."""
        from .api_listener import ControlApi, DirectoryApi

        listen = self.settings.listen
        if listen.control is not None:
            max_bytes = max_configuration_bytes(self.settings)
            self.listeners.append(
                ControlApi(control_node.execute, listen.control, max_bytes, control_node.on_rejected)
            )
        if listen.directory is not None:
            self.listeners.append(DirectoryApi(control_node.execute, listen.directory))
        for listener in self.listeners:
            listener.open()

    # -- run and shut down -----------------------------------------------------------------------

    async def run(self) -> int:
        """Run until SIGTERM or SIGINT; return the exit code."""
        started = await self.start_parts()
        if isinstance(started, Failure):
            print(started.failure().text, file=sys.stderr)
            return EXIT_UNUSABLE
        gc.freeze()
        gc.enable()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        facts = {"node": self.settings.node_name, "serves": ",".join(sorted(self.settings.serves))}
        self.log_event(LogEvent(Event.STARTED, {**facts}))
        tasks = [self.loop.create_task(part.run()) for part in self.parts]
        tasks.append(self.loop.create_task(self.watch_settings()))
        await self.stop_requested.wait()
        await self.shut_down(tasks)
        block_signals()
        return 0

    async def shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        """Drain all parts within the grace period, then close listeners, tasks and network in this order."""
        self.log_event(LogEvent(Event.STOPPING))
        grace_s = max(MIN_GRACE_S, self.settings.bounds.grace_s - TEARDOWN_S)
        deadline_s = self.loop.time() + grace_s
        for part in self.parts:
            part.begin_shut_down()
        await asyncio.gather(*(part.close(deadline_s) for part in self.parts))
        for listener in self.listeners:
            await listener.close()
        for task in tasks:
            task.cancel()
        if self.exporter is not None:
            await self.exporter.close()
        await self.network.close()
        self.log_event(LogEvent(Event.STOPPED))

    # -- reload of the settings -------------------------------------------------------------

    def read_settings_version(self) -> tuple[int, int]:
        """Return modification time (ns) and size (bytes) of the settings file; zeros if there is none."""
        try:
            found = os.stat(self.settings_path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    async def watch_settings(self) -> None:
        """Reload the settings whenever their file changes."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self.read_settings_version() != self.settings_version:
                self.reload_settings()

    def reload_settings(self) -> None:
        """Apply the seed nodes of the settings file; a file that cannot be used is logged and ignored."""
        self.settings_version = self.read_settings_version()
        match read_node_settings(self.settings_path):
            case Success(settings):
                self.settings = settings
                for part in self.parts:
                    part.update_settings(settings)
                self.log_event(LogEvent(Event.SETTINGS_RELOADED))
            case Failure(fault):
                self.log_event(LogEvent(Event.SETTINGS_REJECTED, {"why": fault.text}))


def run(settings: NodeSettings, path: str, metrics: MetricsAddress | None = None) -> int:
    """Run one process until it is asked to stop; return its exit code."""

    async def main() -> int:
        return await Process(asyncio.get_running_loop(), settings, path, metrics).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
