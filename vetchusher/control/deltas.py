"""Deltas between configurations: the digests of all chunks, and the chunks that the receiver lacks.

Chunks are identified by digests of their content, so the receiver reconstructs exactly the body that was
sent, whichever version and epoch wrote the body that it has. If one of the chunks is missing, the delta is
not applied, and the receiver requests the complete body.
"""

from __future__ import annotations

from collections.abc import Iterable

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple
from vetchusher.distribution.wire_pb2 import BodyDelta

from .chunks import DIGEST_BYTES, chunk_digest, parse_manifest, split_chunks

MIN_SAVINGS_RATIO = 2  # a delta is sent if the complete body is at least this many times its size


def digested_chunks(body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the chunks of a body, each with its digest, in their order."""
    return [(chunk_digest(chunk), chunk) for chunk in split_chunks(body)]


def make_delta(receiver_digests: Iterable[bytes], chunks: list[tuple[bytes, bytes]]) -> BodyDelta | None:
    """Return the delta for a receiver; None if it saves too little compared with the complete body.

    :param receiver_digests: digests of the chunks that the receiver has
    :param chunks: the chunks of the body to be sent, with their digests
    """
    known = frozenset(receiver_digests)
    missing = {digest: chunk for digest, chunk in chunks if digest not in known}
    size = DIGEST_BYTES * len(chunks) + sum(map(len, missing.values()))
    if MIN_SAVINGS_RATIO * size > sum(len(chunk) for _, chunk in chunks):
        return None
    return BodyDelta(manifest=b"".join(digest for digest, _ in chunks), chunks=list(missing.values()))


def apply_delta(delta: BodyDelta, base: bytes) -> bytes | None:
    """Return the body that was sent; None if a chunk of it is neither in the delta nor in the base.

    :param base: the body that this machine has
    """
    known = dict(digested_chunks(base)) | {chunk_digest(chunk): chunk for chunk in delta.chunks}
    digests = parse_manifest(delta.manifest)
    if any(digest not in known for digest in digests):
        return None
    return b"".join(known[digest] for digest in digests)


class ConfigurationHistory:
    """The current and the previous body, and the delta between them.

    :ivar current_since: a copy whose stamp is at least this has the current body
    :ivar previous_since: a copy whose stamp is at least this, but below `current_since`, has the previous
        body
    """

    def __init__(self) -> None:
        """Start without a body."""
        self.current_since: StampTuple = ZERO_STAMP
        self.previous_since: StampTuple = ZERO_STAMP
        self.current = b""
        self.previous = b""
        self.current_digests: tuple[bytes, ...] = ()  # of the current body's chunks; empty until needed
        self.previous_digests: tuple[bytes, ...] = ()
        self.cached_delta: BodyDelta | None = None
        self.is_cached = False

    def advance(self, stamp: StampTuple, current: bytes, previous: bytes, previous_since: StampTuple) -> None:
        """Take the bodies at a write that changes the body or is the first of its epoch.

        :param stamp: stamp of the write
        """
        self.previous_digests = self.current_digests if previous == self.current else ()
        self.current_since, self.previous_since = stamp, previous_since
        self.current, self.previous, self.current_digests = current, previous, ()
        self.cached_delta, self.is_cached = None, False

    def delta(self) -> BodyDelta | None:
        """Return the delta for receivers that have the previous body; it is computed once.

        None: there is no previous body, or a delta saves too little.
        """
        if not self.is_cached:
            self.cached_delta, self.is_cached = self.compute_delta(), True
            self.previous = b""
        return self.cached_delta

    def compute_delta(self) -> BodyDelta | None:
        """Compute the delta; None as at `delta`."""
        if not self.current or not self.previous:
            return None
        chunks = digested_chunks(self.current)
        self.current_digests = tuple(digest for digest, _ in chunks)
        receiver_digests = self.previous_digests or [digest for digest, _ in digested_chunks(self.previous)]
        return make_delta(receiver_digests, chunks)
