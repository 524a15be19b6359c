"""The whole system on one machine: real processes on loopback addresses, for people and for tests.

Usage:
  local [--folder FOLDER]
  local (-h | --help)

Starts two ingresses, three core machines with disks, the platform's list and the servers of two services;
sends a configuration, asks the directory for an ingress, has it serve a request, and stays up until Ctrl-C.
A process that ends meanwhile, killed for instance, is started again.

Options:
  --folder FOLDER  A new or empty one where settings, disks and logs go, and stay.  Without it they go to
                   one of their own, which is removed at the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
from docopt import docopt

import vetchusher
from vetchusher.emulator.outside.platform import PlatformStandIn
from vetchusher.emulator.outside.servers import StandIn
from vetchusher.events import Event
from vetchusher.settings.node import Bounds

T = TypeVar("T")
ROOT = pathlib.Path(vetchusher.__file__).parent.parent
REGION_BY_ZONE = {"gulf-a": "gulf", "delta-a": "delta"}
CORE_ZONES = ("gulf-a", "gulf-a", "delta-a")  # of the core machines
EDGE_ZONES = ("gulf-a", "delta-a")
SEED_NODE_COUNT = 3  # core machines that every settings file names
SERVICES = ("catalog", "images")
HOST = "service.example"
KEY = "example-key"
# Below the kernel's ephemeral port range, so that no outgoing connection can occupy one of these ports.
INTERNAL_PORT, CLIENT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT, SERVER_LIST_PORT, SERVER_PORT = (
    17_560,
    17_580,
    17_581,
    17_582,
    17_583,
    17_584,
    17_585,
)
MAX_NETWORK_ATTEMPTS = 64
ADDED_CORE_HOST_NUMBERS = range(110, 250)  # last part of the addresses of core machines added later
WAIT_TIMEOUT_S = 180.0  # only a wait that has already failed takes this long
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 10.0  # the port of an ended process resets the connection at once
RESTART_DELAY_S = 1.0
MAX_LOG_LINES = 12  # of each log, in an error message


def claim_network(rng: random.Random) -> tuple[str, socket.socket]:
    """Claim a network 127.x.y that no other local system on this machine uses.

    Returns its prefix, with a dot at the end, and a socket: the claim lasts until the socket is closed.

    :raises OSError: no free network was found
    """
    for _ in range(MAX_NETWORK_ATTEMPTS):
        prefix = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}."
        claim_socket = socket.socket()
        try:
            claim_socket.bind((f"{prefix}1", INTERNAL_PORT))
            return prefix, claim_socket
        except OSError:
            claim_socket.close()
    raise OSError(f"no free network of loopback addresses in {MAX_NETWORK_ATTEMPTS} tries")


def toml(tree: Mapping[str, Any]) -> str:
    """Return settings as TOML: plain values, and tables of them."""
    plain = [f"{k} = {json.dumps(v)}" for k, v in tree.items() if not isinstance(v, Mapping)]
    tables = [f"\n[{k}]\n{toml(v)}" for k, v in tree.items() if isinstance(v, Mapping)]
    return "\n".join(plain + tables)


@dataclass(slots=True)
class Answer:
    """The response to a call.

    :param headers: by lower-case name
    """

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Machine:
    """One machine of the system: its files, and its process while there is one.

    :param ip: its loopback address
    :param folder: its settings, disk and log
    :param core: whether it is a core machine; otherwise an ingress
    :param internal: first port for connections between processes
    :param process: the process started last; None: there was none
    """

    name: str
    ip: str
    zone: str
    folder: pathlib.Path
    core: bool
    internal: int = INTERNAL_PORT
    process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    @property
    def settings(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.folder / "node.toml"

    @property
    def disk(self) -> pathlib.Path:
        """Path of the data folder."""
        return self.folder / "disk"

    @property
    def log(self) -> str:
        """Everything that its processes logged, the oldest first."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def address_with(self, port: int) -> str:
        """Return the address of a port of the machine."""
        return f"{self.ip}:{port}"


