"""Event loops in virtual time, one per process, and the connections between them.

The programs' own coroutines run on these loops unchanged, many processes in one, and a run is the same each
time for one seed.

Each process has a clock of its own (with a wrong rate and a drawn offset), can be paused, and can end at any
moment: what it had in flight then never continues. Connections keep the order of their bytes. A blocked link
holds the bytes back, and breaks the connection of a sender that waits too long for an acknowledgement.
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
UNACKNOWLEDGED_TIMEOUT_US = 1_500 * MS  # the sender of unacknowledged bytes then breaks the connection
RETRANSMIT_INTERVAL_US = 100 * MS  # of the kernel, on a blocked link
MAX_SYNC_US = 8 * MS  # of a disk


class VirtualClock:
    """The virtual clock and the event queue of a simulation; also owns the random numbers."""

    def __init__(self, seed: int) -> None:
        """Start at the virtual time 0."""
        self.rng = random.Random(seed)
        self.now_us = 0  # us
        self.event_serial = 0
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []

    def after(self, delay: int, callback: Callable[[], None]) -> None:
        """Schedule a callback `delay` us of virtual time from now."""
        self.event_serial += 1
        heapq.heappush(self.event_queue, (self.now_us + delay, self.event_serial, callback))

    def run(self, until: int) -> None:
        """Run all events up to the virtual time `until` (us), and advance the clock to it."""
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now_us, _, callback = heapq.heappop(self.event_queue)
            callback()
        self.now_us = until


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one incarnation of a process.

    :param network: the network that connects it to other processes
    :param ip: address of its machine
    :param clock_rate: speed of its clock relative to virtual time
    """

    def __init__(self, net: SimulatedNetwork, ip: str, rate: float) -> None:
        """Create a loop whose clock has a drawn offset."""
        self.network, self.ip, self.clock_rate = net, ip, rate
        self.clock_offset_us = net.clock.rng.randrange(1, 10**10)
        self.alive, self.paused, self.run_scheduled = True, False, False
        self.disk_hangs = self.disk_refuses = False
        self.ready: deque[asyncio.Handle] = deque()
        self.backlog: list[asyncio.Handle] = []  # handles that came due while the process was paused
        self.executor_free_at: dict[int, int] = {}  # time (us), by executor: it runs one call after the other
        self.listeners: dict[int, Callable[[], asyncio.Protocol]] = {}  # protocol factories, by port
        self.connections: dict[Connection, None] = {}  # an ordered set, in the order of creation
        self.errors: list[str] = []

    # -- interface of the programs ----------------------------------------------------------

    def time(self) -> float:
        """Return the process's clock (s)."""
        return (self.clock_offset_us + self.network.clock.now_us * self.clock_rate) / 1e6

    def get_debug(self) -> bool:
        """Return whether debug mode is on: never."""
        return False

    def is_running(self) -> bool:
        """Return whether the process is alive."""
        return self.alive

    def is_closed(self) -> bool:
        """Return whether the process has ended."""
        return not self.alive

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(  # type: ignore[override]
        self, coro: Coroutine[Any, Any, T], *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task[T]:
        """Schedule a coroutine as a task of this loop."""
        return asyncio.Task(coro, loop=self, name=name, context=context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Run a callback after all events that are due now."""
        handle = asyncio.Handle(callback, args, self, context)
        self.enqueue(handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after `delay` s of the process's clock."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback when the process's clock shows `when` (s)."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        delay = int((when - self.time()) * 1e6 / self.clock_rate) + 2  # a timer must never fire early
        self.network.clock.after(max(0, delay), lambda: self.enqueue(handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: cancelled timers stay in the event queue and are skipped."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled exception of the process."""
        if self.alive:
            self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def run_in_executor(  # type: ignore[override]
        self, executor: object, func: Callable[..., T], *args: Any
    ) -> asyncio.Future[T]:
        """Run a function as on a disk or a thread: one after the other for each executor.

        It takes effect when its drawn time is over, and never if the process ends before.
        """
        future: asyncio.Future[T] = self.create_future()
        clock = self.network.clock
        done_at = max(clock.now_us, self.executor_free_at.get(id(executor), 0)) + clock.rng.randrange(
            MS, MAX_SYNC_US
        )
        self.executor_free_at[id(executor)] = done_at

        def complete() -> None:
            if self.disk_hangs:
                clock.after(RETRANSMIT_INTERVAL_US, complete)
            elif self.alive:
                outcome = func(*args)
                self.call_soon(resolve_future, future, outcome)

        clock.after(done_at - clock.now_us, complete)
        return future

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: object
    ) -> object:
        """Listen on a port; the host is ignored."""
        self.listeners[port] = factory
        return _Listener(self, port)

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **_: object
    ) -> tuple[Connection, asyncio.Protocol]:
        """Open a connection to a port of another machine. Raises `ConnectionRefusedError`."""
        future: asyncio.Future[Connection] = self.create_future()
        self.network.connect(self, host, port, future)
        connection = await future
        protocol = factory()
        connection.attach(protocol)
        return connection, protocol

    # -- control by the simulation -----------------------------------------------------------

    def enqueue(self, handle: asyncio.Handle) -> None:
        """Run a handle that is due, after the one that runs now.

        While the process is paused, the handle waits until it is resumed.
        """
        if not self.alive or handle.cancelled():
            return
        if self.paused:
            self.backlog.append(handle)
            return
        self.ready.append(handle)
        if not self.run_scheduled:
            self.network.clock.after(0, self.run_ready)
            self.run_scheduled = True

    def run_ready(self) -> None:
        """Run the handles that are ready, in order."""
        if self.paused:
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
            self.run_scheduled = False

    def run_soon(self, callback: Callable[..., object], *args: object) -> None:
        """Run a callback of the process after all events that are due now."""
        self.call_soon(callback, *args)

    def run_inside(self, function: Callable[[], T]) -> T:
        """Call a function inside the process now, and return its result."""
        events._set_running_loop(self)
        try:
            return function()
        finally:
            events._set_running_loop(None)

    def resume(self) -> None:
        """Resume the paused process; the handles that came due meanwhile run now."""
        self.paused = False
        backlog, self.backlog = self.backlog, []
        for handle in backlog:
            self.enqueue(handle)

    def terminate(self, power: bool) -> None:
        """End the process.

        :param power: whether the machine loses power, so that no peer is notified
        """
        self.alive = False
        self.ready.clear()
        for connection in list(self.connections):
            connection.closed = True
            if not power:
                self.network.send_close(connection)


