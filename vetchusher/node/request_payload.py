"""Request bodies in the form in which aiohttp writes them to a server."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

# A longer body is written in the chunks in which it was received. Half of what a server's kernel receives on
# a new connection before the server reads: a body up to this length never waits for the server to read.
MAX_JOINED_BODY_BYTES = 32 * 1024


class ChunkedPayload(Payload):
    """A long body, written in the chunks in which it was received."""

    def __init__(self, chunks: list[bytes], before_write: Callable[[], None]) -> None:
        """Create a payload of these chunks.

        :param before_write: called before the first chunk is written
        """
        super().__init__(chunks)
        self._size = sum(map(len, chunks))
        self.before_write = before_write

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._value).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write one chunk after another, as fast as the server reads."""
        self.before_write()
        for chunk in self._value:
            await writer.write(chunk)


def payload_of(chunks: list[bytes], before_long_body: Callable[[], None]) -> bytes | ChunkedPayload | None:
    """Return a request body in the form in which aiohttp writes it; None if there is no body.

    :param before_long_body: called before a body that is not joined is written
    """
    if not chunks:
        return None
    if len(chunks) == 1 and len(chunks[0]) <= MAX_JOINED_BODY_BYTES:
        return chunks[0]
    if sum(map(len, chunks)) <= MAX_JOINED_BODY_BYTES:
        return b"".join(chunks)
    return ChunkedPayload(chunks, before_long_body)
