"""Pure functions on the control state and on replica sets: quorums, order of replica sets, applied orders.

A `ControlState` or `ReplicaSet` is treated as immutable: each change returns a new object.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from more_itertools import first
from returns.result import Failure, Result, Success

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple
from vetchusher.distribution.wire_pb2 import ControlState, Evacuation, ReplicaSet
from vetchusher.errors import Error, ErrorCode

from .messages import EvacuationOrder, Order, ReplaceOrder, RolloutDecision, RolloutOrder
from .rollouts import apply_rollout, apply_rollout_decision
from .state_copy import copy_state

MAX_EVACUATION_ZONES = 256  # distinct zones that the evacuations of one state may name


def state_stamp(state: ControlState) -> StampTuple:
    """Return the stamp of a state."""
    return stamp_tuple(state.stamp)


def majority(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1


def is_majority_of(members: Sequence[str], ips: Iterable[str]) -> bool:
    """Return whether `ips` contains a majority of the members; addresses of other machines are ignored."""
    return len(set(members).intersection(ips)) >= majority(len(members))


def electorates(replica_set: ReplicaSet) -> list[Sequence[str]]:
    """Return the sets of voters of each of which a quorum needs a majority.

    There are two sets while a change of voters is in progress, otherwise one.
    """
    sets = (replica_set.members, replica_set.previous_members)
    return [tuple(voters) for voters in sets if voters]


def voters(replica_set: ReplicaSet) -> set[str]:
    """Return the addresses of all voters in all electorates of a replica set."""
    return {ip for electorate in electorates(replica_set) for ip in electorate}


def has_quorum(replica_set: ReplicaSet, voters_present: Iterable[str]) -> bool:
    """Return whether the given machines contain a majority of each electorate."""
    present = set(voters_present)
    return all(is_majority_of(electorate, present) for electorate in electorates(replica_set))


def initial_state() -> ControlState:
    """Return the empty state that the system starts with when it has never run."""
    return ControlState(stamp=stamp_message(ZERO_STAMP))


def initial_replica_set(members: Iterable[str]) -> ReplicaSet:
    """Return the replica set that the system starts with: every member is a voter and holds a copy."""
    ips = sorted(set(members))
    return ReplicaSet(copies=ips, members=ips)


def replica_set_id(replica_set: ReplicaSet) -> StampTuple:
    """Return the (epoch, number) pair that identifies a replica set; a newer set has a greater pair."""
    return replica_set.epoch, replica_set.number


def newest_replica_set(replica_sets: Iterable[ReplicaSet]) -> ReplicaSet:
    """Return the newest of the given replica sets, of which there must be at least one."""
    return max(replica_sets, key=replica_set_id)


def copies_needed(members: int, losses: int) -> int:
    """Return how many copies a committed write needs.

    The number is large enough that one copy remains after the tolerated losses, and that every majority of
    the members includes a copy. It never exceeds a majority.

    :param members: the number of voters
    :param losses: the number of machines that may be lost at the same time
    """
    return min(max(losses + 1, members - majority(members) + 1), majority(members))


def apply_order(state: ControlState, order: Order) -> Result[ControlState, Error]:
    """Return the state after one order, or the error that rejects the order.

    An order that changes nothing returns the identical object, so that callers can compare with `is`.
    """
    if isinstance(order, ReplaceOrder):
        return apply_replace(state, order)
    if isinstance(order, EvacuationOrder):
        return apply_evacuation(state, order)
    if isinstance(order, RolloutOrder):
        return apply_rollout(state, order)
    if isinstance(order, RolloutDecision):
        return apply_rollout_decision(state, order)
    return Success(state)


def apply_replace(state: ControlState, order: ReplaceOrder) -> Result[ControlState, Error]:
    """Replace the configuration if the order's version is higher than the current one.

    A lower version changes nothing. The current version changes nothing if it has the same body, and is
    rejected with `VERSION_CONFLICT` if it has another body.
    """
    if order.version == state.version and order.body != state.configuration:
        return Failure(version_conflict(order.version))
    if order.version <= state.version:
        return Success(state)
    changed = copy_state(state)
    changed.version, changed.configuration = order.version, order.body
    return Success(changed)


def version_conflict(version: int) -> Error:
    """Return the error for an order whose version was already given to another body."""
    return Error(
        ErrorCode.VERSION_CONFLICT,
        f"r{version} is taken by another body: read it back, and send a higher version",
    )


def apply_evacuation(state: ControlState, order: EvacuationOrder) -> Result[ControlState, Error]:
    """Begin or end the evacuation of a zone.

    The order is rejected with `UNAVAILABLE` if the zone has received another order since this one was
    forwarded, and with `INVALID_ORDER` if it would exceed `MAX_EVACUATION_ZONES`.
    """
    current = first((e for e in state.evacuations if e.zone == order.zone), None)
    if order.on == (current is not None and current.on):
        return Success(state)
    # Safety: an order that was delayed while it was forwarded must not override a later order for the same
    # zone.
    if order.previous_order is not None and order.previous_order != last_evacuation_order(state, order.zone):
        return Failure(Error(ErrorCode.UNAVAILABLE, "the zone had another order meanwhile"))
    if current is None and len(state.evacuations) >= MAX_EVACUATION_ZONES:
        return Failure(
            Error(ErrorCode.INVALID_ORDER, f"evacuation of {order.zone[:40]}: too many zones are named")
        )
    number = 1 + max((e.order for e in state.evacuations), default=0)
    changed = copy_state(state)
    del changed.evacuations[:]
    changed.evacuations.extend(e for e in state.evacuations if e.zone != order.zone)
    # An ended evacuation stays in the state: its end shows since when the zone's servers may be cold.
    changed.evacuations.append(Evacuation(zone=order.zone, on=order.on, order=number))
    return Success(changed)


def last_evacuation_order(state: ControlState, zone: str) -> int:
    """Return the number of the last evacuation order of a zone; 0 if there was none."""
    return max((e.order for e in state.evacuations if e.zone == zone), default=0)


def without_configuration(state: ControlState) -> ControlState:
    """Return the state without the body of its configuration, and marked accordingly."""
    stripped = ControlState(
        stamp=state.stamp,
        version=state.version,
        evacuations=state.evacuations,
        rollouts=state.rollouts,
        configuration_left_out=True,
    )
    return stripped


def with_configuration(state: ControlState, copy: ControlState) -> ControlState | None:
    """Fill in the omitted configuration of `state` from a local copy.

    Return None unless the copy has the same version and the same epoch. Safety: within one epoch a version
    has one body, but a copy from another epoch may contain another body that was written under this version
    and never committed.
    """
    if copy.version != state.version or copy.stamp.epoch != state.stamp.epoch:
        return None
    return with_body(state, copy.configuration)


def with_body(state: ControlState, body: bytes) -> ControlState:
    """Return the state with its omitted configuration set to `body`."""
    completed = copy_state(state)
    completed.configuration, completed.configuration_left_out = body, False
    return completed
