"""Load balancing: which server gets a request, by what this ingress has seen of each itself.

Two servers are drawn at random and the one with the lower expected cost is taken (power of two choices,
Mitzenmacher 2001), from this ingress's subset (`subsets`) unless that does badly. Servers that fail are
ejected for a while (outlier detection).

`ServerSelector` owns one `ServerState` for each listed server, and one smoothed time for each service and
region; both go when the list no longer names them. All times are microseconds of one steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from vetchusher.discovery.server import Server
from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Service

from .claims import AttemptOutcome
from .subsets import Subsets

COLD_BURST_REQUESTS = (
    3.0  # requests that a cold server may get at once: what it is allowed in a second is more
)
EVACUATION_END_LAG_US = (
    2_000_000  # after an evacuation ends: until the list says which of its servers are cold
)
SMOOTHING = 0.15  # weight of the newest time
HALF_LIFE_US = (
    5_000_000  # half of what sets a server's time apart from its service's is forgotten in this time
)
DEFAULT_TIME_US = 50_000  # before anything was seen
REMOTE_REGION_US = 60_000  # added to the time of a region not yet tried
OUTSIDE_FACTOR = 1.75  # usual times that the best of the subset may cost before others are considered
HUNG_FACTOR = 3.0  # usual times without an answer: what was given up after that counts as a failure
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in the smoothed failure rate
FAILURE_COST_FACTOR = (
    2.0  # a failure counts as that many usual times at least: quick failures must not attract
)
SHRINK, GROW = (
    0.7,
    0.2,
)  # of the bound on requests out: when the server was full; for as many answers as are out
QUEUE_RATIO = 0.5  # of the capacity: what a server queues beyond it, as far as is counted on
MAX_FAILURES_IN_ROW = 3
EJECTION_US, MAX_EJECTION_US = 400_000, 8_000_000
RANDOM_DRAWS = 6  # before all servers are looked at

SATURATED = frozenset({AttemptOutcome.NOT_EXECUTED})
FAILURES = frozenset(
    {AttemptOutcome.RESET, AttemptOutcome.GARBLED, AttemptOutcome.TIMED_OUT, AttemptOutcome.SERVER_ERROR}
)


@dataclass(slots=True)
class ServerState:
    """What is known of one server.

    :param open_limit: requests that may be open there from here at once; at least 1
    :param time_us: smoothed time from sending to the response, the way included; 0: none yet
    :param failures: in a row
    :param failure_rate: smoothed, as of `failure_rate_at`
    :param sent_times: when each request without a response yet was sent (us), the oldest first
    :param preferred: it is in this ingress's subset
    :param ejected_until: us; until then it gets no request
    :param is_misdirected: it answered that another server has its address
    """

    server: Server
    region: str
    open_limit: float
    open_requests: int = 0
    time_us: float = 0.0
    time_measured_at: int = 0
    failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: int = 0
    sent_times: list[int] = field(default_factory=list)
    preferred: bool = True
    ejection_us: int = 0
    ejected_until: int = 0
    is_misdirected: bool = False  # it answered that another server has its address
    tokens: float = COLD_BURST_REQUESTS
    tokens_at: int = 0


class ServerSelector:
    """Owner of the states of all listed servers."""

    def __init__(self, rng: random.Random, node: str, region: str, zones: Mapping[str, str]) -> None:
        """Begin without servers.

        :param node: this ingress's name, by which rows name the owner of a cold server's budget
        :param zones: the region of each zone
        """
        self.rng = rng
        self.node = node
        self.region = region
        self.zones = zones
        self.subsets = Subsets(node)
        self.services: Mapping[str, Service] = {}
        self.server_states: dict[str, ServerState] = {}
        self.usable: dict[
            str, dict[str, list[ServerState]]
        ] = {}  # by service and region: what may be used at all
        self.mean_times: dict[tuple[str, str], float] = {}  # smoothed times (us) by service and region
        self.evacuated_zones: frozenset[str] = frozenset()  # zones under evacuation
        self.cold_budget_until = 0  # us: until then this ingress may use the cold budgets that it owns
        self.evacuation_ended_at: dict[
            str, int
        ] = {}  # by zone: when its last evacuation ended; as many as there are zones

    def is_listed(self, instance: object) -> bool:
        """Return whether a server is on the list."""
        return instance in self.server_states

    def configure(self, services: Mapping[str, Service]) -> None:
        """Take the services of a configuration."""
        self.services = services
        for state in self.server_states.values():
            state.open_limit = min(state.open_limit, self._max_open(state.server))

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Take the complete list; what is known of a server stays as long as the list names its instance."""
        before, self.server_states = self.server_states, {}
        for server in servers:
            state = before.get(server.instance)
            if state is None:
                state = ServerState(server, self.zones.get(server.zone, ""), self._first_limit(server))
            state.server = server
            self.server_states[server.instance] = state
        self.subsets.keep(self.server_states)
        self._update_usable()

    def set_ingresses(self, zones: Mapping[str, str]) -> None:
        """Take the ingresses of this region that may be serving: name to zone."""
        if self.subsets.ingresses(zones):
            self._update_usable()

    def set_evacuated(self, zones: frozenset[str], now: int) -> None:
        """Take the zones whose servers get no requests."""
        for zone in self.evacuated_zones - zones:
            self.evacuation_ended_at[zone] = now
        self.evacuated_zones = zones
        self._update_usable()

    def _update_usable(self) -> None:
        self.usable = {}
        for state in self.server_states.values():
            server = state.server
            if not server.draining and server.zone not in self.evacuated_zones:
                regions = self.usable.setdefault(server.service, {})
                regions.setdefault(state.region, []).append(state)
        for regions in self.usable.values():
            for states in regions.values():
                for state in states:
                    server = state.server
                    state.preferred = self.subsets.contains(server.instance, server.zone, len(states))
        self.mean_times = {
            key: m for key, m in self.mean_times.items() if key[1] in self.usable.get(key[0], {})
        }

    def choose(
        self,
        now: int,
        service: str,
        allowed: frozenset[str] | None,
        exclude: Collection[str] = (),
        loss_us: int = 0,
    ) -> Server | None:
        """Return a server with capacity; None: there is none.

        Warm ones of the own region come first, then its cold ones owned here, then those of the region whose
        responses come soonest.

        :param allowed: regions; None: every region
        :param exclude: instances to which this request was sent
        :param loss_us: what a failure costs, as a time: what may run only once is lost with it
        """
        regions = {
            name: found
            for name, found in self.usable.get(service, {}).items()
            if allowed is None or name in allowed
        }
        near = regions.pop(self.region, None)
        far = sorted(regions, key=lambda name: self._mean_time(service, name)) if regions else []
        for states in ([near] if near else []) + [regions[name] for name in far]:
            if (found := self._choose_warm(now, states, exclude, loss_us)) is not None:
                return found.server
            if (found := self._choose_cold(now, states, exclude)) is not None:
                return found.server
        return None

    def _choose_warm(
        self, now: int, states: list[ServerState], exclude: Collection[str], loss_us: int
    ) -> ServerState | None:
        """Return a server of the subset, unless one outside costs less and the subset costs too much."""

        def cost(state: ServerState) -> float:
            return self._expected_cost(now, state, loss_us)

        subset = [s for s in states if s.preferred]
        enough = OUTSIDE_FACTOR * self._mean_time(states[0].server.service, states[0].region)
        found = self._better_of_two(now, subset, exclude, cost)
        if found is not None and cost(found) > enough:
            fit = [s for s in subset if self._is_usable_warm(now, s, exclude)]
            found = min(fit, key=lambda s: (cost(s), self.rng.random()))
        if len(subset) < len(states) and (found is None or cost(found) > enough):
            other = self._better_of_two(now, [s for s in states if not s.preferred], exclude, cost)
            if other is not None and (found is None or cost(other) < cost(found)):
                return other
        return found

    def _better_of_two(
        self,
        now: int,
        states: list[ServerState],
        exclude: Collection[str],
        cost: Callable[[ServerState], float],
    ) -> ServerState | None:
        """Draw two of the usable ones, and return the one that should answer sooner."""
        first: ServerState | None = None
        for _ in range(RANDOM_DRAWS if len(states) > RANDOM_DRAWS else 0):
            drawn = states[int(self.rng.random() * len(states))]
            if drawn is not first and self._is_usable_warm(now, drawn, exclude):
                if first is not None:
                    return min(first, drawn, key=cost)
                first = drawn
        fit = [s for s in states if self._is_usable_warm(now, s, exclude)]
        if len(fit) > 1:
            fit = self.rng.sample(fit, 2)
        return min(fit, key=cost, default=None)

    def _is_usable_warm(self, now: int, state: ServerState, exclude: Collection[str]) -> bool:
        return self._is_usable(now, state, exclude) and not self._is_cold(now, state)

    def _choose_cold(
        self, now: int, states: list[ServerState], exclude: Collection[str]
    ) -> ServerState | None:
        """Return a cold server whose budget this ingress owns and that may have one more request now.

        Safety: only the named owner may send, and only at the allowed rate, which is meant for all ingresses
        together. An ingress that is out of touch may have lost the ownership.
        """
        if now >= self.cold_budget_until:
            return None
        for state in states:
            server = state.server
            if server.cold_owner != self.node or now < server.owned_from:
                continue
            usable = self._is_usable(now, state, exclude) and self._is_cold(now, state)
            if usable and self._tokens(now, state) >= 1.0:
                return state
        return None

    def _is_usable(self, now: int, state: ServerState, exclude: Collection[str]) -> bool:
        return (
            state.open_requests + 1 <= state.open_limit
            and now >= state.ejected_until
            and not state.is_misdirected
            and state.server.instance not in exclude
        )

    def state_name(self, now: int, state: ServerState) -> str:
        """Return what keeps requests from a server now, for operators; `usable`: nothing does."""
        server = state.server
        if server.draining:
            return "draining"
        if server.zone in self.evacuated_zones:
            return "evacuated"
        if state.is_misdirected:
            return "misdirected"
        if now < state.ejected_until:
            return "ejected"
        return "cold" if self._is_cold(now, state) else "usable"

    def _is_cold(self, now: int, state: ServerState) -> bool:
        server = state.server
        if now < server.cold_until:
            return True
        if (opened := self.evacuation_ended_at.get(server.zone)) is None:
            return False
        service = self.services.get(server.service)
        return now < opened + int((service.cold_s if service else 0.0) * 1e6) + EVACUATION_END_LAG_US

    def _tokens(self, now: int, state: ServerState) -> float:
        service = self.services.get(state.server.service)
        rate = service.cold_rate_s if service else 0.0
        return min(COLD_BURST_REQUESTS, state.tokens + rate * max(0, now - state.tokens_at) / 1e6)

    def _mean_time(self, service: str, region: str) -> float:
        known = self.mean_times.get((service, region))
        if known is not None:
            return known
        near = self.mean_times.get((service, self.region), DEFAULT_TIME_US)
        return near if region == self.region else near + REMOTE_REGION_US

    def _expected_cost(self, now: int, state: ServerState, loss_us: int = 0) -> float:
        """Return the expected time of a request sent now: one smoothed time for each open request and for
        itself, plus what a failure would lose.

        A request that has waited longer than the smoothed time raises it.
        """
        mean = self._mean_time(state.server.service, state.region)
        apart = state.time_us - mean if state.time_us else 0.0
        kept: float = 0.5 ** ((now - state.time_measured_at) / HALF_LIFE_US)
        time = max(0.0, mean + apart * kept)
        if state.sent_times:
            time = max(time, now - state.sent_times[0])
        return (state.open_requests + 1) * time + self._failure_rate(now, state) * max(float(loss_us), mean)

    def _failure_rate(self, now: int, state: ServerState) -> float:
        kept: float = 0.5 ** ((now - state.failure_rate_at) / HALF_LIFE_US) if state.failure_rate else 0.0
        return state.failure_rate * kept

    def on_sent(self, now: int, instance: str) -> None:
        """Note that a request was sent to a server; `on_ended` is owed for it."""
        state = self.server_states.get(instance)
        if state is None:
            return
        state.open_requests += 1
        state.sent_times.append(now)
        if self._is_cold(now, state):
            state.tokens, state.tokens_at = self._tokens(now, state) - 1.0, now

    def on_response_begun(self, instance: str, sent_at: int) -> None:
        """Note that a response has begun: the rest takes as long as its client reads."""
        state = self.server_states.get(instance)
        if state is not None and sent_at in state.sent_times:
            state.sent_times.remove(sent_at)

    def on_ended(
        self, now: int, instance: str, outcome: AttemptOutcome, took_us: int, reset_at_once: bool = False
    ) -> LogEvent | None:
        """Take the outcome of a request; return an event where the server was ejected.

        :param took_us: from sending to the end
        :param reset_at_once: a reset that came so soon that the server was likely saturated
        """
        state = self.server_states.get(instance)
        if state is None:
            return None
        state.open_requests = max(0, state.open_requests - 1)
        if now - took_us in state.sent_times:
            state.sent_times.remove(now - took_us)
        del state.sent_times[: max(0, len(state.sent_times) - state.open_requests)]
        self._record_health(now, state, outcome, took_us)
        if outcome is AttemptOutcome.MISDIRECTED:
            state.is_misdirected = True
        elif outcome in SATURATED or (reset_at_once and outcome is AttemptOutcome.RESET):
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
                most = self._max_open(state.server)
                state.open_limit = min(most, state.open_limit + GROW / state.open_limit)
        return None

    def _record_health(self, now: int, state: ServerState, outcome: AttemptOutcome, took_us: int) -> None:
        """Learn a server's health from how a request ended.

        Safety: a server that hangs would never be blamed for what was given up in favour of a hedged request.
        """
        mean = self._mean_time(state.server.service, state.region)
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
        mean = self._mean_time(*key)
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
        peers = [s for found in self.usable.get(service, {}).values() for s in found]
        ejected = sum(1 for s in peers if now < s.ejected_until)
        if 2 * (ejected + 1) > len(peers):
            return None
        state.ejection_us = min(MAX_EJECTION_US, 2 * state.ejection_us or EJECTION_US)
        state.ejected_until = now + state.ejection_us
        state.failures = MAX_FAILURES_IN_ROW - 1  # the next failure rests it again
        return LogEvent(
            Event.SERVER_EJECTED, {"instance": state.server.instance, "for_ms": state.ejection_us // 1000}
        )

    def _max_open(self, server: Server) -> float:
        service = self.services.get(server.service)
        most = server.capacity + max(1.0, QUEUE_RATIO * server.capacity)
        return max(1.0, min(most, service.connection_cap) if service and service.connection_cap > 0 else most)

    def _first_limit(self, server: Server) -> float:
        return max(1.0, min(float(server.capacity), self._max_open(server)))
