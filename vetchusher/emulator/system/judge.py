"""The rules that clients, servers, the platform and the operator rely on, checked for the whole system.

The judge is told which requests and orders were sent, arrived, were answered and were acknowledged, and
which machines were in contact. It queries no process.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from vetchusher.emulator.fleet_world import MS, SECOND
from vetchusher.routing.headers import SUBSCRIBER
from vetchusher.settings.node import Bounds

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
DENIAL_STATUSES = (401, 403, 404)
# Stricter than the rule, which binds only machines in contact: by design no machine denies a request by a
# version replaced longer ago than a primary's lease, a heartbeat's answer and its freshness last together.
MAX_DENIAL_AGE_US = 5 * SECOND
# Age limit of a configuration that is read: the lease behind the read, or the time since it was forwarded.
MAX_READ_AGE_US = 2 * SECOND


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One request of a client.

    :param repeatable: whether the request may be executed more than once
    :param incarnation: incarnation of the ingress process that received it
    :param sent_at: virtual time (us)
    """

    id: str
    path: str
    tenant: str
    repeatable: bool
    region: str
    ingress: str
    incarnation: int
    sent_at: int

    @property
    def target(self) -> str:
        """The request target that the client sends."""
        return f"{self.path}x"


@dataclass(slots=True, frozen=True)
class ServerStatus:
    """The state of a server at the moment a request arrived.

    :param cold: whether it still warms up
    :param withdrawn_at: time (us) since which the platform's list shows it as draining or not at all;
        None: listed
    """

    instance: str
    service: str
    zone: str
    region: str
    cold: bool
    withdrawn_at: int | None


@dataclass(slots=True, frozen=True)
class ConfigurationVersion:
    """A version of the configuration.

    :param services: service by path, for all paths that it allows
    """

    number: int
    services: Mapping[str, str]


