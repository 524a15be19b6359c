"""The control state as a value: stamps and records compared, orders applied, majorities counted.

A `ControlState` or `ReplicaSet` is never changed once it has been handed on: each change makes a new one.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from more_itertools import first
from returns.result import Failure, Result, Success

from vetchusher.distribution.wire_pb2 import ControlState, Evacuation, ReplicaSet, Stamp
from vetchusher.kinds import Fault, Kind

from .messages import Order, Replace, SetEvacuation

MOST_ZONES = 256  # that evacuations may name

Point = tuple[int, int]  # a stamp: epoch, seq
START: Point = (0, 0)


def point(stamp: Stamp) -> Point:
    return stamp.epoch, stamp.seq


def stamp(at: Point) -> Stamp:
    return Stamp(epoch=at[0], seq=at[1])


def at(state: ControlState) -> Point:
    return point(state.stamp)


def majority(count: int) -> int:
    return count // 2 + 1


def enough(members: Sequence[str], some: Iterable[str]) -> bool:
    """Whether those of `some` that are members are a majority of them."""
    return len(set(members).intersection(some)) >= majority(len(members))


def electorates(replica_set: ReplicaSet) -> list[Sequence[str]]:
    """The sets of voters of which a majority each is needed: two while members are being changed."""
    sets = (replica_set.members, replica_set.previous_members)
    return [tuple(voters) for voters in sets if voters]


def voters(replica_set: ReplicaSet) -> set[str]:
    """All machines of all electorates."""
    return {ip for electorate in electorates(replica_set) for ip in electorate}


def has_quorum(replica_set: ReplicaSet, some: Iterable[str]) -> bool:
    """Whether `some` hold a majority of each electorate."""
    given = set(some)
    return all(enough(electorate, given) for electorate in electorates(replica_set))


def first_state() -> ControlState:
    return ControlState(stamp=stamp(START))


def first_record(members: Iterable[str]) -> ReplicaSet:
    """Of the first start: everybody holds the empty state."""
    named = sorted(set(members))
    return ReplicaSet(copies=named, members=named)


def place(record: ReplicaSet) -> Point:
    return record.epoch, record.number


def newest(records: Iterable[ReplicaSet]) -> ReplicaSet:
    return max(records, key=place)


def copies_needed(members: int, losses: int) -> int:
    """One more than may be lost, and so many that each majority of the members has one of them."""
    return min(max(losses + 1, members - majority(members) + 1), majority(members))


def changed(state: ControlState, stamped: Point | None = None) -> ControlState:
    """A copy, with another stamp."""
    made = ControlState()
    made.CopyFrom(state)
    if stamped is not None:
        made.stamp.CopyFrom(stamp(stamped))
    return made


def ordered(state: ControlState, order: Order) -> Result[ControlState, Fault]:
    """The state after one order; the very same object where the order changes nothing."""
    if isinstance(order, Replace):
        return replaced(state, order)
    if isinstance(order, SetEvacuation):
        return evacuated(state, order)
    return Success(state)


def replaced(state: ControlState, order: Replace) -> Result[ControlState, Fault]:
    """The highest version holds: a lower one changes nothing, and an equal one has to be the same order."""
    if order.version == state.version and order.body != state.configuration:
        return Failure(conflict(order.version))
    if order.version <= state.version:
        return Success(state)
    made = changed(state)
    made.version, made.configuration = order.version, order.body
    return Success(made)


def conflict(version: int) -> Fault:
    return Fault(
        Kind.CONFLICT, f"r{version} is taken by another body: read it back, and send a higher version"
    )


def evacuated(state: ControlState, order: SetEvacuation) -> Result[ControlState, Fault]:
    held = first((e for e in state.evacuations if e.zone == order.zone), None)
    if order.on == (held is not None and held.on):
        return Success(state)
    # Danger: on its way between two machines an order may be held up, and come after later ones.
    if order.after is not None and order.after != last_order(state, order.zone):
        return Failure(Fault(Kind.NOT_SETTLED, "the zone had another order meanwhile"))
    if held is None and len(state.evacuations) >= MOST_ZONES:
        return Failure(Fault(Kind.INVALID, f"evacuation of {order.zone[:40]}: too many zones are named"))
    number = 1 + max((e.order for e in state.evacuations), default=0)
    made = changed(state)
    del made.evacuations[:]
    made.evacuations.extend(e for e in state.evacuations if e.zone != order.zone)
    # An evacuation that was taken back stays: its end tells since when the zone's servers may be cold.
    made.evacuations.append(Evacuation(zone=order.zone, on=order.on, order=number))
    return Success(made)


def last_order(state: ControlState, zone: str) -> int:
    """Number of the zone's last order of evacuation; 0: there was none."""
    return max((e.order for e in state.evacuations if e.zone == zone), default=0)


def without_configuration(state: ControlState) -> ControlState:
    made = ControlState(
        stamp=state.stamp,
        version=state.version,
        evacuations=state.evacuations,
        configuration_left_out=True,
    )
    return made


def with_configuration(written: ControlState, held: ControlState) -> ControlState | None:
    """A state whose configuration was left out, filled from the copy held here; None: it is not held.

    Danger: a version may have been written by another epoch with another body and never committed.  Within
    one epoch a version has one body, so only a copy of the same epoch will do.
    """
    if held.version != written.version or held.stamp.epoch != written.stamp.epoch:
        return None
    return with_body(written, held.configuration)


def with_body(written: ControlState, body: bytes) -> ControlState:
    made = changed(written)
    made.configuration, made.configuration_left_out = body, False
    return made