def resolve_future(future: asyncio.Future[T], outcome: T) -> None:
    """Set the result of a future that isn't done."""
    if not future.done():
        future.set_result(outcome)


class _Listener:
    """A listening port, as `create_server` returns it."""

    def __init__(self, loop: ProcessLoop, port: int) -> None:
        """Remember the loop that listens, and the port."""
        self.loop, self.port = loop, port

    def close(self) -> None:
        """Stop listening."""
        self.loop.listeners.pop(self.port, None)


class Connection(asyncio.Transport):
    """One end of a connection, a transport for the programs' protocols.

    It is also returned as its own socket.
    """

    def __init__(self, loop: ProcessLoop) -> None:
        """Create one end, owned by the process of `loop`; the caller sets `peer`."""
        super().__init__()
        self.loop = loop
        self.peer: Connection | None = None
        self.protocol: asyncio.Protocol | None = None
        self.early_data: list[bytes] = []  # received before the protocol was attached
        self.in_flight: deque[tuple[int, bytes]] = deque()  # (time of arrival in us, data)
        self.blocked_since: int | None = None
        self.closed = False
        loop.connections[self] = None

    def setsockopt(self, *_: object) -> None:
        """Ignore a socket option: options have no effect here."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return this object as the socket, whatever is asked for."""
        return self

    def is_closing(self) -> bool:
        """Return whether this end is closed or lost."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Return the number of unacknowledged bytes while the link is blocked; 0 otherwise."""
        return sum(len(data) for _, data in self.in_flight) if self.blocked_since is not None else 0

    def attach(self, protocol: asyncio.Protocol) -> None:
        """Attach the protocol, and hand it the data received so far."""
        self.protocol = protocol
        protocol.connection_made(self)
        early, self.early_data = self.early_data, []
        for data in early:
            protocol.data_received(data)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data to the other end."""
        if not self.closed:
            self.loop.network.send(self, bytes(data))

    def close(self) -> None:
        """Close the connection at once."""
        self.abort()

    def abort(self) -> None:
        """Close the connection at once, and notify the other end."""
        if not self.closed:
            self.mark_lost()
            self.loop.network.send_close(self)

    def mark_lost(self, error: Exception | None = None) -> None:
        """Close this end, and notify the protocol."""
        if not self.closed:
            self.closed = True
            self.loop.connections.pop(self, None)
            if self.protocol is not None:
                self.loop.call_soon(self.protocol.connection_lost, error)

    def receive(self, data: bytes) -> None:
        """Hand received data to the protocol, or keep it until there is one."""
        if self.closed:
            return
        if self.protocol is None:
            self.early_data.append(data)
        else:
            self.protocol.data_received(data)


class SimulatedNetwork:
    """The network between machines, with latency, loss and blocked links.

    :param latency_range_us: returns the shortest and longest one-way latency (us) between two addresses
    """

    def __init__(self, clock: VirtualClock, latency_range_us: Callable[[str, str], tuple[int, int]]) -> None:
        """Create a network without machines, loss or blocked links."""
        self.clock, self.latency_range_us = clock, latency_range_us
        self.loops: dict[str, ProcessLoop] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # blocked links, as (sender, receiver)
        self.loss = 0.0
        self.bytes_sent = 0

    def is_open(self, sender: str, to: str) -> bool:
        """Return whether the link from one address to another is not blocked."""
        return (sender, to) not in self.blocked_links

    def draw_latency_us(self, sender: str, to: str) -> int:
        """Draw a one-way latency (us); a lost message arrives 200 ms later, when it is sent again."""
        least, most = self.latency_range_us(sender, to)
        latency_us = self.clock.rng.randrange(least, most)
        return latency_us + (200 * MS if self.clock.rng.random() < self.loss else 0)

    def live_loop(self, ip: str) -> ProcessLoop | None:
        """Return the loop of the live process at an address; None: there is none."""
        loop = self.loops.get(ip)
        return loop if loop is not None and loop.alive else None

    def connect(self, loop: ProcessLoop, host: str, port: int, future: asyncio.Future[Connection]) -> None:
        """Open a connection from a process to a port, after a round trip.

        The kernel sends a lost request again after one second. The future gets the connection, or
        `ConnectionRefusedError`.
        """
        there_us, back_us = self.draw_latency_us(loop.ip, host), self.draw_latency_us(host, loop.ip)

        def refused() -> None:
            if not future.done():
                future.set_exception(ConnectionRefusedError(host))

        def return_later(callback: Callable[..., object], *args: object) -> None:
            self.clock.after(back_us, lambda: loop.run_soon(callback, *args))

        def arrive() -> None:
            if not loop.alive:
                return
            if not self.is_open(loop.ip, host) or not self.is_open(host, loop.ip) or host not in self.loops:
                self.clock.after(SECOND, arrive)
                return
            other = self.live_loop(host)
            factory = other.listeners.get(port) if other is not None else None
            if other is None or factory is None:
                return_later(refused)
                return
            near, far = Connection(loop), Connection(other)
            near.peer, far.peer = far, near
            other.call_soon(lambda: far.attach(factory()))
            return_later(resolve_future, future, near)

        self.clock.after(there_us, arrive)

    def send(self, connection: Connection, data: bytes) -> None:
        """Send data from one end of a connection to the other."""
        assert connection.peer is not None
        self.bytes_sent += len(data)
        due = self.clock.now_us + self.draw_latency_us(connection.loop.ip, connection.peer.loop.ip)
        if connection.in_flight:
            due = max(due, connection.in_flight[-1][0])  # data keeps its order
        connection.in_flight.append((due, data))
        if len(connection.in_flight) == 1:
            self.clock.after(due - self.clock.now_us, lambda: self.deliver(connection))

    def deliver(self, connection: Connection) -> None:
        """Deliver the data that is due; data on a blocked link is retried until the sender gives up."""
        peer = connection.peer
        assert peer is not None
        if not connection.in_flight or not connection.loop.alive:
            connection.in_flight.clear()
            return
        here, there = connection.loop.ip, peer.loop.ip
        if not self.is_open(here, there) or not self.is_open(there, here) or there not in self.loops:
            since = connection.blocked_since = connection.blocked_since or self.clock.now_us
            if self.clock.now_us - since > UNACKNOWLEDGED_TIMEOUT_US:
                connection.in_flight.clear()
                connection.mark_lost(TimeoutError("not acknowledged"))
            else:
                self.clock.after(RETRANSMIT_INTERVAL_US, lambda: self.deliver(connection))
            return
        connection.blocked_since = None
        if peer.closed or not peer.loop.alive:  # the kernel of the other machine resets the connection
            connection.in_flight.clear()
            connection.mark_lost(ConnectionResetError("nobody there"))
            return
        while connection.in_flight and connection.in_flight[0][0] <= self.clock.now_us:
            _, data = connection.in_flight.popleft()
            peer.loop.call_soon(peer.receive, data)
        if connection.in_flight:
            self.clock.after(connection.in_flight[0][0] - self.clock.now_us, lambda: self.deliver(connection))

    def send_close(self, connection: Connection) -> None:
        """Notify the other end that this one is closed, unless the link is blocked."""
        peer = connection.peer
        if peer is None:
            return
        here, there = connection.loop.ip, peer.loop.ip
        if self.is_open(here, there):
            self.clock.after(
                self.draw_latency_us(here, there),
                lambda: peer.mark_lost(ConnectionResetError("ended by the other")),
            )

    # -- control by the simulation ----------------------------------------------------------

    def block_links(self, ip: str, others: list[str], out: bool = True, back: bool = True) -> None:
        """Block the links between a machine and others.

        :param out: whether to block messages that it sends
        :param back: whether to block messages that it receives
        """
        for other in others:
            if other != ip:
                self.blocked_links |= ({(ip, other)} if out else set()) | ({(other, ip)} if back else set())

    def restore_links(self, ip: str) -> None:
        """Restore all links of a machine."""
        self.blocked_links = {pair for pair in self.blocked_links if ip not in pair}
