"""Several real processes that share singleton roles, with faults between them that are drawn from a seed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from vetchusher.emulator.outside.etcd import EtcdServer
from vetchusher.emulator.outside.messages import free_port, read_message, write_answer
from vetchusher.emulator.outside.sockets import DatagramPath, Timeline
from vetchusher.emulator.paths import Paths
from vetchusher.emulator.processes import Processes, held_listener
from vetchusher.emulator.rig import Discovery, ShareServers, listen, name_table, settings

from .audit import Holding, gaps, holdings, wrong

TIMEOUT_S = 60.0  # reached only when a run has failed


class SinkServer:
    """Receives reports; it keeps the highest token and period, and rejects lower tokens and known periods."""

    def __init__(self) -> None:
        """Create a sink without reports."""
        self.taken: list[tuple[int, int]] = []
        self.missing_counts: list[int] = []
        self.rejected_count = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the reports of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, _, body = await read_message(reader)
                record = json.loads(body)
                period, token = record["period"], record["token"]
                last_period, highest_token = self.taken[-1] if self.taken else (-1, 0)
                is_accepted = period > last_period and token >= highest_token
                if is_accepted:
                    self.taken.append((period, token))
                    self.missing_counts.append(len(record["missing"]))
                    last_period, highest_token = period, token
                self.rejected_count += not is_accepted
                answer = json.dumps({"period": last_period, "token": highest_token}).encode()
                writer.write(write_answer("200 OK" if is_accepted else "409 Conflict", answer))
        writer.close()


@dataclass(slots=True)
class Outcome:
    """The result of a campaign.  `wrong` holds the violations."""

    wrong: list[str]
    held: list[Holding]
    faults: list[tuple[str, int]]  # kind, and start time (ns)
    gaps: list[tuple[str, float]]  # kind of the fault before it, and seconds without a holder
    periods: int
    refused: int
    cpu_s: float = 0.0


@dataclass(slots=True)
class Cluster:
    """A number of processes, the datagram paths between them, and a sink; `run` closes all that it opens."""

    folder: pathlib.Path
    members: int = 5
    voters: int = 3
    lease_ms: int = 600
    period_s: int = 1
    seed: int = 1
    clock_rate_error: float = 0.01
    shares: bool = True  # whether the processes are given the fleet file
    engine: EtcdServer | None = None  # replaces the voters
    membership: dict[str, int] | None = None  # as in the fleet file; None: disabled
    max_received_per_s: float = 100.0
    rng: random.Random = field(init=False)
    paths: Paths = field(init=False)
    processes: Processes = field(init=False)
    sink: SinkServer = field(default_factory=SinkServer)
    engine_url: str = ""
    faults: list[tuple[str, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the random generators and the paths."""
        self.rng = random.Random(self.seed)
        self.paths = Paths(random.Random(self.seed + 1))

    @property
    def lease_s(self) -> float:
        """The lease in seconds."""
        return self.lease_ms / 1000

    async def run(self, script: Callable[[Cluster], Awaitable[None]]) -> Outcome:
        """Start the processes, run the script, stop the processes and check their logs."""
        async with contextlib.AsyncExitStack() as stack:
            listeners = tuple(held_listener() for _ in range(self.members))
            for listener in listeners:
                stack.callback(listener.close)
            self.processes = Processes(self.folder, listeners=listeners)
            servers = ShareServers()
            servers.ports.append(await listen(stack, servers.serve))
            discovery = await listen(stack, Discovery(name_table(servers.ports)).serve)
            sink = await listen(stack, self.sink.serve)
            if self.engine is not None:
                self.engine_url = f"http://127.0.0.1:{await listen(stack, self.engine.serve)}"
            peer_addresses = [("127.0.0.1", free_port(socket.SOCK_DGRAM)) for _ in range(self.members)]
            path = await stack.enter_async_context(
                DatagramPath(self.paths, Timeline(), peer_addresses).open()
            )
            stack.push_async_callback(self.processes.end_all)
            for n in range(self.members):
                self.configure(n, listeners[n].getsockname()[1], discovery, sink, path, peer_addresses[n])
            await asyncio.gather(*(self.start(n) for n in range(self.members)))
            await script(self)
            await self.processes.end_all()
        terms = holdings(self.processes.lines())
        return Outcome(
            wrong(terms, self.sink.taken),
            terms,
            self.faults,
            self.gaps_by_fault(terms),
            len(self.sink.taken),
            self.sink.rejected_count,
        )

    def configure(
        self, n: int, port: int, discovery: int, sink: int, path: DatagramPath, peer_address: tuple[str, int]
    ) -> None:
        """Write the configuration files of one process."""
        platform_settings = settings(n, self.members, True)
        platform_settings["extra"] |= {"counter": False, "inbox_per_s": self.max_received_per_s}
        self.processes.configure(
            n,
            {
                "name": f"n{n}",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery}",
                "seed": f"{self.seed * 1000 + n:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "peer_listen": f"{peer_address[0]}:{peer_address[1]}",
                "peers": path.peers_of(n),
                "known": {},
                "settings": platform_settings,
            },
        )
        fleet = {
            "lease_ms": self.lease_ms,
            "duties": [{"name": "report"}, {"name": "drain"}],
            "report": {"period_s": self.period_s, "sink": f"http://127.0.0.1:{sink}/reports"},
            "log_renewals": True,
            "clock_rate": 1.0 + self.rng.choice((-1, 0, 1)) * self.clock_rate_error,
        }
        if self.membership is not None:
            fleet["membership"] = self.membership
        fleet |= {"engine": self.engine_url} if self.engine_url else {"voters": list(range(self.voters))}
        (self.folder / f"fleet{n}.json").write_text(json.dumps(fleet))

    async def start(self, n: int) -> None:
        """Start one more process of a number."""
        fleet = ("--fleet", str(self.folder / f"fleet{n}.json"))
        await self.processes.start(n, fleet if self.shares else ())

    # -- state ------------------------------------------------------------------------

    def terms(self) -> list[Holding]:
        """Return the terms so far, by the logs."""
        return holdings(self.processes.lines())

    def holder(self, duty: str = "report") -> int | None:
        """Return the number of the present holder of a role, by the logs."""
        now = time.monotonic_ns()
        current = [h for h in self.terms() if h.duty == duty and h.starts_at <= now < h.ends_at]
        return current[-1].process[0] if current else None

    async def until_held(self, duty: str = "report", other_than: int | None = None) -> int:
        """Wait until a role has a holder, one other than `other_than`; return its number.

        :raises TimeoutError: after `TIMEOUT_S`
        """
        async with asyncio.timeout(TIMEOUT_S):
            while (number := self.holder(duty)) is None or number == other_than:
                await asyncio.sleep(0.05)
        return number

    def gaps_by_fault(self, terms: list[Holding]) -> list[tuple[str, float]]:
        """Return the gaps (s) without a holder of the report role, each with the last fault before it."""
        named_gaps = []
        for since, length in gaps(terms, "report"):
            before = [kind for kind, at in self.faults if at <= since + length]
            named_gaps.append((before[-1] if before else "start", length / 1e9))
        return named_gaps

    # -- faults -----------------------------------------------------------------------

    async def fault(self, kind: str) -> None:
        """Inject one fault of a kind into the holder, and end it."""
        victim = self.holder()
        number = victim if victim is not None else self.rng.randrange(self.members)
        self.faults.append((kind, time.monotonic_ns()))
        await FAULTS[kind](self, number)
        self.paths.heal()

    async def last(self, leases: float) -> None:
        """Sleep for a number of leases."""
        await asyncio.sleep(leases * self.lease_s)

    async def suspend_for_leases(self, number: int, leases: float) -> None:
        """Suspend a process for a number of leases."""
        await self.suspend(number, leases * self.lease_s)

    async def suspend(self, number: int, seconds: float) -> None:
        """Suspend a process."""
        self.processes.signal(number, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.processes.signal(number, signal.SIGCONT)

    async def kill(self, number: int) -> None:
        """Kill the processes of a number, and start one after up to two leases."""
        await self.processes.kill(number)
        await self.last(self.rng.uniform(0.0, 2.0))
        await self.start(number)

    async def block_receiving(self, number: int) -> None:
        """Drop what is sent to a process, for three leases."""
        self.paths.deaf.add(number)
        await self.last(3.0)

    async def block_sending(self, number: int) -> None:
        """Drop what a process sends, for three leases."""
        self.paths.unheard.add(number)
        await self.last(3.0)

    async def partition(self, number: int, parts: int) -> None:
        """Partition the processes at random for three leases, `number` with a minority."""
        sides = [self.rng.randrange(parts) for _ in range(self.members)]
        sides[number] = 0  # in a minority, however the others are drawn
        for other in self.rng.sample(range(self.members), self.members // 2 + 1):
            sides[other] = 1 if other != number else 0
        self.paths.sides = tuple(sides)
        await self.last(3.0)

    async def lose_datagrams(self, number: int) -> None:
        """Lose 30% of the datagrams, and duplicate and delay 10%, for five leases."""
        self.paths.loss, self.paths.doubled, self.paths.late = 0.3, 0.1, 0.1
        await self.last(5.0)

    async def reorder_datagrams(self, number: int) -> None:
        """Duplicate half of the datagrams and delay 30% by up to a lease, for five leases."""
        self.paths.doubled, self.paths.late, self.paths.late_us = 0.5, 0.3, self.lease_ms * 1000
        await self.last(5.0)

    async def restart_voters(self, count: int) -> None:
        """Kill and restart some voters."""
        chosen = self.rng.sample(range(self.voters), count)
        for voter in chosen:
            await self.processes.kill(voter)
            await self.start(voter)
        await self.last(1.0)

    async def restart_in_order(self, number: int) -> None:
        """Terminate a process and start another one."""
        await self.terminate(number)
        await self.start(number)

    async def terminate(self, number: int) -> None:
        """Terminate the oldest process of a number, and resume it in case another fault has suspended it."""
        for process in self.processes.alive(number)[:1]:
            self.processes.signal(number, signal.SIGTERM)
            self.processes.signal(number, signal.SIGCONT)
            await process.wait()

    async def upgrade(self, number: int) -> None:
        """Start a second process beside the first, which is terminated two leases later."""
        await self.start(number)
        await self.last(2.0)
        await self.terminate(number)


FAULTS: dict[str, Callable[[Cluster, int], Awaitable[None]]] = {
    "stopped 0.5 leases": lambda t, n: t.suspend_for_leases(n, 0.5),
    "stopped 1 lease": lambda t, n: t.suspend_for_leases(n, 1.0),
    "stopped 3 leases": lambda t, n: t.suspend_for_leases(n, 3.0),
    "stopped 10 leases": lambda t, n: t.suspend_for_leases(n, 10.0),
    "killed": Cluster.kill,
    "deaf": Cluster.block_receiving,
    "unheard": Cluster.block_sending,
    "cut from the majority": lambda t, n: t.partition(n, 1),
    "cut in two": lambda t, n: t.partition(n, 2),
    "cut in three": lambda t, n: t.partition(n, 3),
    "loss 30%": Cluster.lose_datagrams,
    "doubled and disordered": Cluster.reorder_datagrams,
    "a voter restarted": lambda t, n: t.restart_voters(1),
    "two voters restarted": lambda t, n: t.restart_voters(2),
    "all voters but one restarted": lambda t, n: t.restart_voters(t.voters - 1),
    "sigterm": Cluster.restart_in_order,
    "upgrade": Cluster.upgrade,
}
