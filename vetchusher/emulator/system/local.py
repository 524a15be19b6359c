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
REGIONS = {"gulf-a": "gulf", "delta-a": "delta"}  # of each zone
CORE = ("gulf-a", "gulf-a", "delta-a")  # where the core machines stand
EDGE = ("gulf-a", "delta-a")
SEEDS = 3  # core machines that every settings file names
SERVICES = ("catalog", "images")
HOST = "service.example"
KEY = "example-key"
# Below the ports that the kernel hands out: no connection of anybody's may come to stand on one of these.
INTERNAL, FRONT, READY, CONTROL, DIRECTORY, LIST, SERVER = (
    17_560,
    17_580,
    17_581,
    17_582,
    17_583,
    17_584,
    17_585,
)
NETS = 64  # networks tried before giving up
LATER_CORE = range(110, 250)  # last part of the addresses of core machines that are added later
PATIENCE_S = 180.0  # only what has already failed waits this long
LOOK_S = 0.05  # between two looks at what is waited for
CALL_S = 10.0  # for one call; a process that is gone answers at once by a reset
AGAIN_S = 1.0  # until a process that ended is started again
LAST_LINES = 12  # of a log, shown with a failure


def claim_net(rng: random.Random) -> tuple[str, socket.socket]:
    """A network 127.x.y. that no other local system on this machine uses, as long as the socket is held."""
    for _ in range(NETS):
        net = f"127.{rng.randrange(1, 255)}.{rng.randrange(1, 255)}."
        held = socket.socket()
        try:
            held.bind((f"{net}1", INTERNAL))
            return net, held
        except OSError:
            held.close()
    raise OSError(f"no free network of loopback addresses in {NETS} tries")


def toml(tree: Mapping[str, Any]) -> str:
    """Settings as the platform writes them: plain values, and tables of such."""
    plain = [f"{k} = {json.dumps(v)}" for k, v in tree.items() if not isinstance(v, Mapping)]
    tables = [f"\n[{k}]\n{toml(v)}" for k, v in tree.items() if isinstance(v, Mapping)]
    return "\n".join(plain + tables)


