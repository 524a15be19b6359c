"""A configuration's bytes in chunks whose ends follow from what stands there: a change moves few of them.

A chunk ends behind a closing brace, where the sum of the bytes since the brace before says so; so a route
that is changed, added or gone costs the chunk it is in, and the ends behind it stay.
"""

from __future__ import annotations

from zlib import crc32

from blake3 import blake3

END = b"}"
LEAST, MOST = 1024, 32_768  # bytes of a chunk; the last one may have less
STEP = 16  # between two braces that are looked at: a body may consist of braces
MASK = 15  # one brace in 16 ends a chunk: 1 kB and 16 objects on average
DIGEST_BYTES = 16


def split(body: bytes) -> list[bytes]:
    """Chunks that make the body again when they are put together; none of an empty one."""
    found, start = [], 0
    while start < len(body):
        end = end_of(body, start)
        found.append(body[start:end])
        start = end
    return found


def end_of(body: bytes, start: int) -> int:
    most = min(start + MOST, len(body))
    before = body.find(END, start + LEAST, most)
    while before >= 0:
        at = body.find(END, before + STEP, most)
        if at >= 0 and not crc32(body[before:at]) & MASK:
            return at + 1
        before = at
    return most


def name_of(chunk: bytes) -> bytes:
    return blake3(chunk).digest(DIGEST_BYTES)


def listed(manifest: bytes) -> list[bytes]:
    """Names of the chunks in a manifest, in their order."""
    return [manifest[at : at + DIGEST_BYTES] for at in range(0, len(manifest), DIGEST_BYTES)]
