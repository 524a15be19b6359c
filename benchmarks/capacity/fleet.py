"""Hollow processes: control members and ingresses as they are put together in service, many in one process
and in virtual time, over a network that counts what each sends.

Control members keep their state in real files.  Sockets, clients and the platform's HTTP are stood in for;
what lies above them (`ControlNode`, `EdgeNode`, `node.paths`) is what `run` runs.  Virtual time leaves
processor time out; that of each process is measured beside it, as the thread's own.
"""

from __future__ import annotations

import asyncio
import gc
import random
import time
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeAlias, cast

from returns.result import Result, Success

from benchmarks.capacity import configurations as made
from vetchusher.control import Store
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.snapshot import SnapshotStore
from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.emulator.system.process_loops import Net, ProcessLoop, VirtualClock, Wire
from vetchusher.errors import Error
from vetchusher.events import Event, LogEvent
from vetchusher.node import api_calls
from vetchusher.node.context import NodeContext
from vetchusher.node.control_node import ControlNode
from vetchusher.node.edge_node import EdgeNode
from vetchusher.node.peer_network import PeerNetwork
from vetchusher.node.server_list_client import ServerListClient
from vetchusher.settings.node import Bounds, CloudApi, Listen, NodeSettings

Settled: TypeAlias = Result[api_calls.ApiResult, Error] | api_calls.GuardedOutcome

PORT = 7000
IN_ZONE, BETWEEN_ZONES, BETWEEN_REGIONS = "in zone", "between zones", "between regions"
WAYS = {IN_ZONE: (150, 500), BETWEEN_ZONES: (500, 1_500), BETWEEN_REGIONS: (54 * MS, 56 * MS)}
PAGE_US = 5 * MS  # for a page of the platform's list
STEP = 50 * MS  # between two moments at which hollow clients send
BOUNDS = Bounds(
    retry_budget_ratio=0.2,
    budget_slack=58,
    quota_overrun=0.1,
    quota_slack=20,
    cold_overrun=1.5,
    cold_slack=5,
)
HEADER = 66  # bytes of Ethernet, IP and TCP around each message, for what is reckoned of them


def acknowledged(outcome: Settled) -> Result[api_calls.ApiResult, Error]:
    """What an operator would be told."""
    return outcome.checked_at_send() if isinstance(outcome, api_calls.GuardedOutcome) else outcome


@dataclass(frozen=True, slots=True)
class Size:
    """:param requests: a second at each ingress, of tenants drawn evenly"""

    ingresses: int = 40
    members: int = 7
    servers: int = 26
    services: int = 13
    routes: int = 20
    tenants: int = 20
    requests: float = 0.0
    regions: int = made.REGIONS
    zones_each: int = made.ZONES_EACH


@dataclass(slots=True)
class Traffic:
    """Messages and bytes of payload by (ip, "out" or "in", kind, link)."""

    messages: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)
    bytes: Counter[tuple[str, str, str, str]] = field(default_factory=Counter)

    def add(self, sender: str, to: str, kind: str, link: str, size: int) -> None:
        for key in ((sender, "out", kind, link), (to, "in", kind, link)):
            self.messages[key] += 1
            self.bytes[key] += size


def kind_of(data: bytes) -> str:
    frame = wire.Frame.FromString(data[4:])
    kind = frame.WhichOneof("body") or "empty"
    return str(frame.control.WhichOneof("kind") or kind) if kind == "control" else str(kind)


class CountingNet(Net):
    """Counts each message by its sender, its kind and its link."""

    def __init__(self, clock: VirtualClock, link: Callable[[str, str], str]) -> None:
        super().__init__(clock, lambda here, there: WAYS[link(here, there)])
        self.link = link
        self.traffic = Traffic()
        self.waiting: list[tuple[str, str, bytes]] = []

    def carry(self, wire: Wire, data: bytes) -> None:
        super().carry(wire, data)
        assert wire.peer is not None
        self.waiting.append((wire.loop.ip, wire.peer.loop.ip, data))

    def deliver(self, wire: Wire) -> None:
        if len(self.waiting) > 4_096:
            self.count()
        super().deliver(wire)

    def count(self) -> None:
        """Outside of any process's turn: sorting out costs none of them anything."""
        for sender, to, data in self.waiting:
            self.traffic.add(sender, to, kind_of(data), self.link(sender, to), len(data))
        self.waiting.clear()


class MeteredLoop(ProcessLoop):
    """Adds up the processor time of its process: of the loop, and of what runs in threads beside it."""

    def __init__(self, net: Net, ip: str) -> None:
        super().__init__(net, ip, 1.0)
        self.loop_ns = self.thread_ns = self.longest_ns = 0

    def drain(self) -> None:
        begun = time.thread_time_ns()
        super().drain()
        took = time.thread_time_ns() - begun
        self.loop_ns += took
        self.longest_ns = max(self.longest_ns, took)

    def run_in_executor(self, executor: object, func: Callable[..., Any], *args: Any) -> Any:  # type: ignore[override]
        def timed(*given: Any) -> Any:
            begun = time.thread_time_ns()
            try:
                return func(*given)
            finally:
                gc.disable()  # `node.reading` switches it on again
                self.thread_ns += time.thread_time_ns() - begun

        return super().run_in_executor(executor, timed, *args)


