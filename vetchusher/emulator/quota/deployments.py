"""The configurations of the two deployments, for runs against the stand-ins; no recorded traffic is used."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from math import log, sqrt

from vetchusher import interface as api

READ_SHARES = api.RequestClass(
    api.Effect.SAFE, api.Scope.ALL, 1_200_000, 4_000_000, 0, 3.0, 0.2, name="read-shares"
)


@dataclass(slots=True, frozen=True)
class Deployment:
    """The differences between deployments that affect decisions.

    :param plan_weights: relative number of tenants of each plan
    :param estimate_cv: coefficient of variation of a request's estimated units around the final ones; 0:
        responses don't state units
    """

    plans: tuple[api.Plan, ...]
    plan_weights: tuple[int, ...]
    zones: tuple[str, ...]
    classes: tuple[api.RequestClass, ...] = (READ_SHARES,)
    max_units: int = 1
    estimate_cv: float = 0.0
    max_attempts: int = 3

    def draw_units(self, rng: random.Random) -> tuple[float, float]:
        """Draw the units that a request states, and those that its response states."""
        if self.max_units <= 1:
            return 1.0, 1.0
        final_units = float(rng.randint(1, self.max_units))
        sigma = sqrt(log(1.0 + self.estimate_cv**2))
        estimated_units = round(final_units * rng.lognormvariate(-sigma * sigma / 2.0, sigma))
        return float(min(self.max_units, max(1, estimated_units))), final_units

    def settings(self, number: int, ingresses: int, peers: bool) -> api.Settings:
        """Return the settings of one ingress.

        :param peers: whether ingresses exchange datagrams
        """
        return api.Settings(
            index=number,
            gateways=ingresses,
            zone=number % len(self.zones),
            classes=self.classes,
            plans=self.plans,
            counter=True,
            post_paid=self.estimate_cv > 0.0,
            max_units=float(self.max_units),
            max_attempts=self.max_attempts,
            may_duplicate=True,
            may_cancel=True,
            retry_after=True,
            max_retry_after=2_000_000,
            tick=2_000,
            peers=peers,
            peer_datagrams_per_s=100.0,
            zones=self.zones,
        )


FIRST = Deployment(
    plans=(
        api.Plan(0.87, 4.0, 0, 0.8, 0.1, 0.0, 0.0, 0.0, 0.0, "liten"),
        api.Plan(1.4, 7.0, 0, 1.2, 0.0, 0.8, 0.0, 0.0, 0.0, "mellan"),
        api.Plan(6.0, 13.0, 0, 1.8, 0.0, 1.2, 0.0, 0.0, 0.0, "stor"),
    ),
    plan_weights=(16, 24, 8),
    zones=("one",),
)
# Units stated by the response, a plan with a hard limit, several zones, more attempts, one request class.
SECOND = Deployment(
    plans=(
        api.Plan(1.7, 16.0, 0, 0.8, 0.0, 1.0, 0.0, 0.0, 0.0, "porch"),
        api.Plan(3.4, 32.0, 0, 1.3, 0.1, 0.0, 7.0, 66.0, 8.0, "kitchen"),
        api.Plan(14.0, 26.0, 0, 1.6, 0.0, 1.0, 0.0, 0.0, 0.0, "banquet"),
    ),
    plan_weights=(12, 4, 6),
    zones=("east", "west", "north"),
    classes=(replace(READ_SHARES, value=1.0, name="shift-split"),),
    max_units=8,
    estimate_cv=0.5,
    max_attempts=5,
)
DEPLOYMENTS = {"first": FIRST, "second": SECOND}
