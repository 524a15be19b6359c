"""Anti-entropy: copies on two disks are compared by digests over ranges, and repaired.

A backup asks its primary once a minute for the digest of the copy at the stamp that it holds itself. Where
they differ it asks on, sixteen ranges at a time, and takes the rows of the leaves that differ: under a stamp
there is one state, and what the primary's majority holds is that one. A copy of a lower stamp is left to the
ordinary write. Beside that each machine scans its own rows, a few at a time; a damaged one is written again
from what the process holds, which was checked when it came.

Pure: inputs and the time (us, steady clock) in, outputs out.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher.distribution.stamps import ZERO_STAMP, StampTuple, stamp_message, stamp_tuple
from vetchusher.distribution.wire_pb2 import (
    Compare,
    Compared,
    ControlMessage,
    RangeDigest,
    Row,
    RowsAsked,
    RowsTold,
)
from vetchusher.events import Event, LogEvent

from .digests import DEPTH, LEAVES
from .messages import Received, Send
from .stored_rows import ScanResult, StoredCopy

MAX_LEAVES_PER_REQUEST = 16  # leaves asked for in one message


@dataclass(slots=True, frozen=True)
class RepairTiming:
    """Durations of comparison and scan, all in microseconds.

    :param comparison_interval_us: between two comparisons: 150 bytes there and back for each backup on a calm
        day
    :param scan_pass_us: least time of a pass through the rows on disk
    :param scan_interval_us: between two steps (`stored_rows.SCAN_STEP_BYTES`) of a pass: 3 MiB read a minute
        at most
    :param reply_timeout_us: for a reply; then the comparison is given up
    """

    comparison_interval_us: int = 60_000_000
    scan_pass_us: int = 60_000_000
    scan_interval_us: int = 5_000_000
    reply_timeout_us: int = 3_000_000


# -- inputs, beside `Received` ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """Time has passed, and this is the state of the replica.

    :param primary: its address; empty: unknown
    :param is_leader: it is this machine, and its lease is valid
    :param committed: the stamp of what is committed
    :param copy: of what is on the disk; None: this machine has no copy
    :param generation: how often the whole disk was written (`StoredCopy.generation`); None: nothing was
    """

    primary: str
    is_leader: bool
    committed: StampTuple
    copy: StoredCopy | None
    generation: int | None


@dataclass(slots=True, frozen=True)
class RowsFetched:
    """The rows that a `FetchRows` asked for.

    :param rows: None: the copy has another stamp by now, or one of the rows is damaged
    """

    request: FetchRows
    rows: dict[str, bytes] | None


# -- outputs, beside `Send` and `LogEvent` -------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ScanRows:
    """Check the next few rows on disk; answered by `ScanResult`."""


@dataclass(slots=True, frozen=True)
class FetchRows:
    """Read the rows of some leaves from the disk for another machine; answered by `RowsFetched`."""

    to: str
    round: int
    stamp: StampTuple
    leaves: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class RewriteRows:
    """Write all that the process holds again."""


@dataclass(slots=True, frozen=True)
class RepairCopy:
    """Put the copy of a stamp together anew: these rows in these leaves, its own elsewhere.

    :param root: root digest that the result must have; another result is dropped
    """

    stamp: StampTuple
    leaves: tuple[int, ...]
    rows: dict[str, bytes]
    root: bytes


Input = ReplicaStatus | Received | ScanResult | RowsFetched
Output = Send | LogEvent | ScanRows | FetchRows | RewriteRows | RepairCopy


@dataclass(slots=True)
class Comparison:
    """One comparison with another machine's copy.

    :param expires_at: when it is given up
    :param root: root digest of the other copy
    :param leaves: leaves that differ
    :param rows: rows received so far
    :param leaves_received: how many of the leaves they belong to
    """

    number: int
    peer: str
    stamp: StampTuple
    expires_at: int
    level: int = 0
    root: bytes = b""  # the other's
    leaves: tuple[int, ...] = ()  # that differ
    rows: dict[str, bytes] = field(default_factory=dict)  # of those that have been told
    leaves_received: int = 0  # leaves


class CopyRepair:
    """Owner of the comparison in flight, one at most, and of what is known of the own rows."""

    def __init__(self, me: str, timing: RepairTiming, rng: random.Random, now: int) -> None:
        """Begin with no row checked; first scan and comparison come at drawn times."""
        self.own_ip, self.timing, self.rng = me, timing, rng
        self.status = ReplicaStatus("", is_leader=False, committed=ZERO_STAMP, copy=None, generation=None)
        self.next_comparison_at = now + rng.randrange(1, timing.comparison_interval_us)
        self.next_scan_at = self.next_pass_at = now + rng.randrange(1, timing.scan_interval_us)
        self.is_scanning = False
        self.damaged_generation: int | None = None  # of which writing (`Copy.written`) a row was found spoilt
        self.comparison: Comparison | None = None
        self.last_comparison_number = rng.randrange(1, 1 << 32)

    @property
    def is_intact(self) -> bool:
        """Whether no damaged row is known on this disk."""
        return self.damaged_generation is None

    def handle(self, now: int, event: Input) -> list[Output]:
        """Take one input and return what is to be done."""
        match event:
            case ReplicaStatus():
                return self.on_status(now, event)
            case ScanResult():
                return self.on_scan_result(now, event)
            case RowsFetched():
                return self.on_rows_fetched(event)
            case Received():
                return self.on_message(now, event)

    # -- time ----------------------------------------------------------------------------------

    def on_status(self, now: int, status: ReplicaStatus) -> list[Output]:
        """Do what is due by time: a scan, a comparison, giving one up."""
        self.status = status
        out: list[Output] = []
        copy = status.copy
        if (
            status.generation is not None
            and self.damaged_generation is not None
            and status.generation > self.damaged_generation
        ):
            self.damaged_generation = None
            out.append(LogEvent(Event.ROWS_REWRITTEN, {"written": status.generation}))
        if self.comparison is not None and now >= self.comparison.expires_at:
            self.comparison = None
        if status.generation is not None and not self.is_scanning and now >= self.next_scan_at:
            self.is_scanning = True
            out.append(ScanRows())
        if now >= self.next_comparison_at and self.comparison is None and copy is not None:
            self.next_comparison_at = now + self.timing.comparison_interval_us
            if status.primary and status.primary != self.own_ip:
                self.last_comparison_number += 1
                self.comparison = Comparison(
                    self.last_comparison_number,
                    status.primary,
                    copy.stamp,
                    now + self.timing.reply_timeout_us,
                )
                out.append(self.request_digests(self.comparison, ()))
        return out

    def on_scan_result(self, now: int, result: ScanResult) -> list[Output]:
        """Take the result of a scan step; damaged rows are written again."""
        self.is_scanning = False
        self.next_scan_at = now + self.timing.scan_interval_us
        if result.pass_completed:
            self.next_scan_at = max(self.next_scan_at, self.next_pass_at + self.timing.scan_pass_us)
            self.next_pass_at = self.next_scan_at
        if not result.damaged or self.status.generation is None:
            return []
        self.damaged_generation = self.status.generation
        self.next_comparison_at = now  # what is written again is compared with the primary's at once
        return [LogEvent(Event.ROWS_DAMAGED, {"rows": "; ".join(result.damaged)}), RewriteRows()]

    # -- asking --------------------------------------------------------------------------------

    def request_digests(self, comparison: Comparison, ranges: tuple[int, ...]) -> Send:
        """Ask the other machine for its digests below some ranges."""
        message = Compare(
            round=comparison.number,
            stamp=stamp_message(comparison.stamp),
            level=comparison.level,
            ranges=ranges,
        )
        return Send(comparison.peer, ControlMessage(compare=message))

    def on_message(self, now: int, event: Received) -> list[Output]:
        """Take another machine's message about copies."""
        message, sender = event.message, event.sender
        match message.WhichOneof("kind"):
            case "compare":
                return [self.digest_reply(sender, message.compare)]
            case "rows_asked":
                request = message.rows_asked
                leaves = tuple(leaf for leaf in request.leaves[:MAX_LEAVES_PER_REQUEST] if leaf < LEAVES)
                return [FetchRows(sender, request.round, stamp_tuple(request.stamp), leaves)]
            case "compared":
                return self.on_digests(now, sender, message.compared)
            case "rows_told":
                return self.on_rows(now, sender, message.rows_told)
        return []

    def current_comparison(
        self, sender: str, number: int, stamp: StampTuple
    ) -> tuple[Comparison, StoredCopy] | None:
        """Return the comparison to which a message belongs, and the own copy; None: it belongs to none.

        Safety: of two copies with different stamps neither disproves the other.
        """
        comparison, copy = self.comparison, self.status.copy
        if comparison is None or copy is None or (sender, number) != (comparison.peer, comparison.number):
            return None
        if not stamp == comparison.stamp == copy.stamp:
            self.comparison = None
            return None
        return comparison, copy

    def on_digests(self, now: int, sender: str, reply: Compared) -> list[Output]:
        """Compare the other copy's digests, and ask on where they differ."""
        current = self.current_comparison(sender, reply.round, stamp_tuple(reply.stamp))
        if current is None or reply.level != current[0].level:
            return []
        comparison, copy = current
        digests = {each.range: each.digest for each in reply.ranges}
        if comparison.level == 0:
            comparison.root = digests.get(0, b"")
        differing = tuple(copy.tree.differing_ranges(comparison.level, digests))
        if not differing or not self.is_authoritative(reply):
            self.comparison = None
            return []
        out: list[Output] = []
        if comparison.level == 0:
            out.append(LogEvent(Event.COPIES_DIFFER, {"with": sender, "stamp": copy.stamp}))
        comparison.expires_at = now + self.timing.reply_timeout_us
        if comparison.level < DEPTH:
            comparison.level += 1
            return [*out, self.request_digests(comparison, differing)]
        comparison.leaves = differing
        return [*out, self.request_rows(comparison)]

    def is_authoritative(self, reply: Compared) -> bool:
        """Return whether the other copy is right where the two differ: it is intact, and committed."""
        return reply.sound and reply.committed

    def request_rows(self, comparison: Comparison) -> Send:
        """Ask for the rows of the next leaves that differ."""
        leaves = comparison.leaves[
            comparison.leaves_received : comparison.leaves_received + MAX_LEAVES_PER_REQUEST
        ]
        request = RowsAsked(round=comparison.number, stamp=stamp_message(comparison.stamp), leaves=leaves)
        return Send(comparison.peer, ControlMessage(rows_asked=request))

    def on_rows(self, now: int, sender: str, reply: RowsTold) -> list[Output]:
        """Take rows; with the last ones the copy is put together anew."""
        current = self.current_comparison(sender, reply.round, stamp_tuple(reply.stamp))
        if current is None or not current[0].leaves:
            return []
        comparison, _ = current
        if not reply.whole:
            self.comparison = None
            return []
        comparison.rows |= {row.key: row.value for row in reply.rows}
        comparison.leaves_received += MAX_LEAVES_PER_REQUEST
        comparison.expires_at = now + self.timing.reply_timeout_us
        if comparison.leaves_received < len(comparison.leaves):
            return [self.request_rows(comparison)]
        self.comparison = None
        return [RepairCopy(comparison.stamp, comparison.leaves, comparison.rows, comparison.root)]

    # -- answering -----------------------------------------------------------------------------

    def digest_reply(self, sender: str, request: Compare) -> Send:
        """Answer another machine's question for digests."""
        copy = self.status.copy
        reply = Compared(round=request.round, level=request.level, sound=self.is_intact)
        if copy is not None:
            reply.stamp.CopyFrom(stamp_message(copy.stamp))
            reply.committed = self.status.is_leader and self.status.committed == copy.stamp
            if copy.stamp == stamp_tuple(request.stamp):
                digests = copy.tree.range_digests(request.level, request.ranges[:LEAVES])
                reply.ranges.extend(RangeDigest(range=n, digest=value) for n, value in digests.items())
        return Send(sender, ControlMessage(compared=reply))

    def on_rows_fetched(self, fetched: RowsFetched) -> list[Output]:
        """Answer another machine's question for rows."""
        request, rows = fetched.request, fetched.rows
        reply = RowsTold(
            round=request.round, stamp=stamp_message(request.stamp), whole=rows is not None and self.is_intact
        )
        if rows is not None and self.is_intact:
            reply.rows.extend(Row(key=key, value=value) for key, value in rows.items())
        return [Send(request.to, ControlMessage(rows_told=reply))]
