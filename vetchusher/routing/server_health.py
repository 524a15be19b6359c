"""What the outcomes of attempts say of servers: their times, their failures, and how much they bear.

Servers that fail are ejected for a while (outlier detection).  Whatever an attempt shows of its request alone
does not count: one that was given less time than the service usually takes, and ran out of it, says nothing
of the server (`is_enough`).

All times are microseconds of one steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from vetchusher.discovery.server import Server
from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Service

from .claims import AttemptOutcome
from .server_state import ServerState

SMOOTHING = 0.15  # weight of the newest time
HALF_LIFE_US = (
    5_000_000  # half of what sets a server's time apart from its service's is forgotten in this time
)
DEFAULT_TIME_US = 50_000  # before anything was seen
REMOTE_REGION_US = 60_000  # added to the time of a region not yet tried
HUNG_FACTOR = 3.0  # usual times without an answer: what was given up after that counts as a failure
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in the smoothed failure rate
FAILURE_COST_FACTOR = 2.0  # a failure counts as that many usual times: quick failures must not attract
SHRINK = 0.7  # of the bound on requests out: when the server was full
GROW = 0.2  # of the same, for as many answers as are out
QUEUE_RATIO = 0.5  # of the capacity: what a server queues beyond it, as far as is counted on
MAX_FAILURES_IN_ROW = 3
EJECTION_US, MAX_EJECTION_US = 400_000, 8_000_000

SATURATED = frozenset({AttemptOutcome.NOT_EXECUTED})
FAILURES = frozenset(
    {AttemptOutcome.RESET, AttemptOutcome.GARBLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.SERVER_ERROR}
)


class ServerHealth:
    """Owner of one smoothed time for each service and region, and of how states change with outcomes."""

    def __init__(self, region: str, peers_of: Callable[[str], Sequence[ServerState]]) -> None:
        """Begin with nothing seen.

        :param region: of this ingress
        :param peers_of: the usable servers of a service
        """
        self.region = region
        self.peers_of = peers_of
        self.services: Mapping[str, Service] = {}
        self.mean_times: dict[tuple[str, str], float] = {}  # smoothed times (us) by service and region

    def mean_time(self, service: str, region: str) -> float:
        """Return the usual time (us) of a service's answers from a region."""
        known = self.mean_times.get((service, region))
        if known is not None:
            return known
        near = self.mean_times.get((service, self.region), DEFAULT_TIME_US)
        return near if region == self.region else near + REMOTE_REGION_US

    def expected_cost(self, now: int, state: ServerState, loss_us: int = 0) -> float:
        """Return the expected time of a request sent now: one smoothed time for each open request and for
        itself, plus what a failure would lose.

        A request that has waited longer than the smoothed time raises it.
        """
        mean = self.mean_time(state.server.service, state.region)
        apart = state.time_us - mean if state.time_us else 0.0
        kept: float = 0.5 ** ((now - state.time_measured_at) / HALF_LIFE_US)
        time = max(0.0, mean + apart * kept)
        if state.sent_times:
            time = max(time, now - state.sent_times[0])
        return (state.open_requests + 1) * time + self._failure_rate(now, state) * max(float(loss_us), mean)

    def _failure_rate(self, now: int, state: ServerState) -> float:
        kept: float = 0.5 ** ((now - state.failure_rate_at) / HALF_LIFE_US) if state.failure_rate else 0.0
        return state.failure_rate * kept

    def is_enough(self, state: ServerState, time_us: int) -> bool:
        """Return whether a server that has not answered after a time may be blamed for it.

        Safety: one client whose deadlines are too short would have servers ejected, and their bounds lowered,
        for all others.
        """
        return time_us > HUNG_FACTOR * self.mean_time(state.server.service, state.region)

    def on_ended(
        self, now: int, state: ServerState, outcome: AttemptOutcome, took_us: int, *, reset_at_once: bool
    ) -> LogEvent | None:
        """Take the outcome of an attempt; return an event where the server was ejected.

        :param took_us: from sending to the end
        :param reset_at_once: a reset that came so soon that the server was likely saturated
        """
        self._record_health(now, state, outcome, took_us)
        if outcome in SATURATED or (reset_at_once and outcome is AttemptOutcome.RESET):
            state.open_limit = max(1.0, min(state.open_limit, state.open_requests + 1.0) * SHRINK)
            if outcome in SATURATED:
                state.failures = 0
                return None
            return self._record_failure(now, state, 1)
        elif outcome is AttemptOutcome.NO_CONNECTION:
            self._record_time(now, state, took_us, failed=True)
            return self._record_failure(now, state, MAX_FAILURES_IN_ROW)
        elif outcome in FAILURES:
            self._record_time(now, state, took_us, failed=True)
            return self._record_failure(now, state, 1)
        elif outcome is AttemptOutcome.ANSWERED:
            self._record_time(now, state, took_us, failed=False)
            state.failures, state.ejection_us = 0, state.ejection_us // 2
            if state.open_requests + 2 > state.open_limit:  # it was the bound that kept more away
                most = self.max_open(state.server)
                state.open_limit = min(most, state.open_limit + GROW / state.open_limit)
        return None

    def _record_health(self, now: int, state: ServerState, outcome: AttemptOutcome, took_us: int) -> None:
        """Learn a server's health from how a request ended.

        Safety: a server that hangs would never be blamed for what was given up in favour of a hedged request.
        """
        mean = self.mean_time(state.server.service, state.region)
        hung = outcome is AttemptOutcome.CANCELLED and took_us > HUNG_FACTOR * mean
        if (
            hung
            or outcome is AttemptOutcome.ANSWERED
            or outcome is AttemptOutcome.NO_CONNECTION
            or outcome in FAILURES
        ):
            rate, failed = self._failure_rate(now, state), float(outcome is not AttemptOutcome.ANSWERED)
            state.failure_rate, state.failure_rate_at = rate + FAILURE_WEIGHT * (failed - rate), now

    def _record_time(self, now: int, state: ServerState, took_us: int, failed: bool) -> None:
        key = (state.server.service, state.region)
        mean = self.mean_time(*key)
        took = max(float(took_us), FAILURE_COST_FACTOR * mean) if failed else float(took_us)
        before = state.time_us or took
        state.time_us = before + SMOOTHING * (took - before)
        state.time_measured_at = now
        if not failed:
            self.mean_times[key] = (
                took if key not in self.mean_times else mean + SMOOTHING / 2 * (took - mean)
            )

    def _record_failure(self, now: int, state: ServerState, weight: int) -> LogEvent | None:
        """Eject a server after failures in a row, longer each time.

        Safety: what looks like many bad servers may be a bad path from here, or a bad kind of request; with
        more than half of a service ejected, the others would fall over.
        """
        state.failures += weight
        service = state.server.service
        if state.failures < MAX_FAILURES_IN_ROW or now < state.ejected_until:
            return None
        peers = self.peers_of(service)
        ejected = sum(1 for s in peers if now < s.ejected_until)
        if 2 * (ejected + 1) > len(peers):
            return None
        state.ejection_us = min(MAX_EJECTION_US, 2 * state.ejection_us or EJECTION_US)
        state.ejected_until = now + state.ejection_us
        state.failures = MAX_FAILURES_IN_ROW - 1  # the next failure rests it again
        return LogEvent(
            Event.SERVER_EJECTED, {"instance": state.server.instance, "for_ms": state.ejection_us // 1000}
        )

    def max_open(self, server: Server) -> float:
        """Return how many requests a server bears from here at the most."""
        service = self.services.get(server.service)
        most = server.capacity + max(1.0, QUEUE_RATIO * server.capacity)
        return max(1.0, min(most, service.connection_cap) if service and service.connection_cap > 0 else most)

    def first_limit(self, server: Server) -> float:
        """Return the bound on requests to a server of which nothing is known yet."""
        return max(1.0, min(float(server.capacity), self.max_open(server)))
