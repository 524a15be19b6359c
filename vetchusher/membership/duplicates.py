"""Member numbers that two processes use: briefly during an upgrade; if it lasts, a configuration error."""

from __future__ import annotations

from .rules import MembershipTiming

REPORT_PERIODS = 5  # for which a number that an older process answered for is reported to others
KEEP_PERIODS = 4 * REPORT_PERIODS  # longer than it is reported: in a large cluster a member is probed seldom


class DuplicateNumbers:
    """Holds what is known about numbers that two processes use.

    `seen` has for each number when an older process of it first and last answered; an entry is removed
    `KEEP_PERIODS` after the last time.  The own number is tracked separately.
    """

    def __init__(self, rules: MembershipTiming) -> None:
        """Create the table with no duplicate known."""
        self.rules = rules
        self.seen: dict[int, tuple[int, int]] = {}
        self.own_since = self.own_seen_at = -1
        self.own_reported = False  # whether the log says that the own number is used twice

    def add(self, now: int, number: int, at: int) -> None:
        """Record that an older process of this number answered at `at`, here or at another member."""
        if now - at <= REPORT_PERIODS * self.rules.period_us:
            since, last = self.seen.get(number, (at, at))
            self.seen[number] = (since, max(at, last))

    def newest(self, now: int) -> tuple[int, int] | None:
        """Return the duplicate to report to others: its number and how long ago it answered (ms), or None."""
        if not self.seen:
            return None
        number, (_, at) = max(self.seen.items(), key=lambda duplicate: duplicate[1][1])
        return (number, (now - at) // 1000) if now - at <= REPORT_PERIODS * self.rules.period_us else None

    def answered_by_older(self, now: int) -> set[int]:
        """Return the numbers for which an older process has answered for longer than an upgrade takes.

        The newer process may have died: only messages of its own show that it is alive.
        """
        return {n for n, (since, _) in self.seen.items() if now - since > self.rules.upgrade_us}

    def own_seen(self, now: int) -> bool:
        """Record that another process has this number.

        Returns True once, when it has lasted for longer than an upgrade takes.
        """
        if self.own_since < 0:
            self.own_since = now
        self.own_seen_at = now
        if self.own_reported or now - self.own_since <= self.rules.upgrade_us:
            return False
        self.own_reported = True
        return True

    def own_is_duplicate(self, now: int) -> bool:
        """Whether answers meant for this process may go to another process of its number."""
        return self.own_seen_at >= 0 and now - self.own_seen_at < REPORT_PERIODS * self.rules.period_us

    def sweep(self, now: int) -> None:
        """Remove outdated entries."""
        period = self.rules.period_us
        for number in [n for n, (_, at) in self.seen.items() if now - at > KEEP_PERIODS * period]:
            del self.seen[number]
        if self.own_seen_at >= 0 and now - self.own_seen_at > 2 * REPORT_PERIODS * period:
            self.own_seen_at = self.own_since = -1
            self.own_reported = False
