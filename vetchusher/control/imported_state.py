"""What an import brings: no votes, only a state to begin from where every machine has lost its disk."""

from __future__ import annotations

from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import ControlState

from .messages import PersistentState
from .state import first_replica_set, state_stamp
from .state_copy import copy_state

EPOCH_LEAP = 1 << 20  # epochs: more than are ever begun after an export and before its import


def imported_state_of(exported: PersistentState, seconds: int) -> PersistentState:
    """Return an exported state under an epoch above all that any process may have seen.

    Safety: ingresses take nothing under a stamp below one that they know. Epochs grow by one at each change
    of the primary, so far less than one a second. Hence the time of day is above those of any earlier import,
    and where that clock is wrong, the leap is above those of the exported control nodes.

    :param seconds: of the time of day, since 1970
    """
    epoch = max(exported.voted_epoch + EPOCH_LEAP, exported.state.stamp.epoch + EPOCH_LEAP, seconds)
    state = copy_state(exported.state, stamped=(epoch, 0))
    return PersistentState(epoch, state)


def bootstrap_state(
    imported_states: Sequence[ControlState], members: Sequence[str]
) -> PersistentState | None:
    """Return what all amnesiacs begin from, once each has told its imported state; the same at each."""
    if not imported_states:
        return None
    best = max(imported_states, key=state_stamp)
    return PersistentState(best.stamp.epoch, best, replica_set=first_replica_set(members))
