"""The fleet's report: once a period the holder of this duty gathers the figures of all ingresses and delivers
one record with its token.

The holder calls on everybody, again on those that have not answered, and closes the period at a stated time;
whoever has not reported by then is named.  A sink refuses lower tokens and periods that it knows, so neither
a handing-on nor a holder that wakes late doubles one.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

CALL, FIGURES = 16, 17  # topics
NAMES = ("passed", "dropped", "failed", "tries", "in_progress", "skipped")
_CALL = struct.Struct("<QQ")
_FIGURES = struct.Struct(f"<Q{len(NAMES)}Q")
AGAIN_US = 150_000  # between two calls on those that are missing
CLOSED_PART = 5  # of a period: that long after its end it is closed
CLOSED_MOST_US = 1_000_000

Figures = tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Record:
    """One period's report.  `gap`: periods before it that no record was delivered for, as far as is known."""

    period: int
    token: int
    sums: dict[str, int]
    reported: int
    missing: tuple[int, ...]
    gap: int = 0

    def tree(self) -> dict[str, object]:
        return {
            "period": self.period,
            "token": self.token,
            "sums": self.sums,
            "reported": self.reported,
            "missing": list(self.missing),
            "gap": self.gap,
        }


def write_call(period: int, token: int) -> bytes:
    return _CALL.pack(period, token)


def read_call(body: bytes) -> tuple[int, int] | None:
    return _CALL.unpack(body) if len(body) == _CALL.size else None


def write_figures(period: int, figures: Figures) -> bytes:
    return _FIGURES.pack(period, *figures)


def read_figures(body: bytes) -> tuple[int, Figures] | None:
    if len(body) != _FIGURES.size:
        return None
    period, *figures = _FIGURES.unpack(body)
    return period, tuple(figures)


@dataclass(slots=True)
class Gathering:
    """The period that is being gathered: as many figures as there are ingresses."""

    period: int
    token: int
    closes_at: int
    again_at: int
    figures: dict[int, Figures] = field(default_factory=dict)


class Report:
    """The holder's part; it gathers one period at a time.  Times are us of the holder's lease clock."""

    def __init__(self, number: int, members: int, period_s: int) -> None:
        self.number, self.members, self.period_s = number, members, period_s
        self.gathering: Gathering | None = None
        self.done = -1  # the last period that was closed here, or that the sink knows
        self.last: Record | None = None
        self.refused = 0  # records that the sink refused

    def tick(
        self, now: int, wall_us: int, token: int | None, own: Figures
    ) -> tuple[list[int], Record | None]:
        """Whom to call on now, and the record to deliver, if a period is complete.

        :param token: to act with now, or nothing where the duty is not held
        """
        if token is None:
            self.gathering = None
            return [], None
        period = wall_us // (self.period_s * 1_000_000) - 1  # the last whole one
        gathering = self.gathering
        if gathering is None or gathering.token != token:
            # A period is taken up where its end is not long ago: else the next holder would be late with it.
            if period <= self.done:
                return [], None
            closes = min(self.period_s * 1_000_000 // CLOSED_PART, CLOSED_MOST_US)
            gathering = Gathering(period, token, now + closes, now)
            self.gathering = gathering
        gathering.figures[self.number] = own
        missing = [n for n in range(self.members) if n not in gathering.figures]
        if not missing or now >= gathering.closes_at:
            self.gathering = None
            return [], self.close(gathering, missing)
        if now < gathering.again_at:
            return [], None
        gathering.again_at = now + AGAIN_US
        return missing, None

    def close(self, gathering: Gathering, missing: list[int]) -> Record:
        figures = list(gathering.figures.values())
        sums = {name: sum(f[place] for f in figures) for place, name in enumerate(NAMES)}
        gap = max(0, gathering.period - self.done - 1) if self.done >= 0 else 0
        self.done = gathering.period
        self.last = Record(gathering.period, gathering.token, sums, len(figures), tuple(missing), gap)
        return self.last

    def heard(self, sender: int, body: bytes) -> bool:
        """Take in one ingress's figures; whether they could be read."""
        told = read_figures(body)
        if told is None or sender >= self.members:
            return False
        period, figures = told
        if self.gathering is not None and period == self.gathering.period:
            self.gathering.figures[sender] = figures
        return True

    def delivered(self, period: int, known: int) -> None:
        """The sink's word: the highest period it has; a refused record is not delivered again."""
        self.refused += known != period
        self.done = max(self.done, known)
