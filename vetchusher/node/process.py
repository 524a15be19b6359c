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
from .paths import Channel, PeerNetwork

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


def max_configuration_bytes(node: NodeSettings) -> int:
    """Bytes that an operator's configuration may have, and all that come at one time."""
    return min(MAX_CONFIGURATION_BYTES, node.limits.memory_mb * (1 << 20) // MEMORY_FRACTION)


class Process:
    def __init__(self, loop: asyncio.AbstractEventLoop, node: NodeSettings, path: str) -> None:
        self.loop, self.node, self.path = loop, node, path
        self.rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.log_event: Callable[[LogEvent], None] = log_event
        self.network = PeerNetwork(
            loop, node.ip_address, node.zone, node.internal_ports[0], self.on_frame, self.log_event
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
        node = self.node
        if node.data_directory:
            fault = await self.start_control()
            if fault:
                return fault
        if "edge" in node.serves:
            from .edge_node import EdgeNode

            edge = EdgeNode(self.loop, node, self.network, self.rng, steady_us, self.log_event)
            self.parts.append(edge)
            await edge.open()
            if node.listen.directory is not None and not node.data_directory:
                from .api_listener import DirectoryApi

                door = DirectoryApi(edge.execute, node.listen.directory)
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

        node = self.node
        opened = Store.open(node.data_directory, node.limits.disk_mb)
        if isinstance(opened, Failure):
            return str(opened.failure().text)
        store = opened.unwrap()
        loaded = store.load()
        kept, first_start = None, node.first_start
        match loaded:
            case Success(found):
                kept = found
            case Failure(fault):
                # What cannot be read whole is forgotten: this machine votes for nothing until it has learnt.
                self.log_event(LogEvent(Event.STORE_FAILED, {"why": fault.text}))
                first_start = False
        if not first_start or store.imported_state is not None:
            node = replace(node, first_start=False)
        shelf = SnapshotStore.open(node.data_directory, node.limits.disk_mb)
        if isinstance(shelf, Failure):
            self.log_event(LogEvent(Event.STORE_FAILED, {"why": shelf.failure().text}))
        context = NodeContext(self.loop, node, self.network, self.rng, steady_us, self.log_event)
        control_node = ControlNode(context, store, kept, shelf.value_or(None))
        self.parts.append(control_node)
        if node.listen.control is not None:
            most = max_configuration_bytes(node)
            self.listeners.append(
                ControlApi(control_node.execute, node.listen.control, most, control_node.on_rejected)
            )
        if node.listen.directory is not None:
            self.listeners.append(DirectoryApi(control_node.execute, node.listen.directory))
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
                Event.STARTED, {"node": self.node.node_name, "serves": ",".join(sorted(self.node.serves))}
            )
        )
        tasks = [self.loop.create_task(part.run()) for part in self.parts]
        tasks.append(self.loop.create_task(self.watch_settings()))
        await self.stop_requested.wait()
        self.log_event(LogEvent(Event.STOPPING))
        end = self.loop.time() + max(0.5, self.node.bounds.grace_s - TEARDOWN_S)
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
            found = os.stat(self.path)
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
        match read_node(self.path):
            case Success(node):
                self.node = node
                for part in self.parts:
                    part.update_settings(node)
                self.log_event(LogEvent(Event.SETTINGS_RELOADED))
            case Failure(fault):
                self.log_event(LogEvent(Event.SETTINGS_REJECTED, {"why": fault.text}))


def run(settings: NodeSettings, path: str) -> int:
    """Run one process until it is asked to stop; its exit code."""

    async def main() -> int:
        return await Process(asyncio.get_running_loop(), settings, path).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
