"""Soak of real processes: clients on kept connections, while signals, restarts and changes overlap.

A run is drawn from a seed: which machines get which signals when, which configurations are sent meanwhile.
The clients go on using an open connection until it is closed, some of them also after `Connection: close`.
What is judged does not hang on how fast the machine is:

- LOST: a request that a server ran, and whose connection was closed without a complete answer, by a process
  that was not killed meanwhile and had its grace;
- MIXED: an answer of another request, or a success without the server's stamp and whole body;
- TWICE: a request that may run once has run twice; REFUSED: one that was answered 429 or 503 has run;
- CONFIG: a configuration read back that is older than one acknowledged `config_apply_ms` before, or is lost;
- EXIT: a process that ended by itself, or wrote a traceback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import re
import signal
import time
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, replace
from typing import Any

from vetchusher.emulator.outside.servers import SEAL
from vetchusher.settings.node import Bounds

from .local import CONTROL, FRONT, HOST, KEY, READY, REGIONS, LocalSystem, Machine, first_configuration

LENGTH_S = 12.0  # of the faults of a run
BACK_S = (0.3, 1.5)  # until a process that ended is started again
CLIENTS_PER_INGRESS = 6
THINK_S = 0.05  # of a client between two requests, on average
PATIENCE_MS = 8_000
STUBBORN_RATIO = 0.3  # of the clients: they go on after `Connection: close`
ANSWER_S = 12.0  # for an answer; only a connection that nobody closes waits so long
WORK_S = 0.15  # most that a server works on a request
UNSAFE_PATH = "/once/"
NEVER_RAN = (429, 503)


@dataclass(slots=True, frozen=True)
class Shape:
    """The size of a run.

    :param core: control nodes
    :param edge: ingresses
    """

    core: int = 3
    edge: int = 4


@dataclass(slots=True)
class Tracked:
    """A request as its client saw it.

    :param life: process that took it
    """

    attempt_id: str
    path: str
    machine: str
    life: int
    sent_at: float
    status: int = 0
    closed: bool = False  # without a complete answer


class Soak:
    """One run, and what was seen of it.

    Owner of the faults under way; a machine in trouble, or just back, gets no other (`busy`).
    """

    def __init__(self, seed: int, shape: Shape | None = None, length_s: float = LENGTH_S) -> None:
        """Draw from the seed alone."""
        self.seed, self.shape, self.length_s = seed, shape or Shape(), length_s
        self.rng = random.Random(seed)
        self.violations: list[str] = []
        self.requests: list[Tracked] = []
        self.statuses: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.lives: Counter[str] = Counter()  # by machine: how often it was started again
        self.killed: set[tuple[str, int]] = set()  # machine and life
        self.stopped_at: dict[tuple[str, int], float] = {}  # the same: when SIGTERM was sent
        self.acknowledged: list[tuple[float, int]] = []  # when, and the version
        self.busy: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.ids = 0
        self.version = 1
        self.ended = asyncio.Event()

    async def run(self, folder: pathlib.Path) -> list[str]:
        """Play the run; return what was broken.

        :param folder: an empty one; settings, disks and logs stay there
        """
        zones = list(REGIONS)
        core = [zones[number % 2] for number in range(self.shape.core)]
        edge = [zones[number % 2] for number in range(self.shape.edge)]
        system = LocalSystem(folder, replace(Bounds(), ttl_max_s=0.5), core, edge)
        for server in system.servers:
            server.time_s = self.rng.uniform(0.0, WORK_S)
            server.capacity = 1 << 16
        async with system:
            await system.configure(self.configuration(1))
            self.acknowledged.append((time.monotonic(), 1))
            await self.until_ready(system)
            await self.play(system)
            self.judge(system)
        return self.violations

    def configuration(self, version: int) -> dict[str, object]:
        """Return a version: the routes of before, one for requests that may run once, and a new one."""
        tree = first_configuration(version)
        first = tree["routes"][0]
        tree["routes"].append(first | {"name": "once", "path_prefix": UNSAFE_PATH, "route_type": "unsafe"})
        tree["routes"].append(first | {"name": "newest", "path_prefix": f"/new{version}/"})
        return tree

    # -- faults -------------------------------------------------------------------------------------

    async def play(self, system: LocalSystem) -> None:
        """Run clients and readers, and the series of faults beside them."""
        clients = [
            asyncio.create_task(self.client(system, number))
            for number in range(CLIENTS_PER_INGRESS * len(system.edge))
        ]
        readers = [asyncio.create_task(self.reader(system))]
        watcher = asyncio.create_task(self.watch_exits(system))
        series = [self.restarts(system), self.changes(system), self.hang_ups(system), self.kills(system)]
        await asyncio.gather(*series)
        await system.until_settled()
        await self.until_ready(system)
        self.ended.set()
        await asyncio.gather(*clients, *readers)
        watcher.cancel()
        await self.read_last(system)

    async def until_ready(self, system: LocalSystem) -> None:
        """Wait until every ingress is ready, and every region is answered."""

        async def look() -> bool:
            for machine in system.edge:
                answer = await system.call("GET", f"{machine.at(READY)}/readiness")
                if answer is None or answer.status != 200:
                    return False
            return all([await system.resolve(zone) for zone in REGIONS])

        await system.until(look, "all ingresses are ready")

    async def pause(self, low_s: float, high_s: float) -> bool:
        """Wait a drawn time; return whether the run goes on."""
        await asyncio.sleep(self.rng.uniform(low_s, high_s))
        return time.monotonic() < self.began_at + self.length_s

    @property
    def began_at(self) -> float:
        """When the faults began."""
        return self.acknowledged[0][0]

    def take(self, machines: Sequence[Machine]) -> Machine | None:
        """Draw a machine that runs and is in no trouble; from here on it is."""
        free = [one for one in machines if one.running and one.name not in self.busy]
        if not free:
            return None
        machine = self.rng.choice(free)
        self.busy.add(machine.name)
        return machine

    async def restarts(self, system: LocalSystem) -> None:
        """SIGTERM to one ingress after another, in series whose gaps are shorter than their grace."""
        while await self.pause(0.2, 2.0):
            for _ in range(self.rng.randrange(1, 1 + max(1, len(system.edge) // 2))):
                machine = self.take(system.edge)
                if machine is not None:
                    self.spawn(self.restart(system, machine))
                await asyncio.sleep(self.rng.uniform(0.1, 1.3))
            if self.rng.random() < 0.3 and (machine := self.free_core(system)) is not None:
                self.spawn(self.restart(system, machine))
        await self.join()

    async def kills(self, system: LocalSystem) -> None:
        """SIGKILL, now and then to several at once."""
        while await self.pause(1.0, 5.0):
            for _ in range(self.rng.choice((1, 1, 2))):
                machine = self.take(system.edge) if self.rng.random() < 0.7 else self.free_core(system)
                if machine is not None:
                    self.spawn(self.kill(system, machine))
        await self.join()

    def free_core(self, system: LocalSystem) -> Machine | None:
        """Draw a control node, if no other is in trouble."""
        if any(one.name in self.busy for one in system.core):
            return None
        return self.take(system.core)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a fault beside the others."""
        self.tasks.append(asyncio.create_task(work))

    async def join(self) -> None:
        """Wait until the faults under way have ended."""
        await asyncio.gather(*self.tasks)

    async def restart(self, system: LocalSystem, machine: Machine) -> None:
        """Shut a process down in order, and start it again."""
        self.faults["term"] += 1
        self.stopped_at[machine.name, self.lives[machine.name]] = time.monotonic()
        code = await system.stop(machine.name)
        if code != 0 and self.has_started(machine):
            self.violations.append(f"EXIT: {machine.name} ended with {code} after SIGTERM")
        await self.start_again(system, machine)

    async def kill(self, system: LocalSystem, machine: Machine) -> None:
        """Kill a process, and start it again."""
        self.faults["kill"] += 1
        self.killed.add((machine.name, self.lives[machine.name]))
        await system.kill(machine.name)
        await self.start_again(system, machine)

    def has_started(self, machine: Machine) -> bool:
        """Return whether this life of a process has come up: before, the interpreter itself takes signals."""
        return machine.log.count(" 101 started") > self.lives[machine.name]

    async def start_again(self, system: LocalSystem, machine: Machine) -> None:
        """Start a machine's process after a while."""
        await asyncio.sleep(self.rng.uniform(*BACK_S))
        self.lives[machine.name] += 1
        await system.start(machine.name)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.busy.discard(machine.name)

    async def hang_ups(self, system: LocalSystem) -> None:
        """SIGHUP to any process, several times in a row."""
        while await self.pause(0.3, 2.0):
            for _ in range(self.rng.randrange(1, 4)):
                machine = self.rng.choice(list(system.machines.values()))
                process = machine.process
                if machine.running and process is not None:
                    self.faults["hup"] += 1
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(signal.SIGHUP)

    async def changes(self, system: LocalSystem) -> None:
        """One configuration after another, and evacuations between them."""
        while await self.pause(0.1, 1.0):
            self.version += 1
            await system.configure(self.configuration(self.version))
            self.acknowledged.append((time.monotonic(), self.version))
            self.faults["change"] += 1
            if self.rng.random() < 0.2:
                await system.order("POST", "/evacuation/delta-a/initiate")
                await system.order("POST", "/evacuation/delta-a/terminate")

    async def watch_exits(self, system: LocalSystem) -> None:
        """Note processes that end by themselves, and start them again."""
        while True:
            await asyncio.sleep(0.1)
            for machine in system.machines.values():
                process = machine.process
                if process is None or process.returncode is None or machine.name in self.busy:
                    continue
                if self.has_started(machine) or process.returncode != -signal.SIGHUP:
                    code = process.returncode
                    self.violations.append(f"EXIT: {machine.name} ended by itself with {code}")
                self.killed.add((machine.name, self.lives[machine.name]))
                self.busy.add(machine.name)
                self.spawn(self.start_again(system, machine))

    # -- clients --------------------------------------------------------------------------------------

    async def client(self, system: LocalSystem, number: int) -> None:
        """Use one connection after another, each until it is closed."""
        rng = random.Random(f"{self.seed}/{number}")
        zone = rng.choice(list(REGIONS))
        while not self.ended.is_set():
            fronts = await system.resolve(zone)
            if not fronts:
                await asyncio.sleep(0.1)
                continue
            address = rng.choice(fronts)
            machine = next(one for one in system.edge if one.at(FRONT) == address)
            with contextlib.suppress(OSError):
                await self.use_connection(machine, rng)
            await asyncio.sleep(rng.uniform(0.0, THINK_S))

    async def use_connection(self, machine: Machine, rng: random.Random) -> None:
        """Send requests on one connection until it is closed."""
        reader, writer = await asyncio.open_connection(machine.ip, FRONT)
        stubborn = rng.random() < STUBBORN_RATIO
        life = self.lives[machine.name]
        try:
            while not self.ended.is_set():
                path = rng.choice(("/catalog/x", "/images/x", f"{UNSAFE_PATH}x", f"/new{self.version}/x"))
                self.ids += 1
                tracked = Tracked(f"s-{self.ids}", path, machine.name, life, time.monotonic())
                self.requests.append(tracked)
                goes_on = await self.exchange(tracked, reader, writer)
                if not goes_on and not stubborn:
                    return
                await asyncio.sleep(rng.expovariate(1 / THINK_S))
        finally:
            writer.close()

    async def exchange(
        self, tracked: Tracked, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request and take its answer; return whether the ingress keeps the connection.

        :raises OSError: the connection is closed
        """
        method = "POST" if tracked.path.startswith(UNSAFE_PATH) else "GET"
        length = "Content-Length: 2\r\n" if method == "POST" else ""
        head = (
            f"{method} {tracked.path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
            f"X-Vetchusher-Attempt-Id: {tracked.attempt_id}\r\n"
            f"X-Vetchusher-Time-Remaining: {PATIENCE_MS}\r\n{length}\r\n"
        )
        try:
            writer.write(head.encode() + (b"{}" if method == "POST" else b""))
            async with asyncio.timeout(ANSWER_S):
                raw = await reader.readuntil(b"\r\n\r\n")
                status, headers = parse_head(raw)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, OSError) as error:
            tracked.closed = True
            self.statuses["closed"] += 1
            raise ConnectionResetError from error
        except TimeoutError:
            self.violations.append(f"LOST: no answer to {tracked.attempt_id} in {ANSWER_S:g} s")
            raise ConnectionResetError from None
        tracked.status = status
        self.statuses[str(status)] += 1
        self.check_answer(tracked, headers, body)
        return headers.get("connection", "").lower() != "close"

    def check_answer(self, tracked: Tracked, headers: dict[str, str], body: bytes) -> None:
        """Check that an answer is this request's, and a success the server's."""
        answered = headers.get("x-vetchusher-attempt-id", tracked.attempt_id)
        if answered != tracked.attempt_id:
            self.violations.append(f"MIXED: {tracked.attempt_id} got the answer of {answered}")
        if tracked.status == 200:
            sealed = headers.get(SEAL.lower(), "").endswith(f".{tracked.attempt_id}")
            if not sealed or body != b"the server's bytes":
                self.violations.append(f"MIXED: success of {tracked.attempt_id} is not the server's")

    # -- configuration --------------------------------------------------------------------------------

    async def reader(self, system: LocalSystem) -> None:
        """Read the configuration back at any control node, again and again."""
        while not self.ended.is_set():
            asked_at = time.monotonic()
            answer = await system.read_back(self.rng.choice(system.core))
            if answer is not None and answer.status == 200:
                self.check_version(asked_at, json.loads(answer.body)["version"])
            await asyncio.sleep(0.1)

    def check_version(self, asked_at: float, told: str) -> None:
        """Check that what is read is not older than what was acknowledged before it was asked for."""
        newest = max((version for at, version in self.acknowledged if at <= asked_at), default=0)
        if int(told[1:]) < newest:
            self.violations.append(f"CONFIG: {told} was read back after r{newest} was acknowledged")

    async def read_last(self, system: LocalSystem) -> None:
        """Read the newest configuration back, from whoever leads."""
        machine = await system.until_settled()
        answer = await system.call("GET", f"{machine.at(CONTROL)}/configuration/retrieve")
        if answer is None or answer.status != 200:
            self.violations.append("CONFIG: nothing is read back at the end")
        else:
            self.check_version(time.monotonic(), json.loads(answer.body)["version"])

    # -- verdict --------------------------------------------------------------------------------------

    def judge(self, system: LocalSystem) -> None:
        """Compare what clients saw with what servers ran, and read the logs."""
        runs: Counter[str] = Counter()
        for server in system.servers:
            runs.update(server.runs)
        for tracked in self.requests:
            self.judge_request(tracked, runs[tracked.attempt_id])
        for machine in system.machines.values():
            if "Traceback" in machine.log:
                self.violations.append(f"EXIT: {machine.name} wrote a traceback")

    def judge_request(self, tracked: Tracked, runs: int) -> None:
        """Judge one request by how often it ran."""
        if runs > 1 and tracked.path.startswith(UNSAFE_PATH):
            self.violations.append(f"TWICE: {tracked.attempt_id} ran {runs} times")
        if runs and tracked.status in NEVER_RAN and tracked.path.startswith(UNSAFE_PATH):
            self.violations.append(f"REFUSED: {tracked.attempt_id} ran, and was answered {tracked.status}")
        life = tracked.machine, tracked.life
        if tracked.closed and runs and life not in self.killed:
            stopped_at = self.stopped_at.get(life)
            after = f"{tracked.sent_at - stopped_at:+.2f} s from its SIGTERM" if stopped_at else "not stopped"
            self.violations.append(
                f"LOST: {tracked.attempt_id} at {tracked.machine} ({after}) ran unanswered"
            )


def parse_head(raw: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the headers of an answer; names in small letters."""
    first, *lines = raw.decode("latin-1").rstrip().split("\r\n")
    found = re.match(r"HTTP/1\.1 ([0-9]{3})", first)
    if found is None:
        raise ConnectionResetError(f"no answer: {first[:40]!r}")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    return int(found[1]), headers
