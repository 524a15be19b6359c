"""Which orders one write takes, and how each is answered: one version, one body, one answer.

A configuration's version names the bytes of one body. The same bytes under it are acknowledged again. Other
bytes are rejected, but only by what is committed, or together with the commit that makes it so. The
invariant, proved in docs/design/control-orders.md: a body that was acknowledged is never rejected afterwards,
and of several bodies that were in flight together under one version one is acknowledged.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from blake3 import blake3
from returns.result import Failure, Result

from vetchusher.distribution.wire_pb2 import ControlState
from vetchusher.errors import Error
from vetchusher.events import Event, LogEvent

from .messages import Completed, Order, Output, ReplaceOrder
from .state import apply_order, version_conflict

DIGEST_BYTES = 16
LOGGED_BYTES = 4  # of a digest, in the log


def digest(body: bytes) -> bytes:
    """Return the digest of a configuration's body; 16 bytes."""
    return blake3(body).digest(DIGEST_BYTES)


@dataclass(slots=True, frozen=True)
class KnownBodies:
    """Which body has each version, as far as one batch knows.

    :param committed_version: what was committed as the batch began; of lower versions nothing is known
    :param digests: by version: of what was committed then, and of each order since; no more of them than
        orders may wait at once, and one
    """

    committed_version: int
    digests: Mapping[int, bytes]


@dataclass(slots=True, frozen=True)
class Decision:
    """The outcome of one order.

    :param needs_commit: the outcome may be reported only once the write of the batch is committed
    :param event: to be logged when it is reported
    """

    outcome: Result[bytes, Error]
    needs_commit: bool
    event: LogEvent | None = None

    def outputs(self, order_id: int) -> list[Output]:
        """Return the answer to the caller's order, and the event."""
        outputs: list[Output] = [Completed(order_id, self.outcome)]
        return outputs if self.event is None else [self.event, *outputs]


class OrderBatch:
    """The orders of one write, decided one after the other; owner of the state that they lead to."""

    def __init__(self, committed: ControlState, previous: KnownBodies | None) -> None:
        """Begin a batch.

        :param committed: the committed state
        :param previous: what the last batch of this epoch knew; its write is committed. Orders that came
            while that write was in flight are decided here
        """
        self.committed = self.state = committed
        self.previous = previous or KnownBodies(committed.version, {})
        self.digests: dict[int, bytes] = {}

    def decide(self, order: Order) -> Decision:
        """Decide one order."""
        if isinstance(order, ReplaceOrder):
            return self.decide_replace(order)
        # Safety: what is done already may be done only by the write, which is not committed yet; what is
        # rejected by the committed state needs no write.
        before = self.state
        outcome = self.apply(order)
        needs_commit = before is not self.committed or self.state is not self.committed
        return Decision(outcome, needs_commit)

    def decide_replace(self, order: ReplaceOrder) -> Decision:
        """Decide the replacement of the configuration."""
        if self.committed.version not in self.digests:
            self.digests[self.committed.version] = digest(self.committed.configuration)
        version, sent_digest = order.version, digest(order.body)
        # Safety: what this batch gives a number to is not committed yet, and another body may yet have it.
        needs_commit = version > self.committed.version
        known_digest = self.previous.digests.get(version) or self.digests.get(version) or sent_digest
        if known_digest != sent_digest:
            return Decision(
                Failure(version_conflict(version)),
                needs_commit,
                conflict_event(version, known_digest, sent_digest),
            )
        # Safety: of a number below, another body may have been acknowledged, which may not be refused now.
        if version > self.previous.committed_version:
            self.digests[version] = sent_digest
        return Decision(self.apply(order), needs_commit)

    def apply(self, order: Order) -> Result[bytes, Error]:
        """Apply an order to the batch's state."""
        after = apply_order(self.state, order)
        self.state = after.value_or(self.state)
        return after.map(lambda _: b"")

    def known_bodies(self) -> KnownBodies:
        """Return what the next batch has to know; a batch without configurations changes none of it."""
        return KnownBodies(self.committed.version, self.digests) if self.digests else self.previous


def conflict_event(version: int, known_digest: bytes, refused_digest: bytes) -> LogEvent:
    """Return the log event of a version that two bodies claim."""
    facts = {
        "version": version,
        "taken": known_digest[:LOGGED_BYTES].hex(),
        "refused": refused_digest[:LOGGED_BYTES].hex(),
    }
    return LogEvent(Event.VERSION_CONFLICT, facts)
