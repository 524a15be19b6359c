"""A configuration's bytes in chunks whose ends follow from what stands there: a change moves few of them.

A chunk ends behind a closing brace, where the sum of the bytes since the brace before says so; so a route
that is changed, added or gone costs the chunk it is in, and the ends behind it stay.
"""

from __future__ import annotations

from zlib import crc32

from blake3 import blake3

CLOSING_BRACE = b"}"
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 1024, 32_768  # bytes of a chunk; the last one may have less
MIN_BOUNDARY_DISTANCE = 16  # between two braces that are looked at: a body may consist of braces
BOUNDARY_MASK = 15  # one brace in 16 ends a chunk: 1 kB and 16 objects on average
DIGEST_BYTES = 16


def split_chunks(body: bytes) -> list[bytes]:
    """Return the chunks that make the body again when they are joined; none of an empty one."""
    chunks, start = [], 0
    while start < len(body):
        end = chunk_end(body, start)
        chunks.append(body[start:end])
        start = end
    return chunks


def chunk_end(body: bytes, start: int) -> int:
    """Return where the chunk that begins at `start` ends."""
    limit = min(start + MAX_CHUNK_BYTES, len(body))
    previous = body.find(CLOSING_BRACE, start + MIN_CHUNK_BYTES, limit)
    while previous >= 0:
        position = body.find(CLOSING_BRACE, previous + MIN_BOUNDARY_DISTANCE, limit)
        if position >= 0 and not crc32(body[previous:position]) & BOUNDARY_MASK:
            return position + 1
        previous = position
    return limit


def chunk_digest(chunk: bytes) -> bytes:
    """Return the name of a chunk: the digest of its content."""
    return blake3(chunk).digest(DIGEST_BYTES)


def parse_manifest(manifest: bytes) -> list[bytes]:
    """Return the digests of the chunks in a manifest, in their order."""
    return [manifest[at : at + DIGEST_BYTES] for at in range(0, len(manifest), DIGEST_BYTES)]
