"""Draw the tenants of a run, with steady or bursty load, and their requests."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher import interface as api

from .deployments import FIRST, Deployment

SECOND = 1_000_000
LIGHT, SATURATED, HEAVY, BURSTY = "calm", "full", "heavy", "spiky"
PROFILE_SHARES = ((SATURATED, 0.15), (HEAVY, 0.10), (BURSTY, 0.19), (LIGHT, 0.56))


@dataclass(slots=True)
class Tenant:
    """One tenant: its plan, its load and the ingresses that it uses.

    :param load_ratio: requested units as a ratio of the plan's rate, outside bursts
    :param ingress_count: it uses so many consecutive ingresses from `first_ingress` on
    :param ingress_weights: relative use of these ingresses
    """

    customer: int
    plan_id: int
    plan: api.Plan
    load_profile: str
    load_ratio: float
    ingress_count: int
    first_ingress: int
    ingress_weights: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Request:
    """One request of a tenant at a time (us since the start), through one ingress of the cluster."""

    at: int
    firm: Tenant
    ingress: int
    units: float = 1.0  # stated by the request
    final_units: float = 1.0  # stated by the response


def draw_tenants(
    rng: random.Random, count: int, ingresses: int, max_ingresses: int = 4, deployment: Deployment = FIRST
) -> list[Tenant]:
    """Draw `count` tenants that load_ratio up to `max_ingresses` of the ingresses."""
    tenants, plans = [], deployment.plans
    for number in range(count):
        plan_id = rng.choices(range(len(plans)), deployment.plan_weights)[0]
        load_profile = rng.choices([m[0] for m in PROFILE_SHARES], [m[1] for m in PROFILE_SHARES])[0]
        load_ratio = {SATURATED: 0.95, HEAVY: rng.uniform(2.6, 4.6)}.get(
            load_profile, rng.uniform(0.19, 0.48)
        )
        ingress_count = rng.randint(min(2, ingresses), min(max_ingresses, ingresses))
        tenants.append(
            Tenant(
                1000 + number,
                plan_id,
                plans[plan_id],
                load_profile,
                load_ratio,
                ingress_count,
                rng.randrange(ingresses),
            )
        )
    return tenants


def draw_requests(
    rng: random.Random,
    tenants: list[Tenant],
    ingresses: int,
    duration_us: int,
    deployment: Deployment = FIRST,
) -> list[Request]:
    """Draw all requests in order of time; a tenant's ingress weights change every 9.7 to 24 s."""
    requests: list[Request] = []
    mean_units = (1.0 + deployment.max_units) / 2.0
    for tenant in tenants:
        rate = tenant.plan.rate / mean_units
        at, burst_ends_at = 0.0, 0.0
        burst_begins_at = rng.uniform(2, 22) * SECOND if tenant.load_profile == BURSTY else float(duration_us)
        shift_at, burst_factor = 0.0, 1.0
        while True:
            if at >= shift_at:
                exponent = rng.uniform(0.21, 1.2)
                tenant.ingress_weights = [(k + 1.0) ** -exponent for k in range(tenant.ingress_count)]
                rng.shuffle(tenant.ingress_weights)
                shift_at = at + rng.uniform(9.7, 24) * SECOND
            if at >= burst_begins_at:
                burst_factor = rng.uniform(2.9, 7.7)
                burst_ends_at = at + rng.uniform(0.87, 3.6) * SECOND
                burst_begins_at = at + rng.uniform(12, 22) * SECOND
            current_rate = rate * (burst_factor if at < burst_ends_at else tenant.load_ratio)
            gap_us = rng.expovariate(current_rate) * SECOND
            if at + gap_us > burst_begins_at:  # the next burst begins before the next request
                at = burst_begins_at
                continue
            at += gap_us
            if at >= duration_us:
                break
            offset = rng.choices(range(tenant.ingress_count), tenant.ingress_weights)[0]
            ingress = (tenant.first_ingress + offset) % ingresses
            requests.append(Request(int(at), tenant, ingress, *deployment.draw_units(rng)))
    requests.sort(key=lambda a: a.at)
    return requests
