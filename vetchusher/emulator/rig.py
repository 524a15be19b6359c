"""Run real `serve` processes with the stand-ins: start, kill and restart them, and send HTTP/1.1 requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
from dataclasses import dataclass, field
from typing import Any

from vetchusher.emulator.outside.counter import Counter
from vetchusher.emulator.outside.messages import free_port, read_message, write_answer
from vetchusher.emulator.outside.sockets import CounterServer, DatagramPath, Timeline
from vetchusher.emulator.quota.audit import Audit, Findings
from vetchusher.emulator.quota.demand import Request, draw_requests, draw_tenants
from vetchusher.emulator.quota.deployments import FIRST
from vetchusher.emulator.quota.virtual import Outage, Scene

from .network import Datagrams
from .processes import Processes

SERVERS = 4
READY_S = 30.0
SERVED_US = 30_000  # service time of a request at a backend server
WAIT_S = 4.0  # time-out of a client


CLASSES = [
    {
        "name": "read-shares",
        "effect": "idempotent",
        "key_scope": "all",
        "aim": 1_200_000,
        "hard_limit": 4_000_000,
        "credit": 3.0,
        "late_share": 0.2,
    }
]
CONTRACTS = [
    {
        "name": p.name,
        "depth": p.burst,
        "units_per_s": p.rate,
        "price": p.price,
        "beyond_earns": p.over_value,
        "over_cost": p.over_cost,
    }
    for p in FIRST.plans
]


def settings(number: int, ingresses: int, peers: bool) -> dict[str, Any]:
    """Return the platform settings of one ingress of the first deployment."""
    return {
        "az": 0,
        "balancers": ingresses,
        "my_number": number,
        "classes": CLASSES,
        "contracts": CONTRACTS,
        "extra": {"counter": True, "count_limit": 50_000, "units_top": 1, "inbox_per_s": 100.0},
        "failure_domains": ["one"],
        "kinds": ["std"],
        "limits": {
            "cancelling": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 250_000,
            "may_duplicate": True,
            "most_tries": 3,
            "peers": peers,
            "retry_after": True,
            "max_retry_after": 2_000_000,
        },
        "invariants": {"cold": 17_000_000, "cold_from": 0.24, "tip_after": 1_000_000, "fall_multiple": 3.0},
    }


@dataclass(slots=True)
class ShareServers:
    """Backend servers with a fixed service time, which record the requests that reach them."""

    reached: set[str] = field(default_factory=set)
    ports: list[int] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, headers, _ = await read_message(reader)
                self.reached.add(headers.get("Request-Id", ""))
                await asyncio.sleep(SERVED_US / 1e6)
                writer.write(write_answer("200 OK", b"shares"))
        writer.close()


@dataclass(slots=True)
class Discovery:
    """A discovery service that serves one list without updates."""

    body: bytes
    port: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection; a request for updates waits forever."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                first, _, _ = await read_message(reader)
                if "after=" in first:
                    await reader.read()  # until the watcher closes the connection
                    break
                writer.write(write_answer("200 OK", self.body))
        writer.close()


def name_table(ports: list[int]) -> bytes:
    """Return the discovery service's list for servers at these ports."""
    listed = [
        {
            "instanceId": f"s-{i}",
            "hostPort": f"127.0.0.1:{port}",
            "zone": "one",
            "machineType": "std",
            "cell": i,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        for i, port in enumerate(ports)
    ]
    return json.dumps({"generation": 1, "reset": True, "instances": listed}).encode()


class Client:
    """A client of one ingress that reuses idle connections."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, port: int, head: bytes) -> int:
        """Send a request and return the status of the response, 0 if there is none."""
        kept = self.idle.pop() if self.idle else None
        try:
            async with asyncio.timeout(WAIT_S + 1.0):
                reader, writer = kept or await asyncio.open_connection("127.0.0.1", port)
                writer.write(head)
                first, headers, _ = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            return 0
        if headers.get("Connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(first.split(" ")[1])

    def drop(self) -> None:
        """Close the idle connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


@dataclass(slots=True, frozen=True)
class RigOutcomes:
    """The result of a run.

    :param calls_each: counter calls per request
    :param bytes_each: bytes of peer datagrams per request
    """

    findings: Findings
    calls_each: float
    bytes_each: float
    unanswered: int  # requests without a response, also those at killed ingresses
    log: tuple[str, ...]


class Rig:
    """Runs one scene on sockets.  It owns the processes that it starts; `run` ends them."""

    def __init__(self, scene: Scene, folder: pathlib.Path) -> None:
        """Draw the tenants and their requests; `folder` is for the processes' files."""
        self.scene = scene
        self.folder = folder
        rng = random.Random(scene.seed)
        self.firms = draw_tenants(rng, scene.firms, scene.ingresses)
        self.asks = draw_requests(rng, self.firms, scene.ingresses, scene.length)
        self.ports = [free_port(socket.SOCK_STREAM) for _ in range(scene.ingresses)]
        self.hearing = [("127.0.0.1", free_port(socket.SOCK_DGRAM)) for _ in range(scene.ingresses)]
        self.processes = Processes(folder)
        self.clients = [Client() for _ in range(scene.ingresses)]
        self.servers = ShareServers()
        self.statuses: dict[str, int] = {}

    async def run(self) -> RigOutcomes:
        """Start the processes, play the scene and end the processes."""
        scene = self.scene
        timeline = Timeline()
        # SIGTERM cancels this task, so that the processes are ended and not left running.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        model = Counter(scene.script, scene.counter_calls_per_s)
        datagrams = Datagrams(random.Random(scene.seed + 1), scene.loss, partitions=scene.cuts)
        async with contextlib.AsyncExitStack() as opened:
            for _ in range(SERVERS):
                self.servers.ports.append(await listen(opened, self.servers.serve))
            discovery = Discovery(name_table(self.servers.ports))
            discovery.port = await listen(opened, discovery.serve)
            # Each ingress calls the counter at a port of its own, which identifies it.
            counters = [
                await opened.enter_async_context(CounterServer(model, timeline, n).listen())
                for n in range(scene.ingresses)
            ]
            path = await opened.enter_async_context(DatagramPath(datagrams, timeline, self.hearing).open())
            for n in range(scene.ingresses):
                self.configure(n, discovery.port, counters[n].port, path)
            opened.push_async_callback(self.processes.end_all)
            await asyncio.gather(*(self.start(n) for n in range(scene.ingresses)))
            await asyncio.sleep(1.5)  # load is shed during the first seconds after a start
            timeline.started_ns = Timeline().started_ns
            model.call_count = 0
            datagrams.byte_count = 0
            outages = [self.outage(timeline, outage) for outage in scene.outages]
            await asyncio.gather(self.play(timeline), *outages)
        return self.outcomes(model, datagrams)

    def outcomes(self, model: Counter, datagrams: Datagrams) -> RigOutcomes:
        """Return the result of the run, after all processes have ended."""
        audit = Audit(self.firms)
        for number, request in enumerate(self.asks):
            audit.record(request, request_id(number) in self.servers.reached)
        request_count = max(1, len(self.asks))
        return RigOutcomes(
            audit.findings(self.scene.length),
            model.call_count / request_count,
            datagrams.byte_count / request_count,
            sum(status == 0 for status in self.statuses.values()),
            tuple(f"n{n} {line}" for n, _, line in self.processes.lines()),
        )

    def configure(self, n: int, discovery: int, counter: int, path: DatagramPath) -> None:
        """Write the configuration of one ingress."""
        configuration = {
            "name": f"n{n}",
            "listen": f"127.0.0.1:{self.ports[n]}",
            "discovery": f"127.0.0.1:{discovery}",
            "counter": f"127.0.0.1:{counter}",
            "seed": f"{self.scene.seed * 100 + n:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "peer_listen": "{}:{}".format(*self.hearing[n]),
            "peers": path.peers_of(n),
            "known": json.loads(name_table(self.servers.ports)),
            "settings": settings(n, self.scene.ingresses, self.scene.peers),
        }
        self.processes.configure(n, configuration)

    async def start(self, n: int) -> None:
        """Start an ingress and wait until it is ready.

        :raises TimeoutError: after `READY_S`
        """
        await self.processes.start(n)
        async with asyncio.timeout(READY_S):
            head = b"GET /health/ready HTTP/1.1\r\nHost: rig\r\n\r\n"
            while await self.clients[n].ask(self.ports[n], head) != 200:
                await asyncio.sleep(0.02)

    async def kill(self, n: int) -> None:
        """Kill an ingress and close the connections to it."""
        await self.processes.kill(n)
        self.clients[n].drop()

    async def outage(self, timeline: Timeline, outage: Outage) -> None:
        """Kill and restart an ingress at the times of an outage."""
        await timeline.until(outage.killed_at)
        await self.kill(outage.ingress)
        await timeline.until(outage.restarted_at)
        await self.start(outage.ingress)

    async def play(self, timeline: Timeline) -> None:
        """Send all requests at their times."""
        running: set[asyncio.Task[None]] = set()
        for number, ask in enumerate(self.asks):
            await timeline.until(ask.at)
            task = asyncio.ensure_future(self.ask(number, ask))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def ask(self, number: int, ask: Request) -> None:
        """Send a request to its ingress, or to the first running one of its tenant."""
        firm = ask.firm
        doors = [
            ask.ingress,
            *((firm.first_ingress + k) % self.scene.ingresses for k in range(firm.ingress_count)),
        ]
        door = next((d for d in doors if self.processes.alive(d)), ask.ingress)
        head = (
            f"GET /read-shares HTTP/1.1\r\nHost: rig\r\nRequest-Id: {request_id(number)}\r\n"
            f"Api-Plan: {firm.plan.name}\r\nApi-Customer: {firm.customer:016x}\r\n"
            f"Request-Timeout: {WAIT_S}\r\n"
            f"Api-Terms: units=1,spread={firm.ingress_count},first={firm.first_ingress}\r\n\r\n"
        )
        self.statuses[request_id(number)] = await self.clients[door].ask(self.ports[door], head.encode())


def request_id(number: int) -> str:
    """Return the id of a request."""
    return f"{number:016x}"


async def listen(opened: contextlib.AsyncExitStack, serve: Any) -> int:
    """Serve connections at a free port until the stack closes; return the port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    opened.callback(server.close)
    return int(server.sockets[0].getsockname()[1])
