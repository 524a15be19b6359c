"""The whole system in virtual time: core machines and ingresses as they are put together in service, on event
loops of their own, over a network with ways, loss and cuts, with disks, clocks, servers, clients and an
operator; and the judge of the rules.

The programs' shells run unchanged (`ControlNode`, `EdgeNode` with its proxy, `node.paths`)
and with them every state machine.  What is played is what lies beyond: sockets to clients and servers, files.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from returns.result import Failure, Result, Success

from vetchusher.control import PersistentState
from vetchusher.control.stored_rows import ScanResult, StoredCopy
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import Source
from vetchusher.distribution.stamps import ZERO_STAMP
from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.errors import Error, ErrorCode
from vetchusher.events import LogEvent
from vetchusher.node import api_calls
from vetchusher.node.attempts import RequestSpec, ServerResponse
from vetchusher.node.context import NodeContext
from vetchusher.node.control_node import ControlNode
from vetchusher.node.edge_node import EdgeNode
from vetchusher.node.peer_network import PeerNetwork
from vetchusher.node.proxied_request import ProxiedRequest
from vetchusher.routing.actions import RequestHead
from vetchusher.routing.admission import admit_request
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.settings.node import Bounds, Listen, NodeSettings

from .judge import Asked, Calm, Judge, Version
from .process_loops import Net, ProcessLoop, VirtualClock
from .servers import AttemptsStandIn, Listing, Servers

PORT = 7000
HOST = "tide.example"
ZONES = {"gulf-a": "gulf", "gulf-b": "gulf", "delta-a": "delta", "delta-b": "delta"}
HOMES = {"/home/": frozenset({"gulf"})}
QUOTAS = {"t2": (12.0, 12.0)}
SERVICES = ("a", "b", "c")
COLD_RATE, COLD_S = 4.0, 9.0
RENEWED = 4  # versions for which a route of its own stays
PATIENCE = 3 * SECOND  # of the operator, for an answer
AGAIN = 200 * MS
BOUNDS = Bounds(cold_slack=3.0)


@dataclass(slots=True)
class Scene:
    """One run.

    :param ingresses: their zones, in order; named e1, e2, ...
    :param cores: the same, named 1, 2, ...
    :param rate: requests a second, of all clients
    :param drift: by which part clocks may be wrong
    """

    seed: int = 1
    ingresses: tuple[str, ...] = ("gulf-a", "gulf-b", "delta-a")
    cores: tuple[str, ...] = ("gulf-a", "gulf-a", "gulf-b")
    rate: float = 40.0
    drift: float = 0.002
    loss: float = 0.002
    servers_each: int = 2  # of each service in each zone
    hot: float = 0.25  # share of the requests that are of the tenant with a quota
    stuck: float = 0.15  # share of the clients that hold on to any ingress, as those cut off with it do


@dataclass(slots=True)
class Machine:
    """:param disk: what is synced of the control state
    :param floor: what an import brought in
    :param copy: the digests of what is on the disk; none here: mending has searches of its own
    :param snapshots: what is synced of what was told, by source
    """

    name: str
    ip: str
    zone: str
    core: bool
    rate: float
    disk: PersistentState | None = None
    imported_state: PersistentState | None = None
    copy: StoredCopy | None = None
    snapshots: dict[str, bytes] = field(default_factory=dict)
    incarnation: int = 0
    ran: bool = False
    loop: ProcessLoop | None = None
    part: ControlNode | EdgeNode | None = None
    calm: Calm = field(default_factory=Calm)

    def save(self, kept: PersistentState) -> Result[None, Error]:
        if self.loop is not None and self.loop.disk_refuses:
            return Failure(Error(ErrorCode.STORAGE_ERROR, "the disk refuses"))
        self.disk = kept
        return Success(None)

    def scan(self) -> ScanResult:
        return ScanResult((), True, 0)


class DrawnSnapshotStore:
    """The place of `distribution.snapshot.SnapshotStore`."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine

    def load(self, sources: dict[str, Source]) -> Result[list[str], Error]:
        told = {name: wire.SourceNews.FromString(raw) for name, raw in self.machine.snapshots.items()}
        return Success([name for name, news in told.items() if sources[name].apply_message(news)])

    def save(self, news: wire.SourceNews) -> Result[None, Error]:
        kept = Source(news.source)
        if not news.whole:
            kept.apply_message(wire.SourceNews.FromString(self.machine.snapshots[news.source]))
        if not kept.apply_message(news):
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"news of {news.source} leave something out"))
        raw = kept.update_since(ZERO_STAMP)
        self.machine.snapshots[news.source] = raw.SerializeToString() if raw is not None else b""
        return Success(None)


