"""Baselines for tenant quotas: each of the two checks alone, a fixed split, and a central token bucket."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from vetchusher.distribution.wire_pb2 import Push
from vetchusher.quota.local_quota import LocalQuota, TenantUsage
from vetchusher.quota.windows import QuotaShape, quota_shape
from vetchusher.settings.configuration import Tenant

from .judge import BOUNDS
from .world import Ingress, Scene, World


class EstimateAlone(LocalQuota):
    """Admit whatever the sliding-window estimate admits, without the limit."""

    def refresh_limit(self, now: int, usage: TenantUsage) -> None:
        """Set a limit that the estimate reaches first."""
        usage.limit = usage.count + usage.shape.limit


class GuardAlone(LocalQuota):
    """Admit whatever the limits admit, without the estimate."""

    def estimate_limit(self, usage: TenantUsage) -> float:
        """Return infinity."""
        return float("inf")


class TokenBucket:
    """A token bucket that starts full.  Times are microseconds."""

    __slots__ = ("burst_size", "rate_per_s", "refilled_at", "tokens")

    def __init__(self, rate_per_s: float, burst_size: float, now: int) -> None:
        """Create a full bucket."""
        self.rate_per_s, self.burst_size, self.tokens, self.refilled_at = (
            rate_per_s,
            burst_size,
            burst_size,
            now,
        )

    def take(self, now: int) -> bool:
        """Take one token; return whether there was one."""
        self.tokens = min(self.burst_size, self.tokens + self.rate_per_s * (now - self.refilled_at) / 1e6)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Split(LocalQuota):
    """Give each of N ingresses 1/N of the rate and of the burst that the bound allows, without messages."""

    def __init__(self, node: str, incarnation: int) -> None:
        """Create a quota without tenants."""
        super().__init__(node, incarnation)
        self.buckets: dict[str, TokenBucket] = {}
        self.shapes: dict[str, QuotaShape] = {}

    def configure(self, now: int, tenants: Mapping[str, Tenant]) -> None:
        """Apply the quotas of a configuration."""
        shapes = {n: quota_shape(t.rate_per_s, t.burst_size, BOUNDS) for n, t in tenants.items()}
        self.shapes = {name: shape for name, shape in shapes.items() if shape is not None}
        self.split_limits(now)

    def set_ingresses(self, now: int, ingresses: int, is_counted: bool) -> None:
        """Split the quotas among another number of ingresses."""
        if ingresses != self.ingresses:
            self.ingresses = ingresses
            self.split_limits(now)

    def split_limits(self, now: int) -> None:
        """Replace the buckets whose rate has changed."""
        ingress_count = max(1, self.ingresses)
        for name, shape in self.shapes.items():
            bucket = self.buckets.get(name)
            if bucket is None or bucket.rate_per_s != shape.rate / ingress_count:
                self.buckets[name] = TokenBucket(
                    shape.rate / ingress_count, (shape.depth + shape.advance) / ingress_count, now
                )

    def admit(self, now: int, tenant: str) -> bool:
        """Return whether a request is admitted."""
        bucket = self.buckets.get(tenant)
        return bucket is not None and bucket.take(now)

    def next_push(self, now: int) -> Push | None:
        """Return None: there is nothing to report."""
        return None


class Central(World):
    """Each request waits for a token bucket at the coordinator; without an answer it is rejected."""

    def __init__(self, scene: Scene, make_quota: Callable[[str, int], LocalQuota] = LocalQuota) -> None:
        """Create one bucket per tenant."""
        super().__init__(scene, make_quota)
        self.buckets = {
            n: TokenBucket(d.rate, max(1.0, d.burst_size), 0) for n, d in enumerate(self.scene.demands)
        }
        self.asks = 0
        self.waited = 0  # us of latency, summed over all answered calls

    def handle_request(self, number: int, ingress: Ingress) -> None:
        """Ask the coordinator to decide one request; either message may be lost."""
        record = self.tenant_records[number]
        if ingress.quota is None:
            return
        record.record_request(self.now)
        self.asks += 1
        process = next((p for p in reversed(self.coordinators) if self.is_reachable(ingress, p)), None)
        is_delivered = (
            process is not None
            and not ingress.mute
            and not ingress.deaf
            and self.rng.random() >= 2 * self.loss_ratio
        )
        if process is None or not is_delivered:
            self.record_decision(number, ingress, False)
            return
        self.byte_count += 60
        self.message_count += 2
        latency_us = self.draw_latency(ingress, process.region)
        self.waited += 2 * latency_us

        def decide() -> None:
            is_admitted = process.is_serving and self.buckets[number].take(self.now)
            self.schedule(latency_us, lambda: self.record_decision(number, ingress, is_admitted))

        self.schedule(latency_us, decide)

    def record_decision(self, number: int, ingress: Ingress, is_admitted: bool) -> None:
        """Record the decision on a request."""
        record = self.tenant_records[number]
        record.refill(self.now)
        if is_admitted:
            record.passed.append(self.now)
            record.unused_tokens -= 1.0
        elif record.unused_tokens >= 1.0:
            record.wrongly_rejected_count += 1
            record.refused_at.append((self.now, ingress.number))
