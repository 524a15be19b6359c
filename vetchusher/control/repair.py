"""Anti-entropy: copies on two disks are compared by digests over ranges of rows, and repaired.

Once a minute a backup requests from its primary the root digest of the copy at the stamp of its own copy. If
they differ, it requests the digests of the sixteen children of each differing range, level by level, and then
the rows of the leaves that differ. There is only one state for each stamp, and it is the one that the primary
has committed at a majority. A copy with an older stamp is not repaired, because replication replaces it.

In addition, each machine scans its own rows on disk, a few at a time. If a row is damaged, the process writes
everything again from memory, where the contents were verified when they arrived.

The module does no I/O: `CopyRepair.handle` takes inputs and the time, in microseconds of a steady clock, and
returns outputs.
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

MAX_LEAVES_PER_REQUEST = 16  # leaves whose rows are requested in one message


@dataclass(slots=True, frozen=True)
class RepairTiming:
    """Durations of comparisons and scans, all in microseconds.

    :param comparison_interval_us: time between two comparisons; each takes 150 bytes in both directions
        together for each backup while the copies are equal
    :param scan_pass_us: minimum duration of a pass through the rows on disk
    :param scan_interval_us: time between two steps (`stored_rows.SCAN_STEP_BYTES`) of a pass: 3 MiB are read
        per minute at most
    :param reply_timeout_us: time to wait for a reply before the comparison is abandoned
    """

    comparison_interval_us: int = 60_000_000
    scan_pass_us: int = 60_000_000
    scan_interval_us: int = 5_000_000
    reply_timeout_us: int = 3_000_000


# -- inputs, in addition to `Received` ----------------------------------------


@dataclass(slots=True, frozen=True)
class ReplicaStatus:
    """The current status of the replica; it is given at every tick.

    :param primary: address of the primary; empty: unknown
    :param is_leader: whether this machine is the primary and its lease is valid
    :param committed: stamp of the committed state
    :param copy: digests of the copy on disk; None: this machine has no copy
    :param generation: how often all rows were written (`StoredCopy.generation`); None: no row was written
    """

    primary: str
    is_leader: bool
    committed: StampTuple
    copy: StoredCopy | None
    generation: int | None


@dataclass(slots=True, frozen=True)
class RowsFetched:
    """The result of a `FetchRows`.

    :param rows: the rows by key; None: the copy has another stamp by now, or one of the rows is damaged
    """

    request: FetchRows
    rows: dict[str, bytes] | None


# -- outputs, in addition to `Send` and `LogEvent` ----------------------------------------


@dataclass(slots=True, frozen=True)
class ScanRows:
    """Run the next scan step on disk; the reply is a `ScanResult`."""


@dataclass(slots=True, frozen=True)
class FetchRows:
    """Read the rows of some leaves from the disk for another machine; the reply is a `RowsFetched`.

    :param to: address of the other machine
    :param round: number of the comparison at the other machine
    :param stamp: stamp that the copy must have
    """

    to: str
    round: int
    stamp: StampTuple
    leaves: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class RewriteRows:
    """Write all rows again from the process's memory."""


@dataclass(slots=True, frozen=True)
class RepairCopy:
    """Replace the rows of some leaves in the copy with this stamp, and store the result.

    :param rows: the new rows of these leaves, by key
    :param root: root digest that the result must have; otherwise it is dropped
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

    :param number: number of the comparison, by which replies are matched
    :param peer: address of the other machine
    :param stamp: stamp of both copies
    :param expires_at: when the comparison is abandoned
    :param level: level of the digest tree whose digests were requested last
    :param root: root digest of the other copy
    :param leaves: leaves that differ
    :param rows: rows received so far, by key
    :param leaves_received: number of leaves whose rows were received
    """

    number: int
    peer: str
    stamp: StampTuple
    expires_at: int
    level: int = 0
    root: bytes = b""
    leaves: tuple[int, ...] = ()
    rows: dict[str, bytes] = field(default_factory=dict)
    leaves_received: int = 0


