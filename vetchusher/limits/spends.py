"""Usage reported by other gateways, by tenant and rate limit window.

Only a gateway itself writes its sum, one per incarnation, and sums only grow.  Merging keeps the larger of
two sums, so duplicate and reordered messages count nothing twice.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_RECORDS = 16_384  # beyond that the least recently updated record is evicted
# Writers are the gateways of a tenant's set and the earlier incarnations of those restarted within a window.
MAX_WRITERS_PER_RECORD = 64

WindowKey = tuple[int, int]  # tenant number, window index
Writer = tuple[int, int]  # gateway index, incarnation


@dataclass(slots=True)
class UsageRecord:
    """Units that other gateways admitted for one tenant in one window."""

    expires_at: int  # us: from then on the window counts no longer
    units_by_writer: dict[Writer, float] = field(default_factory=dict)
    total: float = 0.0


class PeerUsage:
    """Reported usage of all tenants.

    A record is removed once its window counts no longer (`sweep`), or to stay within `max_records`.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        """Create an empty collection of at most `max_records` records."""
        self.max_records = max_records
        self.records: OrderedDict[WindowKey, UsageRecord] = OrderedDict()

    def merge(self, window_key: WindowKey, writer: Writer, units: float, expires_at: int) -> float:
        """Merge a writer's sum and return the new total of all writers for this tenant and window.

        :param expires_at: time (us) from which the window counts no longer
        """
        record = self.records.get(window_key)
        if record is None:
            if len(self.records) >= self.max_records:
                self.records.popitem(last=False)
            record = self.records[window_key] = UsageRecord(expires_at)
        else:
            self.records.move_to_end(window_key)
        known_units = record.units_by_writer.get(writer, 0.0)
        if units > known_units and (known_units or len(record.units_by_writer) < MAX_WRITERS_PER_RECORD):
            record.units_by_writer[writer] = units
            record.total += units - known_units
        return record.total

    def total(self, window_key: WindowKey) -> float:
        """Return the units that all writers reported for this tenant and window."""
        record = self.records.get(window_key)
        return record.total if record is not None else 0.0

    def units_of_earlier_incarnations(self, window_key: WindowKey, gateway: int, incarnation: int) -> float:
        """Return the units that a gateway reported under other incarnations than this one."""
        record = self.records.get(window_key)
        if record is None:
            return 0.0
        return sum(
            units
            for (writer_gateway, writer_incarnation), units in record.units_by_writer.items()
            if writer_gateway == gateway and writer_incarnation != incarnation
        )

    def sweep(self, now: int, max_checked: int = 8) -> None:
        """Check up to `max_checked` records and drop those that have expired."""
        for window_key in [key for key, _ in zip(self.records, range(max_checked), strict=False)]:
            if self.records[window_key].expires_at <= now:
                del self.records[window_key]
            else:
                self.records.move_to_end(window_key)
