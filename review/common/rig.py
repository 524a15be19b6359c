"""What the review's scripts share: the system as real processes, a client, a record of a run, its exit code.

The processes of the system are started with the command of `deploy/system.toml`. The control nodes,
ingresses, operator and platform come from the local system; the servers are processes of `server.py`.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Sequence

from vetchusher.discovery.reader import ListedServer
from vetchusher.emulator.system import local
from vetchusher.settings.node import Bounds

BROKEN, HELD, NOT_RUN = 1, 0, 2
SERVER_PROGRAM = pathlib.Path(__file__).with_name("server.py")
TIME_LIMIT_S = 110.0  # of one script, its start and end included


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        """Begin an empty record."""
        self.path, self.began_at = path, time.monotonic()
        path.write_text("")

    def write(self, text: str) -> None:
        """Append one line, with the seconds since the beginning."""
        with self.path.open("a") as file:
            file.write(f"{time.monotonic() - self.began_at:8.3f}  {text}\n")


class ServerProcess:
    """One server behind the ingresses: a process, and the events that it wrote."""

    def __init__(self, instance: str, service: str, zone: str, address: tuple[str, int]) -> None:
        """Prepare a server; `start` starts it."""
        self.instance, self.service, self.zone, self.address = instance, service, zone, address
        self.process: asyncio.subprocess.Process | None = None
        self.events: list[dict[str, object]] = []
        self.reader: asyncio.Task[None] | None = None
        self.on_event: Callable[[ServerProcess, dict[str, object]], None] | None = None

    async def start(self, *options: str) -> None:
        """Start the process and wait until it listens."""
        host, port = self.address
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(SERVER_PROGRAM),
            self.instance,
            host,
            str(port),
            *options,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        listening = asyncio.Event()
        self.reader = asyncio.create_task(self.read_events(listening))
        await asyncio.wait_for(listening.wait(), 20)

    async def read_events(self, listening: asyncio.Event) -> None:
        """Read the events that the process writes, until it ends."""
        assert self.process is not None
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            if event["event"] == "listening":
                listening.set()
                continue
            self.events.append(event)
            if self.on_event is not None:
                self.on_event(self, event)

    def crash(self) -> None:
        """End the process by SIGKILL."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    async def close(self) -> None:
        """End the process, and read its last events."""
        self.crash()
        if self.process is not None:
            await self.process.wait()
        if self.reader is not None:
            await self.reader

    def listed(self, capacity: int = 8, cold_left_ms: int = 0) -> ListedServer:
        """Return the server as an entry of the platform's list."""
        host, port = self.address
        return ListedServer(
            self.instance,
            self.service,
            f"{host}:{port}",
            self.zone,
            "v1",
            capacity,
            draining=False,
            cold_left_ms=cold_left_ms,
        )


class System(local.LocalSystem):
    """The project's local system, with the command of the deploy file and servers of the review."""

    def __init__(self, folder: pathlib.Path, bounds: Bounds, **options: object) -> None:
        """Claim addresses; the list of servers is empty until `publish_servers`."""
        super().__init__(folder, bounds, **options)  # type: ignore[arg-type]
        self.servers = []
        self.server_processes: list[ServerProcess] = []
        self.start_servers: Callable[[], Awaitable[None]] | None = None

    async def open(self) -> None:
        """Start the servers, and then everything else; what has started is ended if that fails."""
        if self.start_servers is not None:
            await self.start_servers()
        await super().open()

    def command(self, machine: local.Machine) -> Sequence[str]:
        """Return the command line of the roles in `deploy/system.toml`."""
        return "python3", "-S", "-m", "vetchusher.node", "run"

    def add_server(self, instance: str, service: str, zone: str) -> ServerProcess:
        """Add a server at an address of its own."""
        host = f"{self.network_prefix}{100 + len(self.server_processes)}"
        server = ServerProcess(instance, service, zone, (host, local.SERVER_PORT))
        self.server_processes.append(server)
        return server

    def publish_servers(self) -> None:
        """Have the platform list all servers as available."""
        self.platform.show(server.listed() for server in self.server_processes)

    async def close(self, ordered: bool = False) -> None:  # noqa: FBT001, FBT002
        """End all processes of the system and all servers."""
        for server in self.server_processes:
            await server.close()
        await super().close(ordered)


async def request(address: str, start: str, attempt: str, remaining_ms: int, body: bytes = b"") -> str:
    """Send one request as a client does, on a connection of its own.

    :param start: method and target
    :returns: the status of the answer, or why there was none
    """
    host, _, port = address.partition(":")
    head = (
        f"{start} HTTP/1.1\r\nHost: {local.HOST}\r\nX-Vetchusher-Attempt-Id: {attempt}\r\n"
        f"X-Vetchusher-Time-Remaining: {remaining_ms}\r\nAuthorization: Bearer {local.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer: asyncio.StreamWriter | None = None
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + body)
        await writer.drain()
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), remaining_ms / 1000)
        return answer.split(b" ")[1].decode()
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return f"no answer ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.close()


def main(folder: pathlib.Path, play: Callable[[Record, pathlib.Path, bool], Awaitable[bool]]) -> int:
    """Play a case and return the exit code of its script.

    :param play: is given the record, an empty folder and whether the disruption is wanted; it returns whether
        the rule was broken
    """
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def run(files: pathlib.Path) -> bool:
        playing = asyncio.ensure_future(asyncio.wait_for(play(record, files, is_disrupted), TIME_LIMIT_S))
        for number in (
            signal.SIGTERM,
            signal.SIGINT,
        ):  # the processes that were started are ended all the same
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        return await playing

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as files:
            is_broken = asyncio.run(run(pathlib.Path(files)))
    except (Exception, asyncio.CancelledError):  # noqa: BLE001 - told by the exit code, whatever it is
        record.write(f"not run: {traceback.format_exc()}")
        return NOT_RUN
    record.write("RULE BROKEN" if is_broken else "rule held")
    return BROKEN if is_broken else HELD
