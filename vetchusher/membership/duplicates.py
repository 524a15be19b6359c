"""Numbers that two processes use: an upgrade for a while, a mistake of configuration when it lasts."""

from __future__ import annotations

from .rules import Rules

REPORT_PERIODS = 5  # for which a number that an older process answered for is reported to others
KEEP_PERIODS = 4 * REPORT_PERIODS  # in a large cluster a member is probed seldom


class DuplicateNumbers:
    """Owner of what is known of them.

    `seen` has, by number, since when and when last an older process of it answered; an entry goes
    `KEEP_PERIODS` after the last time.  The own number is kept apart.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.seen: dict[int, tuple[int, int]] = {}
        self.own_since = self.own_at = -1
        self.own_reported = False  # that the own number is used twice, in the log

    def note(self, now: int, number: int, at: int) -> None:
        """An older process of this number answered at `at`, here or elsewhere."""
        if now - at <= REPORT_PERIODS * self.rules.period:
            since, last = self.seen.get(number, (at, at))
            self.seen[number] = (since, max(at, last))

    def newest(self, now: int) -> tuple[int, int] | None:
        """The one to report to others: number, and how long ago (ms)."""
        if not self.seen:
            return None
        number, (_, at) = max(self.seen.items(), key=lambda duplicate: duplicate[1][1])
        return (number, (now - at) // 1000) if now - at <= REPORT_PERIODS * self.rules.period else None

    def stand_ins(self, now: int) -> set[int]:
        """Numbers for which an older process has answered for longer than an upgrade takes: the newer one may
        have died, and must speak for itself."""
        return {n for n, (since, _) in self.seen.items() if now - since > self.rules.upgrade}

    def own_seen(self, now: int) -> bool:
        """This number has another process; true if that has just become a mistake."""
        if self.own_since < 0:
            self.own_since = now
        self.own_at = now
        if self.own_reported or now - self.own_since <= self.rules.upgrade:
            return False
        self.own_reported = True
        return True

    def beside(self, now: int) -> bool:
        """Whether half of what others answer may go to another process of this number."""
        return self.own_at >= 0 and now - self.own_at < REPORT_PERIODS * self.rules.period

    def sweep(self, now: int) -> None:
        period = self.rules.period
        for number in [n for n, (_, at) in self.seen.items() if now - at > KEEP_PERIODS * period]:
            del self.seen[number]
        if self.own_at >= 0 and now - self.own_at > 2 * REPORT_PERIODS * period:
            self.own_at = self.own_since = -1
            self.own_reported = False
