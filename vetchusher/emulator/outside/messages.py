"""HTTP/1.1 messages with a `Content-Length`, and free ports, for all stand-ins."""

from __future__ import annotations

import asyncio
import socket


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers (names as written) of one message.

    :raises asyncio.IncompleteReadError: if the connection ends before the head is complete
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.rstrip().split("\r\n")
    return start_line, dict(line.split(": ", 1) for line in lines)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the start line, the headers (names as written) and the body of one message.

    :raises asyncio.IncompleteReadError: if the connection ends before the message is complete
    """
    start_line, headers = await read_head(reader)
    return start_line, headers, await reader.readexactly(int(headers.get("Content-Length", 0)))


def write_answer(status: str, body: bytes) -> bytes:
    """Return a response with a status such as `200 OK`."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that was free at the time of the call."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
