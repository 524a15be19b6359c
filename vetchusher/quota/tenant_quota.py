"""What the quota coordinator keeps of one tenant, of one ingress, and of what the one may use of the other.

Times are microseconds of the coordinator's steady clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .windows import NEVER, QuotaShape, WindowCounts

MAX_UNCONFIRMED = 8  # answers of which one ingress may have received any


@dataclass(slots=True)
class QuotaGrant:
    """What one incarnation of an ingress has reported for one tenant, and what it may admit.

    :param count: running count of what it admitted
    :param limit: count up to which it may admit
    :param has_report: False: it has reported nothing yet
    :param expires_at: until when the limit holds
    :param unconfirmed: answers that it has not confirmed, each with its limit
    :param recent_use: requests lately, each counting less with time
    """

    count: int
    limit: int
    has_report: bool = True  # false: it has reported nothing yet
    expires_at: int = NEVER  # us until which the ceiling holds
    unconfirmed: list[tuple[int, int]] = field(
        default_factory=list
    )  # unconfirmed answers, each with its ceiling
    recent_use: float = 0.0
    recent_use_at: int = 0

    def remaining(self) -> int:
        """Return how many requests it may still admit."""
        return max(0, self.limit - self.count)

    def set_limit(self, number: int, limit: int) -> None:
        """Set the limit of one more answer.

        Safety: an answer may be lost, so the highest of the limits that may be in force counts.
        """
        if len(self.unconfirmed) >= MAX_UNCONFIRMED:
            (_, first), (number_kept, second) = self.unconfirmed[:2]
            self.unconfirmed[:2] = [(number_kept, max(first, second))]
        self.unconfirmed.append((number, limit))
        self.limit = max(sent_limit for _, sent_limit in self.unconfirmed)

    def confirm(self, number: int) -> None:
        """Take the confirmation of an answer: older limits no longer hold."""
        for position, (answer, _) in enumerate(self.unconfirmed):
            if answer == number:
                del self.unconfirmed[:position]
                self.limit = max(answer for _, answer in self.unconfirmed)
                return


@dataclass(slots=True)
class ReportingPeer:
    """One incarnation of an ingress.

    :param began_at: when it began, where it had heard no coordinator before this one: what ran on its machine
        before it may have admitted requests that nobody remembers.  NEVER: an earlier coordinator knew it
    :param knows_coordinator: it has answered this coordinator: its first counts are all here
    :param reserved_silence_us: of silence for which its share of the rates was held back
    :param unconfirmed_tenants: tenants with more than one limit that may be in force
    """

    node: str
    incarnation: int
    last_contact_at: int
    began_at: int = NEVER
    knows_coordinator: bool = False  # it knows this holder: its first counts are all here
    reserved_silence_us: float = 0.0  # us of silence for which its part of the rates was kept back
    grants: dict[str, QuotaGrant] = field(default_factory=dict)
    unconfirmed_tenants: set[str] = field(
        default_factory=set
    )  # tenants with more than one ceiling that may be in force


@dataclass(slots=True)
class TenantQuota:
    """One tenant's quota.

    :param available: requests in the store; below 0: admitted in advance
    :param granted: what valid limits still allow, over `active_grants` ingresses
    :param reported_deficit: below 0: what the previous coordinator had left, as ingresses reported it
    :param is_exhausted: too little is left for reserves without a grant: all ingresses get a limit
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
