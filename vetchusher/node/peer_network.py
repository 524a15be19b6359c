"""Connections between the system's processes: frames of protobuf, requests with deadlines, messages without.

`PeerNetwork` owns every connection: those it opened, one a peer, and those it accepted. Each ends in
`Channel.connection_lost`.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from google.protobuf.message import DecodeError

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.events import Event, LogEvent

MAX_FRAME_BYTES = 20 * 1024 * 1024
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # bytes written to one peer and not yet sent; what comes then is dropped
MAX_ACCEPTED = 1024
CONNECT_TIMEOUT_S, MAX_CONNECT_TIMEOUT_S = (
    0.4,
    1.6,
)  # for a connection to come up: twice as long after each that did not
CONNECT_PAUSE_S = 0.2  # after a connection that failed
MESSAGE_TTL_S = 0.7  # a message that has waited so long for a connection is stale
KEEP_USED_S = 3.0  # a way that something was sent on so lately stays, whoever names its end
SILENCE_TIMEOUT_S = (
    1.2  # a connection on which a question timed out and nothing has come for so long is given up
)
TCP_USER_TIMEOUT_MS = 1_500  # bytes that no acknowledgement has come for: the path is cut


def set_socket_options(sock: socket.socket) -> None:
    """Set time-outs: behind a partition a connection hangs for minutes unless it is told how long to wait."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Channel(asyncio.Protocol):
    """One connection: bytes in, frames out of them, and back."""

    def __init__(self, network: PeerNetwork, peer_ip: str = "") -> None:
        """Wrap a connection that is being made.

        :param peer_ip: of the process that this one connected to; empty on an accepted connection
        """
        self.network = network
        self.peer_ip = peer_ip  # ip of whom this process connected to; empty on an accepted connection
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at = 0.0
        self.number = 0  # of the connections of this process, in the order in which they began

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to receive."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_received_at = self.network.loop.time()
        set_socket_options(transport.get_extra_info("socket"))
        self.network.on_channel_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the network that the connection has ended."""
        self.transport = None
        self.network.on_channel_closed(self)

    def data_received(self, data: bytes) -> None:
        """Cut the bytes into frames and hand them on; a malformed frame ends the connection."""
        self.last_received_at = self.network.loop.time()
        self.buffer += data
        while len(self.buffer) >= 4:
            size = int.from_bytes(self.buffer[:4], "big")
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            if len(self.buffer) < 4 + size:
                return
            raw = bytes(self.buffer[4 : 4 + size])
            del self.buffer[: 4 + size]
            try:
                frame = wire.Frame.FromString(raw)
            except DecodeError:
                self.network.log_event(
                    LogEvent(Event.UPDATE_REJECTED, {"fellow": self.peer_ip or "accepted"})
                )
                self.abort()
                return
            self.network.on_received(frame, self)

    def write(self, frame: wire.Frame, more: bytes = b"") -> bool:
        """Write a frame; return whether the connection took it.

        :param more: bytes of a frame that go into the same one
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        raw = frame.SerializeToString() + more
        self.network.bytes_out += len(raw) + 4
        self.transport.write(len(raw).to_bytes(4, "big") + raw)
        return True

    def reply(self, request: wire.Frame, reply: wire.Frame, more: bytes = b"") -> None:
        """Answer a frame."""
        reply.call, reply.reply = request.call, True
        self.network.sign(reply)
        self.write(reply, more)

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class PeerConnection:
    """The connection to one peer, or messages that wait for one."""

    def __init__(self) -> None:
        """Begin without a connection."""
        self.channel: Channel | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.next_connect_at = 0.0
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.last_used_at = 0.0  # something was last to be sent
        self.pending_messages: deque[tuple[float, wire.Frame]] = deque(maxlen=64)