class HollowPlatform(ServerListClient):
    """The platform's list as pages made beforehand."""

    def __init__(self, loop: asyncio.AbstractEventLoop, found: list[bytes]) -> None:
        super().__init__(CloudApi(("10.200.0.1", 80)))
        self.loop, self.found = loop, found

    async def page(self, token: str | None) -> Result[bytes, Error]:
        self.call_count += 1
        came = self.loop.create_future()
        self.loop.call_later(PAGE_US / 1e6, came.set_result, None)
        await came
        return Success(self.found[int(token or 0) // made.PAGE])


@dataclass(slots=True)
class Process:
    name: str
    ip: str
    zone: str
    loop: MeteredLoop
    part: ControlNode | EdgeNode | None = None
    version: int = 0
    version_at: int = 0  # us: when that configuration came into force here


@dataclass(slots=True)
class Spent:
    """What went on in a span of virtual time.

    :param cpu: by ip, ns of the loop, of threads, and the longest turn of the loop
    """

    seconds: float
    traffic: Traffic
    cpu: dict[str, tuple[int, int, int]]

    def messages(self, ips: Collection[str], way: str = "", kind: str = "", link: str = "") -> float:
        """A second, mean of these processes, sent and received, as far as no way, kind or link is named."""
        return self._mean(self.traffic.messages, ips, way, kind, link)

    def bytes(self, ips: Collection[str], way: str = "", kind: str = "", link: str = "") -> float:
        """The same, of payload."""
        return self._mean(self.traffic.bytes, ips, way, kind, link)

    def _mean(
        self, counts: Counter[tuple[str, str, str, str]], ips: Collection[str], way: str, kind: str, link: str
    ) -> float:
        total, some = 0, set(ips)
        for (ip, direction, what, over), count in counts.items():
            if ip in some and way in ("", direction) and kind in ("", what) and link in ("", over):
                total += count
        return total / self.seconds / max(1, len(some))

    def kinds(self) -> list[str]:
        return sorted({kind for _, _, kind, _ in self.traffic.messages})

    def loop_share(self, ip: str) -> float:
        return self.cpu[ip][0] / 1e9 / self.seconds

    def thread_share(self, ip: str) -> float:
        return self.cpu[ip][1] / 1e9 / self.seconds

    def longest_ms(self, ip: str) -> float:
        return self.cpu[ip][2] / 1e6


class Fleet:
    """Owner of the processes, and of the folders of the control members."""

    def __init__(self, size: Size, folder: Path, seed: int = 1, seeds: int = 0) -> None:
        """:param seeds: members that the settings name, the others join; 0: all"""
        self.size, self.folder, self.seeds = size, folder, seeds or size.members
        self.clock = VirtualClock(seed)
        self.rng = random.Random(seed)
        self.zones = made.zones_of(size.regions, size.zones_each)
        self.net = CountingNet(self.clock, self.link)
        self.processes: dict[str, Process] = {}
        names = list(self.zones)
        self.pages = made.pages(size.servers, size.services, names)
        self.cores = [
            self.add(f"c{n}", f"10.0.0.{n + 1}", names[n % len(names)]) for n in range(size.members)
        ]
        self.edges = [
            self.add(f"e{n}", made.ingress_ip(n), names[n % len(names)]) for n in range(size.ingresses)
        ]
        self.version = 0

    def add(self, name: str, ip: str, zone: str) -> Process:
        loop = cast(Any, MeteredLoop)(self.net, ip)
        process = self.processes[ip] = Process(name, ip, zone, loop)
        return process

    def link(self, here: str, there: str) -> str:
        zones = self.processes[here].zone, self.processes[there].zone
        if zones[0] == zones[1]:
            return IN_ZONE
        return BETWEEN_ZONES if self.zones[zones[0]] == self.zones[zones[1]] else BETWEEN_REGIONS

    # -- processes ---------------------------------------------------------------------------------

    def start(self, process: Process) -> None:
        self.net.loops[process.ip] = process.loop
        process.loop.call(lambda: self.begin(process))

    def settings(self, process: Process) -> NodeSettings:
        core = process in self.cores
        return NodeSettings(
            process.name,
            process.ip,
            process.zone,
            self.zones[process.zone],
            (PORT, PORT),
            tuple((core.ip, 1) for core in self.cores[: self.seeds]),
            first_start=True,
            zones=self.zones,
            bounds=BOUNDS,
            listen=Listen() if core else Listen(front=(process.ip, 80)),
        )

    def begin(self, process: Process) -> None:
        loop, node = process.loop, self.settings(process)
        rng = random.Random(self.rng.randrange(1 << 40))

        def note(event: LogEvent) -> None:
            self.note(process, event)

        paths = PeerNetwork(
            loop, process.ip, process.zone, PORT, lambda frame, way: part.on_frame(frame, way), note
        )

        def now() -> int:
            return int(loop.time() * 1e6)

        part: ControlNode | EdgeNode
        if process in self.cores:
            place = str(self.folder / process.name)
            store = Store.open(place).unwrap()
            shelf = SnapshotStore.open(place).unwrap()
            context = NodeContext(loop, node, paths, rng, now, note)
            part = ControlNode(context, store, store.load().unwrap(), shelf)
            part.leader_roles.server_list_poller.client = HollowPlatform(loop, self.pages)
        else:
            part = EdgeNode(NodeContext(loop, node, paths, rng, now, note))
        process.part = part
        loop.create_task(paths.open())
        loop.create_task(part.run())

    def note(self, process: Process, event: LogEvent) -> None:
        if event.event is Event.CONFIGURATION_APPLIED:
            process.version = int(cast(int, event.facts["version"]))
            process.version_at = self.clock.at

    def primary(self) -> Process:
        for process in self.cores:
            part = process.part
            if isinstance(part, ControlNode) and part.replica.is_leader(part.now()):
                return process
        raise LookupError("no primary")

    # -- what happens ------------------------------------------------------------------------------

    def run(self, us: int) -> None:
        self.clock.run(self.clock.at + us)

    def warm_up(self) -> None:
        """Members agree, the configuration and the list are in force, then the ingresses begin."""
        self.members_begin()
        while len(self.record().members) < self.size.members:
            self.run(SECOND)
            if self.clock.at > 60 * SECOND:
                raise TimeoutError("members did not join")
        for process in self.edges:
            self.start(process)
        self.run(6 * SECOND)
        self.clients()
        self.run(2 * SECOND)
        gc.collect()
        gc.freeze()

    def members_begin(self) -> None:
        gc.disable()
        for process in self.cores:
            self.start(process)
        self.run(3 * SECOND)
        self.replace()

    def record(self) -> wire.ReplicaSet:
        """Who holds copies and votes, as the primary has it."""
        part = self.primary().part
        assert isinstance(part, ControlNode) and part.replica.primary_role is not None
        return part.replica.primary_role.reconfiguration.current

    def replace(self) -> int:
        """A new configuration, to the primary; the moment (us) of its acknowledgement."""
        self.version += 1
        size = self.size
        body = made.configuration(self.version, size.routes, size.services, size.tenants)
        process, done = self.primary(), list[int]()
        part = cast(ControlNode, process.part)

        async def settle() -> None:
            outcome = await part.execute(api_calls.ReplaceConfiguration(body))
            if isinstance(acknowledged(outcome), Success):
                done.append(self.clock.at)

        process.loop.call_soon(lambda: process.loop.create_task(settle()))
        end = self.clock.at + 10 * SECOND
        while not done and self.clock.at < end:
            self.run(20 * MS)
        return done[0]

    def lags(self, acknowledged: int) -> dict[str, int]:
        """By ip of each ingress: us from the acknowledgement until the newest version was in force there."""
        end = self.clock.at + 10 * SECOND
        while self.clock.at < end and any(p.version < self.version for p in self.edges):
            self.run(50 * MS)
        late = [p.name for p in self.edges if p.version < self.version]
        if late:
            raise TimeoutError(f"version {self.version} is not in force at {len(late)}")
        return {p.ip: max(0, p.version_at - acknowledged) for p in self.edges}

    def clients(self) -> None:
        """Each ingress admits what its clients send; judging a request is the data path's and not metered."""
        if not self.size.requests:
            return
        self.clock.after(STEP, self.clients)
        for process in self.edges:
            part = cast(EdgeNode, process.part)
            now, due = part.now(), self.size.requests * STEP / SECOND
            count = int(due) + (self.rng.random() < due % 1)
            for _ in range(count):
                part.quota.admit(now, f"t{self.rng.randrange(self.size.tenants):06d}")

    def spend(self, seconds: float, doing: Callable[[], object] = lambda: None) -> Spent:
        """What all processes send and use while `doing` is carried out and until the span is over."""
        self.net.count()
        self.net.traffic = Traffic()
        for process in self.processes.values():
            process.loop.loop_ns = process.loop.thread_ns = process.loop.longest_ns = 0
        begun = self.clock.at
        doing()
        self.run(max(0, begun + int(seconds * SECOND) - self.clock.at))
        self.net.count()
        spans = {
            ip: (p.loop.loop_ns, p.loop.thread_ns, p.loop.longest_ns) for ip, p in self.processes.items()
        }
        return Spent((self.clock.at - begun) / SECOND, self.net.traffic, spans)

    def close(self) -> None:
        for process in self.processes.values():
            process.loop.end(False)
            if isinstance(process.part, ControlNode):
                if (link := process.part.persister.store.connection) is not None:
                    link.close()
                if process.part.snapshot_writer is not None:
                    process.part.snapshot_writer.store.close()
            elif process.part is not None:
                process.part.proxy.attempts.session.detach()
        gc.unfreeze()
        gc.collect()
        gc.enable()

    def errors(self) -> list[str]:
        return [f"{p.name}: {error}" for p in self.processes.values() for error in p.loop.errors]
