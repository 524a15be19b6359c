"""Several real processes that share duties, faults between them, and a campaign drawn from a seed."""

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

PATIENCE_S = 60.0  # only what has already failed waits this long


class SinkServer:
    """Takes reports: it keeps the highest token and period, and refuses lower and known ones."""

    def __init__(self) -> None:
        self.taken: list[tuple[int, int]] = []
        self.missing: list[int] = []
        self.refused = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, _, body = await read_message(reader)
                record = json.loads(body)
                period, token = record["period"], record["token"]
                last, highest = self.taken[-1] if self.taken else (-1, 0)
                good = period > last and token >= highest
                if good:
                    self.taken.append((period, token))
                    self.missing.append(len(record["missing"]))
                    last, highest = period, token
                self.refused += not good
                told = json.dumps({"period": last, "token": highest}).encode()
                writer.write(write_answer("200 OK" if good else "409 Conflict", told))
        writer.close()


@dataclass(slots=True)
class Outcome:
    """What a campaign showed; `wrong` must be empty."""

    wrong: list[str]
    held: list[Holding]
    faults: list[tuple[str, int]]  # kind, and when it began (ns)
    gaps: list[tuple[str, float]]  # kind of the fault before it, s without a holder
    periods: int
    refused: int
    cpu_s: float = 0.0


