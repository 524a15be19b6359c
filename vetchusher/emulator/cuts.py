"""Cuts between real processes: every connection between two of them goes through this process.

A process listens at its own port and connects to that same port at all others, as on machines that have the
same ports.  So where each has a port of its own, the place at which one looks for another is free, and stands
here: whose connection it is follows from where it came in.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Mapping
from functools import partial

UNSENT_S = 1.5  # a sender whose bytes are not acknowledged for so long gives the connection up
LOOK_S = 0.02
MOST = 1 << 16  # bytes read at once


class Cuts:
    """It owns the listeners and the connections; `close` ends them.

    :param ports: of each process's ip, where it listens
    """

    def __init__(self, ports: Mapping[str, int]) -> None:
        self.ports = dict(ports)
        self.blocked: set[tuple[str, str]] = set()  # from, to: what passes no bytes now
        self.servers: dict[tuple[str, str], asyncio.Server] = {}  # by caller and callee
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """:raises OSError: an address cannot be had"""
        for caller in self.ports:
            for callee in self.ports.keys() - {caller}:
                await self.listen(caller, callee)

    async def listen(self, caller: str, callee: str) -> None:
        accept = partial(self.accepted, caller, callee)
        self.servers[caller, callee] = await asyncio.start_server(accept, callee, self.ports[caller])

    async def add(self, ip: str, port: int) -> None:
        """A process more, while the others run.  :raises OSError: an address cannot be had"""
        others = list(self.ports)
        self.ports[ip] = port
        for other in others:
            await self.listen(ip, other)
            await self.listen(other, ip)

    def remove(self, ip: str) -> None:
        """A process that has ended, and comes back no more: whoever calls it is refused."""
        del self.ports[ip]
        for pair in [pair for pair in self.servers if ip in pair]:
            self.servers.pop(pair).close()

    async def close(self) -> None:
        for server in self.servers.values():
            server.close()
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def block(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """From now on nothing that those send reaches these."""
        told = tuple(receivers)
        self.blocked |= {(a, b) for a in senders for b in told if a != b}

    def heal(self) -> None:
        self.blocked.clear()

    # -- connections --------------------------------------------------------------------------

    def accepted(
        self, caller: str, callee: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.get_running_loop().create_task(self.carry(caller, callee, reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def carry(
        self, caller: str, callee: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One connection, until either end or a cut ends it: then both ends are reset."""
        writers = [writer]
        try:
            # No opening gets through where either way is cut, nor does it once it was given up.
            if {(caller, callee), (callee, caller)} & self.blocked:
                await self.passes(caller, callee)
                return
            port = self.ports.get(callee)
            if port is None:  # removed since this connection was accepted
                return
            far_reader, far_writer = await asyncio.open_connection(callee, port)
            writers.append(far_writer)
            pumps = [
                asyncio.ensure_future(self.pump(reader, far_writer, caller, callee)),
                asyncio.ensure_future(self.pump(far_reader, writer, callee, caller)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except (OSError, TimeoutError):
            pass
        finally:
            for one in writers:
                one.transport.abort()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            while data := await reader.read(MOST):
                await self.passes(sender, receiver)
                writer.write(data)
                await writer.drain()

    async def passes(self, sender: str, receiver: str) -> None:
        """Until bytes pass that way.  :raises TimeoutError: their sender has given up"""
        async with asyncio.timeout(UNSENT_S):
            while (sender, receiver) in self.blocked:
                await asyncio.sleep(LOOK_S)
