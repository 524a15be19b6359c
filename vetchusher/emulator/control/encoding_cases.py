"""Machines of the control state as values: copied, told apart by a digest, each step of one worked out once.

Many states of a case differ in one machine only, so a machine's answer to an input is looked up far more
often than it is made.  Nothing is known here of what a member is made of but that it is plain data.
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

UNIT: Final = 500_000  # us; a step of the clock
ATOMS = (int, str, bytes, bool, float, type(None))
LONG = 100 * UNIT  # no time is drawn that long
LOSSES = 1  # machines that may be lost at a time
READING = -1  # number of the order by which is seen what a machine would read out


class Chance(random.Random):
    """Chance shifts times, and times are explored; what it tells apart stays apart.

    :param place: of the machine: each pauses a step longer than the one before
    :param life: how often it was started
    """

    def __init__(self, place: int, life: int) -> None:
        super().__init__(0)
        self.place = place
        self.incarnation = life

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        least, most = (0, start) if stop is None else (start, stop)
        told_apart = most - least > LONG  # else it is a pause
        return least + (self.place * UNIT + self.incarnation * told_apart) % (most - least)

    def random(self) -> float:
        return 0.5


@cache
def parts(kind: Any) -> tuple[str, ...]:
    """Names of what an object of the control state is made of; empty: of its `__dict__`."""
    if not kind.__module__.startswith(
        ("vetchusher.control", "vetchusher.events", "vetchusher.emulator.control.judge")
    ):
        raise TypeError(f"{kind} is not known to be plain data")
    return tuple(f.name for f in fields(kind)) if is_dataclass(kind) else ()


@cache
def never_changed(kind: Any) -> bool:
    """A state or message, once made, is never changed (`control.state`)."""
    if issubclass(kind, (*ATOMS, Message, Enum, Chance, Timing, Result)):
        return True
    return bool(is_dataclass(kind) and vars(kind)["__dataclass_params__"].frozen)


def clone(thing: Any, done: dict[int, Any] | None = None) -> Any:
    """A copy that shares what is never changed, and nothing else; what was one stays one."""
    kind: Any = type(thing)
    if never_changed(kind):
        return thing
    done = {} if done is None else done
    made = done.get(id(thing))
    if made is not None:
        return made
    if kind is tuple:
        return tuple([clone(v, done) for v in thing])
    if kind is dict:
        made = done[id(thing)] = {}
        for key, value in thing.items():
            made[key] = value if never_changed(value.__class__) else clone(value, done)
    elif kind in (list, deque, set):
        made = done[id(thing)] = kind(clone(v, done) for v in thing)
    else:
        made = done[id(thing)] = object.__new__(kind)
        for name in parts(kind) or thing.__dict__:
            value = getattr(thing, name)
            setattr(made, name, value if never_changed(value.__class__) else clone(value, done))
    return made


def frozen(thing: Any) -> Any:
    """Nested tuples that are equal where the things are."""
    kind: Any = type(thing)
    if kind in ATOMS:
        return thing
    if kind in (tuple, list, deque):
        return tuple([frozen(v) for v in thing])
    if kind is dict:
        return tuple(sorted([(frozen(k), frozen(v)) for k, v in thing.items()], key=repr))
    if kind in (set, frozenset):
        return tuple(sorted([frozen(v) for v in thing], key=repr))
    if isinstance(thing, Message):
        return thing.SerializeToString(deterministic=True)
    if isinstance(thing, (Chance, Timing)):
        return None  # the same in each life of a machine, and in all machines
    if isinstance(thing, (Enum, Result)):
        return str(thing)
    names = parts(kind) or sorted(thing.__dict__)
    return (kind.__name__, *[frozen(getattr(thing, name)) for name in names])


def digest(*things: Any) -> bytes:
    """Of 16 bytes: two among n states are taken for one with a chance of about n^2 / 2^129."""
    return blake3(marshal.dumps(frozen(things), 2)).digest(16)


@dataclass(slots=True, frozen=True)
class Cell:
    """One machine.

    :param place: 1, 2, ...; its ip is that as text
    :param member: None: it is down
    :param disk: what is synced on it
    :param saving: on its way there
    :param slow: by how much its clock is behind, us
    :param told: what it tells readers: stamp and version of what was committed, here or where it asked
    """

    place: int
    zone: str
    member: Replica | None = None
    incarnation: int = 0
    disk: PersistentState | None = None
    saving: Persist | None = None
    stopped: bool = False
    slow: int = 0
    sent_messages: tuple[StampTuple, int] = (ZERO_STAMP, 0)
    key: bytes = b""

    @property
    def ip(self) -> str:
        return str(self.place)


@dataclass(slots=True, frozen=True)
class Look:
    """What a machine would say if it were asked.

    :param in_force: version that it takes to be in force
    :param body: that it would read out
    """

    is_leader: bool = False
    is_primary: bool = False
    in_force: int | None = None
    body: bytes | None = None


class Cells:
    """It owns every machine state met, and what followed from each input; bounded by the states explored."""

    def __init__(self, seeds: tuple[str, ...], timing: Timing) -> None:
        self.seeds = seeds
        self.timing = timing
        self.known: dict[bytes, Cell] = {}
        self.steps: dict[tuple[bytes, int, Hashable], tuple[Cell, tuple[Output, ...]]] = {}
        self.looks: dict[tuple[bytes, int], Look] = {}

    def keep(self, cell: Cell) -> Cell:
        """The one object of all that are equal."""
        key = digest(*(getattr(cell, f.name) for f in fields(cell) if f.name != "key"))
        known = self.known.get(key)
        if known is None:
            known = self.known[key] = replace(cell, key=key)
        return known

    def start(self, cell: Cell, at: int, first: bool = False) -> Cell:
        life = cell.incarnation + 1
        settings = ReplicaSettings(cell.ip, cell.zone, self.seeds, first, self.timing, LOSSES)
        member = Replica(settings, cell.disk, Chance(cell.place - 1, life), at - cell.slow)
        return self.keep(replace(cell, member=member, incarnation=life, saving=None, stopped=False))

    def down(self, cell: Cell, landed: bool = False, wiped: bool = False) -> Cell:
        """:param landed: the save under way is on the disk"""
        disk = cell.saving.contents if landed and cell.saving is not None else cell.disk
        disk = None if wiped else disk
        return self.keep(
            replace(cell, member=None, saving=None, stopped=False, sent_messages=(ZERO_STAMP, 0), disk=disk)
        )

    def synced(self, cell: Cell, ok: bool) -> Cell:
        """The save under way has ended; the member is not told here."""
        assert cell.saving is not None
        return self.keep(replace(cell, saving=None, disk=cell.saving.contents if ok else cell.disk))

    def give(self, cell: Cell, at: int, event: Input, name: Hashable) -> tuple[Cell, tuple[Output, ...]]:
        """:param name: the same for equal inputs"""
        key = (cell.key, at, name)
        found = self.steps.get(key)
        if found is None:
            found = self.steps[key] = self.made(cell, at, event)
        return found

    def made(self, cell: Cell, at: int, event: Input) -> tuple[Cell, tuple[Output, ...]]:
        member = clone(cell.member)
        out = member.handle(at - cell.slow, event)
        saves = [o for o in out if isinstance(o, Persist)]
        assert len(saves) + (cell.saving is not None) <= 1, "two saves at once"
        told = max(
            [cell.sent_messages, *((at_(o.state), o.state.version) for o in out if isinstance(o, Committed))]
        )
        after = replace(cell, member=member, saving=saves[0] if saves else cell.saving, sent_messages=told)
        return self.keep(after), tuple(o for o in out if not isinstance(o, Persist))

    def tick(self, cell: Cell, at: int) -> tuple[Cell, tuple[Output, ...]]:
        return self.give(cell, at, Tick(), "tick")

    def look(self, cell: Cell, at: int) -> Look:
        if cell.member is None:
            return Look()
        key = (cell.key, at)
        found = self.looks.get(key)
        if found is None:
            found = self.looks[key] = self.looked(cell, at - cell.slow)
        return found

    def looked(self, cell: Cell, now: int) -> Look:
        member = cell.member
        assert member is not None
        holds, body = member.is_leader(now), None
        if member.primary_ip == cell.ip and not cell.stopped:
            out = clone(member).handle(now, Submitted(READING, RetrieveOrder()))
            body = next(
                (
                    o.outcome.unwrap()
                    for o in out
                    if isinstance(o, Completed) and o.order_id == READING and isinstance(o.outcome, Success)
                ),
                None,
            )
        in_force = (
            cell.sent_messages[1]
            if member.is_in_force(now, cell.sent_messages[0]) and not cell.stopped
            else None
        )
        return Look(holds, member.primary_ip == cell.ip, in_force, body)
