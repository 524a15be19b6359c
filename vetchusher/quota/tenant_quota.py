"""State of the quota coordinator: per tenant, per ingress, and per grant of a tenant's quota to an ingress.

Times are microseconds of the coordinator's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .windows import NEVER, QuotaShape, WindowCounts

# Unconfirmed answers to one ingress whose limits are kept, as it may have received any of them; the limits of
# older answers are merged.
MAX_UNCONFIRMED = 8


@dataclass(slots=True)
class QuotaGrant:
    """Report and grant of one incarnation of an ingress for one tenant.

    :param count: running count of the requests that it admitted
    :param limit: running count up to which it may admit
    :param has_report: False: it has reported nothing yet
    :param expires_at: until when the limit holds; NEVER: no grant holds
    :param unconfirmed: numbers of the answers that it has not confirmed, each with its limit
    :param recent_use: recently admitted requests, with exponentially decaying weights, as of `recent_use_at`
    """

    count: int
    limit: int
    has_report: bool = True
    expires_at: int = NEVER
    unconfirmed: list[tuple[int, int]] = field(default_factory=list)
    recent_use: float = 0.0
    recent_use_at: int = 0

    def remaining(self) -> int:
        """Return how many requests the ingress may still admit."""
        return max(0, self.limit - self.count)

    def set_limit(self, number: int, limit: int) -> None:
        """Add the limit of one more answer.

        Safety: an answer may be lost, so the highest of the limits that may be in force counts.

        :param number: number of the answer
        """
        if len(self.unconfirmed) >= MAX_UNCONFIRMED:
            (_, first), (second_number, second) = self.unconfirmed[:2]
            self.unconfirmed[:2] = [(second_number, max(first, second))]
        self.unconfirmed.append((number, limit))
        self.limit = max(sent_limit for _, sent_limit in self.unconfirmed)

    def confirm(self, number: int) -> None:
        """Drop the limits of the answers before a confirmed one: they no longer hold."""
        for position, (answer_number, _) in enumerate(self.unconfirmed):
            if answer_number == number:
                del self.unconfirmed[:position]
                self.limit = max(sent_limit for _, sent_limit in self.unconfirmed)
                return


@dataclass(slots=True)
class ReportingPeer:
    """One incarnation of an ingress, as known to the coordinator.

    :param began_at: start time of an incarnation that had received no answer from an earlier coordinator: the
        incarnation before it may have admitted requests that are not reported. NEVER: it had received one
    :param knows_coordinator: it has received an answer of this coordinator, so its first counts have arrived
    :param reserved_timeout_us: time beyond the report time-out for which its share of the rates was reserved
    :param grants: by tenant
    :param unconfirmed_tenants: tenants for which more than one limit may be in force
    """

    node: str
    incarnation: int
    last_contact_at: int
    began_at: int = NEVER
    knows_coordinator: bool = False
    reserved_timeout_us: float = 0.0
    grants: dict[str, QuotaGrant] = field(default_factory=dict)
    unconfirmed_tenants: set[str] = field(default_factory=set)


@dataclass(slots=True)
class TenantQuota:
    """State of one tenant's quota. Amounts are requests.

    :param available: content of the token bucket as of `refilled_at`; below 0: admitted in advance
    :param granted: what the valid limits of `active_grants` ingresses still allow
    :param recent_use: recently admitted requests, with exponentially decaying weights, as of `recent_use_at`
    :param reported_deficit: level of the previous coordinator's bucket, as ingresses reported it, if below 0
    :param is_exhausted: too little remains to let ingresses admit without a grant, so all get a limit
    :param expirations: expiry times of the grants in ascending order; renewed grants have later entries, too
    """

    shape: QuotaShape
    available: float
    refilled_at: int
    granted: int = 0
    active_grants: int = 0
    recent_use: float = 0.0
    recent_use_at: int = 0
    reported_deficit: float = 0.0
    reported_deficit_at: int = 0
    is_exhausted: bool = False
    exhausted_at: int = NEVER
    expirations: deque[tuple[int, ReportingPeer, QuotaGrant]] = field(default_factory=deque)
    windows: WindowCounts = field(default_factory=WindowCounts)