@dataclass(slots=True)
class Answer:
    """:param headers: names in small letters"""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Machine:
    """One machine of the system: its files, and its process while there is one."""

    name: str
    ip: str
    zone: str
    folder: pathlib.Path
    core: bool
    internal: int = INTERNAL  # the first port for what processes say to one another
    process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def settings(self) -> pathlib.Path:
        return self.folder / "node.toml"

    @property
    def disk(self) -> pathlib.Path:
        return self.folder / "disk"

    @property
    def log(self) -> str:
        """All that its processes wrote, the oldest first."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def at(self, port: int) -> str:
        return f"{self.ip}:{port}"


class LocalSystem:
    """Owner of all processes and stand-ins: what `open` and `start` begin, `close` ends.

    :param folder: of settings, disks and logs
    :param bounds: other figures of the promises
    :param core: zone of each core machine; the first three are everybody's seeds
    :param edge: zone of each ingress
    :param losses: core machines that may be lost at a time
    """

    def __init__(
        self,
        folder: pathlib.Path,
        bounds: Bounds | None = None,
        core: Sequence[str] = CORE,
        edge: Sequence[str] = EDGE,
        losses: int = 1,
    ) -> None:
        self.folder, self.bounds, self.losses = folder, bounds or Bounds(), losses
        self.rng = random.Random(os.urandom(8))
        self.net, self.held = claim_net(self.rng)
        self.platform = PlatformStandIn(f"{self.net}1", LIST)
        self.servers = [
            StandIn(f"i-{service}-{zone}", service, zone, host=f"{self.net}{number}", port=SERVER)
            for number, (service, zone) in enumerate(((s, z) for s in SERVICES for z in REGIONS), 100)
        ]
        self.core = [self.machine(f"core-{n}", 10 + n, zone, True) for n, zone in enumerate(core, 1)]
        self.edge = [self.machine(f"edge-{n}", 20 + n, zone, False) for n, zone in enumerate(edge, 1)]
        self.machines = {m.name: m for m in (*self.core, *self.edge)}
        self.later_core = iter(LATER_CORE)
        self.first_start = True
        self.ids = 0
        self.session: aiohttp.ClientSession | None = None

    def machine(self, name: str, last: int, zone: str, core: bool) -> Machine:
        return Machine(name, f"{self.net}{last}", zone, self.folder / name, core)

    def add_core(self, zone: str) -> Machine:
        """One core machine more, at an address that none has had, with an empty disk; it does not run yet.

        :raises OSError: all addresses have been used
        """
        last = next(self.later_core, None)
        if last is None:
            raise OSError(f"all {len(LATER_CORE)} addresses of later core machines have been used")
        machine = self.machine(f"core-{last}", last, zone, True)
        self.machines[machine.name] = machine
        self.core.append(machine)
        return machine

    def remove_core(self, name: str) -> None:
        """A core machine that does not run is gone with its disk: no settings written from now on name it."""
        self.wipe(name)
        self.core.remove(self.machines[name])

    async def __aenter__(self) -> LocalSystem:
        try:
            await self.open()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def open(self) -> None:
        """Start everything.  :raises OSError: an address cannot be had"""
        connector = aiohttp.TCPConnector(force_close=True)
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        )
        await self.platform.open()
        for server in self.servers:
            await server.open()
        self.show_servers()
        await asyncio.gather(*(self.start(name) for name in self.machines))
        # Danger: a disk that is empty later has lost what it promised; it must not be taken for new.
        self.first_start = False

    async def close(self, ordered: bool = False) -> None:
        """End everything.

        :param ordered: by SIGTERM, and by SIGKILL only what outlives its grace
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
        self.held.close()

    # -- machines ---------------------------------------------------------------------------

    async def start(self, name: str) -> None:
        """A process for the machine, by settings as they are now."""
        machine = self.machines[name]
        assert not machine.running, name
        machine.folder.mkdir(parents=True, exist_ok=True)
        if machine.core:
            machine.disk.mkdir(exist_ok=True)
        machine.settings.write_text(toml(self.settings_of(machine)))
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
        """The program of a machine; measurements run their own round the same parts."""
        return sys.executable, "-m", "vetchusher.node", "run"

    def settings_of(self, machine: Machine) -> dict[str, Any]:
        listen = (
            {"control": machine.at(CONTROL), "directory": machine.at(DIRECTORY)}
            if machine.core
            else {f: machine.at(p) for f, p in (("front", FRONT), ("ready", READY), ("directory", DIRECTORY))}
        )
        return {
            "node_name": machine.name,
            "ip_address": machine.ip,
            "zone": machine.zone,
            "region": REGIONS[machine.zone],
            "machine_class": "core" if machine.core else "edge",
            "serves": ["control" if machine.core else "edge", "directory"],
            "internal_ports": [machine.internal, machine.internal + 15],
            "seed_nodes": [m.at(CONTROL) for m in self.core[:SEEDS]],
            "first_start": self.first_start,
            "counted": machine.core,
            "data_directory": str(machine.disk) if machine.core else "",
            "zones": REGIONS,
            "listen": listen,
            "tolerance": {"machine_losses": self.losses, "zones": 1, "region_losses": 0},
            "bounds": {f: getattr(self.bounds, f) for f in Bounds.__dataclass_fields__},
            "cloud_api": {
                "address": f"{self.platform.host}:{self.platform.port}",
                "rate_per_s": self.platform.rate_per_s,
                "lag_ms": int(self.platform.lag_s * 1000),
            },
        }

    async def kill(self, name: str) -> None:
        """SIGKILL; on return the process is gone."""
        process = self.machines[name].process
        if process is not None and process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def stop(self, name: str) -> int:
        """SIGTERM; the exit code.  :raises TimeoutError: the grace is long over"""
        process = self.machines[name].process
        assert process is not None, name
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        async with asyncio.timeout(self.bounds.grace_s + PATIENCE_S):
            return await process.wait()

    def wipe(self, name: str) -> None:
        """Empty the disk of a machine that does not run."""
        machine = self.machines[name]
        assert not machine.running, name
        shutil.rmtree(machine.disk)

    def show_servers(self) -> None:
        """Have the platform list the servers as they are."""
        self.platform.show(server.listed for server in self.servers)

    def primary(self) -> Machine | None:
        """By the logs: the running core machine that became primary last and has not said otherwise since."""
        found: list[tuple[int, Machine]] = []
        for machine in self.core:
            said = re.findall(
                rf" ({Event.BECAME_PRIMARY:d}|{Event.STEPPED_DOWN:d}) \w+ epoch=(\d+)", machine.log
            )
            if machine.running and said and int(said[-1][0]) == Event.BECAME_PRIMARY:
                found.append((int(said[-1][1]), machine))
        return max(found, key=lambda one: one[0])[1] if found else None

    # -- calls ------------------------------------------------------------------------------------

    async def call(
        self, method: str, url: str, body: bytes | None = None, headers: Mapping[str, str] | None = None
    ) -> Answer | None:
        """One call on a connection of its own; None: no whole answer came."""
        assert self.session is not None
        limit = aiohttp.ClientTimeout(total=CALL_S)
        try:
            async with self.session.request(
                method, f"http://{url}", data=body, headers=headers, timeout=limit, allow_redirects=False
            ) as got:
                named = {name.lower(): value for name, value in got.headers.items()}
                return Answer(got.status, named, await got.read())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def order(self, method: str, path: str, body: bytes | None = None) -> Machine:
        """An operator's call, made at one core machine after another until one acknowledges it."""

        async def settled() -> Machine | None:
            for machine in self.rng.sample(self.core, len(self.core)):
                answer = await self.call(method, f"{machine.at(CONTROL)}{path}", body)
                if answer is not None and answer.status < 300:
                    return machine
                if answer is not None and answer.status in (400, 404, 409, 413, 422):
                    raise ValueError(f"{method} {path}: {answer.status} {answer.body!r}")
            return None

        return await self.until(settled, f"{method} {path} is acknowledged")

    async def configure(self, configuration: Mapping[str, Any]) -> Machine:
        return await self.order("POST", "/configuration/replace", json.dumps(configuration).encode())

    async def read_back(self, machine: Machine) -> Answer | None:
        return await self.call("GET", f"{machine.at(CONTROL)}/configuration/retrieve")

    async def resolve(self, zone: str, machine: Machine | None = None) -> list[str]:
        """Fronts for a client of that zone, by one machine's directory; empty: it names none."""
        asked = (machine or self.rng.choice(self.core)).at(DIRECTORY)
        place = f"region={REGIONS[zone]}&zone={zone}"
        answer = await self.call("GET", f"{asked}/resolution?name={HOST}&{place}")
        return (
            list(json.loads(answer.body)["addresses"]) if answer is not None and answer.status == 200 else []
        )

    async def ask(self, front: str, path: str, left_ms: int = 8_000) -> Answer | None:
        """One client's try of a request, with a key that the first configuration knows."""
        self.ids += 1
        headers = {
            "Host": HOST,
            "X-Vetchusher-Attempt-Id": f"a-{self.ids:06d}",
            "X-Vetchusher-Time-Remaining": str(left_ms),
            "Authorization": f"Bearer {KEY}",
            "Connection": "keep-alive",  # where the answer says `close`, the ingress wants it so
        }
        return await self.call("GET", f"{front}{path}", headers=headers)

    async def served(self, front: str, path: str) -> Answer | None:
        """The same; None unless it is a success."""
        answer = await self.ask(front, path)
        return answer if answer is not None and answer.status == 200 else None

    async def until(self, look: Callable[[], Awaitable[T | None]], what: str) -> T:
        """What `look` finds, as soon as it finds something.

        :raises TimeoutError: with the ends of all logs
        """
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            if found := await look():
                return found
            await asyncio.sleep(LOOK_S)
        ends = [
            f"{m.name} ({'runs' if m.running else 'ended'}): {line}"
            for m in self.machines.values()
            for line in m.log.splitlines()[-LAST_LINES:]
        ]
        raise TimeoutError("\n".join([f"not in {PATIENCE_S:g} s: {what}", *ends]))

    async def until_settled(self) -> Machine:
        """Until one core machine is the primary and answers; which one."""

        async def look() -> Machine | None:
            machine = self.primary()
            answer = await self.read_back(machine) if machine is not None else None
            return machine if answer is not None and answer.status in (200, 404) else None

        return await self.until(look, "a primary answers")

    async def until_serving(self, edges: Sequence[Machine]) -> None:
        """Until those ingresses are ready, and they and every running core machine name just them."""

        async def look() -> bool:
            for edge in edges:
                answer = await self.call("GET", f"{edge.at(READY)}/readiness")
                if answer is None or answer.status != 200:
                    return False
            wanted = {edge.at(FRONT) for edge in edges}
            for machine in (*self.core, *edges):
                if machine.running and set(await self.resolve(CORE[0], machine)) != wanted:
                    return False
            return True

        await self.until(look, f"{[e.name for e in edges]} serve, and the directory names them")