class LocalSystem:
    """A whole system of real processes on loopback addresses, with stub servers.

    It owns all processes and stubs: what `open` and `start` begin, `close` ends.

    :param folder: for settings, disks and logs
    :param bounds: the promised bounds; None: the defaults
    :param core: zone of each core machine; the first three are the seed nodes of all
    :param edge: zone of each ingress
    :param losses: number of core machines that may be lost at a time
    """

    def __init__(
        self,
        folder: pathlib.Path,
        bounds: Bounds | None = None,
        core: Sequence[str] = CORE_ZONES,
        edge: Sequence[str] = EDGE_ZONES,
        losses: int = 1,
    ) -> None:
        """Claim a network of loopback addresses, and prepare the machines and stub servers.

        :raises OSError: no free network was found
        """
        self.folder, self.bounds, self.machine_losses = folder, bounds or Bounds(), losses
        self.rng = random.Random(os.urandom(8))
        self.network_prefix, self.claim_socket = claim_network(self.rng)
        self.platform = PlatformStandIn(f"{self.network_prefix}1", SERVER_LIST_PORT)
        self.servers = [
            StandIn(
                f"i-{service}-{zone}", service, zone, host=f"{self.network_prefix}{number}", port=SERVER_PORT
            )
            for number, (service, zone) in enumerate(((s, z) for s in SERVICES for z in REGION_BY_ZONE), 100)
        ]
        self.core = [self.create_machine(f"core-{n}", 10 + n, zone, True) for n, zone in enumerate(core, 1)]
        self.edge = [self.create_machine(f"edge-{n}", 20 + n, zone, False) for n, zone in enumerate(edge, 1)]
        self.machines = {m.name: m for m in (*self.core, *self.edge)}
        self.free_core_host_numbers = iter(ADDED_CORE_HOST_NUMBERS)
        self.first_start = True
        self.request_count = 0
        self.session: aiohttp.ClientSession | None = None

    def create_machine(self, name: str, last: int, zone: str, core: bool) -> Machine:
        """Create a machine without files or a process; `last` is the last part of its address."""
        return Machine(name, f"{self.network_prefix}{last}", zone, self.folder / name, core)

    def add_core(self, zone: str) -> Machine:
        """Add a core machine, at an unused address and with an empty disk; it does not run yet.

        :raises OSError: all addresses have been used
        """
        last = next(self.free_core_host_numbers, None)
        if last is None:
            raise OSError(
                f"all {len(ADDED_CORE_HOST_NUMBERS)} addresses of later core machines have been used"
            )
        machine = self.create_machine(f"core-{last}", last, zone, True)
        self.machines[machine.name] = machine
        self.core.append(machine)
        return machine

    def remove_core(self, name: str) -> None:
        """Remove a core machine that does not run, and its disk; settings written later do not name it."""
        self.wipe(name)
        self.core.remove(self.machines[name])

    async def __aenter__(self) -> LocalSystem:
        """Start everything; what has started is ended again if that fails."""
        try:
            await self.open()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End everything by SIGKILL."""
        await self.close()

    async def open(self) -> None:
        """Start everything.

        :raises OSError: an address is not available
        """
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        )
        await self.platform.open()
        for server in self.servers:
            await server.open()
        self.publish_servers()
        await asyncio.gather(*(self.start(name) for name in self.machines))
        # A disk found empty later has lost the promises stored on it, and must not be taken for a new one.
        self.first_start = False

    async def close(self, ordered: bool = False) -> None:
        """End everything.

        :param ordered: whether to send SIGTERM first, and SIGKILL only to processes that outlive
            their grace period
        """
        running = [m for m in self.machines.values() if m.running]
        if ordered:
            await asyncio.gather(*(self.stop(m.name) for m in running), return_exceptions=True)
        for machine in running:
            await self.kill(machine.name)
        for server in self.servers:
            await server.close()
        await self.platform.close()
        if self.session is not None:
            await self.session.close()
        self.claim_socket.close()

    # -- machines ---------------------------------------------------------------------------

    async def start(self, name: str) -> None:
        """Start the process of a machine, with the settings of now."""
        machine = self.machines[name]
        assert not machine.running, name
        machine.folder.mkdir(parents=True, exist_ok=True)
        if machine.core:
            machine.disk.mkdir(exist_ok=True)
        machine.settings.write_text(toml(self.create_settings(machine)))
        environment = os.environ | {"VETCHUSHER_CONFIG": str(machine.settings)}
        with open(machine.folder / "log", "ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self.command(machine),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )

    def command(self, machine: Machine) -> Sequence[str]:
        """Return the command line of a machine's process; benchmarks override it."""
        return sys.executable, "-m", "vetchusher.node", "run"

    def create_settings(self, machine: Machine) -> dict[str, Any]:
        """Return the settings of a machine."""
        listen = (
            {"control": machine.address_with(CONTROL_PORT), "directory": machine.address_with(DIRECTORY_PORT)}
            if machine.core
            else {
                f: machine.address_with(p)
                for f, p in (("front", CLIENT_PORT), ("ready", READINESS_PORT), ("directory", DIRECTORY_PORT))
            }
        )
        return {
            "node_name": machine.name,
            "ip_address": machine.ip,
            "zone": machine.zone,
            "region": REGION_BY_ZONE[machine.zone],
            "machine_class": "core" if machine.core else "edge",
            "serves": ["control" if machine.core else "edge", "directory"],
            "internal_ports": [machine.internal, machine.internal + 15],
            "seed_nodes": [m.address_with(CONTROL_PORT) for m in self.core[:SEED_NODE_COUNT]],
            "first_start": self.first_start,
            "counted": machine.core,
            "data_directory": str(machine.disk) if machine.core else "",
            "zones": REGION_BY_ZONE,
            "listen": listen,
            "tolerance": {"machine_losses": self.machine_losses, "zones": 1, "region_losses": 0},
            "bounds": {f: getattr(self.bounds, f) for f in Bounds.__dataclass_fields__},
            "cloud_api": {
                "address": f"{self.platform.host}:{self.platform.port}",
                "rate_per_s": self.platform.rate_per_s,
                "lag_ms": int(self.platform.lag_s * 1000),
            },
        }

    async def kill(self, name: str) -> None:
        """Send SIGKILL to the process of a machine, and wait until it has ended."""
        process = self.machines[name].process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def stop(self, name: str) -> int:
        """Send SIGTERM to the process of a machine, and return its exit code.

        :raises TimeoutError: the process outlived its grace period by `WAIT_TIMEOUT_S`
        """
        process = self.machines[name].process
        assert process is not None, name
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        async with asyncio.timeout(self.bounds.grace_s + WAIT_TIMEOUT_S):
            return await process.wait()

    def wipe(self, name: str) -> None:
        """Empty the disk of a machine that does not run."""
        machine = self.machines[name]
        assert not machine.running, name
        shutil.rmtree(machine.disk)

    def publish_servers(self) -> None:
        """Have the platform list the servers as they are."""
        self.platform.show(server.listed for server in self.servers)

    def primary(self) -> Machine | None:
        """Return the primary by the logs; None: there is none.

        It is the running core machine that became primary last and has not logged since
        that it stepped down.
        """
        candidates: list[tuple[int, Machine]] = []
        for machine in self.core:
            events = re.findall(
                rf" ({Event.BECAME_PRIMARY:d}|{Event.STEPPED_DOWN:d}) \w+ epoch=(\d+)", machine.log
            )
            if machine.running and events and int(events[-1][0]) == Event.BECAME_PRIMARY:
                candidates.append((int(events[-1][1]), machine))
        return max(candidates, key=lambda candidate: candidate[0])[1] if candidates else None

    # -- calls ------------------------------------------------------------------------------------

    async def call(
        self, method: str, url: str, body: bytes | None = None, headers: Mapping[str, str] | None = None
    ) -> Answer | None:
        """Make one call on a connection of its own; None: no complete response came."""
        assert self.session is not None
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.session.request(
                method, f"http://{url}", data=body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                response_headers = {name.lower(): value for name, value in response.headers.items()}
                return Answer(response.status, response_headers, await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def order(self, method: str, path: str, body: bytes | None = None) -> Machine:
        """Send an operator's order to the core machines in turn until one acknowledges it; return that one.

        :raises ValueError: the order was rejected as invalid
        :raises TimeoutError: no machine acknowledged it
        """

        async def try_each() -> Machine | None:
            for machine in self.rng.sample(self.core, len(self.core)):
                answer = await self.call(method, f"{machine.address_with(CONTROL_PORT)}{path}", body)
                if answer is not None and answer.status < 300:
                    return machine
                if answer is not None and answer.status in (400, 404, 409, 413, 422):
                    raise ValueError(f"{method} {path}: {answer.status} {answer.body!r}")
            return None

        return await self.wait_until(try_each, f"{method} {path} is acknowledged")

    async def configure(self, configuration: Mapping[str, Any]) -> Machine:
        """Replace the configuration; return the core machine that acknowledged it."""
        return await self.order("POST", "/configuration/replace", json.dumps(configuration).encode())

    async def read_back(self, machine: Machine) -> Answer | None:
        """Retrieve the configuration from a machine; None: no complete response came."""
        return await self.call("GET", f"{machine.address_with(CONTROL_PORT)}/configuration/retrieve")

    async def resolve(self, zone: str, machine: Machine | None = None) -> list[str]:
        """Return the ingress addresses for a client of a zone.

        :param machine: the machine whose directory is queried; None: any core machine
        :returns: an empty list if the directory names none or does not answer
        """
        address = (machine or self.rng.choice(self.core)).address_with(DIRECTORY_PORT)
        location = f"region={REGION_BY_ZONE[zone]}&zone={zone}"
        answer = await self.call("GET", f"{address}/resolution?name={HOST}&{location}")
        return (
            list(json.loads(answer.body)["addresses"]) if answer is not None and answer.status == 200 else []
        )

    async def send_request(self, address: str, path: str, remaining_ms: int = 8_000) -> Answer | None:
        """Send one attempt of a client's request, with a key of the first configuration.

        :param address: address of the ingress
        :param remaining_ms: remaining time that the client grants
        :returns: None: no complete response came
        """
        self.request_count += 1
        headers = {
            "Host": HOST,
            "X-Vetchusher-Attempt-Id": f"a-{self.request_count:06d}",
            "X-Vetchusher-Time-Remaining": str(remaining_ms),
            "Authorization": f"Bearer {KEY}",
            "Connection": "keep-alive",  # an answer with `close` is then the decision of the ingress
        }
        return await self.call("GET", f"{address}{path}", headers=headers)

    async def request_served(self, address: str, path: str) -> Answer | None:
        """Send one attempt of a client's request; None unless its status is 200."""
        answer = await self.send_request(address, path)
        return answer if answer is not None and answer.status == 200 else None

    async def wait_until(self, look: Callable[[], Awaitable[T | None]], what: str) -> T:
        """Poll `look` until it returns a true value, and return that.

        :param what: the awaited condition, for the error
        :raises TimeoutError: with the last lines of all logs
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            if found := await look():
                return found
            await asyncio.sleep(POLL_INTERVAL_S)
        log_lines = [
            f"{m.name} ({'runs' if m.running else 'ended'}): {line}"
            for m in self.machines.values()
            for line in m.log.splitlines()[-MAX_LOG_LINES:]
        ]
        raise TimeoutError("\n".join([f"not in {WAIT_TIMEOUT_S:g} s: {what}", *log_lines]))

    async def wait_for_primary(self) -> Machine:
        """Wait until a core machine is the primary and answers; return it."""

        async def find_primary() -> Machine | None:
            machine = self.primary()
            answer = await self.read_back(machine) if machine is not None else None
            return machine if answer is not None and answer.status in (200, 404) else None

        return await self.wait_until(find_primary, "a primary answers")

    async def wait_until_serving(self, edges: Sequence[Machine]) -> None:
        """Wait until these ingresses are ready and in use.

        They and all running core machines then resolve the service's name to just these ingresses.
        """

        async def are_serving() -> bool:
            for edge in edges:
                answer = await self.call("GET", f"{edge.address_with(READINESS_PORT)}/readiness")
                if answer is None or answer.status != 200:
                    return False
            expected = {edge.address_with(CLIENT_PORT) for edge in edges}
            for machine in (*self.core, *edges):
                if machine.running and set(await self.resolve(CORE_ZONES[0], machine)) != expected:
                    return False
            return True

        await self.wait_until(are_serving, f"{[e.name for e in edges]} serve, and the directory names them")


def first_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration of the given version.

    It has one route of `HOST` for each service, below the service's name, and one tenant with the key `KEY`.
    """
    return {
        "version": f"r{version}",
        "routes": [
            {
                "name": f"to-{service}",
                "host": HOST,
                "path_prefix": f"/{service}/",
                "route_type": "safe",
                "timeout_ms": 8_000,
                "max_attempts": 3,
                "service": service,
            }
            for service in SERVICES
        ],
        "services": [{"name": service, "cold_s": 3.0, "cold_rate_s": 10.0} for service in SERVICES],
        "limits": {"header_bytes": 16_384, "body_bytes": 1 << 20, "header_ms": 3_000, "idle_ms": 15_000},
        "subscribers": [
            {"name": "tenant-1", "credentials": [KEY], "priority": 1, "rate_per_s": 500, "burst_size": 500}
        ],
    }


# -- command line -----------------------------------------------------------------------------------


async def start_and_report(system: LocalSystem) -> None:
    """Start the system, and print a first configuration, a resolution and a request."""
    await system.open()
    print(f"server list http://{system.platform.host}:{SERVER_LIST_PORT}/instances")
    for server in system.servers:
        print(f"server      {server.service:8} {server.zone:8} {server.host}:{SERVER_PORT} {server.instance}")
    for machine in system.machines.values():
        listeners = (
            f"control API http://{machine.address_with(CONTROL_PORT)} directory API http://{machine.address_with(DIRECTORY_PORT)}"
            if machine.core
            else f"clients http://{machine.address_with(CLIENT_PORT)} readiness http://{machine.address_with(READINESS_PORT)}"
        )
        pid = machine.process.pid if machine.process is not None else 0
        print(f"{machine.name:11} {machine.zone:8} pid {pid} {listeners}")
    print(f"files       {system.folder}: settings, data folder and log of each process", flush=True)
    acknowledged_by = await system.configure(first_configuration())
    print(f"configured  r1 committed at {acknowledged_by.name}", flush=True)
    await system.wait_until_serving(system.edge)
    zone = EDGE_ZONES[0]
    fronts = await system.wait_until(lambda: system.resolve(zone), "the directory answers")
    print(f"resolved    {HOST} for {zone}: {', '.join(fronts)}")
    path = f"/{SERVICES[0]}/first"
    answer = await system.wait_until(lambda: system.request_served(fronts[0], path), "a request is served")
    print(f"requested   GET {path} at {fronts[0]}: {answer.status}, {answer.body!r}")
    print("running; Ctrl-C shuts it down", flush=True)


async def restart_exited(system: LocalSystem) -> None:
    """Restart processes that exit, as the platform does, until cancelled."""
    while True:
        await asyncio.sleep(RESTART_DELAY_S)
        for machine in system.machines.values():
            if not machine.running and machine.process is not None:
                code = machine.process.returncode
                await system.start(machine.name)
                print(f"{machine.name} exited with {code}; restarted, pid {machine.process.pid}", flush=True)


async def run_until_signal(folder: pathlib.Path) -> int:
    """Run the system until a signal; return the exit code."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, stop.set)

    async def run() -> None:
        await start_and_report(system)
        await restart_exited(system)

    # A short TTL of directory answers: an ingress that shuts down waits until they have expired.
    system = LocalSystem(folder, Bounds(ttl_max_s=0.5))
    tasks = loop.create_task(run()), loop.create_task(stop.wait())
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if tasks[0] in done:
            print(f"local: {tasks[0].exception()}", file=sys.stderr)
            return 1
        print("shutting down", flush=True)
        return 0
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await system.close(ordered=True)


def main(argv: Sequence[str]) -> int:
    """Run the command line; return the exit code."""
    options = docopt(__doc__, list(argv))
    if options["--folder"]:
        folder_path = pathlib.Path(options["--folder"]).resolve()
        if folder_path.exists() and (not folder_path.is_dir() or any(folder_path.iterdir())):
            print(f"local: {folder_path} is no empty folder", file=sys.stderr)
            return 2
        return asyncio.run(run_until_signal(folder_path))
    with tempfile.TemporaryDirectory(prefix="vetchusher-") as folder:
        return asyncio.run(run_until_signal(pathlib.Path(folder)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
