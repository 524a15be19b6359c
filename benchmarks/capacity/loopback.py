"""The hollow fleet's counts held against the same processes' parts over the kernel's sockets, in real time.

Control members and ingresses share one process and one event loop here as well; each has an address of its
own on the loopback network.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

import uvloop

from benchmarks.capacity import configurations as made
from benchmarks.capacity.drivers import Figures, fleet_at
from benchmarks.capacity.fleet import BOUNDS, PORT, HollowPlatform, Size, acknowledged
from vetchusher.control import Store
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.events import LogEvent
from vetchusher.node import api_calls
from vetchusher.node.context import NodeContext
from vetchusher.node.control_node import ControlNode
from vetchusher.node.edge_node import EdgeNode
from vetchusher.node.peer_network import Channel, PeerNetwork
from vetchusher.settings.node import Listen, NodeSettings

SETTLE_S, SPAN_S = 8.0, 8.0


class Counted:
    """Frames and bytes written, by the address of the writer."""

    def __init__(self) -> None:
        self.frames: dict[str, int] = {}
        self.bytes: dict[str, int] = {}

    @contextmanager
    def counting(self) -> Iterator[None]:
        write = Channel.write

        def counted(channel: Channel, frame: wire.Frame, more: bytes = b"") -> bool:
            before = channel.network.bytes_out
            sent = write(channel, frame, more)
            if sent:
                ip = channel.network.ip
                self.frames[ip] = self.frames.get(ip, 0) + 1
                self.bytes[ip] = self.bytes.get(ip, 0) + channel.network.bytes_out - before
            return sent

        with patch.object(Channel, "write", counted):
            yield


class RealFleet:
    def __init__(self, size: Size, folder: Path) -> None:
        self.size, self.folder = size, folder
        self.loop = asyncio.get_running_loop()
        self.zones = made.zones_of(size.regions, size.zones_each)
        self.names = list(self.zones)
        self.cores = [f"127.2.0.{n + 1}" for n in range(size.members)]
        self.parts: dict[str, ControlNode | EdgeNode] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def begin(self, number: int, ip: str) -> None:
        core, zone = ip in self.cores, self.names[number % len(self.names)]
        node = NodeSettings(
            f"{'c' if core else 'e'}{number}",
            ip,
            zone,
            self.zones[zone],
            (PORT, PORT),
            tuple((seed, 1) for seed in self.cores),
            first_start=True,
            zones=self.zones,
            bounds=BOUNDS,
            listen=Listen() if core else Listen(front=(ip, 80)),
        )
        paths = PeerNetwork(self.loop, ip, zone, PORT, lambda frame, way: part.on_frame(frame, way), silent)
        rng = random.Random(number)
        part: ControlNode | EdgeNode
        if core:
            part = self.control(node, paths, rng)
        else:
            part = EdgeNode(NodeContext(self.loop, node, paths, rng, steady_us, silent))
        self.parts[ip] = part
        await paths.open()
        self.tasks.append(self.loop.create_task(part.run()))

    def control(self, node: NodeSettings, paths: PeerNetwork, rng: random.Random) -> ControlNode:
        place = str(self.folder / node.node_name)
        store, shelf = Store.open(place).unwrap(), SnapshotStore.open(place).unwrap()
        context = NodeContext(self.loop, node, paths, rng, steady_us, silent)
        part = ControlNode(context, store, None, shelf)
        pages = made.pages(self.size.servers, self.size.services, self.names)
        part.leader_roles.server_list_poller.client = HollowPlatform(self.loop, pages)
        return part

    async def run(self, counted: Counted) -> Figures:
        for number, ip in enumerate(self.cores):
            await self.begin(number, ip)
        await asyncio.sleep(3.0)
        await self.replace()
        edges = [f"127.3.{n // 250}.{n % 250 + 1}" for n in range(self.size.ingresses)]
        for number, ip in enumerate(edges):
            await self.begin(number, ip)
        await asyncio.sleep(SETTLE_S)
        counted.frames.clear()
        counted.bytes.clear()
        await asyncio.sleep(SPAN_S)
        return {
            "edge messages sent/s": sum(counted.frames[ip] for ip in edges) / SPAN_S / len(edges),
            "edge bytes sent/s": sum(counted.bytes[ip] for ip in edges) / SPAN_S / len(edges),
            "members' messages sent/s": sum(counted.frames[ip] for ip in self.cores) / SPAN_S,
            "members' bytes sent/s": sum(counted.bytes[ip] for ip in self.cores) / SPAN_S,
        }

    async def replace(self) -> None:
        size = self.size
        body = made.configuration(1, size.routes, size.services, size.tenants)
        for ip in self.cores:
            part = self.parts[ip]
            if isinstance(part, ControlNode) and part.replica.is_leader(steady_us()):
                acknowledged(await part.execute(api_calls.ReplaceConfiguration(body))).unwrap()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for part in self.parts.values():
            if isinstance(part, EdgeNode):
                await part.proxy.attempts.session.close()
            await part.subscriber_driver.close()
            await (part.network if isinstance(part, EdgeNode) else part.context.network).close()


def silent(_: LogEvent) -> None:
    """The log is not measured."""


def steady_us() -> int:
    return time.monotonic_ns() // 1000


async def real(size: Size) -> Figures:
    counted = Counted()
    with tempfile.TemporaryDirectory() as folder, counted.counting():
        fleet = RealFleet(size, Path(folder))
        try:
            return await fleet.run(counted)
        finally:
            await fleet.close()


def hollow(size: Size) -> Figures:
    """The same figures of a hollow fleet."""
    found, others = fleet_at(size, 0), size.members - 1
    sent = {
        "edge messages sent/s": found["edge out messages/s"],
        "edge bytes sent/s": found["edge out bytes/s"],
    }
    for what in ("messages", "bytes"):
        total = found[f"primary out {what}/s"] + others * found[f"member out {what}/s"]
        sent[f"members' {what} sent/s"] = total
    return sent


def compared(sizes: list[int], members: int) -> list[list[str]]:
    """Rows of a table: size, figure, hollow, over sockets, and the difference as a part."""
    rows = []
    for ingresses in sizes:
        size = Size(ingresses=ingresses, members=members)
        drawn = hollow(size)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            seen = runner.run(real(size))
        for name, value in seen.items():
            part = f"{value / drawn[name] - 1:+.1%}"
            rows.append([str(ingresses), name, f"{drawn[name]:,.1f}", f"{value:,.1f}", part])
    return rows
