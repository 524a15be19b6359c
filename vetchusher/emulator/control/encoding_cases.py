"""Machines of the control state as values: copied, identified by a digest, each transition computed once.

Many states of a case differ in one machine only, so a machine's answer to an input is looked up far more
often than it is computed. This module assumes nothing of a replica except that it is plain data.
"""

from __future__ import annotations

import marshal
import random
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass, fields, is_dataclass, replace
from enum import Enum
from functools import cache
from typing import Any, Final

from blake3 import blake3
from google.protobuf.message import Message
from returns.result import Result, Success

from vetchusher.control import (
    Committed,
    Completed,
    Input,
    Output,
    Persist,
    PersistentState,
    Replica,
    ReplicaSettings,
    RetrieveOrder,
    Submitted,
    Tick,
    Timing,
)
from vetchusher.control.state import state_stamp as at_
from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple

STEP_US: Final = 500_000  # of the clock
ATOMIC_TYPES = (int, str, bytes, bool, float, type(None))
MAX_PAUSE_US = 100 * STEP_US  # no random pause is that long; wider ranges are those of identifiers
TOLERATED_LOSSES = 1  # machines that may be lost at a time
READ_ORDER_ID = -1  # of the order that shows what a read would return


class DeterministicRandom(random.Random):
    """Replaces random numbers in the explorer, which explores times itself.

    Pauses differ by machine, and identifiers by machine and incarnation, so both stay distinct.

    :param machine_index: index of the machine: each pauses a step longer than the one before
    :param incarnation: how often it was started
    """

    def __init__(self, machine_index: int, incarnation: int) -> None:
        """Fix the machine and its incarnation."""
        super().__init__(0)
        self.machine_index = machine_index
        self.incarnation = incarnation

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        """Return this machine's value; in a range as wide as that of identifiers, this incarnation's."""
        lower, upper = (0, start) if stop is None else (start, stop)
        is_unique = upper - lower > MAX_PAUSE_US  # otherwise it is a pause
        return lower + (self.machine_index * STEP_US + self.incarnation * is_unique) % (upper - lower)

    def random(self) -> float:
        """Return the middle of the range."""
        return 0.5


@cache
def field_names(kind: Any) -> tuple[str, ...]:
    """Return the names of a dataclass's fields; empty for another class, whose `__dict__` holds them.

    :raises TypeError: the class isn't known to be plain data
    """
    if not kind.__module__.startswith(
        ("vetchusher.control", "vetchusher.events", "vetchusher.emulator.control.judge")
    ):
        raise TypeError(f"{kind} is not known to be plain data")
    return tuple(f.name for f in fields(kind)) if is_dataclass(kind) else ()


@cache
def is_immutable(kind: Any) -> bool:
    """Return whether objects of this class are never changed, like states and messages (`control.state`)."""
    if issubclass(kind, (*ATOMIC_TYPES, Message, Enum, DeterministicRandom, Timing, Result)):
        return True
    return bool(is_dataclass(kind) and vars(kind)["__dataclass_params__"].frozen)


def clone(original: Any, copies: dict[int, Any] | None = None) -> Any:
    """Return a deep copy that shares only immutable parts.

    References to one object become references to one copy.

    :param copies: copies made so far, by id of the original
    """
    kind: Any = type(original)
    if is_immutable(kind):
        return original
    copies = {} if copies is None else copies
    copied = copies.get(id(original))
    if copied is not None:
        return copied
    if kind is tuple:
        return tuple([clone(v, copies) for v in original])
    if kind is dict:
        copied = copies[id(original)] = {}
        for key, value in original.items():
            copied[key] = value if is_immutable(value.__class__) else clone(value, copies)
    elif kind in (list, deque, set):
        copied = copies[id(original)] = kind(clone(v, copies) for v in original)
    else:
        copied = copies[id(original)] = object.__new__(kind)
        for name in field_names(kind) or original.__dict__:
            value = getattr(original, name)
            setattr(copied, name, value if is_immutable(value.__class__) else clone(value, copies))
    return copied


