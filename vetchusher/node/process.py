"""One process of the system: what its settings ask for, put together, run, and taken apart in order."""

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
from typing import Protocol

import uvloop
from returns.result import Failure, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent
from vetchusher.settings.node import NodeSettings, read_node

from .log import log_event
from .peer_network import Channel, PeerNetwork

SETTINGS_POLL_S = 1.0  # between two looks at the settings file, which may change without a signal
MAX_CONFIGURATION_BYTES = (
    16 << 20
)  # bytes: with what is around it, it has to fit into one frame (`paths.MOST_FRAME`)
MEMORY_FRACTION = (
    64  # of memory, one of them for configurations: of the worst form, one takes 36 times its length to read
)
TEARDOWN_S = 0.4  # of the grace: kept for taking things apart


class Part(Protocol):
    """What a process does beside the paths between processes."""

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None: ...

    async def run(self) -> None: ...

    def update_settings(self, node: NodeSettings) -> None: ...

    def begin_shut_down(self) -> None: ...

    async def close(self, deadline_s: float) -> None: ...


class Listener(Protocol):
    def open(self) -> None: ...

    async def close(self) -> None: ...


def steady_us() -> int:
    return time.monotonic_ns() // 1000


def max_configuration_bytes(settings: NodeSettings) -> int:
    """Bytes that an operator's configuration may have, and all that come at one time."""
    return min(MAX_CONFIGURATION_BYTES, settings.limits.memory_mb * (1 << 20) // MEMORY_FRACTION)


class Process:
    def __init__(self, loop: asyncio.AbstractEventLoop, settings: NodeSettings, settings_path: str) -> None:
        self.loop, self.settings, self.settings_path = loop, settings, settings_path
        self.rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.log_event: Callable[[LogEvent], None] = log_event
        self.network = PeerNetwork(
            loop,
            settings.ip_address,
            settings.zone,
            settings.internal_ports[0],
            self.on_frame,
            self.log_event,
        )
        self.parts: list[Part] = []
        self.listeners: list[Listener] = []
        self.stop_requested = asyncio.Event()
        self.settings_version = self.read_settings_version()

    def on_frame(self, frame: wire.Frame, channel: Channel) -> None:
        for part in self.parts:
            part.on_frame(frame, channel)

    async def start_parts(self) -> str:
        """Put together what the settings ask for; a line if that cannot be done."""
        settings = self.settings
        if settings.data_directory:
            fault = await self.start_control()
            if fault:
                return fault
        if "edge" in settings.serves:
            from .edge_node import EdgeNode

            edge = EdgeNode(self.loop, settings, self.network, self.rng, steady_us, self.log_event)
            self.parts.append(edge)
            await edge.open()
            if settings.listen.directory is not None and not settings.data_directory:
                from .api_listener import DirectoryApi

                door = DirectoryApi(edge.execute, settings.listen.directory)
                self.listeners.append(door)
                door.open()
        await self.network.open()
        return ""

    async def start_control(self) -> str:
        from vetchusher.control import Store
        from vetchusher.distribution.snapshot import SnapshotStore

        from .api_listener import ControlApi, DirectoryApi
        from .context import NodeContext
        from .control_node import ControlNode

        settings = self.settings
        opened = Store.open(settings.data_directory, settings.limits.disk_mb)
        if isinstance(opened, Failure):
            return str(opened.failure().text)
        store = opened.unwrap()
        loaded = store.load()
        stored, first_start = None, settings.first_start
        match loaded:
            case Success(found):
                stored = found
            case Failure(fault):
                # What cannot be read whole is forgotten: this machine votes for nothing until it has learnt.
                self.log_event(LogEvent(Event.STORE_FAILED, {"why": fault.text}))
                first_start = False
        if not first_start or store.imported_state is not None:
            settings = replace(settings, first_start=False)
        snapshots = SnapshotStore.open(settings.data_directory, settings.limits.disk_mb)
        if isinstance(snapshots, Failure):
            self.log_event(LogEvent(Event.STORE_FAILED, {"why": snapshots.failure().text}))
        context = NodeContext(self.loop, settings, self.network, self.rng, steady_us, self.log_event)
        control_node = ControlNode(context, store, stored, snapshots.value_or(None))
        self.parts.append(control_node)
        if settings.listen.control is not None:
            most = max_configuration_bytes(settings)
            self.listeners.append(
                ControlApi(control_node.execute, settings.listen.control, most, control_node.on_rejected)
            )
        if settings.listen.directory is not None:
            self.listeners.append(DirectoryApi(control_node.execute, settings.listen.directory))
        for door in self.listeners:
            door.open()
        return ""

    async def run(self) -> int:
        fault = await self.start_parts()
        if fault:
            print(fault, file=sys.stderr)
            return 2
        gc.freeze()
        gc.enable()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_settings)
        self.log_event(
            LogEvent(
                Event.STARTED,
                {"node": self.settings.node_name, "serves": ",".join(sorted(self.settings.serves))},
            )
        )
        tasks = [self.loop.create_task(part.run()) for part in self.parts]
        tasks.append(self.loop.create_task(self.watch_settings()))
        await self.stop_requested.wait()
        self.log_event(LogEvent(Event.STOPPING))
        end = self.loop.time() + max(0.5, self.settings.bounds.grace_s - TEARDOWN_S)
        for part in self.parts:
            part.begin_shut_down()
        await asyncio.gather(*(part.close(end) for part in self.parts))
        for door in self.listeners:
            await door.close()
        for task in tasks:
            task.cancel()
        await self.network.close()
        self.log_event(LogEvent(Event.STOPPED))
        return 0

    # -- settings that change ---------------------------------------------------------------

    def read_settings_version(self) -> tuple[int, int]:
        try:
            found = os.stat(self.settings_path)
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_size

    async def watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self.read_settings_version() != self.settings_version:
                self.reload_settings()

    def reload_settings(self) -> None:
        """Take new seeds from the settings file; one that cannot be used changes nothing."""
        self.settings_version = self.read_settings_version()
        match read_node(self.settings_path):
            case Success(settings):
                self.settings = settings
                for part in self.parts:
                    part.update_settings(settings)
                self.log_event(LogEvent(Event.SETTINGS_RELOADED))
            case Failure(fault):
                self.log_event(LogEvent(Event.SETTINGS_REJECTED, {"why": fault.text}))


def run(settings: NodeSettings, path: str) -> int:
    """Run one process until it is asked to stop; its exit code."""

    async def main() -> int:
        return await Process(asyncio.get_running_loop(), settings, path).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
