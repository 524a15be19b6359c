"""Check the forwarded requests of a run against the quotas, by a token bucket that sees every request."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import fmean

from .demand import Request, Tenant


@dataclass(slots=True)
class TenantRecord:
    """One tenant's requests in order of time, and whether each was forwarded."""

    firm: Tenant
    requests: list[tuple[int, bool, float]] = field(default_factory=list)  # time (us), forwarded, units

    def overspend(self) -> float:
        """Return the most units by which the forwarded ones of any interval exceed burst + rate x interval.

        This is how far a token bucket goes below zero that starts full and never rejects.
        """
        plan, level, lowest_level, previous_at = self.firm.plan, 0.0, 0.0, 0
        level = plan.burst
        for at, is_forwarded, units in self.requests:
            level = min(plan.burst, level + (at - previous_at) * plan.rate / 1e6)
            previous_at = at
            if is_forwarded:
                level -= units
                lowest_level = min(lowest_level, level)
        return -lowest_level

    def within_quota(self) -> list[bool]:
        """Return for each request whether a token bucket that rejects the excess would have admitted it."""
        plan, previous_at, admitted = self.firm.plan, 0, []
        level = plan.burst
        for at, _, units in self.requests:
            level = min(plan.burst, level + (at - previous_at) * plan.rate / 1e6)
            previous_at = at
            admitted.append(level >= units)
            level -= units * admitted[-1]
        return admitted

    def load_ratio(self, duration_us: int) -> float:
        """Return the requested units as a ratio of what the rate allows in `duration_us`."""
        return sum(units for _, _, units in self.requests) / (self.firm.plan.rate * duration_us / 1e6)


@dataclass(slots=True, frozen=True)
class Findings:
    """The result of an audit.  Overspends are ratios of a tenant's allowance for one minute."""

    worst: float  # of tenants whose excess costs more than it earns
    max_free_overspend: float  # of the other tenants
    mean: float  # of tenants whose excess costs more than it earns
    heavy_sent: float  # at a load of 2 or more: forwarded requests over those within the quota
    light_lost: float  # at a load below 0.5: ratio of requests within the quota that were not forwarded


class Audit:
    """The records of all tenants of one run."""

    def __init__(self, tenants: list[Tenant]) -> None:
        """Create an empty record for each tenant."""
        self.records = {tenant.customer: TenantRecord(tenant) for tenant in tenants}

    def record(self, request: Request, is_forwarded: bool) -> None:
        """Add one request with its decision."""
        self.records[request.firm.customer].requests.append((request.at, is_forwarded, request.final_units))

    def findings(self, duration_us: int) -> Findings:
        """Return the figures of a run that took `duration_us`."""
        costly, free, heavy_ratios, light_rejected, light_within = (
            [0.0],
            [0.0],
            [],
            0,
            0,
        )
        for record in self.records.values():
            plan = record.firm.plan
            overspend_ratio = record.overspend() / (plan.rate * 60.0)
            (costly if plan.over_cost > plan.over_value else free).append(overspend_ratio)
            if plan.over_cost <= plan.over_value:
                continue
            within_quota = record.within_quota()
            if record.load_ratio(duration_us) >= 2.0:
                heavy_ratios.append(
                    sum(is_forwarded for _, is_forwarded, _ in record.requests) / max(1, sum(within_quota))
                )
            elif record.load_ratio(duration_us) < 0.5:
                light_within += sum(within_quota)
                decisions = zip(within_quota, record.requests, strict=True)
                light_rejected += sum(
                    is_within and not is_forwarded for is_within, (_, is_forwarded, _) in decisions
                )
        return Findings(
            max(costly),
            max(free),
            fmean(costly),
            fmean(heavy_ratios) if heavy_ratios else 1.0,
            light_rejected / max(1, light_within),
        )