def canonical(value: Any) -> Any:
    """Return nested tuples that are equal for equal values."""
    kind: Any = type(value)
    if kind in ATOMIC_TYPES:
        return value
    if kind in (tuple, list, deque):
        return tuple([canonical(v) for v in value])
    if kind is dict:
        return tuple(sorted([(canonical(k), canonical(v)) for k, v in value.items()], key=repr))
    if kind in (set, frozenset):
        return tuple(sorted([canonical(v) for v in value], key=repr))
    if isinstance(value, Message):
        return value.SerializeToString(deterministic=True)
    if isinstance(value, (DeterministicRandom, Timing)):
        return None  # the same in each incarnation of a machine, and in all machines
    if isinstance(value, (Enum, Result)):
        return str(value)
    names = field_names(kind) or sorted(value.__dict__)
    return (kind.__name__, *[canonical(getattr(value, name)) for name in names])


def digest(*things: Any) -> bytes:
    """Return a digest of 16 bytes; two among n states collide with a probability of about n^2 / 2^129."""
    return blake3(marshal.dumps(canonical(things), 2)).digest(16)


@dataclass(slots=True, frozen=True)
class MachineState:
    """One machine.

    :param number: 1, 2, ...; its address is that number as text
    :param replica: the replica; None: the process does not run
    :param disk: what is synced
    :param pending_persist: the write to disk in progress
    :param stopped: whether the process is paused
    :param clock_lag_us: by how much its clock is behind
    :param reported_commit: stamp and version of the newest commit that it reports to readers: its own commit,
        or one received from the primary
    :param key: digest of all other fields
    """

    number: int
    zone: str
    replica: Replica | None = None
    incarnation: int = 0
    disk: PersistentState | None = None
    pending_persist: Persist | None = None
    stopped: bool = False
    clock_lag_us: int = 0
    reported_commit: tuple[StampTuple, int] = (ZERO_STAMP, 0)
    key: bytes = b""

    @property
    def ip(self) -> str:
        """Return the machine's address."""
        return str(self.number)


@dataclass(slots=True, frozen=True)
class Observation:
    """What a machine would answer at one moment.

    :param is_leader: whether it holds a valid leader lease
    :param is_primary: whether it takes itself for the primary
    :param in_force: version that it reports as in force
    :param body: configuration that a read would return
    """

    is_leader: bool = False
    is_primary: bool = False
    in_force: int | None = None
    body: bytes | None = None


