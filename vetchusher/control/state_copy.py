"""Copies of the control state. A state is shared and never changed: each change is made to a copy."""

from __future__ import annotations

from vetchusher.distribution.stamps import StampTuple, stamp_message
from vetchusher.distribution.wire_pb2 import ControlState


def copy_state(state: ControlState, stamp: StampTuple | None = None) -> ControlState:
    """Return a copy of a state, with the stamp replaced if one is given."""
    copy = ControlState()
    copy.CopyFrom(state)
    if stamp is not None:
        copy.stamp.CopyFrom(stamp_message(stamp))
    return copy