def services_of(version: int) -> dict[str, str]:
    """What a configuration allows: one route moves with each version, one is new in each."""
    fixed = {"/safe/": "a", "/once/": "a", "/home/": "b", "/moved/": SERVICES[version % 3]}
    recent = range(max(1, version - RENEWED + 1), version + 1)
    return fixed | {f"/new{number}/": "b" for number in recent}


def configuration(version: int) -> bytes:
    routes = [
        {
            "name": path.strip("/"),
            "host": HOST,
            "path_prefix": path,
            "route_type": "safe" if path == "/safe/" else "unsafe",
            "timeout_ms": 2500,
            "target_ms": 500,
            "priority": 1,
            "service": service,
            "max_attempts": 3,
            "public": False,
            "home_regions": sorted(HOMES.get(path, ())),
        }
        for path, service in services_of(version).items()
    ]
    services: list[dict[str, object]] = [
        {"name": name, "health_path": "/health", "connection_cap": 100, "cold_s": COLD_S,
         "cold_rate_s": COLD_RATE}
        for name in SERVICES
    ]  # fmt: skip
    tenants: list[dict[str, object]] = [{"name": "t1", "credentials": ["key-t1"], "home_regions": []}]
    tenants += [
        {"name": name, "credentials": [f"key-{name}"], "rate_per_s": rate, "burst_size": burst,
         "home_regions": []}
        for name, (rate, burst) in QUOTAS.items()
    ]  # fmt: skip
    whole = {"version": f"r{version}", "routes": routes, "services": services, "subscribers": tenants}
    return json.dumps(whole).encode()


def version_of(answer: api_calls.ApiResult) -> int:
    assert isinstance(answer, api_calls.ConfigurationRetrieved)
    return int(json.loads(answer.body)["version"][1:])