def first_configuration(version: int = 1) -> dict[str, Any]:
    """A route a service, each for `HOST` below the service's name, and one tenant, whose key is `KEY`."""
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


# -- for people -------------------------------------------------------------------------------------


async def show(system: LocalSystem) -> None:
    """Start it, and show a first configuration, a resolution and a request."""
    await system.open()
    print(f"server list http://{system.platform.host}:{LIST}/instances")
    for server in system.servers:
        print(f"server      {server.service:8} {server.zone:8} {server.host}:{SERVER} {server.instance}")
    for machine in system.machines.values():
        listeners = (
            f"control API http://{machine.at(CONTROL)} directory API http://{machine.at(DIRECTORY)}"
            if machine.core
            else f"clients http://{machine.at(FRONT)} readiness http://{machine.at(READY)}"
        )
        pid = machine.process.pid if machine.process is not None else 0
        print(f"{machine.name:11} {machine.zone:8} pid {pid} {listeners}")
    print(f"files       {system.folder}: settings, data folder and log of each process", flush=True)
    by = await system.configure(first_configuration())
    print(f"configured  r1 committed at {by.name}", flush=True)
    await system.until_serving(system.edge)
    zone = EDGE[0]
    fronts = await system.until(lambda: system.resolve(zone), "the directory answers")
    print(f"resolved    {HOST} for {zone}: {', '.join(fronts)}")
    path = f"/{SERVICES[0]}/first"
    answer = await system.until(lambda: system.served(fronts[0], path), "a request is served")
    print(f"requested   GET {path} at {fronts[0]}: {answer.status}, {answer.body!r}")
    print("running; Ctrl-C shuts it down", flush=True)


