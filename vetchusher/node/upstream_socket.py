"""Sockets to servers, and for how long their bytes may stay unacknowledged."""

from __future__ import annotations

import socket

from aiohttp import AddrInfoType

from vetchusher.net.links import UpstreamConnection

# Limit on unacknowledged bytes; a busy server's kernel still acknowledges them, a broken path doesn't.
USER_TIMEOUT_MS = 2_500


def new_socket(addr: AddrInfoType) -> socket.socket:
    """Return a socket with `TCP_USER_TIMEOUT`: without it, writes into a partition would hang for minutes."""
    made = socket.socket(addr[0], addr[1], addr[2])
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return made


def set_user_timeout(link: UpstreamConnection, timeout_ms: int) -> None:
    """Set `TCP_USER_TIMEOUT` of a connection, unless the connection is closed already.

    :param timeout_ms: milliseconds
    """
    if link.transport is None or link.transport.is_closing():
        return
    link.transport.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
    )
