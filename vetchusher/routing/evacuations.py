"""The zones under evacuation, and the zones whose servers may be cold since their evacuation has ended."""

from __future__ import annotations

from collections.abc import Mapping

# After an evacuation ends, the zone's servers count as cold this much longer: the server list may take that
# long to state which of them are cold.
EVACUATION_END_LAG_US = 2_000_000


class Evacuations:
    """Owner of what an ingress knows of evacuations; bounded by the number of zones.

    All times are microseconds of one monotonic clock.
    """

    def __init__(self) -> None:
        """Start without knowing any zone."""
        self.zones: frozenset[str] = frozenset()  # under evacuation: their servers get no requests
        # By zone: number of the order that ended its last evacuation; None: nothing is known yet.
        self.ended_orders: dict[str, int] | None = None
        self.end_seen_at: dict[str, int] = {}  # by zone

    def update(self, now: int, zones: frozenset[str], ended: Mapping[str, int]) -> None:
        """Apply the newest orders.

        Safety: an ingress that was paused or disconnected may have missed a whole evacuation. An end counts
        from when its number is first seen, but for the ends that are known when this ingress starts.

        :param zones: the zones under evacuation
        :param ended: number of the order that ended a zone's last evacuation, by zone
        """
        if self.ended_orders is not None:
            known = self.ended_orders
            self.end_seen_at |= {zone: now for zone, order in ended.items() if known.get(zone) != order}
        self.ended_orders, self.zones = dict(ended), zones

    def may_be_cold(self, now: int, zone: str, cold_s: float) -> bool:
        """Return whether the servers of a zone may be cold since its evacuation has ended.

        :param cold_s: for how long servers of the service stay cold, in seconds
        """
        end_seen_at = self.end_seen_at.get(zone)
        return end_seen_at is not None and now < end_seen_at + int(cold_s * 1e6) + EVACUATION_END_LAG_US
