"""A configuration as it is sent to a machine that holds another one: the digests of its chunks, and the
chunks that the receiver lacks.

Chunks are named by their content, so what a receiver puts together is the body that was sent, whichever
version and epoch wrote the body that it holds. Where a named chunk is missing, nothing is put together, and
the receiver asks for the whole body.
"""

from __future__ import annotations

from collections.abc import Iterable

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import BodyDelta

from .chunks import DIGEST_BYTES, chunk_digest, parse_manifest, split_chunks

MIN_SAVINGS_RATIO = 2  # a delta is sent where the whole is so many times its size


def digested_chunks(body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the chunks of a body with their digests, in their order."""
    return [(chunk_digest(chunk), chunk) for chunk in split_chunks(body)]


def make_delta(held_digests: Iterable[bytes], chunks: list[tuple[bytes, bytes]]) -> BodyDelta | None:
    """Return what a receiver lacks that holds chunks of these digests; None: the whole body is hardly
    larger.
    """
    known = frozenset(held_digests)
    missing = {name: chunk for name, chunk in chunks if name not in known}
    size = DIGEST_BYTES * len(chunks) + sum(map(len, missing.values()))
    if MIN_SAVINGS_RATIO * size > sum(len(chunk) for _, chunk in chunks):
        return None
    return BodyDelta(manifest=b"".join(name for name, _ in chunks), chunks=list(missing.values()))


def apply_delta(delta: BodyDelta, held_body: bytes) -> bytes | None:
    """Return the body that was sent, from a delta and the body held here; None: a chunk of it is in
    neither.
    """
    known = dict(digested_chunks(held_body)) | {chunk_digest(chunk): chunk for chunk in delta.chunks}
    names = parse_manifest(delta.manifest)
    if any(name not in known for name in names):
        return None
    return b"".join(known[name] for name in names)


class ConfigurationHistory:
    """Owner of the newest body and the one before, and of the delta between the two.

    :param current_since: from which stamp on copies of this epoch have the newest body
    :param previous_since: the same of the body before
    """

    def __init__(self) -> None:
        """Begin without a body."""
        self.current_since: StampTuple = ZERO_STAMP
        self.previous_since: StampTuple = ZERO_STAMP
        self.current = b""
        self.previous = b""
        self.current_digests: tuple[bytes, ...] = ()  # of the newest body, once they were needed
        self.previous_digests: tuple[bytes, ...] = ()
        self.cached_delta: BodyDelta | None = None
        self.is_cached = False

    def advance(self, stamp: StampTuple, current: bytes, previous: bytes, previous_since: StampTuple) -> None:
        """Take the body of a write that carries another one, or is the first of its epoch."""
        self.previous_digests = self.current_digests if previous == self.current else ()
        self.current_since, self.previous_since = stamp, previous_since
        self.current, self.previous, self.current_digests = current, previous, ()
        self.cached_delta, self.is_cached = None, False

    def delta(self) -> BodyDelta | None:
        """Return the delta for a receiver that holds the previous body; computed once for all receivers."""
        if not self.is_cached:
            self.cached_delta, self.is_cached = self.compute_delta(), True
            self.previous = b""
        return self.cached_delta

    def compute_delta(self) -> BodyDelta | None:
        """Compute the delta; None: there is no previous body, or a delta does not pay."""
        if not self.current or not self.previous:
            return None
        chunks = digested_chunks(self.current)
        self.current_digests = tuple(name for name, _ in chunks)
        held_digests = self.previous_digests or [name for name, _ in digested_chunks(self.previous)]
        return make_delta(held_digests, chunks)
