"""Health of servers as learned from attempt outcomes: response times, failures and concurrency limits.

Servers that fail are ejected for a while (outlier detection). An outcome that depends on the request alone
does not count: if a request had less time than the service usually takes, its time-out says nothing about
the server (`is_attributable_timeout`).

All times are microseconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from vetchusher.discovery.server import Server
from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Service

from .claims import AttemptOutcome
from .server_state import ServerState

TIME_SMOOTHING_RATIO = 0.15  # weight of the newest response time in a server's smoothed time
# A server's deviation from its service's mean response time, and its failure rate, decay with this half-life.
DEVIATION_HALF_LIFE_US = 5_000_000
DEFAULT_RESPONSE_TIME_US = 50_000  # assumed response time before the first measurement
REMOTE_REGION_EXTRA_US = 60_000  # added to the response time that is assumed for another region
UNRESPONSIVE_FACTOR = 3.0  # mean response times without a response after which an attempt counts as failed
FAILURE_SMOOTHING_RATIO = 0.25  # weight of the newest outcome in the smoothed failure rate
# A failed attempt counts as at least this many mean response times, so that a server that fails quickly does
# not attract requests.
FAILURE_COST_FACTOR = 2.0
LIMIT_DECREASE_FACTOR = 0.7  # the concurrency limit is multiplied by this when the server was saturated
LIMIT_INCREASE = 0.2  # added to the concurrency limit per as many successful responses as the limit
# Part of the capacity by which the limit may exceed it, so that the server's queue is used.
QUEUE_RATIO = 0.5
MAX_CONSECUTIVE_FAILURES = 3
EJECTION_US, MAX_EJECTION_US = 400_000, 8_000_000

SATURATED_OUTCOMES = frozenset({AttemptOutcome.NOT_EXECUTED})
FAILURE_OUTCOMES = frozenset(
    {AttemptOutcome.RESET, AttemptOutcome.GARBLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.SERVER_ERROR}
)


class ServerHealth:
    """Updates server states from attempt outcomes, and keeps a mean response time per service and region."""

    def __init__(self, region: str, peers_of: Callable[[str], Sequence[ServerState]]) -> None:
        """Start without measurements.

        :param region: region of this ingress
        :param peers_of: returns the usable servers of a service
        """
        self.region = region
        self.peers_of = peers_of
        self.services: Mapping[str, Service] = {}
        self.mean_times: dict[tuple[str, str], float] = {}  # smoothed times (us) by service and region

    def mean_time(self, service: str, region: str) -> float:
        """Return the mean response time (us) of a service in a region, assumed until one was measured."""
        measured = self.mean_times.get((service, region))
        if measured is not None:
            return measured
        local_us = self.mean_times.get((service, self.region), DEFAULT_RESPONSE_TIME_US)
        return local_us if region == self.region else local_us + REMOTE_REGION_EXTRA_US

    def expected_cost(self, now: int, state: ServerState, failure_cost_us: int = 0) -> float:
        """Return the expected cost (us) of sending a request to a server now.

        The cost is one smoothed response time for each open request and for the request itself, plus the
        failure rate times the cost of a failure. If the oldest request without a response has waited longer
        than the smoothed time, its waiting time is used instead.

        :param failure_cost_us: cost of a failed attempt; at least the mean response time is used
        """
        mean_us = self.mean_time(state.server.service, state.region)
        deviation_us = state.time_us - mean_us if state.time_us else 0.0
        decay: float = 0.5 ** ((now - state.time_measured_at) / DEVIATION_HALF_LIFE_US)
        time_us = max(0.0, mean_us + deviation_us * decay)
        if state.sent_times:
            time_us = max(time_us, now - state.sent_times[0])
        return (state.open_requests + 1) * time_us + self._failure_rate(now, state) * max(
            float(failure_cost_us), mean_us
        )

    def _failure_rate(self, now: int, state: ServerState) -> float:
        """Return the server's smoothed failure rate, decayed until now."""
        decay: float = (
            0.5 ** ((now - state.failure_rate_at) / DEVIATION_HALF_LIFE_US) if state.failure_rate else 0.0
        )
        return state.failure_rate * decay

    def is_attributable_timeout(self, state: ServerState, time_us: int) -> bool:
        """Return whether a missing response after some time counts as the server's failure.

        Safety: time-outs below `UNRESPONSIVE_FACTOR` mean response times do not count: otherwise one client
        with too short deadlines would have servers ejected and their limits lowered for all other clients.
        """
        return time_us > UNRESPONSIVE_FACTOR * self.mean_time(state.server.service, state.region)

    def on_ended(
        self, now: int, state: ServerState, outcome: AttemptOutcome, took_us: int, *, reset_at_once: bool
    ) -> LogEvent | None:
        """Update a server's state from the outcome of an attempt; return an event if the server was ejected.

        :param took_us: time from sending to the end, us
        :param reset_at_once: the connection was reset so soon that the server was likely saturated
        """
        self._record_health(now, state, outcome, took_us)
        if outcome in SATURATED_OUTCOMES or (reset_at_once and outcome is AttemptOutcome.RESET):
            state.open_limit = max(
                1.0, min(state.open_limit, state.open_requests + 1.0) * LIMIT_DECREASE_FACTOR
            )
            if outcome in SATURATED_OUTCOMES:
                state.failures = 0
                return None
            return self._record_failure(now, state, 1)
        elif outcome is AttemptOutcome.NO_CONNECTION:
            self._record_time(now, state, took_us, failed=True)
            return self._record_failure(now, state, MAX_CONSECUTIVE_FAILURES)
        elif outcome in FAILURE_OUTCOMES:
            self._record_time(now, state, took_us, failed=True)
            return self._record_failure(now, state, 1)
        elif outcome is AttemptOutcome.ANSWERED:
            self._record_time(now, state, took_us, failed=False)
            state.failures, state.ejection_us = 0, state.ejection_us // 2
            # The server was saturated until this response ended: it was the limit that kept requests away.
            if state.open_requests + 2 > state.open_limit:
                limit = self.max_open_limit(state.server)
                state.open_limit = min(limit, state.open_limit + LIMIT_INCREASE / state.open_limit)
        return None

    def _record_health(self, now: int, state: ServerState, outcome: AttemptOutcome, took_us: int) -> None:
        """Update a server's failure rate.

        Safety: an attempt that was cancelled after a long time without a response counts as a failure.
        Otherwise a hanging server would never fail: its attempts are cancelled when their hedges succeed.
        """
        mean_us = self.mean_time(state.server.service, state.region)
        is_unresponsive = outcome is AttemptOutcome.CANCELLED and took_us > UNRESPONSIVE_FACTOR * mean_us
        if (
            is_unresponsive
            or outcome is AttemptOutcome.ANSWERED
            or outcome is AttemptOutcome.NO_CONNECTION
            or outcome in FAILURE_OUTCOMES
        ):
            failure_rate, failed = (
                self._failure_rate(now, state),
                float(outcome is not AttemptOutcome.ANSWERED),
            )
            state.failure_rate, state.failure_rate_at = (
                failure_rate + FAILURE_SMOOTHING_RATIO * (failed - failure_rate),
                now,
            )

    def _record_time(self, now: int, state: ServerState, took_us: int, failed: bool) -> None:
        """Update a server's smoothed time and, after a successful response, its service's mean time."""
        key = (state.server.service, state.region)
        mean_us = self.mean_time(*key)
        measured_us = max(float(took_us), FAILURE_COST_FACTOR * mean_us) if failed else float(took_us)
        previous_us = state.time_us or measured_us
        state.time_us = previous_us + TIME_SMOOTHING_RATIO * (measured_us - previous_us)
        state.time_measured_at = now
        if not failed:
            self.mean_times[key] = (
                measured_us
                if key not in self.mean_times
                else mean_us + TIME_SMOOTHING_RATIO / 2 * (measured_us - mean_us)
            )

    def _record_failure(self, now: int, state: ServerState, weight: int) -> LogEvent | None:
        """Eject a server after consecutive failures, twice as long each time.

        Safety: at most half of a service's servers are ejected at once. Many failing servers may mean a bad
        network path from this ingress or a bad kind of request, and the remaining servers would be
        overloaded.

        :param weight: number of failures that the outcome counts for
        """
        state.failures += weight
        service = state.server.service
        if state.failures < MAX_CONSECUTIVE_FAILURES or now < state.ejected_until:
            return None
        peers = self.peers_of(service)
        ejected = sum(1 for peer in peers if now < peer.ejected_until)
        if 2 * (ejected + 1) > len(peers):
            return None
        state.ejection_us = min(MAX_EJECTION_US, 2 * state.ejection_us or EJECTION_US)
        state.ejected_until = now + state.ejection_us
        state.failures = MAX_CONSECUTIVE_FAILURES - 1  # the next failure ejects it again
        return LogEvent(
            Event.SERVER_EJECTED, {"instance": state.server.instance, "for_ms": state.ejection_us // 1000}
        )

    def max_open_limit(self, server: Server) -> float:
        """Return the upper bound of a server's concurrency limit."""
        service = self.services.get(server.service)
        limit = server.capacity + max(1.0, QUEUE_RATIO * server.capacity)
        return max(
            1.0, min(limit, service.connection_cap) if service and service.connection_cap > 0 else limit
        )

    def initial_limit(self, server: Server) -> float:
        """Return the concurrency limit of a server of which nothing is known yet."""
        return max(1.0, min(float(server.capacity), self.max_open_limit(server)))