class Judge:
    """Records everything observed in one run and reports the violations of the rules.

    :param bounds: the promised bounds
    :param home_regions: regions in which a path may be served, for paths restricted to some regions
    :param quotas: rate (1/s) and burst by tenant
    :param cold_rate: rate of requests (1/s) promised for a cold server
    :param is_in_contact: returns whether a machine has been in contact for the last `contact_ms`
    """

    def __init__(
        self,
        bounds: Bounds,
        home_regions: Mapping[str, frozenset[str]],
        quotas: Mapping[str, tuple[float, float]],
        cold_rate: float,
        is_in_contact: Callable[[str], bool],
    ) -> None:
        """Start with nothing recorded."""
        self.bounds, self.home_regions, self.quotas, self.is_in_contact = (
            bounds,
            home_regions,
            quotas,
            is_in_contact,
        )
        self.max_cold_arrivals_per_s = cold_rate * bounds.cold_overrun + bounds.cold_slack
        self.now_us = 0  # virtual time (us), set by the caller before each report
        self.violations: list[str] = []
        self.versions: list[ConfigurationVersion] = []
        self.acknowledgements: list[tuple[int, int]] = []  # (time, highest version acknowledged by then)
        self.requests: dict[str, ClientRequest] = {}
        self.executions: dict[str, list[int]] = defaultdict(list)  # times, by request id
        self.statuses: dict[str, int] = {}
        # Request id and status of each server's response, by its body.
        self.server_responses: dict[bytes, tuple[str, int]] = {}
        self.arrivals: dict[str, int] = Counter()
        self.extra_arrivals: dict[str, list[int]] = defaultdict(list)  # times, by service
        self.request_times: dict[str, list[int]] = defaultdict(list)  # times, by service
        self.admitted: dict[str, list[int]] = defaultdict(list)  # times, by tenant
        self.cold_arrivals: dict[str, list[int]] = defaultdict(list)  # times, by instance
        # (time, version) of each newer version shown, by ingress and its incarnation.
        self.applied_versions: dict[tuple[str, int], list[tuple[int, int]]] = defaultdict(list)
        self.evacuated_at: dict[str, int] = {}  # time of the acknowledgement, by zone
        self.pending_orders: dict[str, int] = Counter()  # unacknowledged evacuation orders, by zone
        self.last_orders: dict[str, bool | None] = {}  # by zone; None: it overlapped with another order
        self.platform_healthy_since: int | None = 0  # time (us); None: it is not healthy

    def report(self, rule: str, what: str) -> None:
        """Record a violation of a rule, with the current virtual time."""
        self.violations.append(f"{self.now_us / SECOND:.3f} s: {rule}: {what}")

    # -- the operator ---------------------------------------------------------------------------

    def on_version_sent(self, version: ConfigurationVersion) -> None:
        """Record a configuration version that the operator sends."""
        self.versions.append(version)

    def on_version_acknowledged(self, number: int) -> None:
        """Record that the version of that number was acknowledged to the operator."""
        self.acknowledgements.append(
            (self.now_us, max([number, *(n for _, n in self.acknowledgements[-1:])]))
        )

    def acknowledged_version(self, at: int) -> int:
        """Return the highest version acknowledged at or before the time `at` (us); 0: none."""
        return max((number for when, number in self.acknowledgements if when <= at), default=0)

    def on_configuration_read(self, machine: str, number: int) -> None:
        """Check the version that a core machine returned just now as the one in force."""
        if number < self.acknowledged_version(self.now_us - MAX_READ_AGE_US):
            self.report(
                "OLD",
                f"{machine} handed r{number} out, "
                f"r{self.acknowledged_version(self.now_us)} was acknowledged long ago",
            )

    def check_final_read(self, number: int | None, requested_at: int) -> None:
        """Check the version read at the end of the run.

        :param number: None if no answer came
        :param requested_at: time of the read (us); versions acknowledged after it need not be included
        """
        if number is None or number < self.acknowledged_version(requested_at):
            self.report(
                "LOST",
                f"r{number} was read at the end, "
                f"r{self.acknowledged_version(requested_at)} had been acknowledged",
            )

    def on_evacuation_ordered(self, zone: str, on: bool) -> None:
        """Record an order to evacuate a zone (`on`) or to end its evacuation."""
        self.pending_orders[zone] += 1
        self.last_orders[zone] = on if self.pending_orders[zone] == 1 else None

    def on_evacuation_acknowledged(self, zone: str) -> None:
        """Record that an evacuation order for the zone was acknowledged."""
        self.pending_orders[zone] -= 1

    def check_evacuations(self, in_force: Mapping[str, bool]) -> None:
        """Check the evacuations in force at the end of the run.

        The last order for a zone must be in force, unless it overlapped with another order
        for the same zone.
        """
        for zone, on in self.last_orders.items():
            if on is not None and not self.pending_orders[zone] and in_force.get(zone, False) != on:
                self.report(
                    "LOST", f"{zone} is {'not ' if on else ''}evacuated, the opposite was acknowledged last"
                )

    # -- clients and servers --------------------------------------------------------------------

    def on_request_sent(self, request: ClientRequest) -> None:
        """Record a request that a client sends."""
        self.requests[request.id] = request
        for service in {v.services.get(request.path, "") for v in self.versions} - {""}:
            self.request_times[service].append(self.now_us)

    def on_request_arrived(self, request: ClientRequest, server: ServerStatus) -> None:
        """Check a request that arrives at the server it was meant for."""
        self.arrivals[request.id] += 1
        if self.arrivals[request.id] > 1:
            self.extra_arrivals[server.service].append(self.now_us)
        description = f"{request.path} by {request.ingress} at {server.instance}"
        if request.path in self.home_regions and server.region not in self.home_regions[request.path]:
            self.report("HOME", description)
        if server.cold and self.now_us - request.sent_at <= SECOND:
            self.cold_arrivals[server.instance].append(self.now_us)
            older_count = bisect_right(self.cold_arrivals[server.instance], self.now_us - SECOND)
            if len(self.cold_arrivals[server.instance]) - older_count > self.max_cold_arrivals_per_s:
                self.report(
                    "FAILBACK",
                    f"{len(self.cold_arrivals[server.instance]) - older_count} in a second, {description}",
                )
        if not self.is_in_contact(request.ingress):
            return
        unavailable_since, healthy_since = server.withdrawn_at, self.platform_healthy_since
        if (
            unavailable_since is not None
            and healthy_since is not None
            and self.now_us > max(unavailable_since, healthy_since) + self.bounds.drain_ms * MS
        ):
            self.report(
                "DRAIN", f"{description}, {(self.now_us - unavailable_since) / SECOND:.1f} s after it left"
            )
        unavailable_since = self.evacuated_at.get(server.zone)
        if unavailable_since is not None and self.now_us > unavailable_since + self.bounds.evacuation_ms * MS:
            self.report("EVAC", f"{description}, {(self.now_us - unavailable_since) / SECOND:.1f} s after")

    def on_request_executed(self, request: ClientRequest, server: ServerStatus) -> None:
        """Check a request that a server begins to execute."""
        executions = self.executions[request.id]
        executions.append(self.now_us)
        self.admitted[request.tenant].append(self.now_us)
        if not request.repeatable and len(executions) > 1:
            self.report("TWICE", f"{request.path} by {request.ingress}")
        if not request.repeatable and self.statuses.get(request.id) in NOT_EXECUTED_STATUSES:
            self.report("REFUSED", f"{request.path} runs after {self.statuses[request.id]}")
        allowed = [v.number for v in self.versions if v.services.get(request.path) == server.service]
        if not allowed:
            self.report("ROUTE", f"{request.path} by {request.ingress} at {server.service}")
        self.check_applied_version(request, allowed, f"run by {server.service}")

    def check_forwarded_request(
        self, request: ClientRequest | None, id: str, target: str, headers: Mapping[str, str]
    ) -> None:
        """Check a request as an ingress forwarded it to a server.

        It must be a client's request, for the same target and tenant, and without the client's credentials.

        :param request: the client's request of that id; None: there is none
        """
        if request is None or target != request.target:
            self.report("UNASKED", f"{target} under {id}")
        elif "Authorization" in headers or headers.get(SUBSCRIBER) != request.tenant:
            self.report("UNASKED", f"{target} of {request.tenant}, under another name or with its key")

    def on_response_delivered(self, request: ClientRequest, status: int, body: bytes) -> None:
        """Check that a response passed on to a client is the server's response to this request."""
        if self.server_responses.get(body) != (request.id, status):
            self.report(
                "MIXED",
                f"{request.path} by {request.ingress} got {status}, {self.server_responses.get(body)} was",
            )

    def on_request_answered(self, request: ClientRequest, status: int) -> None:
        """Check the status with which an ingress answered a request."""
        self.statuses[request.id] = status
        if not request.repeatable and status in NOT_EXECUTED_STATUSES and self.executions[request.id]:
            self.report("REFUSED", f"{request.path} was answered {status} by {request.ingress} and has run")
        if status in DENIAL_STATUSES:
            allowed = [v.number for v in self.versions if request.path not in v.services]
            if max(allowed, default=-1) < self.acknowledged_version(request.sent_at - MAX_DENIAL_AGE_US):
                self.report("DENIED", f"{request.path} was answered {status} by {request.ingress}")
            self.check_applied_version(request, allowed, f"answered {status}")

    def check_applied_version(self, request: ClientRequest, allowed: list[int], how: str) -> None:
        """Check that a request was handled by a configuration version that is recent enough.

        :param allowed: numbers of the versions that allow this handling, in ascending order
        :param how: the handling, for the report
        """
        newest, description = (
            max(allowed, default=0),
            f"{request.path} of {request.ingress}/{request.incarnation} was {how}",
        )
        required_version = self.acknowledged_version(request.sent_at - self.bounds.config_apply_ms * MS)
        if newest < required_version and self.is_in_contact(request.ingress):
            self.report("CONFIG", f"{description} after r{required_version}")
        applied = self.applied_versions[request.ingress, request.incarnation]
        applied_before = request.sent_at - self.bounds.revert_slack_ms * MS
        shown_version = max((number for when, number in applied if when < applied_before), default=0)
        if newest < shown_version:
            self.report("CONFIG", f"{description} and had shown r{shown_version}")
        if allowed and (not applied or applied[-1][1] < allowed[0]):
            applied.append((self.now_us, allowed[0]))

    # -- at the end -----------------------------------------------------------------------------

    def finish(self) -> list[str]:
        """Check the rules on counts over the whole run, and return all violations."""
        bounds = self.bounds
        for tenant, (rate, burst) in self.quotas.items():
            limit = (rate * bounds.quota_window_s + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
            actual = max_in_window(self.admitted[tenant], int(bounds.quota_window_s * SECOND))
            if actual > limit:
                self.report("QUOTA", f"{actual} of {tenant} passed, {limit:.0f} may")
        for service, times in self.extra_arrivals.items():
            self.check_retry_budget(service, times)
        return self.violations

    def check_retry_budget(self, service: str, times: list[int]) -> None:
        """Check the retry budget of a service in each window that begins at an extra arrival."""
        bounds, requests = self.bounds, self.request_times[service]
        span = int(bounds.budget_window_s * SECOND)

        def requests_in_window(begin: int) -> int:
            return bisect_left(requests, begin + span) - bisect_left(requests, begin)

        for first, begin in enumerate(times):
            count = bisect_left(times, begin + span) - first
            most_requests = max(
                requests_in_window(begin),
                requests_in_window(begin - span),
                requests_in_window(begin - span // 2),
            )
            limit = bounds.retry_budget_ratio * most_requests + bounds.budget_slack
            if count > limit:
                self.report("BUDGET", f"{count} extra arrivals at {service}, {limit:.0f} may")
                return


def max_in_window(times: list[int], span: int) -> int:
    """Return the largest number of the sorted times that lie in any window of `span` (same unit)."""
    return max((i + 1 - bisect_right(times, at - span) for i, at in enumerate(times)), default=0)


@dataclass(slots=True)
class FaultTracker:
    """Tracks since when a machine, or the core, has been free of faults.

    :param calm_since: time (us) of the end of the last fault
    :param ongoing_faults: lasting faults that have begun and not yet ended
    """

    calm_since: int = -(1 << 60)
    ongoing_faults: set[str] = field(default_factory=set)

    def begin_fault(self, what: str) -> None:
        """Record the start of a lasting fault."""
        self.ongoing_faults.add(what)

    def end_fault(self, what: str, at: int) -> None:
        """Record the end of a lasting fault at the time `at` (us)."""
        if what in self.ongoing_faults:
            self.ongoing_faults.discard(what)
            self.calm_since = at

    def record_momentary_fault(self, at: int) -> None:
        """Record a fault without a duration at the time `at` (us)."""
        self.calm_since = at

    def is_calm_for(self, at: int, span: int) -> bool:
        """Return whether at the time `at` there has been no fault for `span` (us)."""
        return not self.ongoing_faults and at - self.calm_since >= span
