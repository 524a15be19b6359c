"""Caches encoded updates, so that subscribers that lack the same rows share one encoding.

Encoding all rows of 5,000 routes takes 10 ms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.distribution.source import Source, fill_updates

MAX_CACHED_ANSWERS = 8  # few suffice: most subscribers lack either the newest update or everything


class UpdateCache:
    """Holds answers as bytes of a `Frame`; all are dropped when any source changes."""

    def __init__(self, sources: Mapping[str, Source]) -> None:
        """Create an empty cache for these sources."""
        self.sources = sources
        self.stamps: tuple[tuple[int, int], ...] = ()
        self.encoded: dict[tuple[object, ...], bytes] = {}

    def updates_for(self, vector: Iterable[wire.SourceAt], *, in_heartbeat_reply: bool = False) -> bytes:
        """Return the encoded frame that answers a pull, or the updates part of a heartbeat's reply.

        The frame has no sender. Protobuf merges concatenated messages, so the bytes can be appended to those
        of another frame.

        :param vector: the version vector of the subscriber
        :param in_heartbeat_reply: whether the updates are part of the reply to a heartbeat
        """
        stamps = tuple(source.stamp for source in self.sources.values())
        if stamps != self.stamps:
            self.stamps = stamps
            self.encoded.clear()
        key = in_heartbeat_reply, *((at.source, at.stamp.epoch, at.stamp.seq) for at in vector)
        raw = self.encoded.get(key)
        if raw is None:
            frame = wire.Frame()
            updates = frame.heartbeat_reply.news if in_heartbeat_reply else frame.news
            updates.SetInParent()
            fill_updates(updates, self.sources, vector)
            if len(self.encoded) >= MAX_CACHED_ANSWERS:
                del self.encoded[next(iter(self.encoded))]
            raw = self.encoded[key] = frame.SerializeToString()
        return raw
