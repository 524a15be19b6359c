"""HTTP/1.1 messages with a stated length, and free ports: what all scripted peers need."""

from __future__ import annotations

import asyncio
import socket


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Start line, headers (as written) and body of one message with a stated length."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw.rstrip().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    return first, headers, await reader.readexactly(int(headers.get("Content-Length", 0)))


def write_answer(status: str, body: bytes) -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port of 127.0.0.1 on which nobody listened a moment ago."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
