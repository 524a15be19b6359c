"""Network partitions between real processes: a proxy in this process carries every connection between them.

A process listens at its own port and connects to that same port of all others, as on machines with the same
ports.  With a different port per process, the address at which one connects to another is free, and the proxy
listens there; so the address of a connection tells its caller and its callee.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Mapping
from functools import partial

UNSENT_S = 1.5  # TCP user time-out of a sender: unacknowledged for longer, a connection is closed
LOOK_S = 0.02
MOST = 1 << 16  # bytes per read


class Cuts:
    """Owns the listeners and the connections of the proxy; `close` ends them."""

    def __init__(self, ports: Mapping[str, int]) -> None:
        """:param ports: by IP address of a process: the port where it listens"""
        self.ports = dict(ports)
        self.blocked: set[tuple[str, str]] = set()  # sender, receiver
        self.servers: dict[tuple[str, str], asyncio.Server] = {}  # by caller and callee
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start to listen for all pairs of processes.

        :raises OSError: if an address is not available
        """
        for caller in self.ports:
            for callee in self.ports.keys() - {caller}:
                await self.listen(caller, callee)

    async def listen(self, caller: str, callee: str) -> None:
        """Listen for the connections from one process to another."""
        accept = partial(self.accepted, caller, callee)
        self.servers[caller, callee] = await asyncio.start_server(accept, callee, self.ports[caller])

    async def add(self, ip: str, port: int) -> None:
        """Add a process while the others run.

        :raises OSError: if an address is not available
        """
        others = list(self.ports)
        self.ports[ip] = port
        for other in others:
            await self.listen(ip, other)
            await self.listen(other, ip)

    def remove(self, ip: str) -> None:
        """Remove a process that has ended for good; connections to it are refused."""
        del self.ports[ip]
        for pair in [pair for pair in self.servers if ip in pair]:
            self.servers.pop(pair).close()

    async def close(self) -> None:
        """Close all listeners and connections."""
        for server in self.servers.values():
            server.close()
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)

    def block(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Block what the senders send to the receivers from now on."""
        blocked_receivers = tuple(receivers)
        self.blocked |= {(a, b) for a in senders for b in blocked_receivers if a != b}

    def heal(self) -> None:
        """End all partitions."""
        self.blocked.clear()

    # -- connections --------------------------------------------------------------------------

    def accepted(
        self, caller: str, callee: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start to carry a new connection."""
        task = asyncio.get_running_loop().create_task(self.carry(caller, callee, reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def carry(
        self, caller: str, callee: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry one connection until either end or a partition ends it, and reset both ends."""
        writers = [writer]
        try:
            # A connection needs both directions to open, and fails if the caller times out before.
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
        """Copy the bytes of one direction."""
        with contextlib.suppress(OSError, TimeoutError):
            while data := await reader.read(MOST):
                await self.passes(sender, receiver)
                writer.write(data)
                await writer.drain()

    async def passes(self, sender: str, receiver: str) -> None:
        """Wait until a direction is not blocked.

        :raises TimeoutError: if the sender has timed out
        """
        async with asyncio.timeout(UNSENT_S):
            while (sender, receiver) in self.blocked:
                await asyncio.sleep(LOOK_S)
