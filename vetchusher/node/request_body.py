"""Reads clients' request bodies within one bound for all of them together."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from vetchusher.errors import Error, ErrorCode
from vetchusher.net.door import ClientLink

BUSY_RETRY_AFTER_US = 100_000  # when to return while this ingress itself has no room
MEMORY_RATIO = 0.25  # of the memory: what all requests' bodies together may take


class BodyReader:
    """Owner of the count of bytes that are held; whoever reads a body releases it."""

    def __init__(self, memory_mb: int) -> None:
        """Begin with nothing held.

        :param memory_mb: of the machine
        """
        self.max_bytes = int(memory_mb * 1024 * 1024 * MEMORY_RATIO)
        self.held_bytes = 0

    def release(self, body: list[bytes]) -> None:
        """Give up a body that was read, whole or in part."""
        self.held_bytes -= sum(map(len, body))

    async def read(
        self, request: web.BaseRequest, link: ClientLink, body: list[bytes], *, max_bytes: int, deadline: int
    ) -> Error | None:
        """Read a complete body into `body`.

        :param max_bytes: that the configuration allows
        :param deadline: us, on the loop's clock
        :returns: why it could not be read; None: it was
        """
        stated = request.content_length or 0
        if stated > max_bytes:
            return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
        if self.held_bytes + stated > self.max_bytes:
            return self.busy()
        if request.headers.get("Expect", "").lower() == "100-continue":
            link.wire.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            async with asyncio.timeout_at(deadline / 1e6):
                return await self.read_chunks(request, body, max_bytes)
        except TimeoutError:
            return Error(ErrorCode.CLIENT_TIMEOUT, "the body did not come in time")
        except (aiohttp.ClientError, web.RequestPayloadError, ValueError):
            return Error(ErrorCode.MALFORMED_REQUEST, "the body cannot be read")

    async def read_chunks(self, request: web.BaseRequest, body: list[bytes], max_bytes: int) -> Error | None:
        """Read until the body's end, or until it is too long for one request or for all together."""
        size = 0
        while chunk := await request.content.readany():
            body.append(chunk)
            size += len(chunk)
            self.held_bytes += len(chunk)
            if size > max_bytes:
                return Error(ErrorCode.BODY_TOO_LARGE, "the body is too long")
            if self.held_bytes > self.max_bytes:
                return self.busy()
        return None

    def busy(self) -> Error:
        """Return the error where all bodies together fill what may be held."""
        return Error(ErrorCode.NO_SERVER_AVAILABLE, "too many bodies are held", BUSY_RETRY_AFTER_US)
