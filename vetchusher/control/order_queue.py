"""The orders that wait at a primary: reads, changes not yet begun, and the changes of the write in flight.

Each order is answered exactly once, within `Timing.order_timeout_us`: when what it asks for is committed or
refused, when its time is over, or when the primary gives up its epoch.  Times are microseconds of this
machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from returns.result import Failure, Result

from vetchusher.distribution.wire_pb2 import ControlState
from vetchusher.errors import Error, ErrorCode

from .messages import Completed, Order, Output, ReadOrder, Submitted, Timing
from .orders import Decision, KnownBodies, OrderBatch

MAX_PENDING_ORDERS = 256


@dataclass(slots=True)
class PendingOrder:
    """An order that has no answer yet."""

    order_id: int
    order: Order
    expires_at: int


class OrderQueue:
    """Owner of the pending orders, `MAX_PENDING_ORDERS` at most."""

    def __init__(self, timing: Timing) -> None:
        """Begin without orders."""
        self.timing = timing
        self.reads: list[PendingOrder] = []
        self.changes: list[PendingOrder] = []
        self.in_write: list[tuple[PendingOrder, Decision]] = []
        self.known_bodies: KnownBodies | None = None  # of the last batch that had a configuration

    def submit(self, now: int, submitted: Submitted) -> list[Output]:
        """Queue an order; beyond the bound it is answered as not committed."""
        if len(self.changes) + len(self.in_write) + len(self.reads) >= MAX_PENDING_ORDERS:
            fault = Error(ErrorCode.UNAVAILABLE, "too many orders wait")
            return [Completed(submitted.order_id, Failure(fault))]
        queue = self.reads if isinstance(submitted.order, ReadOrder) else self.changes
        expires_at = now + self.timing.order_timeout_us
        queue.append(PendingOrder(submitted.order_id, submitted.order, expires_at))
        return []

    def begin_batch(self, committed: ControlState) -> tuple[OrderBatch, list[Output]]:
        """Decide all changes that wait, in their order.

        :returns: the batch, whose state is to be written if it is another, and the answers that need no write
        """
        batch = OrderBatch(committed, self.known_bodies)
        pending, self.changes = self.changes, []
        outputs: list[Output] = []
        for one in pending:
            decision = batch.decide(one.order)
            if decision.needs_commit:
                self.in_write.append((one, decision))
            else:
                outputs += decision.outputs(one.order_id)
        self.known_bodies = batch.known_bodies()
        return batch, outputs

    def answer_reads(self, read: Callable[[Order], Result[bytes, Error]]) -> list[Output]:
        """Answer all reads.

        :param read: returns what is committed
        """
        reads, self.reads = self.reads, []
        return [Completed(one.order_id, read(one.order)) for one in reads]

    def answer_write(self) -> list[Output]:
        """Answer the changes of a write that is committed."""
        in_write, self.in_write = self.in_write, []
        return [output for one, decision in in_write for output in decision.outputs(one.order_id)]

    def answer_expired(self, now: int) -> list[Output]:
        """Answer the orders whose time is over: they may or may not be committed later."""
        expired = [one for one in self.pending() if now >= one.expires_at]
        if expired:
            self.reads = [one for one in self.reads if now < one.expires_at]
            self.changes = [one for one in self.changes if now < one.expires_at]
            self.in_write = [(one, decision) for one, decision in self.in_write if now < one.expires_at]
        return _not_committed(expired, "not on enough disks in time")

    def fail_all(self) -> list[Output]:
        """Answer every order: the primary gives up its epoch."""
        pending = self.pending()
        self.reads, self.changes, self.in_write = [], [], []
        return _not_committed(pending, "this machine is the primary no more")

    def pending(self) -> list[PendingOrder]:
        """Return all orders without an answer."""
        return [*self.reads, *self.changes, *(one for one, _ in self.in_write)]


def _not_committed(pending: Iterable[PendingOrder], text: str) -> list[Output]:
    return [Completed(one.order_id, Failure(Error(ErrorCode.UNAVAILABLE, text))) for one in pending]