class PeerNetwork:
    """Owner of all connections to other processes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        zone: str,
        port: int,
        on_frame: Callable[[wire.Frame, Channel], None],
        log_event: Callable[[LogEvent], None],
    ) -> None:
        """Prepare the network; `open` listens.

        :param on_frame: takes each frame that is no reply; it answers with `Channel.reply`
        """
        self.loop = loop
        self.ip, self.zone, self.port = ip, zone, port
        self.on_frame, self.log_event = on_frame, log_event
        self.peers: dict[str, PeerConnection] = {}
        self.accepted: set[Channel] = set()
        self.calls: dict[int, tuple[asyncio.Future[wire.Frame | None], Channel | None]] = {}
        self.next_call = 1
        self.connection_count = 0  # that have begun
        self.bytes_out = 0
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen for peers."""
        self.server = await self.loop.create_server(
            lambda: Channel(self), self.ip, self.port, reuse_address=True, backlog=512
        )

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for peer in self.peers.values():
            if peer.connect_task is not None:
                peer.connect_task.cancel()
        for channel in [*self.accepted, *(f.channel for f in self.peers.values() if f.channel)]:
            if channel.transport is not None:
                channel.transport.close()

    def sign(self, frame: wire.Frame) -> None:
        """Write this process's address and zone into a frame."""
        frame.sender, frame.zone = self.ip, self.zone

    # -- connections ------------------------------------------------------------------

    def on_channel_opened(self, channel: Channel) -> None:
        """Note a new connection: it gets the next number, and an accepted one is counted."""
        self.connection_count += 1
        channel.number = self.connection_count
        if channel.peer_ip:
            return
        if len(self.accepted) >= MAX_ACCEPTED:
            channel.abort()
            return
        self.accepted.add(channel)

    def on_channel_closed(self, channel: Channel) -> None:
        """Forget a connection; requests that wait on it get no answer."""
        self.accepted.discard(channel)
        peer = self.peers.get(channel.peer_ip)
        if peer is not None and peer.channel is channel:
            peer.channel = None
        for number, (future, used_channel) in list(self.calls.items()):
            if used_channel is channel and not future.done():
                del self.calls[number]
                future.set_result(None)

    def peer(self, ip: str) -> PeerConnection:
        """Return what is known of a peer."""
        return self.peers.setdefault(ip, PeerConnection())

    def keep_peers(self, ips: set[str]) -> None:
        """Close the connections to peers that nobody names any longer.

        One that was used a moment ago stays: an amnesiac names only its seeds, and has to ask everybody.
        """
        used = self.loop.time() - KEEP_USED_S
        for ip in [ip for ip, peer in self.peers.items() if ip not in ips and peer.last_used_at <= used]:
            peer = self.peers.pop(ip)
            if peer.connect_task is not None:
                peer.connect_task.cancel()
            if peer.channel is not None:
                peer.channel.abort()

    def channel_to(self, ip: str) -> Channel | None:
        """Return the connection to a peer; where there is none, one is begun."""
        peer = self.peer(ip)
        peer.last_used_at = self.loop.time()
        if peer.channel is not None:
            return peer.channel
        if peer.connect_task is None and self.loop.time() >= peer.next_connect_at:
            peer.connect_task = self.loop.create_task(self.connect(ip, peer))
        return None

    async def connect(self, ip: str, peer: PeerConnection) -> None:
        """Connect to a peer, and send it what waits.

        A request to connect to a machine without power is lost, and the kernel repeats it only after a
        second, while the machine may be back at once; hence the short time-out, which doubles.
        """
        try:
            async with asyncio.timeout(peer.connect_timeout_s):
                _, channel = await self.loop.create_connection(
                    lambda: Channel(self, ip), ip, self.port, local_addr=(self.ip, 0)
                )
        except (OSError, TimeoutError):
            peer.next_connect_at = self.loop.time() + CONNECT_PAUSE_S
            peer.connect_timeout_s = min(MAX_CONNECT_TIMEOUT_S, 2 * peer.connect_timeout_s)
            peer.pending_messages.clear()
            return
        finally:
            peer.connect_task = None
        peer.channel, peer.connect_timeout_s = channel, CONNECT_TIMEOUT_S
        now = self.loop.time()
        while peer.pending_messages:
            stale_at, frame = peer.pending_messages.popleft()
            if now < stale_at:
                channel.write(frame)

    # -- messages and questions ----------------------------------------------------------

    def send(self, ip: str, frame: wire.Frame) -> None:
        """Send a message without waiting for anything; it may be lost."""
        self.sign(frame)
        channel = self.channel_to(ip)
        if channel is not None:
            channel.write(frame)
        else:
            self.peer(ip).pending_messages.append((self.loop.time() + MESSAGE_TTL_S, frame))

    async def request(self, ip: str, frame: wire.Frame, timeout_s: float) -> wire.Frame | None:
        """Return the reply to a frame; None: there is no connection, or no reply in time."""
        end = self.loop.time() + timeout_s
        channel = self.channel_to(ip)
        if channel is None:
            task = self.peer(ip).connect_task
            if task is None:
                return None
            await asyncio.wait([task], timeout=timeout_s)
            channel = self.peer(ip).channel
            if channel is None:
                return None
        number, self.next_call = self.next_call, self.next_call + 1
        frame.call = number
        self.sign(frame)
        future: asyncio.Future[wire.Frame | None] = self.loop.create_future()
        self.calls[number] = (future, channel)
        try:
            if not channel.write(frame):
                return None
            async with asyncio.timeout_at(end):
                return await future
        except TimeoutError:
            if self.loop.time() - channel.last_received_at > SILENCE_TIMEOUT_S:
                self.log_event(LogEvent(Event.PEER_DISCONNECTED, {"fellow": ip}))
                channel.abort()
            return None
        finally:
            self.calls.pop(number, None)

    def on_received(self, frame: wire.Frame, channel: Channel) -> None:
        """Hand a frame on, or a reply to the request that waits for it."""
        if not frame.reply:
            self.on_frame(frame, channel)
            return
        # Safety: numbers begin again with each life of a process.  A connection ends with either of its two,
        # so on the connection on which a question was asked its number stands for that question alone.
        future, used_channel = self.calls.get(frame.call, (None, None))
        if future is not None and used_channel is channel and not future.done():
            future.set_result(frame)
