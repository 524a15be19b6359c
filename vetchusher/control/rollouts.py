"""Orders of roll-outs applied to the control state: one roll-out a service, each state reached once.

A roll-out is named by service and target version.  The same order again is acknowledged again and changes
nothing, also once the roll-out is decided: it may be a repeat that was held up on its way.
"""

from __future__ import annotations

from more_itertools import first
from returns.result import Failure, Result, Success

from vetchusher.distribution import wire_pb2 as wire
from vetchusher.errors import Error, ErrorCode

from .messages import RolloutDecision, RolloutOrder
from .state_copy import copy_state

MAX_ROLLOUTS = 256  # services that roll-outs may name
NEXT_STATES = {
    wire.IN_PROGRESS: (wire.PROMOTING, wire.REVERTED),
    wire.PROMOTING: (wire.COMPLETED, wire.REVERTED),
}


def rollout_of(state: wire.ControlState, service: str) -> wire.Rollout | None:
    """Return the newest roll-out of a service; None: there was none."""
    return first((one for one in state.rollouts if one.service == service), None)


def apply_rollout(state: wire.ControlState, order: RolloutOrder) -> Result[wire.ControlState, Error]:
    """Begin a roll-out; the very same state where it is known."""
    current = rollout_of(state, order.service)
    if current is not None and current.target_version == order.target_version:
        return Success(state)
    if current is not None and current.state in NEXT_STATES:
        text = f"{order.service[:40]} is being rolled out to {current.target_version}"
        return Failure(Error(ErrorCode.VERSION_CONFLICT, text))
    if current is None and len(state.rollouts) >= MAX_ROLLOUTS:
        return Failure(Error(ErrorCode.INVALID_ORDER, "too many services have roll-outs"))
    number = 1 + max((one.number for one in state.rollouts), default=0)
    begun = wire.Rollout(
        service=order.service,
        target_version=order.target_version,
        duration_ms=order.duration_ms,
        state=wire.IN_PROGRESS,
        number=number,
    )
    return Success(with_rollout(state, begun))


def apply_rollout_decision(
    state: wire.ControlState, order: RolloutDecision
) -> Result[wire.ControlState, Error]:
    """Take a roll-out on; the very same state where it is another one by now, or further on."""
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
    """Return a state in which a service's roll-out is replaced."""
    others = [one for one in state.rollouts if one.service != rollout.service]
    made = copy_state(state)
    del made.rollouts[:]
    made.rollouts.extend(sorted([*others, rollout], key=lambda one: one.number))
    return made
