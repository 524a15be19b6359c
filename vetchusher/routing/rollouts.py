"""Rollouts at an ingress: which requests are exposed to a new version, and the evidence on its behaviour."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import ceil

from vetchusher.discovery.server import Server
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.rollout.directive import Directive
from vetchusher.rollout.evidence import ServiceEvidence
from vetchusher.rollout.exposure import USABLE_SHARE_RATIO, ExposureBudget

from .claims import AttemptOutcome

DEFAULT_EXPOSURE_RATIO = 0.1  # ratio of a service's requests that the new version may get before the verdict
TRIAL_UTILIZATION_RATIO = 0.7  # target for the trial servers: at least about that of the other servers
OPEN_REQUESTS_SMOOTHING_RATIO = 0.1  # weight of the newest sample in the smoothed count of open requests
ERROR_OUTCOMES = frozenset({AttemptOutcome.SERVER_ERROR, AttemptOutcome.GARBLED})
ANSWER_OUTCOMES = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT}) | ERROR_OUTCOMES


@dataclass(slots=True, frozen=True)
class AttemptKey:
    """Identity of one attempt of a request at a server.

    :param request: the request, compared by identity
    :param number: number of the attempt within its request, from 0
    """

    request: object
    number: int
    service: str
    route: str
    server: Server


@dataclass(slots=True)
class ActiveRollout:
    """State of an open rollout at this ingress.

    :param open_requests: smoothed number of requests that this ingress has open at the service
    """

    directive: Directive
    budget: ExposureBudget
    evidence: ServiceEvidence = field(default_factory=ServiceEvidence)
    open_requests: float = 0.0


class Rollouts:
    """Owner of the open rollouts, by service; decided rollouts are dropped."""

    def __init__(self, ratio: float = DEFAULT_EXPOSURE_RATIO) -> None:
        """Start without rollouts.

        :param ratio: exposures allowed per request
        """
        self.ratio = ratio * USABLE_SHARE_RATIO
        self.active: dict[str, ActiveRollout] = {}
        self.ingresses_in_region = 1

    def set_directives(self, directives: Mapping[str, Directive]) -> None:
        """Apply the newest rollouts; a new rollout of a service starts with a new exposure budget."""
        active = {}
        for service, directive in directives.items():
            if not directive.is_open:
                continue
            rollout = self.active.get(service)
            if rollout is None or rollout.directive.number != directive.number:
                rollout = ActiveRollout(directive, ExposureBudget(self.ratio))
            rollout.directive = directive
            active[service] = rollout
        self.active = active

    def may_expose(self, service: str) -> bool:
        """Return whether one more request may go to the new version of a service."""
        rollout = self.active.get(service)
        return rollout is not None and rollout.directive.is_exposing and rollout.budget.may_expose()

    def trial_servers(self, service: str, open_requests: int, capacity: int) -> int:
        """Return the number of servers per region on which the exposures are concentrated.

        Concentrating the few exposed requests loads these servers as much as all servers would be loaded by
        all requests, so that a version that fails only under load is detected.

        :param open_requests: requests that this ingress has open at the service
        :param capacity: capacity of one server, requests
        """
        rollout = self.active[service]
        rollout.open_requests += OPEN_REQUESTS_SMOOTHING_RATIO * (open_requests - rollout.open_requests)
        exposed = self.ratio * rollout.open_requests * self.ingresses_in_region
        return max(1, ceil(exposed / (TRIAL_UTILIZATION_RATIO * max(1, capacity))))

    def on_sent(self, now: int, attempt: AttemptKey) -> None:
        """Record that an attempt was sent."""
        rollout = self.active.get(attempt.service)
        if rollout is None:
            return
        if attempt.number == 0:
            rollout.budget.on_request()
        if attempt.server.version == rollout.directive.target_version:
            rollout.budget.on_exposed()
            rollout.evidence.on_exposed(attempt, attempt.route, now)

    def on_ended(self, attempt: AttemptKey, outcome: AttemptOutcome | None, took_us: int) -> None:
        """Record the end of an attempt.

        :param outcome: None if the outcome says nothing about the server
        :param took_us: time from sending to the end, us
        """
        rollout = self.active.get(attempt.service)
        if rollout is None:
            return
        is_new = attempt.server.version == rollout.directive.target_version
        is_error = outcome in ERROR_OUTCOMES
        if outcome not in ANSWER_OUTCOMES:
            rollout.evidence.on_abandoned(attempt)
        elif is_new:
            rollout.evidence.on_new_answer(attempt, took_us, error=is_error)
        else:
            rollout.evidence.on_old_answer(attempt.route, took_us, error=is_error)

    def reports(self, now: int, open_old: Callable[[str, str], int]) -> list[wire.ServiceEvidence]:
        """Return the evidence collected so far, by service.

        :param open_old: returns, for a service and its target version, how many requests are open at servers
            that have another version
        """
        messages = []
        for service, rollout in self.active.items():
            directive = rollout.directive
            rollout.evidence.count_overdue(now)
            messages.append(
                wire.ServiceEvidence(
                    service=service,
                    number=directive.number,
                    open_old=open_old(service, directive.target_version),
                    state=directive.state,
                    routes=rollout.evidence.messages(),
                )
            )
        return messages
