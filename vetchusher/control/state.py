"""The control state as a value: stamps and records compared, orders applied, majorities counted.

A `ControlState` or `ReplicaSet` is never changed once it has been handed on: each change makes a new one.
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

MAX_ZONES = 256  # that evacuations may name


def state_stamp(state: ControlState) -> StampTuple:
    """Return the stamp of a state."""
    return stamp_tuple(state.stamp)


def majority(count: int) -> int:
    """Return the size of a majority."""
    return count // 2 + 1


def is_majority_of(members: Sequence[str], some: Iterable[str]) -> bool:
    """Return whether those of `some` that are members are a majority of them."""
    return len(set(members).intersection(some)) >= majority(len(members))


def electorates(replica_set: ReplicaSet) -> list[Sequence[str]]:
    """Return the sets of voters of which a majority each is needed: two while voters are being changed."""
    sets = (replica_set.members, replica_set.previous_members)
    return [tuple(voters) for voters in sets if voters]


def voters(replica_set: ReplicaSet) -> set[str]:
    """Return all machines of all electorates."""
    return {ip for electorate in electorates(replica_set) for ip in electorate}


def has_quorum(replica_set: ReplicaSet, voters_present: Iterable[str]) -> bool:
    """Return whether the machines given hold a majority of each electorate."""
    present = set(voters_present)
    return all(is_majority_of(electorate, present) for electorate in electorates(replica_set))


def first_state() -> ControlState:
    """Return the empty state of the first start."""
    return ControlState(stamp=stamp_message(ZERO_STAMP))


def first_replica_set(members: Iterable[str]) -> ReplicaSet:
    """Return the replica set of the first start: every machine holds the empty state."""
    named = sorted(set(members))
    return ReplicaSet(copies=named, members=named)


def replica_set_id(replica_set: ReplicaSet) -> StampTuple:
    """Return epoch and number of a replica set, by which sets are ordered."""
    return replica_set.epoch, replica_set.number


def newest_replica_set(replica_sets: Iterable[ReplicaSet]) -> ReplicaSet:
    """Return the newest of some replica sets."""
    return max(replica_sets, key=replica_set_id)


def copies_needed(members: int, losses: int) -> int:
    """Return how many copies a write needs: one more than may be lost, and one in each majority of the
    members.
    """
    return min(max(losses + 1, members - majority(members) + 1), majority(members))


def apply_order(state: ControlState, order: Order) -> Result[ControlState, Error]:
    """Return the state after one order; the very same object where the order changes nothing."""
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
    """Replace the configuration. The highest version wins: a lower one changes nothing, an equal one has to
    be the same.
    """
    if order.version == state.version and order.body != state.configuration:
        return Failure(version_conflict(order.version))
    if order.version <= state.version:
        return Success(state)
    made = copy_state(state)
    made.version, made.configuration = order.version, order.body
    return Success(made)


def version_conflict(version: int) -> Error:
    """Return the error of a version that another body already has."""
    return Error(
        ErrorCode.VERSION_CONFLICT,
        f"r{version} is taken by another body: read it back, and send a higher version",
    )


def apply_evacuation(state: ControlState, order: EvacuationOrder) -> Result[ControlState, Error]:
    """Begin or end the evacuation of a zone."""
    current = first((e for e in state.evacuations if e.zone == order.zone), None)
    if order.on == (current is not None and current.on):
        return Success(state)
    # Safety: on its way between two machines an order may be held up, and come after later ones.
    if order.previous_order is not None and order.previous_order != last_evacuation_order(state, order.zone):
        return Failure(Error(ErrorCode.UNAVAILABLE, "the zone had another order meanwhile"))
    if current is None and len(state.evacuations) >= MAX_ZONES:
        return Failure(
            Error(ErrorCode.INVALID_ORDER, f"evacuation of {order.zone[:40]}: too many zones are named")
        )
    number = 1 + max((e.order for e in state.evacuations), default=0)
    made = copy_state(state)
    del made.evacuations[:]
    made.evacuations.extend(e for e in state.evacuations if e.zone != order.zone)
    # An evacuation that was taken back stays: its end tells since when the zone's servers may be cold.
    made.evacuations.append(Evacuation(zone=order.zone, on=order.on, order=number))
    return Success(made)


def last_evacuation_order(state: ControlState, zone: str) -> int:
    """Return the number of a zone's last order of evacuation; 0: there was none."""
    return max((e.order for e in state.evacuations if e.zone == zone), default=0)


def without_configuration(state: ControlState) -> ControlState:
    """Return a state whose configuration is left out."""
    made = ControlState(
        stamp=state.stamp,
        version=state.version,
        evacuations=state.evacuations,
        rollouts=state.rollouts,
        configuration_left_out=True,
    )
    return made


def with_configuration(state: ControlState, copy: ControlState) -> ControlState | None:
    """Fill in a configuration that was left out, from the copy held here; None: it is not held.

    Safety: another epoch may have written a version with another body and never committed it. Within one
    epoch a version has one body, so only a copy of the same epoch will do.
    """
    if copy.version != state.version or copy.stamp.epoch != state.stamp.epoch:
        return None
    return with_body(state, copy.configuration)


def with_body(state: ControlState, body: bytes) -> ControlState:
    """Fill in a configuration that was left out."""
    made = copy_state(state)
    made.configuration, made.configuration_left_out = body, False
    return made
