"""Connections between the processes of the system: protobuf frames, as one-way messages or as requests.

A request has a deadline and waits for a reply; a one-way message may be lost. `PeerNetwork` owns every
connection, the accepted ones and those that it opened, one for each peer. The end of any connection is
handled in `Channel.connection_lost`.
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
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # frames are dropped while more than this waits to be sent to a peer
MAX_ACCEPTED_CONNECTIONS = 1024
# The time-out of an attempt to connect; it doubles after each failed attempt, up to the maximum.
CONNECT_TIMEOUT_S, MAX_CONNECT_TIMEOUT_S = (
    0.4,
    1.6,
)
CONNECT_BACKOFF_S = 0.2  # pause after a failed attempt to connect
MESSAGE_TTL_S = 0.7  # a message that has waited this long for a connection is dropped as stale
IDLE_CONNECTION_TIMEOUT_S = 3.0  # a connection to a machine that is no longer a peer stays open this long
# A connection is aborted when a request on it has timed out and nothing was received for this long.
RECEIVE_TIMEOUT_S = 1.2
TCP_USER_TIMEOUT_MS = 1_500  # the kernel closes a connection whose data is not acknowledged for this long


def set_socket_options(sock: socket.socket) -> None:
    """Set keep-alive and time-outs: without them a connection across a partition hangs for minutes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)


class Channel(asyncio.Protocol):
    """One connection: splits received bytes into frames, and writes frames with their length in front."""

    def __init__(self, network: PeerNetwork, peer_ip: str = "") -> None:
        """Prepare the protocol of a connection that is being established.

        :param peer_ip: address of the process that this one connects to; empty on an accepted connection
        """
        self.network = network
        self.peer_ip = peer_ip
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.last_received_at = 0.0
        self.number = 0  # connections of this process are numbered in the order in which they are established

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options and register the connection with the network."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_received_at = self.network.loop.time()
        set_socket_options(transport.get_extra_info("socket"))
        self.network.on_channel_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the network that the connection has ended."""
        self.transport = None
        self.network.on_channel_closed(self)

    def data_received(self, data: bytes) -> None:
        """Split received bytes into frames and pass them on; a malformed or too long frame aborts."""
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

    def write(self, frame: wire.Frame, appended: bytes = b"") -> bool:
        """Write a frame; return False if the connection is closed or too much waits to be sent on it.

        :param appended: more fields of this frame, already encoded
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        raw = frame.SerializeToString() + appended
        self.network.bytes_out += len(raw) + 4
        self.transport.write(len(raw).to_bytes(4, "big") + raw)
        return True

    def reply(self, request: wire.Frame, reply: wire.Frame, appended: bytes = b"") -> None:
        """Send the reply to a request.

        :param appended: further fields of the reply's frame, already encoded
        """
        reply.call, reply.reply = request.call, True
        self.network.sign(reply)
        self.write(reply, appended)

    def abort(self) -> None:
        """Close the connection at once; what was not sent is lost."""
        if self.transport is not None:
            self.transport.abort()