class TransitionCache:
    """Owns every machine state found and the transition for each input.

    Its size is bounded by the number of explored states.
    """

    def __init__(self, seeds: tuple[str, ...], timing: Timing) -> None:
        """Start empty, for machines with these seeds and timing."""
        self.seeds = seeds
        self.timing = timing
        self.machines_by_digest: dict[bytes, MachineState] = {}
        self.transitions: dict[tuple[bytes, int, Hashable], tuple[MachineState, tuple[Output, ...]]] = {}
        self.observations: dict[tuple[bytes, int], Observation] = {}

    def intern(self, machine: MachineState) -> MachineState:
        """Return the one object that stands for all equal machine states."""
        key = digest(*(getattr(machine, f.name) for f in fields(machine) if f.name != "key"))
        known = self.machines_by_digest.get(key)
        if known is None:
            known = self.machines_by_digest[key] = replace(machine, key=key)
        return known

    def start(self, machine: MachineState, now_us: int, first: bool = False) -> MachineState:
        """Return the machine with a newly started process."""
        incarnation = machine.incarnation + 1
        settings = ReplicaSettings(machine.ip, machine.zone, self.seeds, first, self.timing, TOLERATED_LOSSES)
        member = Replica(
            settings,
            machine.disk,
            DeterministicRandom(machine.number - 1, incarnation),
            now_us - machine.clock_lag_us,
        )
        return self.intern(
            replace(machine, replica=member, incarnation=incarnation, pending_persist=None, stopped=False)
        )

    def stop(self, machine: MachineState, persisted: bool = False, wiped: bool = False) -> MachineState:
        """Return the machine after a crash.

        :param persisted: whether the write to disk in progress survives
        :param wiped: whether the disk is lost
        """
        disk = (
            machine.pending_persist.contents
            if persisted and machine.pending_persist is not None
            else machine.disk
        )
        disk = None if wiped else disk
        return self.intern(
            replace(
                machine,
                replica=None,
                pending_persist=None,
                stopped=False,
                reported_commit=(ZERO_STAMP, 0),
                disk=disk,
            )
        )

    def finish_persist(self, machine: MachineState, ok: bool) -> MachineState:
        """Return the machine after its write to disk has ended; the replica isn't notified here."""
        assert machine.pending_persist is not None
        return self.intern(
            replace(
                machine, pending_persist=None, disk=machine.pending_persist.contents if ok else machine.disk
            )
        )

    def handle_input(
        self, machine: MachineState, now_us: int, event: Input, name: Hashable
    ) -> tuple[MachineState, tuple[Output, ...]]:
        """Return the machine after an input, with the outputs other than writes to disk.

        :param name: is equal for equal inputs
        """
        key = (machine.key, now_us, name)
        found = self.transitions.get(key)
        if found is None:
            found = self.transitions[key] = self.compute_transition(machine, now_us, event)
        return found

    def compute_transition(
        self, machine: MachineState, now_us: int, event: Input
    ) -> tuple[MachineState, tuple[Output, ...]]:
        """Compute the result of `handle_input`."""
        member = clone(machine.replica)
        outputs = member.handle(now_us - machine.clock_lag_us, event)
        persists = [o for o in outputs if isinstance(o, Persist)]
        assert len(persists) + (machine.pending_persist is not None) <= 1, "two saves at once"
        reported_commit = max(
            [
                machine.reported_commit,
                *((at_(o.state), o.state.version) for o in outputs if isinstance(o, Committed)),
            ]
        )
        after = replace(
            machine,
            replica=member,
            pending_persist=persists[0] if persists else machine.pending_persist,
            reported_commit=reported_commit,
        )
        return self.intern(after), tuple(o for o in outputs if not isinstance(o, Persist))

    def tick(self, machine: MachineState, now_us: int) -> tuple[MachineState, tuple[Output, ...]]:
        """Return the machine after a clock tick, with the outputs."""
        return self.handle_input(machine, now_us, Tick(), "tick")

    def observe(self, machine: MachineState, now_us: int) -> Observation:
        """Return what the machine would answer now."""
        if machine.replica is None:
            return Observation()
        key = (machine.key, now_us)
        found = self.observations.get(key)
        if found is None:
            found = self.observations[key] = self.compute_observation(machine, now_us - machine.clock_lag_us)
        return found

    def compute_observation(self, machine: MachineState, now_us: int) -> Observation:
        """Compute the result of `observe`.

        :param now_us: time on the machine's own clock
        """
        member = machine.replica
        assert member is not None
        is_leader, body = member.is_leader(now_us), None
        if member.primary_ip == machine.ip and not machine.stopped:
            outputs = clone(member).handle(now_us, Submitted(READ_ORDER_ID, RetrieveOrder()))
            body = next(
                (
                    o.outcome.unwrap()
                    for o in outputs
                    if isinstance(o, Completed)
                    and o.order_id == READ_ORDER_ID
                    and isinstance(o.outcome, Success)
                ),
                None,
            )
        in_force = (
            machine.reported_commit[1]
            if member.is_in_force(now_us, machine.reported_commit[0]) and not machine.stopped
            else None
        )
        return Observation(is_leader, member.primary_ip == machine.ip, in_force, body)
