"""Pure functions that apply roll-out orders to the control state, which has at most one roll-out per service.

A roll-out is identified by its service and target version. Repeating its order is acknowledged and changes
nothing, even after the roll-out has ended, because the repeat may be a delayed retry.
"""

from __future__ import annotations

from more_itertools import first
from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import Error, ErrorCode

from .messages import RolloutDecision, RolloutOrder
from .state_copy import copy_state

MAX_ROLLOUTS = 256  # one per service
NEXT_STATES = {
    wire.IN_PROGRESS: (wire.PROMOTING, wire.REVERTED),
    wire.PROMOTING: (wire.COMPLETED, wire.REVERTED),
}


def rollout_of(state: wire.ControlState, service: str) -> wire.Rollout | None:
    """Return the roll-out of a service, or None if there was none."""
    return first((rollout for rollout in state.rollouts if rollout.service == service), None)


def apply_rollout(state: wire.ControlState, order: RolloutOrder) -> Result[wire.ControlState, Error]:
    """Start a roll-out, and return the identical state object if it is already known.

    The order is rejected with `VERSION_CONFLICT` while the service is being rolled out to another version,
    and with `INVALID_ORDER` if it would exceed `MAX_ROLLOUTS`.
    """
    current = rollout_of(state, order.service)
    if current is not None and current.target_version == order.target_version:
        return Success(state)
    if current is not None and current.state in NEXT_STATES:
        text = f"{order.service[:40]} is being rolled out to {current.target_version}"
        return Failure(Error(ErrorCode.VERSION_CONFLICT, text))
    if current is None and len(state.rollouts) >= MAX_ROLLOUTS:
        return Failure(Error(ErrorCode.INVALID_ORDER, "too many services have roll-outs"))
    number = 1 + max((rollout.number for rollout in state.rollouts), default=0)
    started = wire.Rollout(
        service=order.service,
        target_version=order.target_version,
        duration_ms=order.duration_ms,
        state=wire.IN_PROGRESS,
        number=number,
    )
    return Success(with_rollout(state, started))


def apply_rollout_decision(
    state: wire.ControlState, order: RolloutDecision
) -> Result[wire.ControlState, Error]:
    """Advance a roll-out to its next state.

    The identical state object is returned if the service has a newer roll-out by now, or if this one has
    already left the state to which the decision applies.
    """
    current = rollout_of(state, order.service)
    if current is None or current.number != order.number:
        return Success(state)
    if order.state not in NEXT_STATES.get(current.state, ()):
        return Success(state)
    decided = wire.Rollout()
    decided.CopyFrom(current)
    decided.state = order.state
    return Success(with_rollout(state, decided))


def with_rollout(state: wire.ControlState, rollout: wire.Rollout) -> wire.ControlState:
    """Return a state with the given roll-out in place of the previous one of its service."""
    others = [other for other in state.rollouts if other.service != rollout.service]
    changed = copy_state(state)
    del changed.rollouts[:]
    changed.rollouts.extend(sorted([*others, rollout], key=lambda item: item.number))
    return changed
