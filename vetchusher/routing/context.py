"""What all requests of an ingress share: route table, server selection, quotas, retry budget."""

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

SMOOTHING = 0.05  # weight of the newest response time
STALE_RETRY_AFTER_US = 200_000  # when to return while this ingress cannot tell what is in force


class TenantQuotas(Protocol):
    """The tenants' quotas."""

    def admit(self, now: int, tenant: str) -> bool:
        """Return whether one more request of a tenant is admitted; if so it is counted."""

    def retry_after_us(self, now: int, tenant: str) -> int:
        """Return the microseconds after which a rejected request may try again."""


class AttemptBudget(Protocol):
    """The budget of further attempts, by service."""

    def on_request(self, now: int, service: str) -> None:
        """Count a request that goes to its first server."""

    def take_attempt(self, now: int, service: str, *, leave_reserve: bool = False) -> bool:
        """Return whether one more further attempt may be made; if so it is taken.

        :param leave_reserve: a part of the budget is to be left to more urgent requests
        """


@dataclass(slots=True)
class RoutingContext:
    """What all requests of an ingress share. A request keeps the route table that it began with.

    :param fresh_until: us; until then the table is surely the one in force, and what it does not allow may be
        rejected for good
    :param response_times: smoothed, us by route; `configure` drops those of routes that are gone
    """

    choice: ServerSelector
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
        """Begin with nothing to shed."""
        self.shedders = RegionalShedders(self.rng)

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration."""
        self.shedders.keep_services(set(configuration.services))
        self.table = RouteTable(configuration)
        self.choice.configure(configuration.services)
        names = {route.name for route in configuration.routes}
        self.response_times = {name: time for name, time in self.response_times.items() if name in names}

    def set_rollouts(self, directives: Mapping[str, Directive]) -> None:
        """Take the newest roll-outs."""
        self.rollouts.set_directives(directives)
        self.choice.set_rollouts(directives)

    def record_response_time(self, route: Route, took_us: int) -> None:
        """Note how long a route's response took, in microseconds."""
        before = self.response_times.get(route.name)
        self.response_times[route.name] = (
            took_us if before is None else before + SMOOTHING * (took_us - before)
        )

    def rejection(self, now: int, kind: ErrorCode, text: str) -> Error:
        """Return the error for what the table does not allow, for good only if the table is in force."""
        fresh = now <= self.fresh_until
        return (
            Error(kind, text) if fresh else Error(ErrorCode.STALE_CONFIGURATION, text, STALE_RETRY_AFTER_US)
        )
