"""What an import brings: no memory, only where to begin from if nobody remembers anything."""

from __future__ import annotations

from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import ControlState

from .messages import PersistentState
from .state import at, changed, first_record

LEAP = 1 << 20  # epochs: more than are ever begun after an export and before its import


def floor_of(kept: PersistentState, seconds: int) -> PersistentState:
    """The same state under an epoch above all that any process may have seen.

    Danger: ingresses take nothing under a stamp below one that they know.  Epochs grow by one at each
    change of the primary, so far less than one a second: the time of day is above those of any earlier
    import, and where that clock is wrong, the leap is above those of the exported core.

    :param seconds: of the time of day, since 1970
    """
    epoch = max(kept.promised + LEAP, kept.state.stamp.epoch + LEAP, seconds)
    state = changed(kept.state, stamped=(epoch, 0))
    return PersistentState(epoch, state)


def begun_from(floors: Sequence[ControlState], members: Sequence[str]) -> PersistentState | None:
    """What all machines that have forgotten begin from, once each has told its floor; the same at each."""
    if not floors:
        return None
    best = max(floors, key=at)
    return PersistentState(best.stamp.epoch, best, record=first_record(members))