class World:
    """Owner of the machines, and of requests and orders under way."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.clock = VirtualClock(scene.seed)
        self.rng = self.clock.rng
        self.net = Net(self.clock, self.link_delay_us)
        self.net.loss = scene.loss
        self.judge = Judge(BOUNDS, HOMES, QUOTAS, COLD_RATE, self.in_touch)
        self.servers = Servers(self.net, self.judge, ZONES)
        self.core_calm = Calm()
        self.machines: dict[str, Machine] = {}
        for number, zone in enumerate(scene.cores, 1):
            self.machines[f"{number}"] = self.machine(f"{number}", f"10.0.0.{number}", zone, True)
        for number, zone in enumerate(scene.ingresses, 1):
            self.machines[f"e{number}"] = self.machine(f"e{number}", f"10.0.1.{number}", zone, False)
        self.by_ip = {machine.ip: machine for machine in self.machines.values()}
        self.places = {machine.ip: machine.zone for machine in self.machines.values()}
        for z, zone in enumerate(ZONES):
            for number in range(scene.servers_each * len(SERVICES)):
                ip = f"10.9.{z}.{number + 1}"
                self.places[ip] = zone
                self.servers.add(SERVICES[number % len(SERVICES)], zone, ip)
        self.asked = 0
        self.version = 0
        self.hot = scene.hot
        self.named: dict[str, list[str]] = {}  # by region: what the directory last named
        self.served: Counter[int] = Counter()  # statuses by second
        self.events: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()

    def machine(self, name: str, ip: str, zone: str, core: bool) -> Machine:
        return Machine(name, ip, zone, core, 1.0 + self.rng.choice((-1, 0, 1)) * self.scene.drift)

    def link_delay_us(self, here: str, there: str) -> tuple[int, int]:
        zones = self.places[here], self.places[there]
        if zones[0] == zones[1]:
            return 150, 500
        if ZONES[zones[0]] == ZONES[zones[1]]:
            return 500, 1_500
        return 52 * MS, 58 * MS

    @property
    def cores(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.core]

    @property
    def ingresses(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if not machine.core]

    # -- who is in touch -------------------------------------------------------------------------

    def in_touch(self, ip: str) -> bool:
        span = BOUNDS.contact_ms * MS
        calm = self.by_ip[ip].calm
        return calm.lasts(self.clock.at, span) and self.core_calm.lasts(self.clock.at, span)

    def calm_of(self, name: str) -> list[Calm]:
        machine = self.machines[name]
        return [machine.calm, self.core_calm] if machine.core else [machine.calm]

    def fault(self, name: str, what: str, begins: bool) -> None:
        for calm in self.calm_of(name):
            if begins:
                calm.begins(f"{name} {what}")
            else:
                calm.ends(f"{name} {what}", self.clock.at)

    # -- processes -------------------------------------------------------------------------------

    def start(self, name: str, first: bool = False) -> None:
        machine = self.machines[name]
        if machine.loop is not None and machine.loop.alive:
            return
        machine.incarnation += 1
        # What no program here calls is left out of the loop.
        loop = machine.loop = cast(Any, ProcessLoop)(self.net, machine.ip, machine.rate)
        self.net.loops[machine.ip] = loop
        loop.call(lambda: self.begin(machine, loop, first))
        if machine.ran:
            for calm in self.calm_of(name):
                calm.hit(self.clock.at)
            self.fault(name, "down", False)
        machine.ran = True

    def settings(self, machine: Machine, first: bool) -> NodeSettings:
        return NodeSettings(
            machine.name,
            machine.ip,
            machine.zone,
            ZONES[machine.zone],
            (PORT, PORT),
            tuple((core.ip, 1) for core in self.cores[:3]),
            first_start=first,
            zones=ZONES,
            bounds=BOUNDS,
            listen=Listen() if machine.core else Listen(front=(machine.ip, 80)),
        )

    def begin(self, machine: Machine, loop: ProcessLoop, first: bool) -> None:
        node = self.settings(machine, first)
        rng = random.Random(self.rng.randrange(1 << 40))
        paths = PeerNetwork(
            loop, machine.ip, machine.zone, PORT, lambda frame, way: part.on_frame(frame, way), self.on_event
        )

        def now() -> int:
            return int(loop.time() * 1e6)

        part: ControlNode | EdgeNode
        if machine.core:
            snapshots = cast(Any, DrawnSnapshotStore(machine))
            context = NodeContext(loop, node, paths, rng, now, self.on_event)
            part = ControlNode(context, cast(Any, machine), machine.disk, snapshots)
            part.leader_roles.server_list_poller.client = Listing(self.servers)
        else:
            part = EdgeNode(NodeContext(loop, node, paths, rng, now, self.on_event))
            part.proxy.attempts.session.detach()
            part.proxy.attempts = cast(Any, AttemptsStandIn(loop, self.servers))
        machine.part = part
        loop.create_task(paths.open())
        loop.create_task(part.run())

    def on_event(self, note: LogEvent) -> None:
        self.events[note.event.name] += 1

    def end(self, name: str, power: bool) -> None:
        machine = self.machines[name]
        if machine.loop is None or not machine.loop.alive:
            return
        self.fault(name, "down", True)
        machine.loop.end(power)
        machine.part = None
        if power:
            del self.net.loops[machine.ip]

    def wipe(self, name: str) -> None:
        self.end(name, True)
        self.machines[name].disk = None
        self.machines[name].snapshots.clear()

    def freeze(self, name: str, stops: bool) -> None:
        loop = self.machines[name].loop
        if loop is not None and loop.alive and loop.frozen != stops:
            self.fault(name, "stands still", stops)
            if stops:
                loop.frozen = True
            else:
                loop.thaw()

    def cut_links(self, name: str, others: list[str], out: bool = True, back: bool = True) -> None:
        """From other machines; its servers stay in reach."""
        self.fault(name, "cut", True)
        machines = [self.machines[other].ip for other in others]
        self.net.cut(self.machines[name].ip, machines, out, back)

    def restore_links(self, name: str) -> None:
        self.net.join(self.machines[name].ip)
        self.fault(name, "cut", False)

    def leave(self, name: str) -> None:
        """SIGTERM; the process ends when its grace is over."""
        machine = self.machines[name]
        loop, part = machine.loop, machine.part
        if loop is not None and loop.alive and part is not None:
            for calm in self.calm_of(name):
                calm.hit(self.clock.at)
            loop.call_soon(part.begin_shut_down)
            life = machine.incarnation
            grace = int(BOUNDS.grace_s * SECOND)
            self.clock.after(grace, lambda: self.end(name, False) if machine.incarnation == life else None)

    def disk(self, name: str, hangs: bool) -> None:
        loop = self.machines[name].loop
        if loop is not None:
            loop.disk_hangs = hangs
            self.fault(name, "disk", hangs)

    def primary(self) -> str:
        """Who leads, by its own word."""
        for machine in self.cores:
            part, loop = machine.part, machine.loop
            if isinstance(part, ControlNode) and loop is not None and part.replica.is_leader(part.now()):
                return machine.name
        return ""

    # -- clients ---------------------------------------------------------------------------------

    def clients(self) -> None:
        """One more request, of a client of any region, and so on."""
        self.clock.after(int(self.rng.expovariate(self.scene.rate) * SECOND), self.clients)
        region = self.rng.choice(sorted({ZONES[m.zone] for m in self.ingresses}))
        fronts = self.named.get(region, [])
        if fronts and self.rng.random() < self.scene.stuck:
            fronts = [m.name for m in self.ingresses if ZONES[m.zone] == region]
        if not fronts:
            return
        paths = [*services_of(self.version), f"/new{self.version + 1}/"]
        tenant = "t2" if self.rng.random() < self.hot else "t1"
        self.request(self.rng.choice(fronts), self.rng.choice(paths), tenant, region)

    def directory(self) -> None:
        """What clients hold on to is asked for anew each second."""
        self.clock.after(SECOND, self.directory)
        for region in sorted(set(ZONES.values())):
            machine = self.rng.choice(self.cores)
            part, loop = machine.part, machine.loop
            if isinstance(part, ControlNode) and loop is not None and not loop.frozen:
                found, _ = part.resolver.resolve(part.presence.listed(part.now()), HOST, region, "")
                ingresses = part.presence.ingresses.values()
                named = [one.node for one in ingresses if one.address in found.addresses]
                if named:
                    self.named[region] = named

    def request(
        self,
        name: str,
        path: str,
        tenant: str = "t1",
        region: str = "",
        then: Callable[[int], None] | None = None,
    ) -> None:
        """A client's request to an ingress; `then` is told the status."""
        machine = self.machines[name]
        self.asked += 1
        asked = Asked(
            f"q{self.asked}",
            path,
            tenant,
            path == "/safe/",
            region,
            machine.ip,
            machine.incarnation,
            self.clock.at,
        )
        self.judge.at = self.clock.at
        self.judge.asks(asked)
        loop = machine.loop
        if loop is not None and loop.alive:
            loop.call_soon(lambda: self.take(machine, loop, asked, then))

    def take(
        self, machine: Machine, loop: ProcessLoop, asked: Asked, then: Callable[[int], None] | None
    ) -> None:
        """As the front does with a request that has come whole."""
        part = machine.part
        if not isinstance(part, EdgeNode):
            return
        headers = [
            ("Host", HOST),
            ("X-Vetchusher-Attempt-Id", asked.id),
            ("X-Vetchusher-Time-Remaining", "2000"),
            ("Authorization", f"Bearer key-{asked.tenant}"),
        ]
        front = part.proxy
        judged = admit_request(front.context, RequestHead("POST", asked.target, headers, front.now()))
        if isinstance(judged, Failure):
            self.answered(asked, judged.failure().status, then)
            return
        way = judged.unwrap()
        flow = ProxiedRequest(front, way, RequestSpec("POST", asked.target, [], asked.id.encode()))

        async def serve() -> None:
            flow.start()
            answer = await flow.answer
            if isinstance(answer, ServerResponse):
                assert isinstance(answer.body, bytes)
                self.judge.delivered(asked, answer.status, answer.body)
            self.answered(asked, answer.status, then)
            flow.close(AttemptOutcome.ANSWERED)

        loop.create_task(serve())

    def answered(self, asked: Asked, status: int, then: Callable[[int], None] | None) -> None:
        self.judge.at = self.clock.at
        self.judge.answered(asked, status)
        self.statuses[status] += 1
        self.served[self.clock.at // SECOND] += 200 <= status < 300
        if then is not None:
            then(status)

    # -- the operator ----------------------------------------------------------------------------

    def order(
        self, call: api_calls.ApiCall, then: Callable[[api_calls.ApiResult], None], again: bool = True
    ) -> None:
        """To any core machine that runs, and to another, until one acknowledges it."""
        running = [m for m in self.cores if m.loop is not None and m.loop.alive and not m.loop.frozen]
        machine = self.rng.choice(running) if running else None
        open_ = [True]

        def settled(outcome: Result[api_calls.ApiResult, Error] | None) -> None:
            if not open_[0]:
                return
            open_[0] = False
            if isinstance(outcome, Success):
                self.judge.at = self.clock.at
                then(outcome.unwrap())
            elif again:
                self.clock.after(AGAIN, lambda: self.order(call, then))

        self.clock.after(PATIENCE, lambda: settled(None))
        if machine is None or machine.loop is None:
            return
        loop, part = machine.loop, machine.part
        assert isinstance(part, ControlNode)

        async def settle() -> None:
            outcome = await part.execute(call)
            told = outcome.checked_at_send() if isinstance(outcome, api_calls.GuardedOutcome) else outcome
            self.clock.after(MS, lambda: settled(told))

        loop.call_soon(lambda: loop.create_task(settle()))

    def call(
        self,
        name: str,
        call: api_calls.ApiCall,
        then: Callable[[Result[api_calls.ApiResult, Error]], None],
        stands_still: int = 0,
    ) -> None:
        """At one core machine, by a caller who waits as long as it takes.

        :param then: is told what left the machine
        :param stands_still: us for which the machine does, between the decision and the answer
        """
        machine = self.machines[name]
        loop, part = machine.loop, machine.part
        assert loop is not None and isinstance(part, ControlNode)

        async def settle() -> None:
            outcome = await part.execute(call)
            if stands_still:
                self.freeze(name, True)
                self.clock.after(stands_still, lambda: self.freeze(name, False))
                await asyncio.sleep(0)
            told = outcome.checked_at_send() if isinstance(outcome, api_calls.GuardedOutcome) else outcome
            self.judge.at = self.clock.at
            if isinstance(told, Success) and isinstance(told.unwrap(), api_calls.ConfigurationRetrieved):
                self.judge.read_out(name, version_of(told.unwrap()))
            then(told)

        loop.call_soon(lambda: loop.create_task(settle()))

    def replace(self, version: int, then: Callable[[], None] = lambda: None) -> None:
        """:param then: called once it is acknowledged"""
        self.version = max(self.version, version)
        self.judge.sends(Version(version, services_of(version)))

        def done(_: api_calls.ApiResult) -> None:
            self.judge.acknowledged(version)
            then()

        self.order(api_calls.ReplaceConfiguration(configuration(version)), done)

    def evacuate(self, zone: str, on: bool, then: Callable[[], None] = lambda: None) -> None:
        if not on:
            self.judge.evacuated.pop(zone, None)
        self.judge.orders(zone, on)

        def done(_: api_calls.ApiResult) -> None:
            self.judge.settled(zone)
            if on:
                self.judge.evacuated[zone] = self.clock.at
            then()

        self.order(api_calls.InitiateEvacuation(zone) if on else api_calls.TerminateEvacuation(zone), done)

    def read_back(self) -> None:
        """At the end of a run, in calm times: what is in force has to come."""
        came: list[int] = []
        asked_at = self.clock.at

        def done(answer: api_calls.ApiResult) -> None:
            came.append(version_of(answer))

        self.order(api_calls.RetrieveConfiguration(), done)
        self.run(self.clock.at + 3 * SECOND)
        self.judge.at = self.clock.at
        self.judge.read_back(came[0] if came else None, asked_at)
        part = self.machines[self.primary()].part if self.primary() else None
        if isinstance(part, ControlNode):
            self.judge.evacuations({one.zone: one.on for one in part.replica.committed.evacuations})

    # -- a run -----------------------------------------------------------------------------------

    def run(self, until: int) -> None:
        self.clock.run(until)

    def warm_up(self) -> None:
        """All begin, the first version is in force, and clients come."""
        for machine in self.machines.values():
            self.clock.after(self.rng.randrange(100 * MS), lambda name=machine.name: self.start(name, True))  # type: ignore[misc]
        self.clock.after(500 * MS, lambda: self.replace(1))
        self.clock.after(1_500 * MS, self.directory)
        self.clock.after(2_000 * MS, self.clients)
        self.run(3 * SECOND)

    def wrong(self) -> list[str]:
        """What was seen that may not be, the processes' own failures among it."""
        failed = [f"{m.name}: {error}" for m in self.machines.values() if m.loop for error in m.loop.errors]
        return self.judge.ends() + failed
