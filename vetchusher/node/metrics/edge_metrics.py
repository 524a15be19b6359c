"""Metrics of an edge node: requests, attempts, servers, quotas, and the freshness of its configuration."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter as Tally
from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from vetchusher.errors import ErrorCode
from vetchusher.routing.claims import AttemptOutcome
from vetchusher.routing.request import Request

from .families import NOT_AVAILABLE, directory_answers, gauge

if TYPE_CHECKING:
    from vetchusher.node.edge_node import EdgeNode

MAX_TENANT_LABELS = 200  # tenants with a label of their own; further ones share `OTHER_TENANTS`
OTHER_TENANTS = "other"
MAX_ROUTE_LABELS = 200  # routes with a label of their own; further ones share `OTHER_ROUTES`
OTHER_ROUTES = "other"
NO_ROUTE = ""  # label of requests that were rejected before their route was known
DURATION_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class RequestMetrics(Collector):
    """Counts requests and attempts, as the proxy's observer.

    While requests are served it only increments counts in dictionaries; metrics are created at each scrape.
    """

    def __init__(self) -> None:
        """Create all counters at zero."""
        self.routes: set[str] = set()
        self.requests: Tally[tuple[str, str, str]] = Tally()  # by route, its type and outcome
        self.without_region: Tally[tuple[str, str]] = Tally()  # by route and tenant
        self.attempts: Tally[AttemptOutcome] = Tally()
        self.durations: dict[str, list[int]] = {}  # requests by type of route and bucket
        self.duration_sums_s: dict[str, float] = {}

    def on_request_ended(self, now: int, outcome: str, admitted: Request | None) -> None:
        """Count a request that was answered.

        :param now: us
        :param outcome: class of the response's status, such as `2xx`, or the code of an error
        :param admitted: None: the request was rejected before its route was known
        """
        if admitted is None:
            self.requests[NO_ROUTE, "", outcome] += 1
            return
        route_type = admitted.route.route_type.value
        self.requests[self.route_label(admitted.route.name), route_type, outcome] += 1
        if outcome == ErrorCode.NO_REGION_ALLOWED:
            self.count_without_region(admitted)
        took_s = max(0, now - admitted.head.arrived_at) / 1e6
        buckets = self.durations.get(route_type)
        if buckets is None:
            buckets = self.durations[route_type] = [0] * (len(DURATION_BUCKETS_S) + 1)
            self.duration_sums_s[route_type] = 0.0
        buckets[bisect_left(DURATION_BUCKETS_S, took_s)] += 1
        self.duration_sums_s[route_type] += took_s

    def count_without_region(self, admitted: Request) -> None:
        """Count a request that no region may serve."""
        tenant = admitted.tenant.name if admitted.tenant is not None else ""
        known = {name for _, name in self.without_region}
        if tenant not in known and len(known) >= MAX_TENANT_LABELS:
            tenant = OTHER_TENANTS
        self.without_region[self.route_label(admitted.route.name), tenant] += 1

    def on_attempt_ended(self, outcome: AttemptOutcome) -> None:
        """Count an attempt that ended."""
        self.attempts[outcome] += 1

    def collect(self) -> Iterator[Metric]:
        """Return the counters with their current values."""
        requests = CounterMetricFamily(
            "vetchusher_requests",
            "Requests of clients that were answered, by route, its type, and the answer's class or error.",
            labels=["route", "route_type", "outcome"],
        )
        for labels, count in sorted(self.requests.items()):
            requests.add_metric(labels, count)
        yield requests
        attempts = CounterMetricFamily(
            "vetchusher_attempts",
            "Attempts at servers that ended, by outcome; those cancelled by the ingress are not counted.",
            labels=["outcome"],
        )
        for outcome, count in sorted(self.attempts.items(), key=lambda item: item[0].name):
            attempts.add_metric([outcome.name.lower()], count)
        yield attempts
        without_region = CounterMetricFamily(
            "vetchusher_requests_without_region",
            "Requests that no region may serve: route and tenant have no home in common.",
            labels=["route", "tenant"],
        )
        for pair, count in sorted(self.without_region.items()):
            without_region.add_metric(pair, count)
        yield without_region
        yield self.duration_histogram()

    def duration_histogram(self) -> Metric:
        """Return the histogram of the time from a request's arrival to its answer, by type of route."""
        family = HistogramMetricFamily(
            "vetchusher_request_duration_seconds",
            "Time from a request's arrival to its answer, by type of route.",
            labels=["route_type"],
        )
        bounds = [*(f"{bound:g}" for bound in DURATION_BUCKETS_S), "+Inf"]
        for route_type, counts in sorted(self.durations.items()):
            buckets = list(zip(bounds, map(float, accumulate(counts)), strict=True))
            family.add_metric([route_type], buckets, self.duration_sums_s[route_type])
        return family

    def route_label(self, name: str) -> str:
        """Return the label of a route: its name, or `OTHER_ROUTES` beyond `MAX_ROUTE_LABELS`."""
        if name not in self.routes:
            if len(self.routes) >= MAX_ROUTE_LABELS:
                return OTHER_ROUTES
            self.routes.add(name)
        return name


