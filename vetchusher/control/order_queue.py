"""The pending orders of a primary: reads, changes not yet written, and the changes of the write in flight.

Each order is answered exactly once, within `Timing.order_timeout_us`: when it is committed or rejected, when
it expires, or when the primary's epoch ends. Times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from returns.result import Failure, Result

from vetchusher.distribution.wire_pb2 import ControlState
from vetchusher.errors import Error, ErrorCode

from .messages import Completed, Order, Output, ReadOrder, Submitted, Timing
from .orders import Decision, KnownBodies, OrderBatch

MAX_PENDING_ORDERS = 256  # reads and changes together


@dataclass(slots=True)
class PendingOrder:
    """An order that has not been answered yet.

    :param order_id: chosen by the caller, and returned with the answer
    :param expires_at: time at which the order is answered as not committed
    """

    order_id: int
    order: Order
    expires_at: int


class OrderQueue:
    """The pending orders of one epoch, at most `MAX_PENDING_ORDERS`."""

    def __init__(self, timing: Timing) -> None:
        """Create an empty queue."""
        self.timing = timing
        self.reads: list[PendingOrder] = []
        self.changes: list[PendingOrder] = []
        self.in_flight: list[tuple[PendingOrder, Decision]] = []
        self.known_bodies: KnownBodies | None = None  # those of the last batch with a configuration

    def submit(self, now: int, submitted: Submitted) -> list[Output]:
        """Queue an order; if the queue is full, return an answer that rejects it."""
        if len(self.changes) + len(self.in_flight) + len(self.reads) >= MAX_PENDING_ORDERS:
            fault = Error(ErrorCode.UNAVAILABLE, "too many orders wait")
            return [Completed(submitted.order_id, Failure(fault))]
        queue = self.reads if isinstance(submitted.order, ReadOrder) else self.changes
        expires_at = now + self.timing.order_timeout_us
        queue.append(PendingOrder(submitted.order_id, submitted.order, expires_at))
        return []

    def begin_batch(self, committed: ControlState) -> tuple[OrderBatch, list[Output]]:
        """Decide all queued changes in order of arrival.

        :param committed: the committed state
        :returns: the batch, whose state has to be written if it differs from the committed one, and the
            answers that need no write
        """
        batch = OrderBatch(committed, self.known_bodies)
        pending, self.changes = self.changes, []
        outputs: list[Output] = []
        for change in pending:
            decision = batch.decide(change.order)
            if decision.needs_commit:
                self.in_flight.append((change, decision))
            else:
                outputs += decision.outputs(change.order_id)
        self.known_bodies = batch.known_bodies()
        return batch, outputs

    def answer_reads(self, read: Callable[[Order], Result[bytes, Error]]) -> list[Output]:
        """Answer all reads.

        :param read: returns what an order reads from the committed state, or an error
        """
        reads, self.reads = self.reads, []
        return [Completed(one.order_id, read(one.order)) for one in reads]

    def answer_write(self) -> list[Output]:
        """Answer the changes whose write has been committed."""
        in_flight, self.in_flight = self.in_flight, []
        return [output for one, decision in in_flight for output in decision.outputs(one.order_id)]

    def answer_expired(self, now: int) -> list[Output]:
        """Answer the orders that have expired; a change among them may still be committed later."""
        expired = [one for one in self.pending() if now >= one.expires_at]
        if expired:
            self.reads = [one for one in self.reads if now < one.expires_at]
            self.changes = [one for one in self.changes if now < one.expires_at]
            self.in_flight = [(one, decision) for one, decision in self.in_flight if now < one.expires_at]
        return _not_committed(expired, "not on enough disks in time")

    def fail_all(self) -> list[Output]:
        """Answer all orders as not committed, because the epoch of the primary ends."""
        pending = self.pending()
        self.reads, self.changes, self.in_flight = [], [], []
        return _not_committed(pending, "this machine is the primary no more")

    def pending(self) -> list[PendingOrder]:
        """Return all orders that have not been answered."""
        return [*self.reads, *self.changes, *(one for one, _ in self.in_flight)]


def _not_committed(pending: Iterable[PendingOrder], text: str) -> list[Output]:
    return [Completed(one.order_id, Failure(Error(ErrorCode.UNAVAILABLE, text))) for one in pending]
