"""Real core processes on loopback under faults, with racing operators whose calls are all recorded.

Operators call random machines, go on to others after a time-out, and send random requests: new versions, old
ones again, invalid ones, evacuations and their ends, reads. The outage caused by a fault is the time to the
acknowledgement of the first new change that was sent after it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import pathlib
import random
import re
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from vetchusher.emulator.cuts import Cuts
from vetchusher.emulator.system.local import (
    CONTROL_PORT,
    INTERNAL_PORT,
    REGION_BY_ZONE,
    LocalSystem,
    Machine,
    first_configuration,
)
from vetchusher.emulator.wal import Commits
from vetchusher.errors import HTTP_STATUS, ErrorCode
from vetchusher.node.data_folders import read_contents

from .call_history import EvacuationCall, History, ReadCall, WriteCall, ZoneObservation

Repair = Callable[[], Awaitable[None]]

ZONES = tuple(REGION_BY_ZONE)
VARIANTS = ("", "a", "b")  # distinguish bodies under one version
MAX_RACE_ATTEMPTS = 4  # of each operator in a race, until there is a clear answer
CALL_TIMEOUT_S = 1.0  # of an operator's call; then it calls another machine
PROBE_TIMEOUT_S = 0.3  # of the calls that measure an outage
PROBE_INTERVAL_S = 0.03  # between two of them to one machine
CALL_INTERVAL_S = 0.15  # between two calls of an operator
CONFLICT_STATUS = HTTP_STATUS[ErrorCode.VERSION_CONFLICT]
# After this time an order without a clear answer can no longer take effect: no listener or process waits, and
# no process is paused, for so long.
ORDER_EXPIRY_S = 15.0
CATCH_UP_S = 4.0  # a machine counts as lost for so long after its return
DOWN_RANGE_S = (0.2, 2.0)  # until a killed process is started again
STOP_RANGE_S = (0.3, 4.0)
RECOVERY_TIMEOUT_S = 180.0  # without an acknowledgement for so long, the run ends with an error


def body(version: int, variant: str = "") -> bytes:
    """Return the configuration of a version.

    :param variant: distinguishes the configurations of operators that choose one version
    """
    document = first_configuration(version)
    document["routes"][0]["name"] = f"only-r{version}{variant}"
    return json.dumps(document).encode()


def invalid_body(version: int) -> bytes:
    """Return a configuration that must be rejected: a route refers to an unknown service."""
    document = first_configuration(version)
    document["routes"][0]["service"] = "nowhere"
    return json.dumps(document).encode()


@dataclass(slots=True, frozen=True)
class CallResult:
    """A call to a machine whose process ran all the while.

    :param ms: from the call to its answer, or to its end without one (`status` 0)
    :param has_retry_after: whether the answer had a Retry-After header
    """

    listener: str
    status: int
    ms: float
    has_retry_after: bool = False


@dataclass(slots=True, frozen=True)
class Outage:
    """The outage caused by one fault.

    :param duration_s: from the fault to the acknowledgement that ended the outage
    :param majority_up_s: the same from when the listeners of a majority were open, if that was later
    """

    kind: str
    duration_s: float
    majority_up_s: float


@dataclass(slots=True, frozen=True)
class VoterReplacement:
    """How long a successor took to become a voter.

    :param duration_s: from the start of its process until the voters with it were established; after a
        planned replacement, from the SIGTERM to the machine that it replaced
    :param majority_up_s: the same from when its listener was open, if that was later
    """

    kind: str
    duration_s: float
    up_s: float


@dataclass(slots=True, frozen=True)
class ProcessExit:
    """How long a machine that was replaced as planned took to exit.

    :param duration_s: from SIGTERM to its exit
    :param killed: whether it was killed at the end of its grace period
    """

    kind: str
    duration_s: float
    killed: bool


@dataclass(slots=True)
class RunResult:
    """The results of one run.

    :param calm_ms: of each change acknowledged without faults and other calls
    :param calm_bytes: that all processes wrote for each of them, to sockets and files, beyond those of idle
        time
    :param calm_syncs: of all disks for each of them
    """

    history: History = field(default_factory=History)
    violations: list[str] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    call_results: list[CallResult] = field(default_factory=list)
    calm_ms: list[float] = field(default_factory=list)
    calm_bytes: float = 0.0
    calm_syncs: float = 0.0
    read_bodies: dict[int, bytes] = field(default_factory=dict)  # read back, by version
    kill_count: int = 0  # processes killed, with or without their disks
    replacement_count: int = 0  # machines lost permanently, each with a successor
    voter_replacements: list[VoterReplacement] = field(default_factory=list)
    exits: list[ProcessExit] = field(default_factory=list)


Fault = Callable[["CoreRig"], Awaitable[Repair]]


class CoreRig:
    """Runs a local system under faults with operator tasks, and records the results.

    :param size: number of core machines: in two zones, the larger part in the first
    """

    def __init__(self, folder: pathlib.Path, size: int, seed: int, operators: int = 3) -> None:
        """Prepare the system; nothing runs yet."""
        self.rng = random.Random(seed)
        zones = [ZONES[0]] * (size - size // 2) + [ZONES[1]] * (size // 2)
        self.size = size  # number of voters
        self.local_system = LocalSystem(folder, core=zones, edge=(), losses=(size - 1) // 2)
        for machine in self.local_system.core:
            machine.internal = internal_port(machine)
        self.removed: list[Machine] = []  # replaced machines
        self.link_blocks = Cuts({m.ip: m.internal for m in self.local_system.core})
        self.result = RunResult()
        self.next_version = 1
        self.max_acknowledged_version = 0
        self.operators = operators
        self.operators_active = asyncio.Event()  # set while operators make calls
        self.operators_active.set()
        self.acknowledged = asyncio.Event()  # set by each new change that is acknowledged
        # Begin and end of the call that began last among the new changes acknowledged.
        self.last_acknowledged_change: tuple[float, float] = (0.0, 0.0)
        self.finished = asyncio.Event()
        self.serving: set[str] = set()  # machines whose listeners are known to be open
        self.last_return_s = -math.inf  # when a machine last returned
        self.majority_returned_s = -math.inf  # when a returning machine last completed a majority
        self.open_listeners = 0  # of the machines that are being started
        self.session: aiohttp.ClientSession | None = None

    async def run(self, script: Callable[[CoreRig], Awaitable[None]]) -> RunResult:
        """Run the script with the system up; return the results with the violations found."""
        connector = aiohttp.TCPConnector(force_close=True)
        await self.link_blocks.open()
        async with self.local_system, aiohttp.ClientSession(connector=connector) as self.session:
            tasks = [asyncio.create_task(self.run_operator()) for _ in range(self.operators)]
            try:
                await self.await_recovery()
                await self.read_everywhere()
                self.serving = {m.name for m in self.local_system.core}
                await script(self)
                await self.read_everywhere()
                await self.kill_all()  # and read the disks a last time
            finally:
                self.finished.set()
                for task in tasks:
                    task.cancel()
                await asyncio.wait(tasks)
                await self.link_blocks.close()
            for task in tasks:
                if not task.cancelled() and task.exception() is not None:
                    self.result.violations.append(f"an operator task failed: {task.exception()!r}")
            self.result.violations += [
                f"{m.name}: traceback in the log" for m in self.machines() if "Traceback" in m.log
            ] + self.result.history.violations()
        return self.result

    def machines(self) -> list[Machine]:
        """Return all machines that there were, the present ones first."""
        return [*self.local_system.core, *self.removed]

    # -- operators ----------------------------------------------------------------------------------

    async def run_operator(self) -> None:
        """Make random calls until the run is over."""
        while not self.finished.is_set():  # a cancellation that coincides with a time-out is lost
            await self.operators_active.wait()
            await self.random_call()
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * CALL_INTERVAL_S)

    async def random_call(self) -> None:
        """Make one random call to a random machine."""
        sample, machine = self.rng.random(), self.rng.choice(self.local_system.core)
        if sample < 0.4:
            await self.write(machine, self.take_version())
        elif sample < 0.5:
            await self.race(self.take_version())
        elif sample < 0.6 and self.max_acknowledged_version:
            await self.write(machine, self.rng.randint(1, self.max_acknowledged_version), is_repeat=True)
        elif sample < 0.65:
            await self.send_invalid(machine)
        elif sample < 0.8:
            await self.evacuate(machine, self.rng.choice(ZONES), self.rng.random() < 0.5)
        else:
            await self.read(machine)

    def take_version(self) -> int:
        """Return a version that nobody has sent yet."""
        version, self.next_version = self.next_version, self.next_version + self.rng.randint(1, 4)
        return version

    async def call(
        self,
        machine: Machine,
        method: str,
        path: str,
        request_body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Call a machine; return the status (0: no complete answer in time) and the body."""
        assert self.session is not None
        began_s, timeout = time.monotonic(), aiohttp.ClientTimeout(total=timeout_s)
        process = machine.process if machine.name in self.serving else None
        status, response_body, has_retry_after = 0, b"", False
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            url = f"http://{machine.address_with(CONTROL_PORT)}{path}"
            async with self.session.request(method, url, data=request_body, timeout=timeout) as response:
                response_body, has_retry_after = await response.read(), "Retry-After" in response.headers
                status = response.status
        was_serving = process is not None and process is machine.process and machine.name in self.serving
        if was_serving and timeout_s == CALL_TIMEOUT_S:
            duration_ms = (time.monotonic() - began_s) * 1e3
            self.result.call_results.append(CallResult(machine.name, status, duration_ms, has_retry_after))
        return status, response_body

    async def race(self, version: int) -> None:
        """Let two operators send different bodies under one version."""
        await asyncio.gather(*(self.race_operator(version, variant) for variant in VARIANTS[1:]))

    async def race_operator(self, version: int, variant: str) -> None:
        """Send a body until there is a clear answer, and once more after an acknowledgement."""
        acknowledgements = 0
        for _ in range(MAX_RACE_ATTEMPTS):
            status = await self.send(self.rng.choice(self.local_system.core), version, variant)
            acknowledgements += status == 200
            if status == CONFLICT_STATUS or acknowledgements > 1:
                return

    async def send(
        self, machine: Machine, version: int, variant: str = "", timeout_s: float = CALL_TIMEOUT_S
    ) -> int:
        """Send a replacement, record the call, and return the status."""
        writes, began_s, request_body = self.result.history.writes, time.monotonic(), body(version, variant)
        call_index = len(writes)
        writes.append(
            WriteCall(version, began_s, body=variant)
        )  # a call cancelled here may have been received
        status, _ = await self.call(machine, "POST", "/configuration/replace", request_body, timeout_s)
        ended_s = time.monotonic()
        if status == 200:
            writes[call_index] = WriteCall(version, began_s, ended_s, variant)
        elif status == CONFLICT_STATUS:
            writes[call_index] = WriteCall(version, began_s, body=variant, rejected_s=ended_s)
        elif 300 <= status < 500:
            self.result.violations.append(f"{machine.name}: r{version} is valid and was rejected: {status}")
        return status

    async def write(
        self, machine: Machine, version: int, is_repeat: bool = False, timeout_s: float = CALL_TIMEOUT_S
    ) -> bool:
        """Send a replacement; return whether it was acknowledged.

        :param is_repeat: it was sent before, so its acknowledgement doesn't show that changes are accepted
        """
        began_s = time.monotonic()
        acknowledged = await self.send(machine, version, timeout_s=timeout_s) == 200
        ended_s = time.monotonic()
        if acknowledged and not is_repeat:
            self.max_acknowledged_version = max(self.max_acknowledged_version, version)
            self.last_acknowledged_change = max(self.last_acknowledged_change, (began_s, ended_s))
            self.acknowledged.set()
        return acknowledged

    async def send_invalid(self, machine: Machine) -> None:
        """Send an invalid configuration and check that it is rejected."""
        status, _ = await self.call(
            machine, "POST", "/configuration/replace", invalid_body(self.next_version + 1_000)
        )
        if 200 <= status < 400:
            self.result.violations.append(f"{machine.name}: an invalid configuration was answered {status}")

    async def evacuate(self, machine: Machine, zone: str, on: bool) -> None:
        """Order a zone's evacuation, or its end, and record the call."""
        orders, began_s = self.result.history.orders, time.monotonic()
        call_index = len(orders)
        orders.append(EvacuationCall(zone, on, began_s, began_s + ORDER_EXPIRY_S, False))
        status, _ = await self.call(
            machine, "POST", f"/evacuation/{zone}/{'initiate' if on else 'terminate'}"
        )
        if status == 200:
            orders[call_index] = EvacuationCall(zone, on, began_s, time.monotonic(), True)

    async def read(self, machine: Machine) -> int:
        """Read the configuration back and check it; return its version, or -1 without an answer."""
        began_s = time.monotonic()
        status, response_body = await self.call(machine, "GET", "/configuration/retrieve")
        ended_s = time.monotonic()
        if status != 200:
            return -1
        version = int(json.loads(response_body)["version"].removeprefix("r"))
        if response_body not in (body(version, variant) for variant in VARIANTS):
            self.result.violations.append(f"{machine.name}: r{version} is not as it was sent")
        if self.result.read_bodies.setdefault(version, response_body) != response_body:
            self.result.violations.append(
                f"{machine.name}: r{version} was read back with another body before"
            )
        self.result.history.reads.append(ReadCall(version, began_s, ended_s, machine.name))
        return version

    async def measure_idle_changes(self, count: int) -> None:
        """Make that many changes one after another while nobody else calls, and record their cost."""
        self.operators_active.clear()
        await asyncio.sleep(CALL_TIMEOUT_S)  # calls in progress end
        disks, commits = [m.disk for m in self.local_system.core], Commits()
        commits.look(disks)
        bytes_before, began_s = self.bytes_written(), time.monotonic()
        for _ in range(count):
            machine, sent_s = self.rng.choice(self.local_system.core), time.monotonic()
            if await self.write(machine, self.take_version()):
                self.result.calm_ms.append((time.monotonic() - sent_s) * 1e3)
            commits.look(disks)
        bytes_after, ended_s = self.bytes_written(), time.monotonic()
        await asyncio.sleep(max(1.0, ended_s - began_s))
        idle_bytes_s = (self.bytes_written() - bytes_after) / (time.monotonic() - ended_s)
        acknowledged = max(1, len(self.result.calm_ms))  # on a busy host some calls time out
        self.result.calm_bytes = (
            bytes_after - bytes_before - idle_bytes_s * (ended_s - began_s)
        ) / acknowledged
        self.result.calm_syncs = commits.look(disks) / acknowledged
        self.operators_active.set()

    def bytes_written(self) -> int:
        """Return the bytes that the running processes have written since their start.

        The kernel counts them, for sockets and files.
        """
        pids = [m.process.pid for m in self.local_system.core if m.process is not None and m.running]
        counters = [pathlib.Path(f"/proc/{pid}/io").read_text() for pid in pids]
        return sum(
            int(line.split()[1])
            for process_counters in counters
            for line in process_counters.splitlines()
            if line[:5] == "wchar"
        )

    async def read_everywhere(self) -> None:
        """Read back from every present machine."""
        await self.read_back(self.local_system.core)

    async def read_back(self, machines: Sequence[Machine]) -> None:
        """Wait until each machine has answered a read.

        The history checks that it returns the newest version acknowledged before.
        """
        for machine in machines:

            async def answered(machine: Machine = machine) -> bool:
                return await self.read(machine) >= 0

            await self.local_system.wait_until(answered, f"{machine.name} reads back")

    # -- faults -------------------------------------------------------------------------------------

    async def await_recovery(self) -> float:
        """Wait until a new change sent from now on is acknowledged; return how long that took, s.

        :raises TimeoutError: none was within `RECOVERY_TIMEOUT_S`
        """
        began_s, finished = time.monotonic(), asyncio.Event()
        probes = [asyncio.create_task(self.probe(machine, finished)) for machine in self.local_system.core]
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while self.last_acknowledged_change[0] < began_s:
                    self.acknowledged.clear()
                    await self.acknowledged.wait()
        except TimeoutError as error:
            raise TimeoutError(
                f"nothing acknowledged for {RECOVERY_TIMEOUT_S:g} s: {self.roles()}"
            ) from error
        finally:
            finished.set()
            for probe in probes:
                probe.cancel()
            await asyncio.wait(probes)
        return self.last_acknowledged_change[1] - began_s

    def roles(self) -> str:
        """Return what each machine last logged about epochs, for the report."""
        role_lines = {m.name: re.findall(r"\S+ I (20[1-3] .*)", m.log)[-3:] for m in self.machines()}
        return "; ".join(f"{name} {' | '.join(lines)}" for name, lines in role_lines.items())

    async def probe(self, machine: Machine, finished: asyncio.Event) -> None:
        """Send new changes to a machine at short intervals until `finished` is set."""
        while not finished.is_set():
            await self.write(machine, self.take_version(), timeout_s=PROBE_TIMEOUT_S)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def inject_fault(self, kind: str, fault: Fault) -> None:
        """Inject one fault, end it, and record the outage that it caused."""
        repair = await fault(self)
        struck_s = time.monotonic()
        outage_s, _ = await asyncio.gather(self.await_recovery(), repair())
        majority_up_s = struck_s + outage_s - max(struck_s, self.majority_returned_s)
        self.result.outages.append(Outage(kind, outage_s, max(0.0, majority_up_s)))
        await self.read_everywhere()

    def leader(self) -> Machine:
        """Return the primary according to the logs, or any machine if they name none."""
        return self.local_system.primary() or self.rng.choice(self.local_system.core)

    def other(self) -> Machine:
        """Return a random machine other than the primary."""
        leader = self.leader()
        return self.rng.choice([m for m in self.local_system.core if m is not leader])

    async def kill(self, machines: list[Machine]) -> None:
        """Kill the machines' processes."""
        self.result.kill_count += len(machines)
        self.serving -= {m.name for m in machines}
        await asyncio.gather(*(self.local_system.kill(m.name) for m in machines))

    def start_later(self, machines: list[Machine], wipe: Machine | None = None) -> Repair:
        """Return an end of the fault that starts the machines after a random time.

        :param wipe: a machine whose disk is lost now
        """
        if wipe is not None:
            self.local_system.wipe(wipe.name)

        self.open_listeners = 0

        async def repair() -> None:
            await asyncio.sleep(self.rng.uniform(*DOWN_RANGE_S))
            await asyncio.gather(*(self.start_machine(m, len(machines)) for m in machines))
            self.last_return_s = time.monotonic()

        return repair

    async def start_machine(self, machine: Machine, down: int) -> None:
        """Start a machine and wait until its listener is open.

        :param down: number of machines that are started together
        """
        await self.local_system.start(machine.name)

        async def is_open() -> bool:
            assert self.session is not None
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self.session.get(f"http://{machine.address_with(CONTROL_PORT)}/"):
                    return True
            return False

        await self.local_system.wait_until(is_open, f"the listener of {machine.name}")
        self.serving.add(machine.name)
        self.open_listeners += 1
        if self.size - down + self.open_listeners == self.size // 2 + 1:
            self.majority_returned_s = time.monotonic()

    def stop_for(self, machine: Machine) -> Repair:
        """Pause a machine's process; return an end of the fault that resumes it after a random time."""
        process = machine.process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        self.serving.discard(machine.name)

        async def repair() -> None:
            await asyncio.sleep(self.rng.uniform(*STOP_RANGE_S))
            process.send_signal(signal.SIGCONT)
            self.serving.add(machine.name)
            self.last_return_s = time.monotonic()

        return repair

    def block_for(self, senders: Sequence[Machine], receivers: Sequence[Machine], both: bool) -> Repair:
        """Block what the senders send to the receivers, for a random time.

        :param both: block the other direction too
        :return: an end of the fault that unblocks all links
        """
        first, second = [m.ip for m in senders], [m.ip for m in receivers]
        self.link_blocks.block(first, second)
        if both:
            self.link_blocks.block(second, first)

        async def repair() -> None:
            await asyncio.sleep(self.rng.uniform(*STOP_RANGE_S))
            self.link_blocks.heal()
            self.last_return_s = time.monotonic()

        return repair

    async def await_caught_up(self) -> None:
        """Wait until no machine counts as lost; only then may another disk be lost."""
        await asyncio.sleep(max(0.0, self.last_return_s + CATCH_UP_S - time.monotonic()))

    async def kill_all(self) -> None:
        """Kill every process at one moment, and record what is then on the disks."""
        await self.kill(self.local_system.core)
        now_s, newest = time.monotonic(), None
        for machine in self.local_system.core:
            contents = read_contents(str(machine.disk)).unwrap()
            if contents is not None and (newest is None or stamp(contents) > stamp(newest)):
                newest = contents
        if newest is None:
            self.result.violations.append("no disk holds a state")
            return
        evacuated = {e.zone: e.on for e in newest.state.evacuations}
        self.result.history.observations += [
            ZoneObservation(zone, evacuated.get(zone, False), now_s) for zone in ZONES
        ]
        self.result.history.reads.append(ReadCall(newest.state.version, now_s, now_s, "the newest disk"))


def internal_port(machine: Machine) -> int:
    """Return the machine's own internal port, derived from its address.

    The ports differ, so that traffic between two machines goes through `Cuts`, which can block it.
    """
    return INTERNAL_PORT - int(machine.ip.rpartition(".")[2])


def stamp(contents: Any) -> tuple[int, int]:
    """Return epoch and sequence number of the state in a data folder's contents."""
    return contents.state.stamp.epoch, contents.state.stamp.seq
