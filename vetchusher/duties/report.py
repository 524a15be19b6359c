"""The fleet's report: each period the holder of this duty collects the figures of all ingresses.

It delivers them to the sink as one record with its fencing token.  It requests the figures of all ingresses,
repeats that for those that have not answered, and closes the period at a stated time; the record names the
ingresses that have not reported by then.  The sink rejects lower tokens and periods that it has already, so
neither a hand-over nor a holder that wakes up late delivers a period twice.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

REQUEST, FIGURES = 16, 17  # topics
FIGURE_NAMES = ("passed", "dropped", "failed", "tries", "in_progress", "skipped")
_REQUEST = struct.Struct("<QQ")
_FIGURES = struct.Struct(f"<Q{len(FIGURE_NAMES)}Q")
REQUEST_RETRY_US = 150_000  # between two requests to ingresses that have not answered
CLOSE_DELAY_DIVISOR = 5  # a period is closed this part of its length after its end
MAX_CLOSE_DELAY_US = 1_000_000

Figures = tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Record:
    """One period's report.

    :param period: its number since the Unix epoch
    :param token: fencing token of the holder
    :param sums: the figures, summed over all ingresses that reported
    :param reported: how many ingresses reported
    :param missing: numbers of the ingresses that did not
    :param gap: periods just before it for which no record was delivered, as far as is known
    """

    period: int
    token: int
    sums: dict[str, int]
    reported: int
    missing: tuple[int, ...]
    gap: int = 0

    def to_dict(self) -> dict[str, object]:
        """Return the record as it is delivered."""
        return {
            "period": self.period,
            "token": self.token,
            "sums": self.sums,
            "reported": self.reported,
            "missing": list(self.missing),
            "gap": self.gap,
        }


def write_request(period: int, token: int) -> bytes:
    """Encode a request for the figures of a period."""
    return _REQUEST.pack(period, token)


def read_request(body: bytes) -> tuple[int, int] | None:
    """Decode a request to its period and token, or None if it is unreadable."""
    return _REQUEST.unpack(body) if len(body) == _REQUEST.size else None


def write_figures(period: int, figures: Figures) -> bytes:
    """Encode one ingress's figures."""
    return _FIGURES.pack(period, *figures)


def read_figures(body: bytes) -> tuple[int, Figures] | None:
    """Decode the period and one ingress's figures, or None if they are unreadable."""
    if len(body) != _FIGURES.size:
        return None
    period, *figures = _FIGURES.unpack(body)
    return period, tuple(figures)


@dataclass(slots=True)
class Collection:
    """The period that is being collected.

    :param closes_at: us of the holder's lease clock, like `retry_at`
    :param figures: by ingress
    """

    period: int
    token: int
    closes_at: int
    retry_at: int
    figures: dict[int, Figures] = field(default_factory=dict)


class Report:
    """Collects one period at a time at the holder.  Times are us of the holder's lease clock."""

    def __init__(self, number: int, members: int, period_s: int) -> None:
        """Create an idle report.

        :param number: the own member number
        :param members: size of the cluster
        """
        self.number, self.members, self.period_s = number, members, period_s
        self.collection: Collection | None = None
        self.last_period = -1  # that was closed here, or that the sink has
        self.last_record: Record | None = None
        self.rejected = 0  # records that the sink rejected

    def tick(
        self, now: int, wall_us: int, token: int | None, own: Figures
    ) -> tuple[list[int], Record | None]:
        """Return the ingresses to send a request to now, and the record to deliver if a period is closed.

        :param wall_us: the wall clock, which numbers the periods
        :param token: fencing token to act with now, or None if the duty is not held
        :param own: this ingress's figures
        """
        if token is None:
            self.collection = None
            return [], None
        period = wall_us // (self.period_s * 1_000_000) - 1  # the last complete one
        collection = self.collection
        if collection is None or collection.token != token:
            # Only the last complete period is collected, as its end is recent.  With an older one the holder
            # would be late for the next.
            if period <= self.last_period:
                return [], None
            closes = min(self.period_s * 1_000_000 // CLOSE_DELAY_DIVISOR, MAX_CLOSE_DELAY_US)
            collection = Collection(period, token, now + closes, now)
            self.collection = collection
        collection.figures[self.number] = own
        missing = [n for n in range(self.members) if n not in collection.figures]
        if not missing or now >= collection.closes_at:
            self.collection = None
            return [], self.close(collection, missing)
        if now < collection.retry_at:
            return [], None
        collection.retry_at = now + REQUEST_RETRY_US
        return missing, None

    def close(self, collection: Collection, missing: list[int]) -> Record:
        """Close a period, and return its record."""
        figures = list(collection.figures.values())
        sums = {name: sum(f[place] for f in figures) for place, name in enumerate(FIGURE_NAMES)}
        gap = max(0, collection.period - self.last_period - 1) if self.last_period >= 0 else 0
        self.last_period = collection.period
        self.last_record = Record(
            collection.period, collection.token, sums, len(figures), tuple(missing), gap
        )
        return self.last_record

    def receive_figures(self, sender: int, body: bytes) -> bool:
        """Process one ingress's figures.  Returns whether they were readable."""
        received = read_figures(body)
        if received is None or sender >= self.members:
            return False
        period, figures = received
        if self.collection is not None and period == self.collection.period:
            self.collection.figures[sender] = figures
        return True

    def delivered(self, period: int, known: int) -> None:
        """Process the sink's answer; a rejected record is not delivered again.

        :param period: the period that was delivered
        :param known: the highest period that the sink has
        """
        self.rejected += known != period
        self.last_period = max(self.last_period, known)
