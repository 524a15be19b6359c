"""Reads client request bodies into memory, with one limit on the bytes of all requests together."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientConnection

BUSY_RETRY_AFTER_US = 100_000  # told to clients while this ingress itself has no capacity
BODY_MEMORY_RATIO = 0.25  # of the machine's memory, for the bodies of all requests together


class BodyReader:
    """Counts the bytes of request bodies in memory; whoever reads a body calls `release` afterwards."""

    def __init__(self, memory_mb: int) -> None:
        """Create a reader without any buffered body.

        :param memory_mb: memory of the machine, in MiB
        """
        self.max_bytes = int(memory_mb * 1024 * 1024 * BODY_MEMORY_RATIO)
        self.buffered_bytes = 0

    def release(self, body: list[bytes]) -> None:
        """Let go of a body that was read, completely or in part, and stop counting it.

        Safety: the list is emptied, since a finished request may be garbage that only Python's cycle
        collector frees, and that collector counts objects, not bytes.
        """
        self.buffered_bytes -= sum(map(len, body))
        body.clear()

    async def read(
        self,
        request: web.BaseRequest,
        link: ClientConnection,
        body: list[bytes],
        *,
        max_bytes: int,
        deadline: int,
    ) -> Error | None:
        """Read a complete body into `body`.

        :param max_bytes: the configuration's limit for one body
        :param deadline: us, on the loop's clock
        :returns: an error if it could not be read, else None
        """
        stated = request.content_length or 0
        if stated > max_bytes:
            return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
        if self.buffered_bytes + stated > self.max_bytes:
            return self.busy()
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.client_transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(deadline / 1e6):
                return await self.read_chunks(request, body, max_bytes)
        except TimeoutError:
            return Error(ErrorCode.CLIENT_TIMEOUT, "the body did not come in time")
        except (aiohttp.ClientError, web.RequestPayloadError, ValueError):
            return Error(ErrorCode.MALFORMED_REQUEST, "the body cannot be read")

    async def read_chunks(self, request: web.BaseRequest, body: list[bytes], max_bytes: int) -> Error | None:
        """Read until the body's end, or until it exceeds the limit for one request or for all together."""
        size = 0
        while chunk := await request.content.readany():
            body.append(chunk)
            size += len(chunk)
            self.buffered_bytes += len(chunk)
            if size > max_bytes:
                return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
            if self.buffered_bytes > self.max_bytes:
                return self.busy()
        return None

    def busy(self) -> Error:
        """Return the error for a body that would exceed the limit for all bodies together."""
        return Error(ErrorCode.NO_SERVER_AVAILABLE, "too many bodies are held", BUSY_RETRY_AFTER_US)
