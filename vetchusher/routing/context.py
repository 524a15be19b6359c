"""State shared by all requests of an ingress: route table, server selection, quotas and retry budget."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from vetchusher.errors import Error, ErrorCode
from vetchusher.rollout.directive import Directive
from vetchusher.settings.configuration import Configuration, Route

from .priority import RegionalShedders
from .refusals import RefusalMonitor
from .rollouts import Rollouts
from .routes import RouteTable
from .server_selection import ServerSelector

RESPONSE_TIME_SMOOTHING_RATIO = 0.05  # weight of the newest response time in a route's smoothed time
# Retry time stated in errors while this ingress does not know whether its configuration is in force.
STALE_RETRY_AFTER_US = 200_000


class TenantQuotas(Protocol):
    """Interface of the tenants' quotas."""

    def admit(self, now: int, tenant: str) -> bool:
        """Return whether one more request of a tenant is admitted, and count it if so."""

    def retry_after_us(self, now: int, tenant: str) -> int:
        """Return the time in microseconds after which a rejected request may be retried."""


class AttemptBudget(Protocol):
    """Interface of the retry budgets, by service; hedges count as retries."""

    def on_request(self, now: int, service: str) -> None:
        """Count a request that is sent to its first server."""

    def take_attempt(self, now: int, service: str, *, leave_reserve: bool = False) -> bool:
        """Return whether a retry may be sent, and take it from the budget if so.

        :param leave_reserve: leave a part of the budget to more urgent requests
        """


@dataclass(slots=True)
class RoutingContext:
    """State shared by all requests of an ingress.

    A request keeps the route table that was current when it was admitted.

    :param selector: selects servers
    :param table: the current route table; None until the first configuration
    :param fresh_until: time (us) until which the route table is known to be in force, so that rejections
        based on it may be final
    :param response_times: smoothed response times by route, us; `configure` drops those of removed routes
    """

    selector: ServerSelector
    quotas: TenantQuotas
    retry_budget: AttemptBudget
    rng: random.Random
    shedders: RegionalShedders = field(init=False)
    refusals: RefusalMonitor = field(default_factory=RefusalMonitor)
    rollouts: Rollouts = field(default_factory=Rollouts)
    table: RouteTable | None = None
    fresh_until: int = -1
    response_times: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the load shedders."""
        self.shedders = RegionalShedders(self.rng)

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self.shedders.keep_services(set(configuration.services))
        self.table = RouteTable(configuration)
        self.selector.configure(configuration.services)
        names = {route.name for route in configuration.routes}
        self.response_times = {name: time for name, time in self.response_times.items() if name in names}

    def set_rollouts(self, directives: Mapping[str, Directive]) -> None:
        """Apply the newest rollouts, by service."""
        self.rollouts.set_directives(directives)
        self.selector.set_rollouts(directives)

    def record_response_time(self, route: Route, took_us: int) -> None:
        """Add a response time (us) to a route's smoothed time."""
        previous_us = self.response_times.get(route.name)
        self.response_times[route.name] = (
            took_us
            if previous_us is None
            else previous_us + RESPONSE_TIME_SMOOTHING_RATIO * (took_us - previous_us)
        )

    def rejection(self, now: int, code: ErrorCode, text: str) -> Error:
        """Return the error for a request that the route table does not allow.

        If the route table may be outdated, the error is STALE_CONFIGURATION instead, which can be retried.
        """
        is_fresh = now <= self.fresh_until
        return (
            Error(code, text)
            if is_fresh
            else Error(ErrorCode.STALE_CONFIGURATION, text, STALE_RETRY_AFTER_US)
        )
