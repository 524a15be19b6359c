"""Soak test of real processes: clients on persistent connections while signals, restarts and changes overlap.

A run is drawn from a seed: which machines get which signals when, and which configurations are sent.
The clients use an open connection until it is closed, some of them also after `Connection: close`.
The invariants do not depend on the speed of the machine:

- LOST: a request was executed by a server, but its connection was closed without a complete answer, by a
  process that was not killed meanwhile and had its grace period; or no answer came at all;
- MIXED: an answer belongs to another request, or a success lacks the server's stamp or part of the body;
- TWICE: a request that may run only once ran twice; REFUSED: such a request was answered 429 or 503, but ran;
- CONFIG: a configuration read back is older than one acknowledged before the read, or there is none;
- EXIT: a process exited unexpectedly, or logged a traceback.
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

from .local import (
    CLIENT_PORT,
    CONTROL_PORT,
    HOST,
    KEY,
    READINESS_PORT,
    REGION_BY_ZONE,
    LocalSystem,
    Machine,
    first_configuration,
)

FAULT_PHASE_S = 12.0
RESTART_DELAY_RANGE_S = (0.3, 1.5)
CLIENTS_PER_INGRESS = 6
MEAN_THINK_TIME_S = 0.05  # of a client, between two requests
TIME_REMAINING_MS = 8_000
STUBBORN_RATIO = 0.3  # of the connections: used on after `Connection: close`
ANSWER_TIMEOUT_S = 12.0  # reached only on a connection that nobody closes
MAX_SERVICE_TIME_S = 0.15  # of a server, for a request
UNSAFE_PATH = "/once/"
NOT_EXECUTED_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class SoakSize:
    """The size of a run.

    :param core: number of core machines
    :param edge: number of ingresses
    """

    core: int = 3
    edge: int = 4


@dataclass(slots=True)
class TrackedRequest:
    """A request as its client saw it.

    :param incarnation: incarnation of the process that received it
    :param sent_at: monotonic time (s)
    :param status: status of the answer; 0: no answer so far
    :param closed: whether the connection was closed without a complete answer
    """

    attempt_id: str
    path: str
    machine: str
    incarnation: int
    sent_at: float
    status: int = 0
    closed: bool = False


class Soak:
    """One run of the soak test, and everything observed in it.

    It owns the ongoing faults; a machine with a fault, or just restarted after one, gets no other (`busy`).

    :param seed: from which the run is drawn
    :param length_s: how long faults are injected
    """

    def __init__(self, seed: int, shape: SoakSize | None = None, length_s: float = FAULT_PHASE_S) -> None:
        """Draw the run; all random choices come from the seed."""
        self.seed, self.size, self.fault_phase_s = seed, shape or SoakSize(), length_s
        self.rng = random.Random(seed)
        self.violations: list[str] = []
        self.requests: list[TrackedRequest] = []
        self.statuses: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.incarnations: Counter[str] = Counter()  # restarts by machine
        self.killed: set[tuple[str, int]] = set()  # machine and incarnation
        self.terminated_at: dict[tuple[str, int], float] = {}  # time of SIGTERM, by machine and incarnation
        self.acknowledged: list[tuple[float, int]] = []  # (time, version)
        self.busy: set[str] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.request_count = 0
        self.version = 1
        self.clients_stop = asyncio.Event()

    async def run(self, folder: pathlib.Path) -> list[str]:
        """Run the soak test, and return the violations.

        :param folder: an empty folder; settings, disks and logs stay there
        """
        zones = list(REGION_BY_ZONE)
        core = [zones[number % 2] for number in range(self.size.core)]
        edge = [zones[number % 2] for number in range(self.size.edge)]
        system = LocalSystem(folder, replace(Bounds(), ttl_max_s=0.5), core, edge)
        for server in system.servers:
            server.time_s = self.rng.uniform(0.0, MAX_SERVICE_TIME_S)
            server.capacity = 1 << 16
        async with system:
            await system.configure(self.configuration(1))
            self.acknowledged.append((time.monotonic(), 1))
            await self.until_ready(system)
            await self.run_faults(system)
            self.check_run(system)
        return self.violations

    def configuration(self, version: int) -> dict[str, object]:
        """Return a version: the fixed routes, one for requests that may run only once, and a new one."""
        tree = first_configuration(version)
        first = tree["routes"][0]
        tree["routes"].append(first | {"name": "once", "path_prefix": UNSAFE_PATH, "route_type": "unsafe"})
        tree["routes"].append(first | {"name": "newest", "path_prefix": f"/new{version}/"})
        return tree

    # -- faults -------------------------------------------------------------------------------------

    async def run_faults(self, system: LocalSystem) -> None:
        """Run clients and readers, and inject all kinds of faults meanwhile."""
        clients = [
            asyncio.create_task(self.run_client(system, number))
            for number in range(CLIENTS_PER_INGRESS * len(system.edge))
        ]
        readers = [asyncio.create_task(self.run_reader(system))]
        watcher = asyncio.create_task(self.watch_exits(system))
        series = [
            self.inject_restarts(system),
            self.change_configuration(system),
            self.send_hang_ups(system),
            self.inject_kills(system),
        ]
        await asyncio.gather(*series)
        await system.wait_for_primary()
        await self.until_ready(system)
        self.clients_stop.set()
        await asyncio.gather(*clients, *readers)
        watcher.cancel()
        await self.read_last(system)

    async def until_ready(self, system: LocalSystem) -> None:
        """Wait until every ingress is ready, and the directory answers for every region."""

        async def are_ready() -> bool:
            for machine in system.edge:
                answer = await system.call("GET", f"{machine.address_with(READINESS_PORT)}/readiness")
                if answer is None or answer.status != 200:
                    return False
            return all([await system.resolve(zone) for zone in REGION_BY_ZONE])

        await system.wait_until(are_ready, "all ingresses are ready")

    async def pause(self, low_s: float, high_s: float) -> bool:
        """Wait for a drawn time; return whether faults are still to be injected."""
        await asyncio.sleep(self.rng.uniform(low_s, high_s))
        return time.monotonic() < self.began_at + self.fault_phase_s

    @property
    def began_at(self) -> float:
        """When the injection of faults began (monotonic time, s)."""
        return self.acknowledged[0][0]

    def reserve_machine(self, machines: Sequence[Machine]) -> Machine | None:
        """Draw a running machine without a fault, and mark it as busy; None: there is none."""
        candidates = [one for one in machines if one.running and one.name not in self.busy]
        if not candidates:
            return None
        machine = self.rng.choice(candidates)
        self.busy.add(machine.name)
        return machine

    async def inject_restarts(self, system: LocalSystem) -> None:
        """Send SIGTERM to one ingress after another, and sometimes to a core machine.

        The gaps in a series are shorter than the grace period.
        """
        while await self.pause(0.2, 2.0):
            for _ in range(self.rng.randrange(1, 1 + max(1, len(system.edge) // 2))):
                machine = self.reserve_machine(system.edge)
                if machine is not None:
                    self.start_fault(self.restart(system, machine))
                await asyncio.sleep(self.rng.uniform(0.1, 1.3))
            if self.rng.random() < 0.3 and (machine := self.free_core(system)) is not None:
                self.start_fault(self.restart(system, machine))
        await self.wait_for_faults()

    async def inject_kills(self, system: LocalSystem) -> None:
        """Send SIGKILL, sometimes to several processes at once."""
        while await self.pause(1.0, 5.0):
            for _ in range(self.rng.choice((1, 1, 2))):
                machine = (
                    self.reserve_machine(system.edge) if self.rng.random() < 0.7 else self.free_core(system)
                )
                if machine is not None:
                    self.start_fault(self.kill(system, machine))
        await self.wait_for_faults()

    def free_core(self, system: LocalSystem) -> Machine | None:
        """Reserve a core machine, if no other has a fault; None: there is none."""
        if any(one.name in self.busy for one in system.core):
            return None
        return self.reserve_machine(system.core)

    def start_fault(self, fault: Coroutine[Any, Any, None]) -> None:
        """Run a fault concurrently with the others."""
        self.tasks.append(asyncio.create_task(fault))

    async def wait_for_faults(self) -> None:
        """Wait until the ongoing faults have ended."""
        await asyncio.gather(*self.tasks)

    async def restart(self, system: LocalSystem, machine: Machine) -> None:
        """Shut a process down in order, and start it again."""
        self.faults["term"] += 1
        self.terminated_at[machine.name, self.incarnations[machine.name]] = time.monotonic()
        code = await system.stop(machine.name)
        if code != 0 and self.has_started(machine):
            self.violations.append(f"EXIT: {machine.name} ended with {code} after SIGTERM")
        await self.start_again(system, machine)

    async def kill(self, system: LocalSystem, machine: Machine) -> None:
        """Kill a process, and start it again."""
        self.faults["kill"] += 1
        self.killed.add((machine.name, self.incarnations[machine.name]))
        await system.kill(machine.name)
        await self.start_again(system, machine)

    def has_started(self, machine: Machine) -> bool:
        """Return whether this incarnation of a process has started up.

        Before that, signals meet the Python interpreter's own handlers.
        """
        return machine.log.count(" 101 started") > self.incarnations[machine.name]

    async def start_again(self, system: LocalSystem, machine: Machine) -> None:
        """Start a machine's process after a drawn delay, and release the machine."""
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_RANGE_S))
        self.incarnations[machine.name] += 1
        await system.start(machine.name)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.busy.discard(machine.name)

    async def send_hang_ups(self, system: LocalSystem) -> None:
        """Send SIGHUP to drawn processes, several times in a row."""
        while await self.pause(0.3, 2.0):
            for _ in range(self.rng.randrange(1, 4)):
                machine = self.rng.choice(list(system.machines.values()))
                process = machine.process
                if machine.running and process is not None:
                    self.faults["hup"] += 1
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(signal.SIGHUP)

    async def change_configuration(self, system: LocalSystem) -> None:
        """Send one configuration after another, and evacuations between them."""
        while await self.pause(0.1, 1.0):
            self.version += 1
            await system.configure(self.configuration(self.version))
            self.acknowledged.append((time.monotonic(), self.version))
            self.faults["change"] += 1
            if self.rng.random() < 0.2:
                await system.order("POST", "/evacuation/delta-a/initiate")
                await system.order("POST", "/evacuation/delta-a/terminate")

    async def watch_exits(self, system: LocalSystem) -> None:
        """Report processes that exit unexpectedly, and start them again."""
        while True:
            await asyncio.sleep(0.1)
            for machine in system.machines.values():
                process = machine.process
                if process is None or process.returncode is None or machine.name in self.busy:
                    continue
                if self.has_started(machine) or process.returncode != -signal.SIGHUP:
                    code = process.returncode
                    self.violations.append(f"EXIT: {machine.name} ended by itself with {code}")
                self.killed.add((machine.name, self.incarnations[machine.name]))
                self.busy.add(machine.name)
                self.start_fault(self.start_again(system, machine))

    # -- clients --------------------------------------------------------------------------------------

    async def run_client(self, system: LocalSystem, number: int) -> None:
        """Use one connection after another, each until it is closed."""
        rng = random.Random(f"{self.seed}/{number}")
        zone = rng.choice(list(REGION_BY_ZONE))
        while not self.clients_stop.is_set():
            fronts = await system.resolve(zone)
            if not fronts:
                await asyncio.sleep(0.1)
                continue
            address = rng.choice(fronts)
            machine = next(one for one in system.edge if one.address_with(CLIENT_PORT) == address)
            with contextlib.suppress(OSError):
                await self.use_connection(machine, rng)
            await asyncio.sleep(rng.uniform(0.0, MEAN_THINK_TIME_S))

    async def use_connection(self, machine: Machine, rng: random.Random) -> None:
        """Send requests on one connection until it is closed."""
        reader, writer = await asyncio.open_connection(machine.ip, CLIENT_PORT)
        stubborn = rng.random() < STUBBORN_RATIO
        incarnation = self.incarnations[machine.name]
        try:
            while not self.clients_stop.is_set():
                path = rng.choice(("/catalog/x", "/images/x", f"{UNSAFE_PATH}x", f"/new{self.version}/x"))
                self.request_count += 1
                tracked = TrackedRequest(
                    f"s-{self.request_count}", path, machine.name, incarnation, time.monotonic()
                )
                self.requests.append(tracked)
                keeps_connection = await self.exchange(tracked, reader, writer)
                if not keeps_connection and not stubborn:
                    return
                await asyncio.sleep(rng.expovariate(1 / MEAN_THINK_TIME_S))
        finally:
            writer.close()

    async def exchange(
        self, tracked: TrackedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request and take its answer; return whether the ingress keeps the connection.

        :raises OSError: the connection is closed
        """
        method = "POST" if tracked.path.startswith(UNSAFE_PATH) else "GET"
        length = "Content-Length: 2\r\n" if method == "POST" else ""
        head = (
            f"{method} {tracked.path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
            f"X-Vetchusher-Attempt-Id: {tracked.attempt_id}\r\n"
            f"X-Vetchusher-Time-Remaining: {TIME_REMAINING_MS}\r\n{length}\r\n"
        )
        try:
            writer.write(head.encode() + (b"{}" if method == "POST" else b""))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                raw = await reader.readuntil(b"\r\n\r\n")
                status, headers = parse_head(raw)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, OSError) as error:
            tracked.closed = True
            self.statuses["closed"] += 1
            raise ConnectionResetError from error
        except TimeoutError:
            self.violations.append(f"LOST: no answer to {tracked.attempt_id} in {ANSWER_TIMEOUT_S:g} s")
            raise ConnectionResetError from None
        tracked.status = status
        self.statuses[str(status)] += 1
        self.check_answer(tracked, headers, body)
        return headers.get("connection", "").lower() != "close"

    def check_answer(self, tracked: TrackedRequest, headers: dict[str, str], body: bytes) -> None:
        """Check that an answer belongs to this request, and that a success comes from the server."""
        answered = headers.get("x-vetchusher-attempt-id", tracked.attempt_id)
        if answered != tracked.attempt_id:
            self.violations.append(f"MIXED: {tracked.attempt_id} got the answer of {answered}")
        if tracked.status == 200:
            sealed = headers.get(SEAL.lower(), "").endswith(f".{tracked.attempt_id}")
            if not sealed or body != b"the server's bytes":
                self.violations.append(f"MIXED: success of {tracked.attempt_id} is not the server's")

    # -- configuration --------------------------------------------------------------------------------

    async def run_reader(self, system: LocalSystem) -> None:
        """Read the configuration back from drawn core machines until the clients stop."""
        while not self.clients_stop.is_set():
            requested_at = time.monotonic()
            answer = await system.read_back(self.rng.choice(system.core))
            if answer is not None and answer.status == 200:
                self.check_version(requested_at, json.loads(answer.body)["version"])
            await asyncio.sleep(0.1)

    def check_version(self, requested_at: float, actual: str) -> None:
        """Check that a version read back is not older than one acknowledged before the read began."""
        newest = max((version for at, version in self.acknowledged if at <= requested_at), default=0)
        if int(actual[1:]) < newest:
            self.violations.append(f"CONFIG: {actual} was read back after r{newest} was acknowledged")

    async def read_last(self, system: LocalSystem) -> None:
        """Read the configuration back from the primary at the end of the run."""
        machine = await system.wait_for_primary()
        answer = await system.call("GET", f"{machine.address_with(CONTROL_PORT)}/configuration/retrieve")
        if answer is None or answer.status != 200:
            self.violations.append("CONFIG: nothing is read back at the end")
        else:
            self.check_version(time.monotonic(), json.loads(answer.body)["version"])

    # -- invariants -----------------------------------------------------------------------------------

    def check_run(self, system: LocalSystem) -> None:
        """Compare the answers to clients with the executions at servers, and check the logs."""
        runs: Counter[str] = Counter()
        for server in system.servers:
            runs.update(server.runs)
        for tracked in self.requests:
            self.check_request(tracked, runs[tracked.attempt_id])
        for machine in system.machines.values():
            if "Traceback" in machine.log:
                self.violations.append(f"EXIT: {machine.name} wrote a traceback")

    def check_request(self, tracked: TrackedRequest, runs: int) -> None:
        """Check one request; `runs` is the number of its executions."""
        if runs > 1 and tracked.path.startswith(UNSAFE_PATH):
            self.violations.append(f"TWICE: {tracked.attempt_id} ran {runs} times")
        if runs and tracked.status in NOT_EXECUTED_STATUSES and tracked.path.startswith(UNSAFE_PATH):
            self.violations.append(f"REFUSED: {tracked.attempt_id} ran, and was answered {tracked.status}")
        process = tracked.machine, tracked.incarnation
        if tracked.closed and runs and process not in self.killed:
            stopped_at = self.terminated_at.get(process)
            since_stop = (
                f"{tracked.sent_at - stopped_at:+.2f} s from its SIGTERM" if stopped_at else "not stopped"
            )
            self.violations.append(
                f"LOST: {tracked.attempt_id} at {tracked.machine} ({since_stop}) ran unanswered"
            )


def parse_head(raw: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the headers of an answer, by lower-case name. Raises `ConnectionResetError`."""
    first, *lines = raw.decode("latin-1").rstrip().split("\r\n")
    match = re.match(r"HTTP/1\.1 ([0-9]{3})", first)
    if match is None:
        raise ConnectionResetError(f"no answer: {first[:40]!r}")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    return int(match[1]), headers
