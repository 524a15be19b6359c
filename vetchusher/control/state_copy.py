"""Copies of the control state: a state that was handed on is never changed."""

from __future__ import annotations

from vetchusher.distribution.stamps import StampTuple, stamp_message
from vetchusher.distribution.wire_pb2 import ControlState


def copy_state(state: ControlState, stamped: StampTuple | None = None) -> ControlState:
    """Return a copy, under another stamp where one is given."""
    made = ControlState()
    made.CopyFrom(state)
    if stamped is not None:
        made.stamp.CopyFrom(stamp_message(stamped))
    return made
