"""Roll-outs at an ingress: which requests are exposed to a new version, and what is seen of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import ceil

from vetchusher.discovery.server import Server
from vetchusher.distribution import wire_pb2 as wire
from vetchusher.rollout.directive import Directive
from vetchusher.rollout.evidence import ServiceEvidence
from vetchusher.rollout.exposure import MARGIN_RATIO, ExposureBudget

from .claims import AttemptOutcome

DEFAULT_RATIO = 0.1  # of a service's requests: what the new version may get before the verdict
TRIAL_UTILIZATION = 0.7  # of the slots of the servers on trial: about as busy as the others, or busier
OPEN_SMOOTHING = 0.1  # weight of the newest look at the open requests
ERRORS = frozenset({AttemptOutcome.SERVER_ERROR, AttemptOutcome.GARBLED})
ANSWERS = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.TIMED_OUT}) | ERRORS


@dataclass(slots=True, frozen=True)
class AttemptKey:
    """One attempt of a request at a server.

    :param request: whose attempt it is
    :param number: of the attempt within its request, from 0
    """

    request: object
    number: int
    service: str
    route: str
    server: Server


@dataclass(slots=True)
class ActiveRollout:
    """A roll-out under way, as this ingress sees it.

    :param open_requests: smoothed count of its requests that are open at the service
    """

    directive: Directive
    budget: ExposureBudget
    evidence: ServiceEvidence = field(default_factory=ServiceEvidence)
    open_requests: float = 0.0


class Rollouts:
    """Owner of the roll-outs under way, by service; a decided one is kept only as its directive."""

    def __init__(self, ratio: float = DEFAULT_RATIO) -> None:
        """Begin without roll-outs.

        :param ratio: exposures for each request that the rule allows
        """
        self.ratio = ratio * MARGIN_RATIO
        self.active: dict[str, ActiveRollout] = {}
        self.near_ingresses = 1

    def set_directives(self, directives: Mapping[str, Directive]) -> None:
        """Take the newest roll-outs; a later one of a service begins with a budget of its own."""
        found = {}
        for service, directive in directives.items():
            if not directive.is_open:
                continue
            known = self.active.get(service)
            if known is None or known.directive.number != directive.number:
                known = ActiveRollout(directive, ExposureBudget(self.ratio))
            known.directive = directive
            found[service] = known
        self.active = found

    def may_expose(self, service: str) -> bool:
        """Return whether one more request may go to the new version of a service."""
        rollout = self.active.get(service)
        return rollout is not None and rollout.directive.is_exposing and rollout.budget.may_expose()

    def trial_servers(self, service: str, open_requests: int, capacity: int) -> int:
        """Return on how many servers of a region the exposures are put together.

        Few of them are as busy as all would be with every request: a version that is bad under load shows it.

        :param open_requests: that this ingress has open at the service
        :param capacity: slots of a server
        """
        rollout = self.active[service]
        rollout.open_requests += OPEN_SMOOTHING * (open_requests - rollout.open_requests)
        exposed = self.ratio * rollout.open_requests * self.near_ingresses
        return max(1, ceil(exposed / (TRIAL_UTILIZATION * max(1, capacity))))

    def on_sent(self, now: int, attempt: AttemptKey) -> None:
        """Note that an attempt was sent."""
        rollout = self.active.get(attempt.service)
        if rollout is None:
            return
        if attempt.number == 0:
            rollout.budget.on_request()
        if attempt.server.version == rollout.directive.target_version:
            rollout.budget.on_exposed()
            rollout.evidence.on_exposed(attempt, attempt.route, now)

    def on_ended(self, attempt: AttemptKey, outcome: AttemptOutcome | None, took_us: int) -> None:
        """Take how an attempt ended; `outcome` None: it says nothing of the server."""
        rollout = self.active.get(attempt.service)
        if rollout is None:
            return
        is_new = attempt.server.version == rollout.directive.target_version
        is_error = outcome in ERRORS
        if outcome not in ANSWERS:
            rollout.evidence.on_abandoned(attempt)
        elif is_new:
            rollout.evidence.on_new_answer(attempt, took_us, error=is_error)
        else:
            rollout.evidence.on_old_answer(attempt.route, took_us, error=is_error)

    def reports(self, now: int, open_old: Callable[[str, str], int]) -> list[wire.ServiceEvidence]:
        """Return what was seen so far, by service.

        :param open_old: returns how many requests are open at servers of a service that have another version
        """
        found = []
        for service, rollout in self.active.items():
            directive = rollout.directive
            rollout.evidence.count_overdue(now)
            found.append(
                wire.ServiceEvidence(
                    service=service,
                    number=directive.number,
                    open_old=open_old(service, directive.target_version),
                    state=directive.state,
                    routes=rollout.evidence.messages(),
                )
            )
        return found