@dataclass(slots=True)
class Cluster:
    """So many processes, their paths, and a sink; everything it opens it closes in `run`."""

    folder: pathlib.Path
    members: int = 5
    voters: int = 3
    lease_ms: int = 600
    period_s: int = 1
    seed: int = 1
    wrong_clocks: float = 0.01
    shares: bool = True  # whether the processes are given the fleet's file at all
    engine: EtcdServer | None = None  # instead of voters of our own
    membership: dict[str, int] | None = None  # as in the fleet's file; none: switched off
    inbox_per_s: float = 100.0
    rng: random.Random = field(init=False)
    paths: Paths = field(init=False)
    processes: Processes = field(init=False)
    sink: SinkServer = field(default_factory=SinkServer)
    engine_url: str = ""
    faults: list[tuple[str, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.paths = Paths(random.Random(self.seed + 1))

    @property
    def lease_s(self) -> float:
        return self.lease_ms / 1000

    async def run(self, script: Callable[[Cluster], Awaitable[None]]) -> Outcome:
        async with contextlib.AsyncExitStack() as opened:
            listeners = tuple(held_listener() for _ in range(self.members))
            for listener in listeners:
                opened.callback(listener.close)
            self.processes = Processes(self.folder, listeners=listeners)
            servers = ShareServers()
            servers.ports.append(await listen(opened, servers.serve))
            discovery = await listen(opened, Discovery(name_table(servers.ports)).serve)
            sink = await listen(opened, self.sink.serve)
            if self.engine is not None:
                self.engine_url = f"http://127.0.0.1:{await listen(opened, self.engine.serve)}"
            hearing = [("127.0.0.1", free_port(socket.SOCK_DGRAM)) for _ in range(self.members)]
            path = await opened.enter_async_context(DatagramPath(self.paths, Timeline(), hearing).open())
            opened.push_async_callback(self.processes.end_all)
            for n in range(self.members):
                self.configure(n, listeners[n].getsockname()[1], discovery, sink, path, hearing[n])
            await asyncio.gather(*(self.start(n) for n in range(self.members)))
            await script(self)
            await self.processes.end_all()
        found = holdings(self.processes.lines())
        return Outcome(
            wrong(found, self.sink.taken),
            found,
            self.faults,
            self.named_gaps(found),
            len(self.sink.taken),
            self.sink.refused,
        )

    def configure(
        self, n: int, port: int, discovery: int, sink: int, path: DatagramPath, hearing: tuple[str, int]
    ) -> None:
        told = settings(n, self.members, True)
        told["extra"] |= {"counter": False, "inbox_per_s": self.inbox_per_s}
        self.processes.configure(
            n,
            {
                "name": f"n{n}",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery}",
                "seed": f"{self.seed * 1000 + n:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "peer_listen": f"{hearing[0]}:{hearing[1]}",
                "peers": path.peers_of(n),
                "known": {},
                "settings": told,
            },
        )
        fleet = {
            "lease_ms": self.lease_ms,
            "duties": [{"name": "report"}, {"name": "drain"}],
            "report": {"period_s": self.period_s, "sink": f"http://127.0.0.1:{sink}/reports"},
            "log_renewals": True,
            "clock_rate": 1.0 + self.rng.choice((-1, 0, 1)) * self.wrong_clocks,
        }
        if self.membership is not None:
            fleet["membership"] = self.membership
        fleet |= {"engine": self.engine_url} if self.engine_url else {"voters": list(range(self.voters))}
        (self.folder / f"fleet{n}.json").write_text(json.dumps(fleet))

    async def start(self, n: int) -> None:
        fleet = ("--fleet", str(self.folder / f"fleet{n}.json"))
        await self.processes.start(n, fleet if self.shares else ())

    # -- looking ----------------------------------------------------------------------

    def held(self) -> list[Holding]:
        return holdings(self.processes.lines())

    def holder(self, duty: str = "report") -> int | None:
        """Who holds a duty now, by the logs."""
        now = time.monotonic_ns()
        own = [h for h in self.held() if h.duty == duty and h.begins <= now < h.ends]
        return own[-1].who[0] if own else None

    async def until_held(self, duty: str = "report", other_than: int | None = None) -> int:
        async with asyncio.timeout(PATIENCE_S):
            while (number := self.holder(duty)) is None or number == other_than:
                await asyncio.sleep(0.05)
        return number

    def named_gaps(self, found: list[Holding]) -> list[tuple[str, float]]:
        """Times without a holder of the report, by the fault that had begun last."""
        named = []
        for since, length in gaps(found, "report"):
            before = [kind for kind, at in self.faults if at <= since + length]
            named.append((before[-1] if before else "start", length / 1e9))
        return named

    # -- faults -----------------------------------------------------------------------

    async def fault(self, kind: str) -> None:
        """One fault of this kind, and its end."""
        victim = self.holder()
        number = victim if victim is not None else self.rng.randrange(self.members)
        self.faults.append((kind, time.monotonic_ns()))
        await FAULTS[kind](self, number)
        self.paths.heal()

    async def last(self, leases: float) -> None:
        await asyncio.sleep(leases * self.lease_s)

    async def stop(self, number: int, leases: float) -> None:
        await self.stand_still(number, leases * self.lease_s)

    async def stand_still(self, number: int, seconds: float) -> None:
        self.processes.signal(number, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.processes.signal(number, signal.SIGCONT)

    async def kill(self, number: int) -> None:
        await self.processes.kill(number)
        await self.last(self.rng.uniform(0.0, 2.0))
        await self.start(number)

    async def deafen(self, number: int) -> None:
        self.paths.deaf.add(number)
        await self.last(3.0)

    async def silence(self, number: int) -> None:
        self.paths.unheard.add(number)
        await self.last(3.0)

    async def cut(self, number: int, parts: int) -> None:
        sides = [self.rng.randrange(parts) for _ in range(self.members)]
        sides[number] = 0  # with a part only, however the others are drawn
        for other in self.rng.sample(range(self.members), self.members // 2 + 1):
            sides[other] = 1 if other != number else 0
        self.paths.sides = tuple(sides)
        await self.last(3.0)

    async def lossy(self, number: int) -> None:
        self.paths.loss, self.paths.doubled, self.paths.late = 0.3, 0.1, 0.1
        await self.last(5.0)

    async def disorder(self, number: int) -> None:
        self.paths.doubled, self.paths.late, self.paths.late_us = 0.5, 0.3, self.lease_ms * 1000
        await self.last(5.0)

    async def restart_voters(self, count: int) -> None:
        chosen = self.rng.sample(range(self.voters), count)
        for voter in chosen:
            await self.processes.kill(voter)
            await self.start(voter)
        await self.last(1.0)

    async def sigterm(self, number: int) -> None:
        await self.end(number)
        await self.start(number)

    async def end(self, number: int) -> None:
        """The oldest process of a number is told to end, and has; another fault may have stopped it."""
        for process in self.processes.alive(number)[:1]:
            self.processes.signal(number, signal.SIGTERM)
            self.processes.signal(number, signal.SIGCONT)
            await process.wait()

    async def upgrade(self, number: int) -> None:
        """A second process beside the first, which is told to end a little later."""
        await self.start(number)
        await self.last(2.0)
        await self.end(number)


FAULTS: dict[str, Callable[[Cluster, int], Awaitable[None]]] = {
    "stopped 0.5 leases": lambda t, n: t.stop(n, 0.5),
    "stopped 1 lease": lambda t, n: t.stop(n, 1.0),
    "stopped 3 leases": lambda t, n: t.stop(n, 3.0),
    "stopped 10 leases": lambda t, n: t.stop(n, 10.0),
    "killed": Cluster.kill,
    "deaf": Cluster.deafen,
    "unheard": Cluster.silence,
    "cut from the majority": lambda t, n: t.cut(n, 1),
    "cut in two": lambda t, n: t.cut(n, 2),
    "cut in three": lambda t, n: t.cut(n, 3),
    "loss 30%": Cluster.lossy,
    "doubled and disordered": Cluster.disorder,
    "a voter restarted": lambda t, n: t.restart_voters(1),
    "two voters restarted": lambda t, n: t.restart_voters(2),
    "all voters but one restarted": lambda t, n: t.restart_voters(t.voters - 1),
    "sigterm": Cluster.sigterm,
    "upgrade": Cluster.upgrade,
}
