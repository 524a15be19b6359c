"""The clock that leases are measured with: the machine's monotonic one, in tests running fast or slow."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LeaseClock:
    """A clock in us that has run at `rate` times the machine's pace since `origin_ns`.

    Only tests set a rate: it shows what a clock that runs fast or slow does to leases.

    :param origin_ns: a time of the machine's monotonic clock
    """

    origin_ns: int
    rate: float = 1.0

    def now(self, machine_ns: int) -> int:
        """Convert a time of the machine's clock (ns) to this clock (us)."""
        return (self.origin_ns + int((machine_ns - self.origin_ns) * self.rate)) // 1000

    def machine_ns(self, now: int) -> int:
        """Convert a time of this clock (us) to the machine's clock (ns), for the log."""
        return self.origin_ns + int((now * 1000 - self.origin_ns) / self.rate)
