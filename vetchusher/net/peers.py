"""Datagrams between the load balancers of a site, on one UDP socket."""

from __future__ import annotations

import asyncio
import logging
from typing import cast

from vetchusher.limits.codec import MAX_DATAGRAM_BYTES

from . import effects as fx
from .runtime import Runtime

log = logging.getLogger("vetchusher")

BIND_RETRY_S = 0.5  # while another process occupies the address of peer_listen
MAX_RECEIVE_RATIO = 2.0  # of the datagram rate in the settings; further datagrams are dropped unread


class Peers(asyncio.DatagramProtocol):
    """Sends datagrams to the other load balancers and receives theirs, identified by number.

    Datagrams from any other address are dropped. It keeps one map from addresses to numbers, as long as the
    configured list, and no record of the senders: the policy has that.
    """

    def __init__(
        self,
        runtime: Runtime,
        listen: tuple[str, int] | None,
        peers: tuple[tuple[str, int], ...],
        broadcast: tuple[str, int] | None,
        in_per_s: float,
    ) -> None:
        """Prepare the socket; `open` opens it.

        :param listen: address to bind; None where peers are off
        :param broadcast: address that reaches all peers; None to send to each
        :param in_per_s: expected datagrams per second; 0 or less for a limit of 1000
        """
        self.runtime = runtime
        self.listen = listen
        self.peers = peers
        self.broadcast = broadcast
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.max_datagrams_per_s = int(in_per_s * MAX_RECEIVE_RATIO) if in_per_s > 0 else 1_000
        self.second, self.received_in_second = 0, 0
        self.transport: asyncio.DatagramTransport | None = None
        self.dropped = 0
        self.retry: asyncio.TimerHandle | None = None
        self.reopening: asyncio.Task[None] | None = None
        self.closed = False

    async def open(self) -> None:
        """Bind the address of `peer_listen`; if that fails, go on without it and try again.

        During an upgrade the older process still has the address. Both processes bind it with SO_REUSEPORT,
        and the kernel delivers some of the datagrams to each until the older one ends. An older process
        without that option occupies the address alone; exiting because of it would take the load balancer
        down.
        """
        if self.listen is None or self.closed:
            return
        try:
            await self.runtime.loop.create_datagram_endpoint(
                lambda: self, local_addr=self.listen, reuse_port=True
            )
        except OSError as err:
            log.warning("cannot bind the peer address, retrying: %s", err)
            self.retry = self.runtime.loop.call_later(BIND_RETRY_S, self.reopen)

    def reopen(self) -> None:
        """Retry to bind the address."""
        self.retry = None
        # The reference keeps the task from being collected.
        self.reopening = self.runtime.loop.create_task(self.open())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports are not instances of this class.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Submit a datagram from a known peer, unless it is too long or over the rate limit."""
        peer = self.numbers.get((addr[0], addr[1]))
        if peer is None or len(data) > MAX_DATAGRAM_BYTES or not self.admit_datagram():
            self.dropped += 1
            return
        self.runtime.feed(fx.PeerMessageReceived(peer, data))

    def admit_datagram(self) -> bool:
        """Count a datagram and return whether it is within the limit of this second.

        Without a limit, anyone who can send to this address could keep the process busy.
        """
        second = self.runtime.clock.now() // 1_000_000
        if second != self.second:
            self.second, self.received_in_second = second, 0
        self.received_in_second += 1
        return self.received_in_second <= self.max_datagrams_per_s

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the kernel reports that a peer is down and lost earlier datagrams."""

    def send(self, effect: fx.SendToPeer) -> None:
        """Send a datagram to one peer or to all."""
        if self.transport is None or self.transport.is_closing() or len(effect.data) > MAX_DATAGRAM_BYTES:
            return
        if effect.peer is not None:
            targets = self.peers[effect.peer : effect.peer + 1]
        else:
            targets = (self.broadcast,) if self.broadcast is not None else self.peers
        for address in targets:
            if address is not None and address != self.listen:
                self.transport.sendto(effect.data, address)

    def close(self) -> None:
        """Close the socket and stop retrying."""
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        if self.transport is not None:
            self.transport.close()
