"""Real `serve` processes: started, stopped, continued, killed, ended in order, and two of one number."""

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
    """The programs of one cluster, by number, the older first.  It owns them: each ends in `end_all`.

    :param listeners: by number, the clients' listening socket that every process of it inherits; none: each
        binds the address of its configuration
    """

    def __init__(
        self, folder: pathlib.Path, arguments: tuple[str, ...] = (), listeners: tuple[socket.socket, ...] = ()
    ) -> None:
        self.folder, self.arguments, self.listeners = folder, arguments, listeners
        self.running: dict[int, list[asyncio.subprocess.Process]] = {}
        self.starts = 0

    def configure(self, number: int, told: dict[str, Any]) -> None:
        (self.folder / f"n{number}.json").write_text(json.dumps(told))

    async def start(self, number: int, arguments: tuple[str, ...] = ()) -> asyncio.subprocess.Process:
        """One process more of this number; its log is a file of its own."""
        self.starts += 1
        config = str(self.folder / f"n{number}.json")
        command = [sys.executable, "-m", "vetchusher", "serve", "--config", config]
        scratch = self.folder / f"tmp{number}"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {"TMPDIR": str(scratch)}
        passed: tuple[int, ...] = ()
        if self.listeners:
            passed = (self.listeners[number].fileno(),)
            environment["NODE_SOCKET_FD"] = str(passed[0])
        with open(self.folder / f"n{number}.{self.starts:04d}.log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                *self.arguments,
                *arguments,
                stdout=log,
                stderr=log,
                env=environment,
                pass_fds=passed,
            )
        self.running.setdefault(number, []).append(process)
        return process

    def alive(self, number: int) -> list[asyncio.subprocess.Process]:
        """The processes of a number that have not ended; ended ones are forgotten here."""
        living = [p for p in self.running.get(number, []) if p.returncode is None]
        self.running[number] = living
        return living

    def signal(self, number: int, what: signal.Signals) -> None:
        """Tell the oldest process of a number."""
        for process in self.alive(number)[:1]:
            with contextlib.suppress(ProcessLookupError):  # it has ended since
                process.send_signal(what)

    async def kill(self, number: int) -> None:
        for process in self.alive(number):
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
            await process.wait()

    async def end_all(self) -> None:
        for number in list(self.running):
            await self.kill(number)

    def lines(self) -> list[tuple[int, int, str]]:
        """Number, which process of the run, and text of each line of each log."""
        found = []
        for path in sorted(self.folder.glob("n*.*.log")):
            number, start = path.name.removeprefix("n").removesuffix(".log").split(".")
            found += [(int(number), int(start), line) for line in path.read_text().splitlines()]
        return found


def held_listener() -> socket.socket:
    """A listening socket as a platform holds it: bound before any process starts."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return listener
