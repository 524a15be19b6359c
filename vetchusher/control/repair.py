"""Copies of the state on two disks compared by digests over ranges, and mended.

A backup asks its primary once a minute for the digest of the copy at the stamp that it holds itself.  Where
they differ it asks on, sixteen ranges at a time, and takes the rows of the leaves that differ: under a stamp
there is one state, and what the primary's majority holds is that one.  A copy of a lower stamp is left to the
ordinary write.  Beside that each machine looks through its own rows, a part at a time; what is not as it was
written is written again from what the process holds, which was checked when it came.

Pure: inputs and the time (us, steady clock) in, outputs out.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

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
from .state import START, Point, point, stamp
from .store import Copy, Scanned

BATCH = 16  # leaves asked for in one message


@dataclass(slots=True, frozen=True)
class Pace:
    """All in us.

    :param compare_us: between two comparisons: 150 bytes there and back for each backup on a calm day
    :param pass_us: least time of a pass through the rows on disk
    :param part_us: between two parts (`store.SCAN_BYTES`) of a pass: 3 MiB read a minute at most
    :param patience_us: for an answer; then the round is given up
    """

    compare_us: int = 60_000_000
    pass_us: int = 60_000_000
    part_us: int = 5_000_000
    patience_us: int = 3_000_000


# -- inputs, beside `Received` ------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Look:
    """Time has passed, and this is how the control state stands here.

    :param primary: its ip; empty: unknown
    :param leads: it is this machine, and its lease holds
    :param committed: the stamp of what is committed
    :param copy: of what is on the disk; None: this machine has no copy
    :param written: how often all that lies there was written (`Copy.written`); None: nothing does
    """

    primary: str
    leads: bool
    committed: Point
    copy: Copy | None
    written: int | None


@dataclass(slots=True, frozen=True)
class Fetched:
    """What a `Fetch` found.

    :param rows: None: the copy has another stamp by now, or one of the rows is spoilt
    """

    fetch: Fetch
    rows: dict[str, bytes] | None


# -- outputs, beside `Send` and `LogEvent` -------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Scan:
    """Look at the next part of the rows on disk; answered by `Scanned`."""


@dataclass(slots=True, frozen=True)
class Fetch:
    """Rows of those leaves, from the disk; answered by `Fetched`."""

    to: str
    round: int
    at: Point
    leaves: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Rewrite:
    """Write all that the process holds again."""


@dataclass(slots=True, frozen=True)
class Mend:
    """Put the copy of that stamp together anew: in those leaves these rows, elsewhere its own.  It counts
    only if it has that root."""

    at: Point
    leaves: tuple[int, ...]
    rows: dict[str, bytes]
    root: bytes


Input = Look | Received | Scanned | Fetched
Output = Send | LogEvent | Scan | Fetch | Rewrite | Mend


@dataclass(slots=True)
class Round:
    """One comparison with one other copy."""

    number: int
    other: str
    at: Point
    until: int
    level: int = 0
    root: bytes = b""  # the other's
    leaves: tuple[int, ...] = ()  # that differ
    rows: dict[str, bytes] = field(default_factory=dict)  # of those that have been told
    told: int = 0  # leaves


class Repair:
    """It owns the round under way, one at most, and what is known of the own rows."""

    def __init__(self, me: str, pace: Pace, rng: random.Random, now: int) -> None:
        self.me, self.pace, self.rng = me, pace, rng
        self.look = Look("", False, START, None, None)
        self.compare_at = now + rng.randrange(1, pace.compare_us)
        self.scan_at = self.pass_at = now + rng.randrange(1, pace.part_us)
        self.scanning = False
        self.doubted: int | None = None  # of which writing (`Copy.written`) a row was found spoilt
        self.round: Round | None = None
        self.rounds = rng.randrange(1, 1 << 32)

    @property
    def sound(self) -> bool:
        return self.doubted is None

    def handle(self, now: int, event: Input) -> list[Output]:
        match event:
            case Look():
                return self.tick(now, event)
            case Scanned():
                return self.scanned(now, event)
            case Fetched():
                return self.fetched(event)
            case Received():
                return self.heard(now, event)

    # -- time ----------------------------------------------------------------------------------

    def tick(self, now: int, look: Look) -> list[Output]:
        self.look = look
        out: list[Output] = []
        copy = look.copy
        if look.written is not None and self.doubted is not None and look.written > self.doubted:
            self.doubted = None
            out.append(LogEvent(Event.ROWS_MENDED, {"written": look.written}))
        if self.round is not None and now >= self.round.until:
            self.round = None
        if look.written is not None and not self.scanning and now >= self.scan_at:
            self.scanning = True
            out.append(Scan())
        if now >= self.compare_at and self.round is None and copy is not None:
            self.compare_at = now + self.pace.compare_us
            if look.primary and look.primary != self.me:
                self.rounds += 1
                self.round = Round(self.rounds, look.primary, copy.stamp, now + self.pace.patience_us)
                out.append(self.ask(self.round, ()))
        return out

    def scanned(self, now: int, found: Scanned) -> list[Output]:
        self.scanning = False
        self.scan_at = now + self.pace.part_us
        if found.whole:
            self.scan_at = max(self.scan_at, self.pass_at + self.pace.pass_us)
            self.pass_at = self.scan_at
        if not found.bad or self.look.written is None:
            return []
        self.doubted = self.look.written
        self.compare_at = now  # what is written again is compared with the primary's at once
        return [LogEvent(Event.ROWS_SPOILT, {"rows": "; ".join(found.bad)}), Rewrite()]

    # -- asking --------------------------------------------------------------------------------

    def ask(self, round_: Round, ranges: tuple[int, ...]) -> Send:
        message = Compare(round=round_.number, stamp=stamp(round_.at), level=round_.level, ranges=ranges)
        return Send(round_.other, ControlMessage(compare=message))

    def heard(self, now: int, event: Received) -> list[Output]:
        message, sender = event.message, event.sender
        match message.WhichOneof("kind"):
            case "compare":
                return [self.answer(sender, message.compare)]
            case "rows_asked":
                asked = message.rows_asked
                leaves = tuple(leaf for leaf in asked.leaves[:BATCH] if leaf < LEAVES)
                return [Fetch(sender, asked.round, point(asked.stamp), leaves)]
            case "compared":
                return self.compared(now, sender, message.compared)
            case "rows_told":
                return self.rows_told(now, sender, message.rows_told)
        return []

    def under_way(self, sender: str, number: int, at: Point) -> tuple[Round, Copy] | None:
        """The round that a message belongs to, and the own copy, while both stand at one stamp.

        Danger: of two copies of unlike stamps neither disproves the other.
        """
        round_, copy = self.round, self.look.copy
        if round_ is None or copy is None or (sender, number) != (round_.other, round_.number):
            return None
        if not at == round_.at == copy.stamp:
            self.round = None
            return None
        return round_, copy

    def compared(self, now: int, sender: str, answer: Compared) -> list[Output]:
        found = self.under_way(sender, answer.round, point(answer.stamp))
        if found is None or answer.level != found[0].level:
            return []
        round_, copy = found
        told = {each.range: each.digest for each in answer.ranges}
        if round_.level == 0:
            round_.root = told.get(0, b"")
        differing = tuple(copy.tree.differing(round_.level, told))
        if not differing or not self.right(answer):
            self.round = None
            return []
        out: list[Output] = []
        if round_.level == 0:
            out.append(LogEvent(Event.COPIES_DIFFER, {"with": sender, "stamp": copy.stamp}))
        round_.until = now + self.pace.patience_us
        if round_.level < DEPTH:
            round_.level += 1
            return [*out, self.ask(round_, differing)]
        round_.leaves = differing
        return [*out, self.ask_rows(round_)]

    def right(self, answer: Compared) -> bool:
        """Both are as they were written: the one that is committed is right, or nobody knows."""
        return answer.sound and answer.committed

    def ask_rows(self, round_: Round) -> Send:
        leaves = round_.leaves[round_.told : round_.told + BATCH]
        asked = RowsAsked(round=round_.number, stamp=stamp(round_.at), leaves=leaves)
        return Send(round_.other, ControlMessage(rows_asked=asked))

    def rows_told(self, now: int, sender: str, told: RowsTold) -> list[Output]:
        found = self.under_way(sender, told.round, point(told.stamp))
        if found is None or not found[0].leaves:
            return []
        round_, _ = found
        if not told.whole:
            self.round = None
            return []
        round_.rows |= {row.key: row.value for row in told.rows}
        round_.told += BATCH
        round_.until = now + self.pace.patience_us
        if round_.told < len(round_.leaves):
            return [self.ask_rows(round_)]
        self.round = None
        return [Mend(round_.at, round_.leaves, round_.rows, round_.root)]

    # -- answering -----------------------------------------------------------------------------

    def answer(self, sender: str, asked: Compare) -> Send:
        copy = self.look.copy
        answer = Compared(round=asked.round, level=asked.level, sound=self.sound)
        if copy is not None:
            answer.stamp.CopyFrom(stamp(copy.stamp))
            answer.committed = self.look.leads and self.look.committed == copy.stamp
            if copy.stamp == point(asked.stamp):
                told = copy.tree.told(asked.level, asked.ranges[:LEAVES])
                answer.ranges.extend(RangeDigest(range=n, digest=value) for n, value in told.items())
        return Send(sender, ControlMessage(compared=answer))

    def fetched(self, found: Fetched) -> list[Output]:
        fetch, rows = found.fetch, found.rows
        told = RowsTold(round=fetch.round, stamp=stamp(fetch.at), whole=rows is not None and self.sound)
        if rows is not None and self.sound:
            told.rows.extend(Row(key=key, value=value) for key, value in rows.items())
        return [Send(fetch.to, ControlMessage(rows_told=told))]
