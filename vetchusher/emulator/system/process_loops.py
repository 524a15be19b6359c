"""Event loops in virtual time, one a process, and connections between them: the programs' own coroutines run
on these unchanged, many processes in one, the same each time for one seed.

A process has its own clock (wrong by a part, begun anywhere), can stand still, and can end at any moment:
what it had under way is then never run again.  Connections keep the order of their bytes; a cut holds these
back, and ends the connection of whoever waits too long for an acknowledgement.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, TypeVar

from vetchusher.emulator.fleet_world import MS, SECOND

T = TypeVar("T")
UNSENT = 1_500 * MS  # bytes without an acknowledgement: the sender gives the connection up
RETRY = 100 * MS  # between two attempts of the kernel to send what was lost
DISK = 8 * MS  # longest that a sync takes


class VirtualClock:
    """Owner of time and of what is to happen, in order."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.at = 0  # us
        self.serial = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay: int, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (self.at + delay, self.serial, what))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.at, _, what = heapq.heappop(self.heap)
            what()
        self.at = until


class ProcessLoop(asyncio.AbstractEventLoop):
    """The loop of one life of one process.

    :param ip: of its machine
    :param rate: of its clock
    """

    def __init__(self, net: Net, ip: str, rate: float) -> None:
        self.net, self.ip, self.rate = net, ip, rate
        self.offset = net.clock.rng.randrange(1, 10**10)
        self.alive, self.frozen, self.inside = True, False, False
        self.disk_hangs = self.disk_refuses = False
        self.ready: deque[asyncio.Handle] = deque()
        self.backlog: list[asyncio.Handle] = []  # that came due while it stood still
        self.free_at: dict[int, int] = {}  # by executor: one thing after the other
        self.listeners: dict[int, Callable[[], asyncio.Protocol]] = {}  # by port
        self.wires: dict[Wire, None] = {}  # in the order in which they began
        self.errors: list[str] = []

    # -- what the programs call -------------------------------------------------------------

    def time(self) -> float:
        return (self.offset + self.net.clock.at * self.rate) / 1e6

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return self.alive

    def is_closed(self) -> bool:
        return not self.alive

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, T], *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task[T]:
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self.enter(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        delay = int((when - self.time()) * 1e6 / self.rate) + 2  # never before its time
        self.net.clock.after(max(0, delay), lambda: self.enter(handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Nothing is kept of it here."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self.alive:
            self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def run_in_executor(  # type: ignore[override]
        self, executor: object, func: Callable[..., T], *args: Any
    ) -> asyncio.Future[T]:
        """A disk, or a thread: it is done when its time is over, and not if the process ends before."""
        future: asyncio.Future[T] = self.create_future()
        clock = self.net.clock
        due = max(clock.at, self.free_at.get(id(executor), 0)) + clock.rng.randrange(MS, DISK)
        self.free_at[id(executor)] = due

        def done() -> None:
            if self.disk_hangs:
                clock.after(RETRY, done)
            elif self.alive:
                outcome = func(*args)
                self.call_soon(settle, future, outcome)

        clock.after(due - clock.at, done)
        return future

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: object
    ) -> object:
        self.listeners[port] = factory
        return _Listener(self, port)

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: object
    ) -> tuple[Wire, asyncio.Protocol]:
        future: asyncio.Future[Wire] = self.create_future()
        self.net.connect(self, host, port, future)
        wire = await future
        protocol = factory()
        wire.begin(protocol)
        return wire, protocol

    # -- what happens to the process ----------------------------------------------------------

    def enter(self, handle: asyncio.Handle) -> None:
        """The handle's time has come; it runs at once, after whatever runs now."""
        if not self.alive or handle.cancelled():
            return
        if self.frozen:
            self.backlog.append(handle)
            return
        self.ready.append(handle)
        if not self.inside:
            self.net.clock.after(0, self.drain)
            self.inside = True

    def drain(self) -> None:
        if self.frozen:
            self.backlog += self.ready
            self.ready.clear()
        events._set_running_loop(self)
        try:
            while self.ready and self.alive:
                handle = self.ready.popleft()
                if not handle.cancelled():
                    handle._run()
        finally:
            events._set_running_loop(None)
            self.inside = False

    def run_soon(self, what: Callable[..., object], *args: object) -> None:
        self.call_soon(what, *args)

    def call(self, what: Callable[[], T]) -> T:
        """Run something inside the process, now."""
        events._set_running_loop(self)
        try:
            return what()
        finally:
            events._set_running_loop(None)

    def thaw(self) -> None:
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for handle in backlog:
            self.enter(handle)

    def end(self, power: bool) -> None:
        """:param power: the machine's goes: nobody is told"""
        self.alive = False
        self.ready.clear()
        for wire in list(self.wires):
            wire.gone = True
            if not power:
                self.net.send_end(wire)


def settle(future: asyncio.Future[T], outcome: T) -> None:
    if not future.done():
        future.set_result(outcome)


class _Listener:
    def __init__(self, loop: ProcessLoop, port: int) -> None:
        self.loop, self.port = loop, port

    def close(self) -> None:
        self.loop.listeners.pop(self.port, None)


class Wire(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: ProcessLoop) -> None:
        super().__init__()
        self.loop = loop
        self.peer: Wire | None = None
        self.protocol: asyncio.Protocol | None = None
        self.early: list[bytes] = []  # that came before the protocol was there
        self.sent: deque[tuple[int, bytes]] = deque()  # on its way, and due when
        self.blocked_since: int | None = None
        self.gone = False
        loop.wires[self] = None

    def setsockopt(self, *_: object) -> None:
        """As its own socket: options change nothing here."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self

    def is_closing(self) -> bool:
        return self.gone

    def get_write_buffer_size(self) -> int:
        return sum(len(data) for _, data in self.sent) if self.blocked_since is not None else 0

    def begin(self, protocol: asyncio.Protocol) -> None:
        self.protocol = protocol
        protocol.connection_made(self)
        early, self.early = self.early, []
        for data in early:
            protocol.data_received(data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self.gone:
            self.loop.net.carry(self, bytes(data))

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.gone:
            self.lost()
            self.loop.net.send_end(self)

    def lost(self, error: Exception | None = None) -> None:
        if not self.gone:
            self.gone = True
            self.loop.wires.pop(self, None)
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def heard(self, data: bytes) -> None:
        if self.gone:
            return
        if self.protocol is None:
            self.early.append(data)
        else:
            self.protocol.data_received(data)


class Net:
    """Owner of the ways between machines.

    :param way_us: shortest and longest way between two machines, by their addresses
    """

    def __init__(self, clock: VirtualClock, way_us: Callable[[str, str], tuple[int, int]]) -> None:
        self.clock, self.way_us = clock, way_us
        self.loops: dict[str, ProcessLoop] = {}
        self.cut_links: set[tuple[str, str]] = set()  # from, to
        self.loss = 0.0
        self.bytes = 0

    def open(self, sender: str, to: str) -> bool:
        return (sender, to) not in self.cut_links

    def way(self, sender: str, to: str) -> int:
        least, most = self.way_us(sender, to)
        way = self.clock.rng.randrange(least, most)
        return way + (200 * MS if self.clock.rng.random() < self.loss else 0)

    def listening(self, ip: str) -> ProcessLoop | None:
        loop = self.loops.get(ip)
        return loop if loop is not None and loop.alive else None

    def connect(self, loop: ProcessLoop, host: str, port: int, future: asyncio.Future[Wire]) -> None:
        """A way there and back; the kernel sends a lost request again after a second."""
        there, back = self.way(loop.ip, host), self.way(host, loop.ip)

        def refused() -> None:
            if not future.done():
                future.set_exception(ConnectionRefusedError(host))

        def back_here(what: Callable[..., object], *args: object) -> None:
            self.clock.after(back, lambda: loop.run_soon(what, *args))

        def arrive() -> None:
            if not loop.alive:
                return
            if not self.open(loop.ip, host) or not self.open(host, loop.ip) or host not in self.loops:
                self.clock.after(SECOND, arrive)
                return
            other = self.listening(host)
            factory = other.listeners.get(port) if other is not None else None
            if other is None or factory is None:
                back_here(refused)
                return
            near, far = Wire(loop), Wire(other)
            near.peer, far.peer = far, near
            other.call_soon(lambda: far.begin(factory()))
            back_here(settle, future, near)

        self.clock.after(there, arrive)

    def carry(self, wire: Wire, data: bytes) -> None:
        assert wire.peer is not None
        self.bytes += len(data)
        due = self.clock.at + self.way(wire.loop.ip, wire.peer.loop.ip)
        if wire.sent:
            due = max(due, wire.sent[-1][0])  # bytes keep their order
        wire.sent.append((due, data))
        if len(wire.sent) == 1:
            self.clock.after(due - self.clock.at, lambda: self.deliver(wire))

    def deliver(self, wire: Wire) -> None:
        """Whatever is due on this way; what meets a cut is tried again until the sender gives up."""
        peer = wire.peer
        assert peer is not None
        if not wire.sent or not wire.loop.alive:
            wire.sent.clear()
            return
        here, there = wire.loop.ip, peer.loop.ip
        if not self.open(here, there) or not self.open(there, here) or there not in self.loops:
            since = wire.blocked_since = wire.blocked_since or self.clock.at
            if self.clock.at - since > UNSENT:
                wire.sent.clear()
                wire.lost(TimeoutError("not acknowledged"))
            else:
                self.clock.after(RETRY, lambda: self.deliver(wire))
            return
        wire.blocked_since = None
        if peer.gone or not peer.loop.alive:  # nobody is there any more: the kernel says so
            wire.sent.clear()
            wire.lost(ConnectionResetError("nobody there"))
            return
        while wire.sent and wire.sent[0][0] <= self.clock.at:
            _, data = wire.sent.popleft()
            peer.loop.call_soon(peer.heard, data)
        if wire.sent:
            self.clock.after(wire.sent[0][0] - self.clock.at, lambda: self.deliver(wire))

    def send_end(self, wire: Wire) -> None:
        """The other end hears of it, unless a cut is between them."""
        peer = wire.peer
        if peer is None:
            return
        here, there = wire.loop.ip, peer.loop.ip
        if self.open(here, there):
            self.clock.after(
                self.way(here, there), lambda: peer.lost(ConnectionResetError("ended by the other"))
            )

    # -- what happens to machines -----------------------------------------------------------

    def cut(self, ip: str, others: list[str], out: bool = True, back: bool = True) -> None:
        for other in others:
            if other != ip:
                self.cut_links |= ({(ip, other)} if out else set()) | ({(other, ip)} if back else set())

    def join(self, ip: str) -> None:
        self.cut_links = {pair for pair in self.cut_links if ip not in pair}
