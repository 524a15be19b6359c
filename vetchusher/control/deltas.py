"""A configuration as it is sent to a machine that holds another one: its chunks' names, and the chunks that
the reader lacks.

Chunks are named by their content, so what a reader puts together is the body that was sent, whichever version
and epoch wrote the body that it holds.  Where a named chunk is not there, nothing is put together, and the
reader asks for the whole.
"""

from __future__ import annotations

from collections.abc import Iterable

from vetchusher.distribution.wire_pb2 import BodyDelta

from .chunks import DIGEST_BYTES, listed, name_of, split
from .state import START, Point

LEAST_SPARED = 2  # a delta is sent where the whole is so many times its size


def chunked(body: bytes) -> list[tuple[bytes, bytes]]:
    """Chunks with their names, in their order."""
    return [(name_of(chunk), chunk) for chunk in split(body)]


def body_delta(held: Iterable[bytes], chunks: list[tuple[bytes, bytes]]) -> BodyDelta | None:
    """What a reader lacks that holds chunks of those names; None: the whole is hardly larger."""
    known = frozenset(held)
    lacked = {name: chunk for name, chunk in chunks if name not in known}
    size = DIGEST_BYTES * len(chunks) + sum(map(len, lacked.values()))
    if LEAST_SPARED * size > sum(len(chunk) for _, chunk in chunks):
        return None
    return BodyDelta(manifest=b"".join(name for name, _ in chunks), chunks=list(lacked.values()))


def body_of(delta: BodyDelta, held: bytes) -> bytes | None:
    """The body that was sent, from a delta and the body held here; None: a chunk of it is in neither."""
    known = dict(chunked(held)) | {name_of(chunk): chunk for chunk in delta.chunks}
    names = listed(delta.manifest)
    if any(name not in known for name in names):
        return None
    return b"".join(known[name] for name in names)


class BodyHistory:
    """It owns the names of the newest body's chunks and of the one's before, and the delta between the two.

    :param since: from which stamp on copies of this epoch have the newest body
    :param former_since: the same of the body before
    """

    def __init__(self) -> None:
        self.since: Point = START
        self.former_since: Point = START
        self.body = b""
        self.former = b""
        self.names: tuple[bytes, ...] = ()  # of the newest body, once they were needed
        self.former_names: tuple[bytes, ...] = ()
        self.made: BodyDelta | None = None
        self.is_made = False

    def advance(self, stamp: Point, body: bytes, former: bytes, former_since: Point) -> None:
        """A write under that stamp carries another body, or is the first of its epoch."""
        self.former_names = self.names if former == self.body else ()
        self.since, self.former_since = stamp, former_since
        self.body, self.former, self.names = body, former, ()
        self.made, self.is_made = None, False

    def delta(self) -> BodyDelta | None:
        """For a reader that holds the former body; made once for all readers."""
        if not self.is_made:
            self.made, self.is_made = self.make(), True
            self.former = b""
        return self.made

    def make(self) -> BodyDelta | None:
        if not self.body or not self.former:
            return None
        chunks = chunked(self.body)
        self.names = tuple(name for name, _ in chunks)
        held = self.former_names or [name for name, _ in chunked(self.former)]
        return body_delta(held, chunks)
