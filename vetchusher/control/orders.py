"""Which orders one write takes, and how each is answered: one number, one body, one answer.

A configuration's number names the bytes of one body.  The same bytes under it are acknowledged again; other
bytes are refused, but only by what is committed, or together with the commit that makes it so.  The
invariant, proved in docs/design/control-orders.md: a body that was acknowledged is never refused afterwards,
and of several bodies that were under way together under one number one is acknowledged.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from blake3 import blake3
from returns.result import Failure, Result

from vetchusher.distribution.wire_pb2 import ControlState
from vetchusher.events import Event, LogEvent
from vetchusher.kinds import Fault

from .messages import Completed, Order, Output, Replace
from .state import conflict, ordered

DIGEST_BYTES = 16
LOGGED_BYTES = 4  # of a digest, in the log


def digest(body: bytes) -> bytes:
    return blake3(body).digest(DIGEST_BYTES)


@dataclass(slots=True, frozen=True)
class Numbers:
    """Which body has each number, as far as one batch knows.

    :param floor: what was committed as the batch began; of lower numbers nothing is known
    :param bodies: digests by number: of what was committed then, and of each order since; no more of them
        than orders may wait at once, and one
    """

    floor: int
    bodies: Mapping[int, bytes]


@dataclass(slots=True, frozen=True)
class Decision:
    """:param relies_on_write: the outcome may be told only once the write of the batch is committed
    :param event: to be logged when it is told
    """

    outcome: Result[bytes, Fault]
    relies_on_write: bool
    event: LogEvent | None = None

    def answer(self, number: int) -> list[Output]:
        """:param number: the caller's"""
        told: list[Output] = [Completed(number, self.outcome)]
        return told if self.event is None else [self.event, *told]


class OrderBatch:
    """The orders of one write, decided one after the other.  It owns the state that they lead to."""

    def __init__(self, held: ControlState, before: Numbers | None) -> None:
        """:param held: what is committed
        :param before: what the last batch of this epoch knew; its write is committed.  Orders that came while
            that was under way are decided here
        """
        self.held = self.state = held
        self.before = before or Numbers(held.version, {})
        self.bodies: dict[int, bytes] = {}

    def decide(self, order: Order) -> Decision:
        if isinstance(order, Replace):
            return self.replace(order)
        # Danger: what is done already may be done only by the write, which is not committed yet.
        relies_on_write = (
            self.state is not self.held or ordered(self.held, order).value_or(None) is not self.held
        )
        return Decision(self.carry_out(order), relies_on_write)

    def replace(self, order: Replace) -> Decision:
        if self.held.version not in self.bodies:
            self.bodies[self.held.version] = digest(self.held.configuration)
        number, sent = order.version, digest(order.body)
        # Danger: what this batch gives a number to is not committed yet, and another body may yet have it.
        relies_on_write = number > self.held.version
        taken = self.before.bodies.get(number) or self.bodies.get(number) or sent
        if taken != sent:
            return Decision(Failure(conflict(number)), relies_on_write, conflict_event(number, taken, sent))
        # Danger: of a number below, another body may have been acknowledged, which may not be refused now.
        if number > self.before.floor:
            self.bodies[number] = sent
        return Decision(self.carry_out(order), relies_on_write)

    def carry_out(self, order: Order) -> Result[bytes, Fault]:
        after = ordered(self.state, order)
        self.state = after.value_or(self.state)
        return after.map(lambda _: b"")

    def numbers(self) -> Numbers:
        """What the batch after this one has to know; a batch without configurations changes none of it."""
        return Numbers(self.held.version, self.bodies) if self.bodies else self.before


def conflict_event(number: int, taken: bytes, refused: bytes) -> LogEvent:
    told = {"version": number, "taken": taken[:LOGGED_BYTES].hex(), "refused": refused[:LOGGED_BYTES].hex()}
    return LogEvent(Event.ORDERS_CONFLICT, told)