async def keep_up(system: LocalSystem) -> None:
    """Start again what ends, as the platform does, until cancelled."""
    while True:
        await asyncio.sleep(AGAIN_S)
        for machine in system.machines.values():
            if not machine.running and machine.process is not None:
                code = machine.process.returncode
                await system.start(machine.name)
                print(f"{machine.name} exited with {code}; restarted, pid {machine.process.pid}", flush=True)


async def stay(folder: pathlib.Path) -> int:
    """Up until a signal; its exit code."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, stop.set)

    async def up() -> None:
        await show(system)
        await keep_up(system)

    # Answers of the directory that run out soon: an ingress that is told to end waits for that.
    system = LocalSystem(folder, Bounds(ttl_max_s=0.5))
    tasks = loop.create_task(up()), loop.create_task(stop.wait())
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
    told = docopt(__doc__, list(argv))
    if told["--folder"]:
        place = pathlib.Path(told["--folder"]).resolve()
        if place.exists() and (not place.is_dir() or any(place.iterdir())):
            print(f"local: {place} is no empty folder", file=sys.stderr)
            return 2
        return asyncio.run(stay(place))
    with tempfile.TemporaryDirectory(prefix="vetchusher-") as folder:
        return asyncio.run(stay(pathlib.Path(folder)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
