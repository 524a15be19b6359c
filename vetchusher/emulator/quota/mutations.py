"""Mutations of the tenant quotas, each of which the checks of a run must detect."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from vetchusher.distribution.wire_pb2 import Passed
from vetchusher.quota import coordinator
from vetchusher.quota.coordinator import QuotaCoordinator
from vetchusher.quota.local_quota import LocalQuota, TenantUsage
from vetchusher.quota.tenant_quota import ReportingPeer, TenantQuota
from vetchusher.quota.windows import WindowPair

from .judge import SECOND, Demand
from .world import Found, Scene, Trouble

MAX_SHORTFALL_RATIO = 0.03  # of the requests a tenant is entitled to, how many may be rejected

THIRD_PARTITIONED = (
    Trouble("hot", 4 * SECOND, 9 * SECOND, 9.0, 0),
    Trouble("cut", 5 * SECOND, 7 * SECOND, 0.35),
)
ALL_PARTITIONED = (
    Trouble("hot", 4 * SECOND, 9 * SECOND, 9.0, 0),
    Trouble("cut", 5 * SECOND, 7 * SECOND, 1.0),
)
TAKEOVERS = (
    Trouble("hot", 4 * SECOND, 9 * SECOND, 9.0, 0),
    *(Trouble("move", int(at * SECOND)) for at in (5.5, 6.3, 7.1, 7.9)),
)
MESSAGE_LOSS = (Trouble("loss", 4 * SECOND, 14 * SECOND, 0.3),)


@contextmanager
def repeated_push_counted_again() -> Iterator[None]:
    """Count a repeated push again."""
    add_count = QuotaCoordinator.add_count
    last_added: dict[tuple[int, str], int] = {}

    def add_again(
        self: QuotaCoordinator,
        now: int,
        pool: TenantQuota,
        source: ReportingPeer,
        passed: Passed,
        *arguments: Any,
    ) -> bool:
        key, grant = (id(source), passed.tenant), source.grants.get(passed.tenant)
        previous_count = grant.count if grant is not None and grant.has_report else passed.count
        if passed.count == previous_count:
            pool.available -= last_added.get(key, 0)
        else:
            last_added[key] = passed.count - previous_count
        return add_count(self, now, pool, source, passed, *arguments)

    with patch.object(QuotaCoordinator, "add_count", add_again):
        yield


@contextmanager
def nothing_reserved() -> Iterator[None]:
    """Reserve nothing at the coordinator for ingresses without a report, new or unresponsive."""
    check_report_timeouts = QuotaCoordinator.check_report_timeouts

    def check_and_release(self: QuotaCoordinator, now: int) -> None:
        check_report_timeouts(self, now)
        self.unresponsive_ingresses = 0

    with (
        patch.object(coordinator, "reserved_requests", lambda shape, ingresses: 0.0),
        patch.object(QuotaCoordinator, "check_report_timeouts", check_and_release),
    ):
        yield


@contextmanager
def incomplete_total_taken_as_complete() -> Iterator[None]:
    """Start a new coordinator with full token buckets, and treat first reports as old requests."""
    add_count, initialise = QuotaCoordinator.add_count, QuotaCoordinator.__init__

    def count_as_old(
        self: QuotaCoordinator,
        now: int,
        pool: TenantQuota,
        source: ReportingPeer,
        passed: Passed,
        *arguments: Any,
    ) -> bool:
        report = Passed(tenant=passed.tenant, count=passed.count, ended=passed.ended)
        return add_count(self, now, pool, source, report, True, *arguments[1:])

    def initialise_complete(self: QuotaCoordinator, *args: Any) -> None:
        initialise(self, *args)
        self.is_complete = True

    with (
        patch.object(QuotaCoordinator, "add_count", count_as_old),
        patch.object(QuotaCoordinator, "__init__", initialise_complete),
    ):
        yield


@contextmanager
def previous_window_ignored() -> Iterator[None]:
    """Neither estimate the requests of the previous window nor report them to a new coordinator."""
    local_counts = WindowPair.local_counts

    def local_counts_of_current(self: WindowPair, count: int) -> tuple[int, int]:
        return local_counts(self, count)[0], 0

    def estimated_use_of_current(self: WindowPair, count: int, into_us: int, length_us: int) -> float:
        return self.current_total + count - max(self.pulled_count, self.current_start_count)

    with (
        patch.object(WindowPair, "local_counts", local_counts_of_current),
        patch.object(WindowPair, "estimated_use", estimated_use_of_current),
    ):
        yield


@contextmanager
def limit_split_by_reachable_ingresses() -> Iterator[None]:
    """Divide the limit at a partitioned ingress by the ingresses that it receives from, itself only."""
    refresh_limit = LocalQuota.refresh_limit

    def refresh_alone(self: LocalQuota, now: int, usage: TenantUsage) -> None:
        ingresses = self.ingresses
        if now - self.answered_at > 600_000:
            self.ingresses = 1
        refresh_limit(self, now, usage)
        self.ingresses = ingresses

    with patch.object(LocalQuota, "refresh_limit", refresh_alone):
        yield


@dataclass(slots=True, frozen=True)
class Mutation:
    """A mutation, and the scene that detects it.

    :param plant: context manager that applies the mutation
    :param checks_shortfall: the mutation rejects requests within the quota rather than admitting too many
    """

    plant: Callable[[], AbstractContextManager[None]]
    demands: tuple[Demand, ...]
    faults: tuple[Trouble, ...]
    checks_shortfall: bool = False

    def scene(self, seed: int) -> Scene:
        """Return the scene for a seed."""
        return Scene(seed, troubles=self.faults, demands=self.demands, length=16 * SECOND)

    def wrong(self, result: Found) -> list[str]:
        """Return one line for each violation that a run shows."""
        violations = result.wrong()
        for number, record in enumerate(result.books if self.checks_shortfall else ()):
            if record.shortfall() > MAX_SHORTFALL_RATIO:
                violations.append(f"tenant {number} got {record.shortfall():.3f} less than it was owed")
        return violations


LIGHT_DEMANDS = (Demand(40.0, 40.0), Demand(10.0, 10.0), Demand(5.0, 5.0))
HEAVY_DEMANDS = (Demand(150.0, 150.0), Demand(10.0, 10.0))
PLANTED = {
    "push repeated without its number": Mutation(
        repeated_push_counted_again, LIGHT_DEMANDS, MESSAGE_LOSS, True
    ),
    "part not held back": Mutation(nothing_reserved, HEAVY_DEMANDS, THIRD_PARTITIONED),
    "lost total taken for nought": Mutation(incomplete_total_taken_as_complete, HEAVY_DEMANDS, TAKEOVERS),
    "previous window forgotten": Mutation(previous_window_ignored, HEAVY_DEMANDS, TAKEOVERS),
    "parts by who seems alive": Mutation(limit_split_by_reachable_ingresses, HEAVY_DEMANDS, ALL_PARTITIONED),
}
