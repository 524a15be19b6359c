"""Stamps as tuples: (epoch, sequence number), compared in that order; the version of a state or source."""

from __future__ import annotations

from typing import TypeAlias

from .wire_pb2 import Stamp

StampTuple: TypeAlias = tuple[int, int]
ZERO_STAMP: StampTuple = (0, 0)  # less than any stamp of a published state


def stamp_tuple(message: Stamp) -> StampTuple:
    """Return a stamp message as (epoch, sequence number)."""
    return message.epoch, message.seq


def stamp_message(stamp: StampTuple) -> Stamp:
    """Return a stamp as a protobuf message."""
    return Stamp(epoch=stamp[0], seq=stamp[1])
