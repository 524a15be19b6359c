"""Imported states: they contain no votes, and are used only if every control node has lost its disk."""

from __future__ import annotations

from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import ControlState

from .messages import PersistentState
from .state import initial_replica_set, state_stamp
from .state_copy import copy_state

IMPORT_EPOCH_INCREMENT = 1 << 20  # more epochs than can be started between an export and its import


def imported_state_of(exported: PersistentState, unix_time_s: int) -> PersistentState:
    """Return an exported state with an epoch above those that any process may have seen.

    Safety: ingresses reject data with a stamp below the newest one that they know. The epoch grows by one at
    each change of the primary, which happens far less than once a second. So the time of day in seconds is
    above the epochs after any earlier import. If that clock is wrong, the increment still gives an epoch
    above those of the control nodes whose state was exported.

    :param unix_time_s: time of day, in seconds since 1970
    """
    epoch = max(
        exported.voted_epoch + IMPORT_EPOCH_INCREMENT,
        exported.state.stamp.epoch + IMPORT_EPOCH_INCREMENT,
        unix_time_s,
    )
    state = copy_state(exported.state, stamp=(epoch, 0))
    return PersistentState(epoch, state)


def bootstrap_state(
    imported_states: Sequence[ControlState], members: Sequence[str]
) -> PersistentState | None:
    """Return the state that control nodes without memory start from, once all have reported.

    It is the same at each of them: the imported state with the highest stamp. None if there is none.

    :param imported_states: the imported states that the control nodes reported
    :param members: addresses of the members of the first replica set
    """
    if not imported_states:
        return None
    newest = max(imported_states, key=state_stamp)
    return PersistentState(newest.stamp.epoch, newest, replica_set=initial_replica_set(members))
