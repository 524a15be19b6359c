"""A simulated cluster of the whole system in virtual time, checked by a judge of the rules.

Core machines and ingresses are put together as in production and run on event loops of their own, over a
simulated network with latency, loss and partitions, with disks, clocks, servers, clients and an operator.

The programs' own code (`ControlNode`, `EdgeNode` with its proxy, `PeerNetwork`) runs unchanged, and with it
every state machine. Simulated are only sockets to clients and servers, and files.
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

from .judge import ClientRequest, ConfigurationVersion, FaultTracker, Judge
from .process_loops import ProcessLoop, SimulatedNetwork, VirtualClock
from .servers import AttemptsStub, ServerListStub, Servers

PORT = 7000
HOST = "tide.example"
ZONES = {"gulf-a": "gulf", "gulf-b": "gulf", "delta-a": "delta", "delta-b": "delta"}
HOMES = {"/home/": frozenset({"gulf"})}
QUOTAS = {"t2": (12.0, 12.0)}
SERVICES = ("a", "b", "c")
COLD_RATE, COLD_S = 4.0, 9.0
NEW_ROUTE_LIFETIME_VERSIONS = 4  # versions that keep the route which a version adds
OPERATOR_TIMEOUT_US = 3 * SECOND
OPERATOR_RETRY_US = 200 * MS
BOUNDS = Bounds(cold_slack=3.0)


@dataclass(slots=True)
class Scene:
    """The parameters of one run.

    :param ingresses: zones of the ingresses, which are named e1, e2, ... in this order
    :param cores: zones of the core machines, which are named 1, 2, ... in this order
    :param requests_per_s: requests per second of all clients together
    :param max_clock_drift: largest relative error of a machine's clock rate
    :param loss: share of the messages that are lost and sent again
    :param servers_per_zone: servers of each service in each zone
    :param quota_tenant_ratio: share of the requests that belong to the tenant with a quota
    :param sticky_client_ratio: share of the clients that use any ingress of their region, listed by the
        directory or not, like clients that are cut off along with it
    """

    seed: int = 1
    ingresses: tuple[str, ...] = ("gulf-a", "gulf-b", "delta-a")
    cores: tuple[str, ...] = ("gulf-a", "gulf-a", "gulf-b")
    requests_per_s: float = 40.0
    max_clock_drift: float = 0.002
    loss: float = 0.002
    servers_per_zone: int = 2
    quota_tenant_ratio: float = 0.25
    sticky_client_ratio: float = 0.15


@dataclass(slots=True)
class Machine:
    """A machine of the simulated cluster, and the store of its control state.

    :param core: whether it is a core machine; otherwise an ingress
    :param clock_rate: speed of its clock relative to virtual time
    :param disk: the control state synced to its disk
    :param imported_state: the control state that an import set as the lower bound
    :param copy: the digests of the stored rows; always None here: repair has simulations of its own
    :param snapshots: the synced snapshot of each source
    :param incarnation: how often a process was started
    :param loop: event loop of the process, also after its end
    :param node: the running node; None: no process runs
    :param fault_tracker: faults of this machine
    """

    name: str
    ip: str
    zone: str
    core: bool
    clock_rate: float
    disk: PersistentState | None = None
    imported_state: PersistentState | None = None
    copy: StoredCopy | None = None
    snapshots: dict[str, bytes] = field(default_factory=dict)
    incarnation: int = 0
    has_run: bool = False
    loop: ProcessLoop | None = None
    node: ControlNode | EdgeNode | None = None
    fault_tracker: FaultTracker = field(default_factory=FaultTracker)

    def save(self, state: PersistentState) -> Result[None, Error]:
        """Sync the control state to the disk; fails if the disk refuses writes."""
        if self.loop is not None and self.loop.disk_refuses:
            return Failure(Error(ErrorCode.STORAGE_ERROR, "the disk refuses"))
        self.disk = state
        return Success(None)

    def scan(self) -> ScanResult:
        """Scan the stored rows for damage; finds none."""
        return ScanResult((), True, 0)


class InMemorySnapshotStore:
    """Stands in for `distribution.snapshot.SnapshotStore`; keeps the snapshots in the `Machine`."""

    def __init__(self, machine: Machine) -> None:
        """Use the snapshots of a machine."""
        self.machine = machine

    def load(self, sources: dict[str, Source]) -> Result[list[str], Error]:
        """Apply the stored snapshots to the sources, and return the names of the changed sources."""
        messages = {name: wire.SourceNews.FromString(raw) for name, raw in self.machine.snapshots.items()}
        return Success([name for name, message in messages.items() if sources[name].apply_message(message)])

    def save(self, message: wire.SourceNews) -> Result[None, Error]:
        """Apply an update to the stored snapshot; fails if the update leaves a gap."""
        source = Source(message.source)
        if not message.whole:
            source.apply_message(wire.SourceNews.FromString(self.machine.snapshots[message.source]))
        if not source.apply_message(message):
            return Failure(Error(ErrorCode.STORAGE_ERROR, f"news of {message.source} leave something out"))
        raw = source.update_since(ZERO_STAMP)
        self.machine.snapshots[message.source] = raw.SerializeToString() if raw is not None else b""
        return Success(None)


def services_at(version: int) -> dict[str, str]:
    """Return the service by path that a configuration version allows.

    One route moves to another service with each version, and each version adds a route.
    """
    fixed = {"/safe/": "a", "/once/": "a", "/home/": "b", "/moved/": SERVICES[version % 3]}
    recent = range(max(1, version - NEW_ROUTE_LIFETIME_VERSIONS + 1), version + 1)
    return fixed | {f"/new{number}/": "b" for number in recent}


def configuration(version: int) -> bytes:
    """Return the configuration of a version as JSON."""
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
        for path, service in services_at(version).items()
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
    document = {"version": f"r{version}", "routes": routes, "services": services, "subscribers": tenants}
    return json.dumps(document).encode()


def version_of(answer: api_calls.ApiResult) -> int:
    """Return the version number of a retrieved configuration."""
    assert isinstance(answer, api_calls.ConfigurationRetrieved)
    return int(json.loads(answer.body)["version"][1:])


class World:
    """The simulated cluster: owns the machines, and the requests and orders in flight."""

    def __init__(self, scene: Scene) -> None:
        """Create the machines and servers; no process runs yet."""
        self.scene = scene
        self.clock = VirtualClock(scene.seed)
        self.rng = self.clock.rng
        self.net = SimulatedNetwork(self.clock, self.link_delay_us)
        self.net.loss = scene.loss
        self.judge = Judge(BOUNDS, HOMES, QUOTAS, COLD_RATE, self.is_in_contact)
        self.servers = Servers(self.net, self.judge, ZONES)
        self.core_fault_tracker = FaultTracker()
        self.machines: dict[str, Machine] = {}
        for number, zone in enumerate(scene.cores, 1):
            self.machines[f"{number}"] = self.create_machine(f"{number}", f"10.0.0.{number}", zone, True)
        for number, zone in enumerate(scene.ingresses, 1):
            self.machines[f"e{number}"] = self.create_machine(f"e{number}", f"10.0.1.{number}", zone, False)
        self.by_ip = {machine.ip: machine for machine in self.machines.values()}
        self.zone_by_ip = {machine.ip: machine.zone for machine in self.machines.values()}
        for z, zone in enumerate(ZONES):
            for number in range(scene.servers_per_zone * len(SERVICES)):
                ip = f"10.9.{z}.{number + 1}"
                self.zone_by_ip[ip] = zone
                self.servers.add(SERVICES[number % len(SERVICES)], zone, ip)
        self.request_count = 0
        self.version = 0
        self.quota_tenant_ratio = scene.quota_tenant_ratio
        self.resolved_ingresses: dict[str, list[str]] = {}  # names in the directory's last answer, by region
        self.successes_by_second: Counter[int] = Counter()  # by second of virtual time
        self.events: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()

    def create_machine(self, name: str, ip: str, zone: str, core: bool) -> Machine:
        """Create a machine with a drawn clock rate; no process runs yet."""
        return Machine(name, ip, zone, core, 1.0 + self.rng.choice((-1, 0, 1)) * self.scene.max_clock_drift)

    def link_delay_us(self, here: str, there: str) -> tuple[int, int]:
        """Return the shortest and longest one-way latency (us) between two addresses."""
        zones = self.zone_by_ip[here], self.zone_by_ip[there]
        if zones[0] == zones[1]:
            return 150, 500
        if ZONES[zones[0]] == ZONES[zones[1]]:
            return 500, 1_500
        return 52 * MS, 58 * MS

    @property
    def cores(self) -> list[Machine]:
        """The core machines."""
        return [machine for machine in self.machines.values() if machine.core]

    @property
    def ingresses(self) -> list[Machine]:
        """The ingresses."""
        return [machine for machine in self.machines.values() if not machine.core]

    # -- contact and faults ----------------------------------------------------------------------

    def is_in_contact(self, ip: str) -> bool:
        """Return whether the machine and the core have been free of faults for `contact_ms`."""
        span_us = BOUNDS.contact_ms * MS
        tracker = self.by_ip[ip].fault_tracker
        return tracker.is_calm_for(self.clock.now_us, span_us) and self.core_fault_tracker.is_calm_for(
            self.clock.now_us, span_us
        )

    def fault_trackers_of(self, name: str) -> list[FaultTracker]:
        """Return the trackers of a machine's faults; a core machine's fault also counts for the core."""
        machine = self.machines[name]
        return [machine.fault_tracker, self.core_fault_tracker] if machine.core else [machine.fault_tracker]

    def set_fault(self, name: str, what: str, begins: bool) -> None:
        """Record the start or the end of a lasting fault of a machine."""
        for tracker in self.fault_trackers_of(name):
            if begins:
                tracker.begin_fault(f"{name} {what}")
            else:
                tracker.end_fault(f"{name} {what}", self.clock.now_us)

    # -- processes -------------------------------------------------------------------------------

    def start(self, name: str, first: bool = False) -> None:
        """Start a process on a machine on which none runs.

        :param first: whether this is the first start of the whole system
        """
        machine = self.machines[name]
        if machine.loop is not None and machine.loop.alive:
            return
        machine.incarnation += 1
        # The loop lacks the abstract methods that no program here calls.
        loop = machine.loop = cast(Any, ProcessLoop)(self.net, machine.ip, machine.clock_rate)
        self.net.loops[machine.ip] = loop
        loop.run_inside(lambda: self.create_node(machine, loop, first))
        if machine.has_run:
            for tracker in self.fault_trackers_of(name):
                tracker.record_momentary_fault(self.clock.now_us)
            self.set_fault(name, "down", False)
        machine.has_run = True

    def settings(self, machine: Machine, first: bool) -> NodeSettings:
        """Return the settings of a machine."""
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

    def create_node(self, machine: Machine, loop: ProcessLoop, first: bool) -> None:
        """Create the node in the new process, and run it."""
        settings = self.settings(machine, first)
        rng = random.Random(self.rng.randrange(1 << 40))
        network = PeerNetwork(
            loop,
            machine.ip,
            machine.zone,
            PORT,
            lambda frame, channel: node.on_frame(frame, channel),
            self.on_event,
        )

        def now() -> int:
            return int(loop.time() * 1e6)

        node: ControlNode | EdgeNode
        if machine.core:
            snapshots = cast(Any, InMemorySnapshotStore(machine))
            context = NodeContext(loop, settings, network, rng, now, self.on_event)
            node = ControlNode(context, cast(Any, machine), machine.disk, snapshots)
            node.leader_roles.server_list_poller.client = ServerListStub(self.servers)
        else:
            node = EdgeNode(NodeContext(loop, settings, network, rng, now, self.on_event))
            node.proxy.attempts.session.detach()
            node.proxy.attempts = cast(Any, AttemptsStub(loop, self.servers))
        machine.node = node
        loop.create_task(network.open())
        loop.create_task(node.run())

    def on_event(self, log_event: LogEvent) -> None:
        """Count a log event."""
        self.events[log_event.event.name] += 1

    def end_process(self, name: str, power: bool) -> None:
        """End the process of a machine.

        :param power: whether the machine loses power, so that its peers aren't notified
        """
        machine = self.machines[name]
        if machine.loop is None or not machine.loop.alive:
            return
        self.set_fault(name, "down", True)
        machine.loop.terminate(power)
        machine.node = None
        if power:
            del self.net.loops[machine.ip]

    def wipe(self, name: str) -> None:
        """Power a machine off, and lose its disk."""
        self.end_process(name, True)
        self.machines[name].disk = None
        self.machines[name].snapshots.clear()

    def set_paused(self, name: str, stops: bool) -> None:
        """Pause the process of a machine, or resume it."""
        loop = self.machines[name].loop
        if loop is not None and loop.alive and loop.paused != stops:
            self.set_fault(name, "stands still", stops)
            if stops:
                loop.paused = True
            else:
                loop.resume()

    def block_links(self, name: str, others: list[str], out: bool = True, back: bool = True) -> None:
        """Block the links to and from other machines; links to servers stay open.

        :param others: names of the other machines
        :param out: whether to block messages that the machine sends
        :param back: whether to block messages that it receives
        """
        self.set_fault(name, "cut", True)
        machines = [self.machines[other].ip for other in others]
        self.net.block_links(self.machines[name].ip, machines, out, back)

    def restore_links(self, name: str) -> None:
        """Restore all links of a machine."""
        self.net.restore_links(self.machines[name].ip)
        self.set_fault(name, "cut", False)

    def shut_down(self, name: str) -> None:
        """Send SIGTERM to a machine's process; it ends when its grace period is over."""
        machine = self.machines[name]
        loop, node = machine.loop, machine.node
        if loop is not None and loop.alive and node is not None:
            for tracker in self.fault_trackers_of(name):
                tracker.record_momentary_fault(self.clock.now_us)
            loop.call_soon(node.begin_shut_down)
            incarnation = machine.incarnation
            grace_us = int(BOUNDS.grace_s * SECOND)
            self.clock.after(
                grace_us,
                lambda: self.end_process(name, False) if machine.incarnation == incarnation else None,
            )

    def set_disk_hanging(self, name: str, hangs: bool) -> None:
        """Make the disk of a machine hang, or work again."""
        loop = self.machines[name].loop
        if loop is not None:
            loop.disk_hangs = hangs
            self.set_fault(name, "disk", hangs)

    def primary(self) -> str:
        """Return the name of the core machine that considers itself the leader; empty: none does."""
        for machine in self.cores:
            node, loop = machine.node, machine.loop
            if isinstance(node, ControlNode) and loop is not None and node.replica.is_leader(node.now()):
                return machine.name
        return ""

    # -- clients ---------------------------------------------------------------------------------

    def send_client_requests(self) -> None:
        """Send a request from a client of a drawn region, and schedule the next one."""
        self.clock.after(
            int(self.rng.expovariate(self.scene.requests_per_s) * SECOND), self.send_client_requests
        )
        region = self.rng.choice(sorted({ZONES[m.zone] for m in self.ingresses}))
        ingresses = self.resolved_ingresses.get(region, [])
        if ingresses and self.rng.random() < self.scene.sticky_client_ratio:
            ingresses = [m.name for m in self.ingresses if ZONES[m.zone] == region]
        if not ingresses:
            return
        paths = [*services_at(self.version), f"/new{self.version + 1}/"]
        tenant = "t2" if self.rng.random() < self.quota_tenant_ratio else "t1"
        self.send_request(self.rng.choice(ingresses), self.rng.choice(paths), tenant, region)

    def poll_directory(self) -> None:
        """Query the directory for the ingresses of each region, once a second."""
        self.clock.after(SECOND, self.poll_directory)
        for region in sorted(set(ZONES.values())):
            machine = self.rng.choice(self.cores)
            node, loop = machine.node, machine.loop
            if isinstance(node, ControlNode) and loop is not None and not loop.paused:
                found, _ = node.resolver.resolve(node.presence.listed(node.now()), HOST, region, "")
                ingresses = node.presence.ingresses.values()
                named = [one.node for one in ingresses if one.address in found.addresses]
                if named:
                    self.resolved_ingresses[region] = named

    def send_request(
        self,
        name: str,
        path: str,
        tenant: str = "t1",
        region: str = "",
        then: Callable[[int], None] | None = None,
    ) -> None:
        """Send a client's request to an ingress.

        :param name: the ingress
        :param then: called with the status of the answer
        """
        machine = self.machines[name]
        self.request_count += 1
        request = ClientRequest(
            f"q{self.request_count}",
            path,
            tenant,
            path == "/safe/",
            region,
            machine.ip,
            machine.incarnation,
            self.clock.now_us,
        )
        self.judge.now_us = self.clock.now_us
        self.judge.on_request_sent(request)
        loop = machine.loop
        if loop is not None and loop.alive:
            loop.call_soon(lambda: self.handle_request(machine, loop, request, then))

    def handle_request(
        self, machine: Machine, loop: ProcessLoop, request: ClientRequest, then: Callable[[int], None] | None
    ) -> None:
        """Handle a completely received request as the ingress's HTTP listener does."""
        node = machine.node
        if not isinstance(node, EdgeNode):
            return
        headers = [
            ("Host", HOST),
            ("X-Vetchusher-Attempt-Id", request.id),
            ("X-Vetchusher-Time-Remaining", "2000"),
            ("Authorization", f"Bearer key-{request.tenant}"),
        ]
        proxy = node.proxy
        admission = admit_request(proxy.context, RequestHead("POST", request.target, headers, proxy.now()))
        if isinstance(admission, Failure):
            self.on_request_answered(request, admission.failure().status, then)
            return
        admitted = admission.unwrap()
        proxied = ProxiedRequest(
            proxy, admitted, RequestSpec("POST", request.target, [], request.id.encode())
        )

        async def serve() -> None:
            proxied.start()
            answer = await proxied.answer
            if isinstance(answer, ServerResponse):
                assert isinstance(answer.body, bytes)
                self.judge.on_response_delivered(request, answer.status, answer.body)
            self.on_request_answered(request, answer.status, then)
            proxied.close(AttemptOutcome.ANSWERED)

        loop.create_task(serve())

    def on_request_answered(
        self, request: ClientRequest, status: int, then: Callable[[int], None] | None
    ) -> None:
        """Record the status with which a request was answered."""
        self.judge.now_us = self.clock.now_us
        self.judge.on_request_answered(request, status)
        self.statuses[status] += 1
        self.successes_by_second[self.clock.now_us // SECOND] += 200 <= status < 300
        if then is not None:
            then(status)

    # -- the operator ----------------------------------------------------------------------------

    def send_order(
        self, call: api_calls.ApiCall, then: Callable[[api_calls.ApiResult], None], again: bool = True
    ) -> None:
        """Send an operator's order to a drawn core machine, and retry until one acknowledges it.

        :param then: called with the result
        :param again: whether to retry
        """
        running = [m for m in self.cores if m.loop is not None and m.loop.alive and not m.loop.paused]
        machine = self.rng.choice(running) if running else None
        pending = [True]

        def on_result(outcome: Result[api_calls.ApiResult, Error] | None) -> None:
            if not pending[0]:
                return
            pending[0] = False
            if isinstance(outcome, Success):
                self.judge.now_us = self.clock.now_us
                then(outcome.unwrap())
            elif again:
                self.clock.after(OPERATOR_RETRY_US, lambda: self.send_order(call, then))

        self.clock.after(OPERATOR_TIMEOUT_US, lambda: on_result(None))
        if machine is None or machine.loop is None:
            return
        loop, node = machine.loop, machine.node
        assert isinstance(node, ControlNode)

        async def execute() -> None:
            outcome = await node.execute(call)
            result = outcome.checked_at_send() if isinstance(outcome, api_calls.GuardedOutcome) else outcome
            self.clock.after(MS, lambda: on_result(result))

        loop.call_soon(lambda: loop.create_task(execute()))

    def call_core_machine(
        self,
        name: str,
        call: api_calls.ApiCall,
        then: Callable[[Result[api_calls.ApiResult, Error]], None],
        pause_us: int = 0,
    ) -> None:
        """Call one core machine, without a time-out.

        :param then: called with the result that left the machine
        :param pause_us: how long the machine is paused between the decision and the answer
        """
        machine = self.machines[name]
        loop, node = machine.loop, machine.node
        assert loop is not None and isinstance(node, ControlNode)

        async def execute() -> None:
            outcome = await node.execute(call)
            if pause_us:
                self.set_paused(name, True)
                self.clock.after(pause_us, lambda: self.set_paused(name, False))
                await asyncio.sleep(0)
            result = outcome.checked_at_send() if isinstance(outcome, api_calls.GuardedOutcome) else outcome
            self.judge.now_us = self.clock.now_us
            if isinstance(result, Success) and isinstance(result.unwrap(), api_calls.ConfigurationRetrieved):
                self.judge.on_configuration_read(name, version_of(result.unwrap()))
            then(result)

        loop.call_soon(lambda: loop.create_task(execute()))

    def replace_configuration(self, version: int, then: Callable[[], None] = lambda: None) -> None:
        """Replace the configuration, and report it to the judge.

        :param then: called once the order is acknowledged
        """
        self.version = max(self.version, version)
        self.judge.on_version_sent(ConfigurationVersion(version, services_at(version)))

        def on_acknowledged(_: api_calls.ApiResult) -> None:
            self.judge.on_version_acknowledged(version)
            then()

        self.send_order(api_calls.ReplaceConfiguration(configuration(version)), on_acknowledged)

    def evacuate(self, zone: str, on: bool, then: Callable[[], None] = lambda: None) -> None:
        """Begin or end the evacuation of a zone, and report it to the judge.

        :param then: called once the order is acknowledged
        """
        if not on:
            self.judge.evacuated_at.pop(zone, None)
        self.judge.on_evacuation_ordered(zone, on)

        def on_acknowledged(_: api_calls.ApiResult) -> None:
            self.judge.on_evacuation_acknowledged(zone)
            if on:
                self.judge.evacuated_at[zone] = self.clock.now_us
            then()

        self.send_order(
            api_calls.InitiateEvacuation(zone) if on else api_calls.TerminateEvacuation(zone), on_acknowledged
        )

    def read_back(self) -> None:
        """Read the configuration at the end of a run, when no faults remain, and have the judge check it.

        Checks also the evacuations in force at the leader.
        """
        versions: list[int] = []
        requested_at = self.clock.now_us

        def on_answer(answer: api_calls.ApiResult) -> None:
            versions.append(version_of(answer))

        self.send_order(api_calls.RetrieveConfiguration(), on_answer)
        self.run(self.clock.now_us + 3 * SECOND)
        self.judge.now_us = self.clock.now_us
        self.judge.check_final_read(versions[0] if versions else None, requested_at)
        node = self.machines[self.primary()].node if self.primary() else None
        if isinstance(node, ControlNode):
            self.judge.check_evacuations(
                {evacuation.zone: evacuation.on for evacuation in node.replica.committed.evacuations}
            )

    # -- a run -----------------------------------------------------------------------------------

    def run(self, until: int) -> None:
        """Run the simulation until the virtual time `until` (us)."""
        self.clock.run(until)

    def warm_up(self) -> None:
        """Start all machines, put the first configuration in force, and start the clients."""
        for machine in self.machines.values():
            self.clock.after(self.rng.randrange(100 * MS), lambda name=machine.name: self.start(name, True))  # type: ignore[misc]
        self.clock.after(500 * MS, lambda: self.replace_configuration(1))
        self.clock.after(1_500 * MS, self.poll_directory)
        self.clock.after(2_000 * MS, self.send_client_requests)
        self.run(3 * SECOND)

    def violations(self) -> list[str]:
        """Return all violations, including unhandled exceptions of the processes."""
        failed = [f"{m.name}: {error}" for m in self.machines.values() if m.loop for error in m.loop.errors]
        return self.judge.finish() + failed
