"""Real `serve` processes: started, suspended, resumed, killed and terminated, also two of one number."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
from typing import Any


class Processes:
    """Owns the processes of one cluster by number, the oldest first; `end_all` ends them."""

    def __init__(
        self, folder: pathlib.Path, arguments: tuple[str, ...] = (), listeners: tuple[socket.socket, ...] = ()
    ) -> None:
        """Create a cluster without processes.

        :param folder: for configurations, logs and temporary files
        :param arguments: further arguments of every process
        :param listeners: by number: the socket for clients that its processes inherit; if empty, each process
            binds the address of its configuration
        """
        self.folder, self.arguments, self.listeners = folder, arguments, listeners
        self.running: dict[int, list[asyncio.subprocess.Process]] = {}
        self.starts = 0

    def configure(self, number: int, settings: dict[str, Any]) -> None:
        """Write the configuration of a number."""
        (self.folder / f"n{number}.json").write_text(json.dumps(settings))

    async def start(self, number: int, arguments: tuple[str, ...] = ()) -> asyncio.subprocess.Process:
        """Start one more process of a number, with a log file of its own.

        :raises OSError: if it cannot be started
        """
        self.starts += 1
        config = str(self.folder / f"n{number}.json")
        command = [sys.executable, "-m", "vetchusher", "serve", "--config", config]
        scratch = self.folder / f"tmp{number}"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {"TMPDIR": str(scratch)}
        inherited: tuple[int, ...] = ()
        if self.listeners:
            inherited = (self.listeners[number].fileno(),)
            environment["NODE_SOCKET_FD"] = str(inherited[0])
        with open(self.folder / f"n{number}.{self.starts:04d}.log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                *self.arguments,
                *arguments,
                stdout=log,
                stderr=log,
                env=environment,
                pass_fds=inherited,
            )
        self.running.setdefault(number, []).append(process)
        return process

    def alive(self, number: int) -> list[asyncio.subprocess.Process]:
        """Return the running processes of a number, and forget those that ended."""
        running = [p for p in self.running.get(number, []) if p.returncode is None]
        self.running[number] = running
        return running

    def signal(self, number: int, what: signal.Signals) -> None:
        """Send a signal to the oldest running process of a number."""
        for process in self.alive(number)[:1]:
            with contextlib.suppress(ProcessLookupError):  # it has ended meanwhile
                process.send_signal(what)

    async def kill(self, number: int) -> None:
        """Kill all processes of a number."""
        for process in self.alive(number):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
            await process.wait()

    async def end_all(self) -> None:
        """Kill all processes."""
        for number in list(self.running):
            await self.kill(number)

    def lines(self) -> list[tuple[int, int, str]]:
        """Return the number, the start_number number of the process and the text of each line of all logs."""
        lines = []
        for path in sorted(self.folder.glob("n*.*.log")):
            number, start_number = path.name.removeprefix("n").removesuffix(".log").split(".")
            lines += [(int(number), int(start_number), line) for line in path.read_text().splitlines()]
        return lines


def held_listener() -> socket.socket:
    """Return a listening socket that is bound before any process starts, as by a platform."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return listener
