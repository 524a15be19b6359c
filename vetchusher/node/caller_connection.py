"""How long a call has waited unread in the kernel, and whether its caller still waits for the response.

A process that was paused finds calls in its sockets whose callers have long gone on to another machine. An
order that is carried out then comes after whatever these have ordered since.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct

# struct tcp_info of Linux: eight bytes, then unsigned ints; the twelfth: milliseconds since data came last.
LAST_DATA_AT = 8 + 4 * 11
LAST_DATA = struct.Struct("=I")
HUNG_UP = select.POLLHUP | select.POLLERR | select.POLLRDHUP


def unread_for_s(transport: asyncio.BaseTransport) -> float:
    """Return the seconds since the last byte arrived on a connection, read or not; 0 where it is closing
    here.
    """
    if transport.is_closing():
        return 0.0
    end = LAST_DATA_AT + LAST_DATA.size
    raw = transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
    return float(LAST_DATA.unpack_from(raw, LAST_DATA_AT)[0]) / 1e3


def has_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has ended the connection, also where the loop has yet to be told."""
    if transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return any(events & HUNG_UP for _, events in poller.poll(0))
