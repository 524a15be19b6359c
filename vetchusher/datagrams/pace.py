"""The clock by which leases are counted: the machine's monotonic one, and in tests one that runs wrong."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Pace:
    """Microseconds of a clock that runs at `rate` times the machine's, from the moment `origin_ns` on.

    Only tests set a rate: it shows what a clock that runs fast or slow does to leases.
    """

    origin_ns: int
    rate: float = 1.0

    def now(self, machine_ns: int) -> int:
        return (self.origin_ns + int((machine_ns - self.origin_ns) * self.rate)) // 1000

    def machine_ns(self, now: int) -> int:
        """The same moment on the machine's clock, for the log."""
        return self.origin_ns + int((now * 1000 - self.origin_ns) / self.rate)
