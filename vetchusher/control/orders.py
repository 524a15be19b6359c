"""Decides the orders of one write and their answers, so that each configuration version has only one body.

A version of the configuration identifies the bytes of one body. An order that repeats those bytes is
acknowledged again; one with other bytes is rejected. The rejection depends only on a committed body, or is
reported only with the commit of the body that it depends on.

The invariant, proved in docs/design/control-orders.md: a body that was acknowledged is never rejected later,
and of several bodies that are in flight at the same time under one version, one is acknowledged.
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
LOGGED_DIGEST_BYTES = 4  # length of a digest in the log


def digest(body: bytes) -> bytes:
    """Return the digest of a configuration's body, `DIGEST_BYTES` long."""
    return blake3(body).digest(DIGEST_BYTES)


@dataclass(slots=True, frozen=True)
class KnownBodies:
    """The digests of the bodies of recent versions, as known to one batch.

    :param committed_version: the committed version when the batch began; lower versions are not known
    :param digests: digests by version, of the body committed when the batch began and of each order in the
        batch; at most one more than the number of orders that may be pending
    """

    committed_version: int
    digests: Mapping[int, bytes]


@dataclass(slots=True, frozen=True)
class Decision:
    """The outcome of one order.

    :param needs_commit: the outcome may be reported only after the write of the batch is committed
    :param event: the event to log when the outcome is reported
    """

    outcome: Result[bytes, Error]
    needs_commit: bool
    event: LogEvent | None = None

    def outputs(self, order_id: int) -> list[Output]:
        """Return the answer to the order, preceded by the log event if there is one."""
        outputs: list[Output] = [Completed(order_id, self.outcome)]
        return outputs if self.event is None else [self.event, *outputs]


class OrderBatch:
    """The orders of one write, decided one after the other, and the state that results from them."""

    def __init__(self, committed: ControlState, previous: KnownBodies | None) -> None:
        """Start a batch.

        :param committed: the committed state
        :param previous: the bodies known to the previous batch of this epoch, whose write is committed; this
            batch decides the orders that arrived while that write was in flight. None: no such batch
        """
        self.committed = self.state = committed
        self.previous = previous or KnownBodies(committed.version, {})
        self.digests: dict[int, bytes] = {}

    def decide(self, order: Order) -> Decision:
        """Apply one order and return its outcome."""
        if isinstance(order, ReplaceOrder):
            return self.decide_replace(order)
        # Safety: an outcome that depends on changes of this batch must not be reported before their write is
        # committed, even if this order itself changes nothing. An outcome that depends on the committed state
        # alone needs no write.
        before = self.state
        outcome = self.apply(order)
        needs_commit = before is not self.committed or self.state is not self.committed
        return Decision(outcome, needs_commit)

    def decide_replace(self, order: ReplaceOrder) -> Decision:
        """Apply one replacement of the configuration and return its outcome."""
        if self.committed.version not in self.digests:
            self.digests[self.committed.version] = digest(self.committed.configuration)
        version, sent_digest = order.version, digest(order.body)
        # Safety: a version that this batch assigns to a body is not committed yet. If the write is lost,
        # another body may be committed under it, so neither an acknowledgement nor a rejection would be
        # final.
        needs_commit = version > self.committed.version
        known_digest = self.previous.digests.get(version) or self.digests.get(version) or sent_digest
        if known_digest != sent_digest:
            return Decision(
                Failure(version_conflict(version)),
                needs_commit,
                conflict_event(version, known_digest, sent_digest),
            )
        # Safety: the digest of a lower version is not recorded: another body may have been acknowledged under
        # that version earlier, and repeating that order must not be rejected.
        if version > self.previous.committed_version:
            self.digests[version] = sent_digest
        return Decision(self.apply(order), needs_commit)

    def apply(self, order: Order) -> Result[bytes, Error]:
        """Apply an order to the state of the batch; the state stays the same if the order is rejected."""
        after = apply_order(self.state, order)
        self.state = after.value_or(self.state)
        return after.map(lambda _: b"")

    def known_bodies(self) -> KnownBodies:
        """Return the bodies for the next batch; those of the previous batch if this one had none."""
        return KnownBodies(self.committed.version, self.digests) if self.digests else self.previous


def conflict_event(version: int, known_digest: bytes, refused_digest: bytes) -> LogEvent:
    """Return the log event of an order whose version already has another body."""
    facts = {
        "version": version,
        "taken": known_digest[:LOGGED_DIGEST_BYTES].hex(),
        "refused": refused_digest[:LOGGED_DIGEST_BYTES].hex(),
    }
    return LogEvent(Event.VERSION_CONFLICT, facts)
