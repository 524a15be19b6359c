"""How long a call has waited unread in the kernel, and whether its caller still waits for the response.

A process that was paused finds calls in its sockets whose callers have meanwhile turned to another machine.
An operator's order that is executed then would undo newer orders of the same caller.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct

# `tcpi_last_data_recv` in Linux's struct tcp_info: after eight bytes, the twelfth unsigned int; milliseconds
# since data was last received.
LAST_DATA_RECV_OFFSET_BYTES = 8 + 4 * 11
LAST_DATA_RECV_MS = struct.Struct("=I")
PEER_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP


def unread_for_s(transport: asyncio.BaseTransport) -> float:
    """Return the seconds since the last byte arrived on a connection, whether or not it was read.

    A connection that this process is closing returns 0: its file descriptor may have been reused.
    """
    if transport.is_closing():
        return 0.0
    end = LAST_DATA_RECV_OFFSET_BYTES + LAST_DATA_RECV_MS.size
    raw = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    return float(LAST_DATA_RECV_MS.unpack_from(raw, LAST_DATA_RECV_OFFSET_BYTES)[0]) / 1e3


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed the connection, even if the event loop has not noticed yet."""
    if transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return any(events & PEER_CLOSED_EVENTS for _, events in poller.poll(0))