class PeerConnection:
    """The connection to one peer, and the messages that wait until it is established."""

    def __init__(self) -> None:
        """Begin without a connection."""
        self.channel: Channel | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.next_connect_at = 0.0
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.last_used_at = 0.0  # when something was last to be sent; seconds on the loop's clock
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

        :param on_frame: called with each frame that is not a reply; it may answer by `Channel.reply`
        """
        self.loop = loop
        self.ip, self.zone, self.port = ip, zone, port
        self.on_frame, self.log_event = on_frame, log_event
        self.peers: dict[str, PeerConnection] = {}
        self.accepted: set[Channel] = set()
        self.calls: dict[int, tuple[asyncio.Future[wire.Frame | None], Channel | None]] = {}
        self.next_call = 1
        self.connection_count = 0  # connections established since the start
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
        for channel in [*self.accepted, *(peer.channel for peer in self.peers.values() if peer.channel)]:
            if channel.transport is not None:
                channel.transport.close()

    def sign(self, frame: wire.Frame) -> None:
        """Write this process's address and zone into a frame."""
        frame.sender, frame.zone = self.ip, self.zone

    # -- connections ------------------------------------------------------------------

    def on_channel_opened(self, channel: Channel) -> None:
        """Assign a number to a new connection; abort an accepted one beyond `MAX_ACCEPTED_CONNECTIONS`."""
        self.connection_count += 1
        channel.number = self.connection_count
        if channel.peer_ip:
            return
        if len(self.accepted) >= MAX_ACCEPTED_CONNECTIONS:
            channel.abort()
            return
        self.accepted.add(channel)

    def on_channel_closed(self, channel: Channel) -> None:
        """Forget a closed connection; requests that wait for a reply on it end without one."""
        self.accepted.discard(channel)
        peer = self.peers.get(channel.peer_ip)
        if peer is not None and peer.channel is channel:
            peer.channel = None
        for number, (future, used_channel) in list(self.calls.items()):
            if used_channel is channel and not future.done():
                del self.calls[number]
                future.set_result(None)

    def peer(self, ip: str) -> PeerConnection:
        """Return the record of a peer; it is created if there is none."""
        return self.peers.setdefault(ip, PeerConnection())

    def keep_peers(self, ips: set[str]) -> None:
        """Close the connections to machines that are not among the given peers.

        One that was used within `IDLE_CONNECTION_TIMEOUT_S` stays open: a machine that has lost its state
        knows only its seeds as peers, and still has to ask all machines that it learns of.
        """
        idle_since = self.loop.time() - IDLE_CONNECTION_TIMEOUT_S
        for ip in [
            ip for ip, peer in self.peers.items() if ip not in ips and peer.last_used_at <= idle_since
        ]:
            peer = self.peers.pop(ip)
            if peer.connect_task is not None:
                peer.connect_task.cancel()
            if peer.channel is not None:
                peer.channel.abort()

    def channel_to(self, ip: str) -> Channel | None:
        """Return the connection to a peer; None if there is none yet, and then an attempt is started."""
        peer = self.peer(ip)
        peer.last_used_at = self.loop.time()
        if peer.channel is not None:
            return peer.channel
        if peer.connect_task is None and self.loop.time() >= peer.next_connect_at:
            peer.connect_task = self.loop.create_task(self.connect(ip, peer))
        return None

    async def connect(self, ip: str, peer: PeerConnection) -> None:
        """Connect to a peer, and send it the messages that wait.

        A SYN to a machine without power is lost, and the kernel retransmits it only after a second, although
        the machine may be back sooner. The time-out is therefore short at first, and doubles.
        """
        try:
            async with asyncio.timeout(peer.connect_timeout_s):
                _, channel = await self.loop.create_connection(
                    lambda: Channel(self, ip), ip, self.port, local_addr=(self.ip, 0)
                )
        except (OSError, TimeoutError):
            peer.next_connect_at = self.loop.time() + CONNECT_BACKOFF_S
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

    # -- messages and requests -----------------------------------------------------------

    def send(self, ip: str, frame: wire.Frame) -> None:
        """Send a message without waiting for a reply; it may be lost.

        It waits up to `MESSAGE_TTL_S` for a connection if there is none.
        """
        self.sign(frame)
        channel = self.channel_to(ip)
        if channel is not None:
            channel.write(frame)
        else:
            self.peer(ip).pending_messages.append((self.loop.time() + MESSAGE_TTL_S, frame))

    async def request(self, ip: str, frame: wire.Frame, timeout_s: float) -> wire.Frame | None:
        """Send a request and return its reply; None if there is no connection, or no reply in time."""
        deadline = self.loop.time() + timeout_s
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
            async with asyncio.timeout_at(deadline):
                return await future
        except TimeoutError:
            if self.loop.time() - channel.last_received_at > RECEIVE_TIMEOUT_S:
                self.log_event(LogEvent(Event.PEER_DISCONNECTED, {"fellow": ip}))
                channel.abort()
            return None
        finally:
            self.calls.pop(number, None)

    def on_received(self, frame: wire.Frame, channel: Channel) -> None:
        """Pass a reply to the request that waits for it, and any other frame to `on_frame`."""
        if not frame.reply:
            self.on_frame(frame, channel)
            return
        # Safety: request numbers begin at 1 again in each incarnation of a process, so a number alone does
        # not identify a request. A connection ends with either process; a reply counts only on the connection
        # on which its request was sent, where the number is unique.
        future, used_channel = self.calls.get(frame.call, (None, None))
        if future is not None and used_channel is channel and not future.done():
            future.set_result(frame)