class CopyRepair:
    """The comparison in flight, one at most, and the known damage of this machine's rows."""

    def __init__(self, own_ip: str, timing: RepairTiming, rng: random.Random, now: int) -> None:
        """Start without known damage; the first scan and the first comparison come at random times.

        :param own_ip: address of this machine
        """
        self.own_ip, self.timing, self.rng = own_ip, timing, rng
        self.status = ReplicaStatus("", is_leader=False, committed=ZERO_STAMP, copy=None, generation=None)
        self.next_comparison_at = now + rng.randrange(1, timing.comparison_interval_us)
        self.next_scan_at = self.next_pass_at = now + rng.randrange(1, timing.scan_interval_us)
        self.is_scanning = False
        # Generation (`StoredCopy.generation`) in which a damaged row was found; None: there is no such row.
        self.damaged_generation: int | None = None
        self.comparison: Comparison | None = None
        self.last_comparison_number = rng.randrange(1, 1 << 32)

    @property
    def is_intact(self) -> bool:
        """Whether no row on this machine's disk is known to be damaged."""
        return self.damaged_generation is None

    def handle(self, now: int, event: Input) -> list[Output]:
        """Handle one input and return the outputs to be carried out."""
        match event:
            case ReplicaStatus():
                return self.on_status(now, event)
            case ScanResult():
                return self.on_scan_result(now, event)
            case RowsFetched():
                return self.on_rows_fetched(event)
            case Received():
                return self.on_message(now, event)

    # -- timers --------------------------------------------------------------------------------

    def on_status(self, now: int, status: ReplicaStatus) -> list[Output]:
        """Start a scan step or a comparison if due, abandon a comparison that timed out, and log a repair."""
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
        """Handle the result of a scan step; if rows are damaged, all rows are written again."""
        self.is_scanning = False
        self.next_scan_at = now + self.timing.scan_interval_us
        if result.pass_completed:
            self.next_scan_at = max(self.next_scan_at, self.next_pass_at + self.timing.scan_pass_us)
            self.next_pass_at = self.next_scan_at
        if not result.damaged or self.status.generation is None:
            return []
        self.damaged_generation = self.status.generation
        self.next_comparison_at = now  # the rewritten copy is compared with the primary's at once
        return [LogEvent(Event.ROWS_DAMAGED, {"rows": "; ".join(result.damaged)}), RewriteRows()]

    # -- requests ------------------------------------------------------------------------------

    def request_digests(self, comparison: Comparison, ranges: tuple[int, ...]) -> Send:
        """Return the request for the other machine's digests at the comparison's level.

        :param ranges: ranges of the level above whose children are requested; empty at the root
        """
        message = Compare(
            round=comparison.number,
            stamp=stamp_message(comparison.stamp),
            level=comparison.level,
            ranges=ranges,
        )
        return Send(comparison.peer, ControlMessage(compare=message))

    def on_message(self, now: int, event: Received) -> list[Output]:
        """Handle a request or a reply of another machine; messages of other kinds are ignored."""
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
        """Return the comparison that a reply belongs to, and this machine's copy; None if there is none.

        Safety: only copies with the same stamp can be compared; if stamps differ, neither copy is wrong, and
        the comparison is abandoned.
        """
        comparison, copy = self.comparison, self.status.copy
        if comparison is None or copy is None or (sender, number) != (comparison.peer, comparison.number):
            return None
        if not stamp == comparison.stamp == copy.stamp:
            self.comparison = None
            return None
        return comparison, copy

    def on_digests(self, now: int, sender: str, reply: Compared) -> list[Output]:
        """Compare the other copy's digests, and request the next level or the rows where they differ."""
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
        """Return whether the other copy may replace rows of this one: it is intact and committed."""
        return reply.sound and reply.committed

    def request_rows(self, comparison: Comparison) -> Send:
        """Return the request for the rows of the next leaves that differ."""
        leaves = comparison.leaves[
            comparison.leaves_received : comparison.leaves_received + MAX_LEAVES_PER_REQUEST
        ]
        request = RowsAsked(round=comparison.number, stamp=stamp_message(comparison.stamp), leaves=leaves)
        return Send(comparison.peer, ControlMessage(rows_asked=request))

    def on_rows(self, now: int, sender: str, reply: RowsTold) -> list[Output]:
        """Take rows of the other copy; with the last ones, the own copy is repaired."""
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

    # -- replies -------------------------------------------------------------------------------

    def digest_reply(self, sender: str, request: Compare) -> Send:
        """Return the reply to another machine's request for digests.

        It has no digests if the copies have different stamps.
        """
        copy = self.status.copy
        reply = Compared(round=request.round, level=request.level, sound=self.is_intact)
        if copy is not None:
            reply.stamp.CopyFrom(stamp_message(copy.stamp))
            reply.committed = self.status.is_leader and self.status.committed == copy.stamp
            if copy.stamp == stamp_tuple(request.stamp):
                digests = copy.tree.range_digests(request.level, request.ranges[:LEAVES])
                reply.ranges.extend(
                    RangeDigest(range=number, digest=value) for number, value in digests.items()
                )
        return Send(sender, ControlMessage(compared=reply))

    def on_rows_fetched(self, fetched: RowsFetched) -> list[Output]:
        """Return the reply to another machine's request for rows; it has none if a row here is damaged."""
        request, rows = fetched.request, fetched.rows
        reply = RowsTold(
            round=request.round, stamp=stamp_message(request.stamp), whole=rows is not None and self.is_intact
        )
        if rows is not None and self.is_intact:
            reply.rows.extend(Row(key=key, value=value) for key, value in rows.items())
        return [Send(request.to, ControlMessage(rows_told=reply))]
