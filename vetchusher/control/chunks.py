"""Content-defined chunking of a configuration's bytes, so that a change of it changes few chunks.

A chunk ends after a closing brace if the checksum of the bytes since the previous brace meets a condition.
So a route that is changed, added or removed changes the chunk that contains it, and later boundaries stay.
"""

from __future__ import annotations

from zlib import crc32

from blake3 import blake3

CLOSING_BRACE = b"}"
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 1024, 32_768  # the last chunk may be smaller
MIN_BOUNDARY_DISTANCE_BYTES = 16  # between two braces that are checked: a body may consist of braces only
BOUNDARY_MASK = 15  # one brace in 16 ends a chunk: 1 kB and 16 objects on average
DIGEST_BYTES = 16


def split_chunks(body: bytes) -> list[bytes]:
    """Return the chunks of a body, in order; joined, they are the body. An empty body has none."""
    chunks, start = [], 0
    while start < len(body):
        end = chunk_end(body, start)
        chunks.append(body[start:end])
        start = end
    return chunks


def chunk_end(body: bytes, start: int) -> int:
    """Return the end offset of the chunk that begins at the offset `start`."""
    limit = min(start + MAX_CHUNK_BYTES, len(body))
    previous = body.find(CLOSING_BRACE, start + MIN_CHUNK_BYTES, limit)
    while previous >= 0:
        position = body.find(CLOSING_BRACE, previous + MIN_BOUNDARY_DISTANCE_BYTES, limit)
        if position >= 0 and not crc32(body[previous:position]) & BOUNDARY_MASK:
            return position + 1
        previous = position
    return limit


def chunk_digest(chunk: bytes) -> bytes:
    """Return the digest of a chunk's content, which is its name in the store."""
    return blake3(chunk).digest(DIGEST_BYTES)


def parse_manifest(manifest: bytes) -> list[bytes]:
    """Return the digests of chunks in a manifest, in their order."""
    return [manifest[start : start + DIGEST_BYTES] for start in range(0, len(manifest), DIGEST_BYTES)]