class EdgeCollector(Collector):
    """Reads gauges from an edge node at each scrape."""

    def __init__(self, node: EdgeNode) -> None:
        """Create a collector for that node."""
        self.node = node

    def collect(self) -> Iterator[Metric]:
        """Return the gauges with their current values."""
        node, now = self.node, self.node.now()
        yield gauge("vetchusher_ready", "1 while this ingress is ready.", float(node.is_ready()))
        yield gauge("vetchusher_configuration_version", "Version in use; 0: none yet.", node.version)
        fresh_s = (node.proxy.context.fresh_until - now) / 1e6
        yield gauge(
            "vetchusher_configuration_fresh_seconds",
            "For how long the configuration is known to be in force; -1: it is not known.",
            max(NOT_AVAILABLE, fresh_s),
        )
        yield gauge(
            "vetchusher_client_connections",
            "Open connections of clients.",
            len(node.proxy.listener.connections),
        )
        yield gauge("vetchusher_open_attempts", "Attempts in flight.", len(node.proxy.attempts.attempts))
        yield gauge(
            "vetchusher_body_bytes",
            "Bytes of request bodies that are held.",
            node.proxy.bodies.buffered_bytes,
        )
        yield self.server_states(now)
        yield self.shedding(now)
        yield directory_answers(node.resolver.counts)
        yield from self.quotas(now)

    def server_states(self, now: int) -> Metric:
        """Return the number of servers by service and state."""
        selector = self.node.proxy.selector
        counts: Tally[tuple[str, str]] = Tally()
        for state in selector.server_states.values():
            counts[state.server.service, selector.state_name(now, state)] += 1
        family = GaugeMetricFamily(
            "vetchusher_servers", "Listed servers, by service and state.", labels=["service", "state"]
        )
        for labels, count in sorted(counts.items()):
            family.add_metric(labels, count)
        return family

    def shedding(self, now: int) -> Metric:
        """Return the ratio of requests of each urgency level that is rejected by load shedding."""
        family = GaugeMetricFamily(
            "vetchusher_shedding_ratio",
            "Share of the requests of a level that is rejected to leave room for more urgent ones.",
            labels=["service", "region", "level"],
        )
        for pool, urgency, level in self.node.proxy.context.shedders.levels():
            labels = [pool.service, pool.region, ".".join(map(str, urgency))]
            family.add_metric(labels, level.pressure_now(now))
        return family

    def quotas(self, now: int) -> Iterator[Metric]:
        """Return the decisions of the local side of quotas, and the age of the totals that it uses."""
        quota = self.node.quota
        decisions = GaugeMetricFamily(
            "vetchusher_quota_decisions",
            "Requests of tenants with a quota since the start, by decision.",
            labels=["decision"],
        )
        decisions.add_metric(["admitted"], quota.admitted_count)
        decisions.add_metric(["rejected_by_estimate"], quota.rejected_by_estimate)
        decisions.add_metric(["rejected_by_limit"], quota.rejected_by_limit)
        yield decisions
        age_s = (now - quota.complete_totals_at) / 1e6 if quota.complete_totals_at > 0 else NOT_AVAILABLE
        yield gauge(
            "vetchusher_quota_totals_age_seconds", "Age of the newest complete totals; -1: none yet.", age_s
        )


def register_edge_metrics(registry: CollectorRegistry, node: EdgeNode) -> None:
    """Register all metrics of an edge node, and start to count its requests."""
    requests = RequestMetrics()
    registry.register(requests)
    node.proxy.observer = requests
    node.proxy.attempts.on_outcome = requests.on_attempt_ended
    registry.register(EdgeCollector(node))
