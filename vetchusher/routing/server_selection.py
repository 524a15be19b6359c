"""Load balancing: selects the server for a request from this ingress's own measurements.

Two servers are drawn at random and the one with the lower expected cost is used (power of two choices,
Mitzenmacher 2001). They are drawn from this ingress's subset (`subsets`) unless the subset costs too much.

`ServerSelector` owns one `ServerState` for each server of the server list, and drops it when the list no
longer names the server. `server_health` updates the states from attempt outcomes. All times are microseconds
of one monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from enum import Enum, auto
from hashlib import blake2b

from vetchusher.discovery.server import Server
from vetchusher.events import LogEvent
from vetchusher.rollout.directive import Directive, ServerPool
from vetchusher.settings.configuration import Service

from .claims import AttemptOutcome
from .evacuations import Evacuations
from .server_health import ServerHealth
from .server_state import COLD_BURST_REQUESTS, ServerState
from .subsets import Subsets

# Mean response times that the best server of the subset may cost before servers outside it are considered.
MAX_SUBSET_COST_FACTOR = 1.75
MAX_RANDOM_DRAWS = 6  # random draws before all servers of a list are examined
# Ratio of the exposures that go to any server of the new version rather than to the few trial servers, so
# that each of its servers is observed.
SPREAD_EXPOSURE_RATIO = 0.5


class NoServerReason(Enum):
    """Why no server can be chosen."""

    NO_REGION = auto()  # the home regions of route and tenant have no region in common
    NONE_LISTED = auto()  # the allowed regions have no servers, or all of them are draining or evacuated
    ALL_OUT = (
        auto()
    )  # all are ejected, misdirected, tried by this request, or cold and owned by another ingress
    FULL = auto()  # at least one is eligible, but has reached its concurrency limit or its cold budget


class ServerSelector:
    """Selects servers, and owns the state of every server of the server list."""

    def __init__(self, rng: random.Random, node: str, region: str, zones: Mapping[str, str]) -> None:
        """Start without servers.

        :param node: name of this ingress, by which the server list names the owner of a cold server's budget
        :param region: region of this ingress
        :param zones: region by zone
        """
        self.rng = rng
        self.node = node
        self.region = region
        self.zones = zones
        self.subsets = Subsets(node)
        self.health = ServerHealth(region, self.usable_servers)
        self.services: Mapping[str, Service] = {}
        self.server_states: dict[str, ServerState] = {}
        # By service and region: servers that are neither draining, evacuated nor excluded by a rollout.
        self.usable: dict[str, dict[str, list[ServerState]]] = {}
        # By service and region: servers of a new version, which get exposures only; the lowest rank first.
        self.candidates: dict[str, dict[str, list[ServerState]]] = {}
        self.directives: Mapping[str, Directive] = {}  # the newest rollouts, by service
        self.evacuations = Evacuations()
        self.cold_budget_until = 0  # us: until then this ingress may use the cold budgets that it owns

    def is_listed(self, instance: object) -> bool:
        """Return whether an instance is in the server list."""
        return instance in self.server_states

    def configure(self, services: Mapping[str, Service]) -> None:
        """Apply the services of a new configuration, and lower concurrency limits to its bounds."""
        self.services = self.health.services = services
        for state in self.server_states.values():
            state.open_limit = min(state.open_limit, self.health.max_open_limit(state.server))

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Apply a complete server list; the state of a server is kept while the list names its instance."""
        previous, self.server_states = self.server_states, {}
        for server in servers:
            state = previous.get(server.instance)
            if state is None:
                state = ServerState(
                    server, self.zones.get(server.zone, ""), self.health.initial_limit(server)
                )
            state.server = server
            self.server_states[server.instance] = state
        self.subsets.retain_servers(self.server_states)
        self._update_usable()

    def set_ingresses(self, zones: Mapping[str, str]) -> None:
        """Update the ingresses of this region that may be serving.

        :param zones: zone by ingress name, including this ingress
        """
        if self.subsets.set_ingresses(zones):
            self._update_usable()

    def set_evacuations(self, zones: frozenset[str], ended: Mapping[str, int], now: int) -> None:
        """Update the zones under evacuation, whose servers get no requests, and which evacuations have ended.

        :param ended: number of the order that ended a zone's last evacuation, by zone
        """
        self.evacuations.update(now, zones, ended)
        self._update_usable()

    def set_rollouts(self, directives: Mapping[str, Directive]) -> None:
        """Update the newest rollouts, by service; they decide which versions get requests."""
        if directives != self.directives:
            self.directives = directives
            self._update_usable()

    def _pool_of(self, state: ServerState, targets: Collection[str]) -> ServerPool:
        """Return the pool that a server belongs to: normal requests, exposures only, or unused.

        :param targets: services that have servers of the version that is being rolled out
        """
        server = state.server
        if server.draining or server.zone in self.evacuations.zones:
            return ServerPool.UNUSED
        directive = self.directives.get(server.service)
        if directive is None:
            return ServerPool.STABLE
        return directive.pool_of(server.version, target_listed=server.service in targets)

    def _services_with_targets(self) -> set[str]:
        """Return the services that have servers of the version that is being rolled out."""
        return {
            state.server.service
            for state in self.server_states.values()
            if (directive := self.directives.get(state.server.service)) is not None
            and state.server.version == directive.target_version
            and not state.server.draining
        }

    def _update_usable(self) -> None:
        """Recompute the usable servers, the candidates for exposures, and the subset."""
        self.usable, self.candidates = {}, {}
        targets = self._services_with_targets() if self.directives else ()
        for state in self.server_states.values():
            pool = self._pool_of(state, targets)
            if pool is not ServerPool.UNUSED:
                pools = self.usable if pool is ServerPool.STABLE else self.candidates
                pools.setdefault(state.server.service, {}).setdefault(state.region, []).append(state)
        for regions in self.candidates.values():
            for states in regions.values():
                states.sort(key=lambda state: trial_rank(state.server.instance))
        for regions in self.usable.values():
            for states in regions.values():
                for state in states:
                    server = state.server
                    state.preferred = self.subsets.contains(server.instance, server.zone, len(states))
        self.health.mean_times = {
            key: mean for key, mean in self.health.mean_times.items() if key[1] in self.usable.get(key[0], {})
        }

    def choose(
        self,
        now: int,
        service: str,
        allowed: frozenset[str] | None,
        exclude: Collection[str] = (),
        failure_cost_us: int = 0,
    ) -> Server | None:
        """Return a server with capacity, or None.

        Warm servers of this ingress's region come first, then its cold servers whose budget this ingress
        owns, then those of the other regions in the order of their mean response times.

        :param allowed: allowed regions; None: every region
        :param exclude: instances to which this request was already sent
        :param failure_cost_us: cost of a failed attempt; 0 if the request can be retried
        """
        regions = {
            name: states
            for name, states in self.usable.get(service, {}).items()
            if allowed is None or name in allowed
        }
        local_states = regions.pop(self.region, None)
        remote_regions = (
            sorted(regions, key=lambda name: self.health.mean_time(service, name)) if regions else []
        )
        for states in ([local_states] if local_states else []) + [regions[name] for name in remote_regions]:
            if (found := self._choose_warm(now, states, exclude, failure_cost_us)) is not None:
                return found.server
            if (found := self._choose_cold(now, states, exclude)) is not None:
                return found.server
        return None

    def choose_candidate(
        self, now: int, service: str, allowed: frozenset[str] | None, count: int
    ) -> Server | None:
        """Return a warm server with capacity of the version that is being rolled out, or None.

        :param count: trial servers of each region, which get the exposures that are not spread over all
        """
        regions = self.candidates.get(service, {})
        for region in sorted(regions, key=lambda name: name != self.region):
            if allowed is not None and region not in allowed:
                continue
            eligible = [
                state
                for state in regions[region]
                if not state.is_unavailable(now, ()) and not self._is_cold(now, state)
            ]
            is_spread = self.rng.random() < SPREAD_EXPOSURE_RATIO
            available = [
                state for state in (eligible if is_spread else eligible[:count]) if not state.is_saturated()
            ]
            if is_spread and available:
                return self.rng.choice(available).server
            if available:
                return min(available, key=lambda state: (state.open_requests, self.rng.random())).server
        return None

    def load_of(self, service: str) -> tuple[int, int]:
        """Return this ingress's open requests at a service, and the largest capacity of its servers."""
        states = self.usable_servers(service)
        return sum(state.open_requests for state in states), max(
            (state.server.capacity for state in states), default=1
        )

    def open_at_other_versions(self, service: str, version: str) -> int:
        """Return this ingress's open requests at servers of a service that have another version."""
        return sum(
            state.open_requests
            for state in self.server_states.values()
            if state.server.service == service and state.server.version != version
        )

    def region_of(self, server: Server) -> str:
        """Return the region of a server, or an empty string if its zone is unknown."""
        return self.zones.get(server.zone, "")

    def regions_of(self, service: str, allowed: frozenset[str] | None) -> list[str]:
        """Return the allowed regions that have usable servers of a service."""
        return [region for region in self.usable.get(service, {}) if allowed is None or region in allowed]

    def usable_servers(self, service: str) -> list[ServerState]:
        """Return the servers of a service that are neither draining, evacuated nor excluded by a rollout."""
        return [state for states in self.usable.get(service, {}).values() for state in states]

    def has_capacity(self, now: int, service: str, allowed: frozenset[str] | None) -> bool:
        """Return whether a warm server in the allowed regions could take a request now."""
        return any(
            self._is_usable_warm(now, state, ())
            for state in self.usable_servers(service)
            if allowed is None or state.region in allowed
        )

    def no_server_reason(
        self, now: int, service: str, allowed: frozenset[str] | None, exclude: Collection[str] = ()
    ) -> NoServerReason:
        """Return why `choose` finds no server for the same arguments."""
        if allowed is not None and not allowed:
            return NoServerReason.NO_REGION
        states = [
            state for state in self.usable_servers(service) if allowed is None or state.region in allowed
        ]
        if not states:
            return NoServerReason.NONE_LISTED
        in_service = [state for state in states if not state.is_unavailable(now, exclude)]
        if any(not self._is_cold(now, state) or self._owns_budget(now, state) for state in in_service):
            return NoServerReason.FULL
        return NoServerReason.ALL_OUT

    def _choose_warm(
        self, now: int, states: list[ServerState], exclude: Collection[str], failure_cost_us: int
    ) -> ServerState | None:
        """Return a warm server of the subset, or a cheaper one outside it if the subset costs too much."""

        def cost(state: ServerState) -> float:
            return self.health.expected_cost(now, state, failure_cost_us)

        subset = [state for state in states if state.preferred]
        cost_limit = MAX_SUBSET_COST_FACTOR * self.health.mean_time(
            states[0].server.service, states[0].region
        )
        found = self._better_of_two(now, subset, exclude, cost)
        if found is not None and cost(found) > cost_limit:
            eligible = [state for state in subset if self._is_usable_warm(now, state, exclude)]
            found = min(eligible, key=lambda state: (cost(state), self.rng.random()))
        if len(subset) < len(states) and (found is None or cost(found) > cost_limit):
            other = self._better_of_two(
                now, [state for state in states if not state.preferred], exclude, cost
            )
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
        """Draw two usable servers at random and return the one with the lower expected cost, or None."""
        first: ServerState | None = None
        for _ in range(MAX_RANDOM_DRAWS if len(states) > MAX_RANDOM_DRAWS else 0):
            drawn = states[int(self.rng.random() * len(states))]
            if drawn is not first and self._is_usable_warm(now, drawn, exclude):
                if first is not None:
                    return min(first, drawn, key=cost)
                first = drawn
        eligible = [state for state in states if self._is_usable_warm(now, state, exclude)]
        if len(eligible) > 1:
            eligible = self.rng.sample(eligible, 2)
        return min(eligible, key=cost, default=None)

    def _is_usable_warm(self, now: int, state: ServerState, exclude: Collection[str]) -> bool:
        return self._is_usable(now, state, exclude) and not self._is_cold(now, state)

    def _choose_cold(
        self, now: int, states: list[ServerState], exclude: Collection[str]
    ) -> ServerState | None:
        """Return a cold server whose budget this ingress owns and that may get one more request now.

        Safety: the allowed rate of a cold server is meant for all ingresses together, so only the named owner
        may send. An ingress that is disconnected may have lost the ownership without knowing.
        """
        for state in states:
            if not self._owns_budget(now, state):
                continue
            usable = self._is_usable(now, state, exclude) and self._is_cold(now, state)
            if usable and self._available_tokens(now, state) >= 1.0:
                return state
        return None

    def _owns_budget(self, now: int, state: ServerState) -> bool:
        """Return whether this ingress may send to a server while the server is cold."""
        server = state.server
        return now < self.cold_budget_until and server.cold_owner == self.node and now >= server.owned_from

    def _is_usable(self, now: int, state: ServerState, exclude: Collection[str]) -> bool:
        return not state.is_saturated() and not state.is_unavailable(now, exclude)

    def state_name(self, now: int, state: ServerState) -> str:
        """Return the state of a server for operators: `usable`, or what keeps requests away from it now."""
        server = state.server
        if server.draining:
            return "draining"
        if server.zone in self.evacuations.zones:
            return "evacuated"
        if state.is_misdirected:
            return "misdirected"
        if now < state.ejected_until:
            return "ejected"
        return "cold" if self._is_cold(now, state) else "usable"

    def _is_cold(self, now: int, state: ServerState) -> bool:
        """Return whether a server is cold by the server list, or because its zone's evacuation just ended."""
        server = state.server
        if now < server.cold_until:
            return True
        service = self.services.get(server.service)
        return self.evacuations.may_be_cold(now, server.zone, service.cold_s if service else 0.0)

    def _available_tokens(self, now: int, state: ServerState) -> float:
        """Return how many requests a cold server may get now (token bucket)."""
        service = self.services.get(state.server.service)
        rate = service.cold_rate_s if service else 0.0
        return min(COLD_BURST_REQUESTS, state.tokens + rate * max(0, now - state.tokens_at) / 1e6)

    def on_sent(self, now: int, instance: str) -> None:
        """Record that a request was sent to a server.

        The caller must call `on_ended` or `on_ended_by_client` for it later.
        """
        state = self.server_states.get(instance)
        if state is None:
            return
        state.open_requests += 1
        state.sent_times.append(now)
        if self._is_cold(now, state):
            state.tokens, state.tokens_at = self._available_tokens(now, state) - 1.0, now

    def on_response_begun(self, instance: str, sent_at: int) -> None:
        """Record that a response has begun: from then on the client's reading sets its duration."""
        state = self.server_states.get(instance)
        if state is not None and sent_at in state.sent_times:
            state.sent_times.remove(sent_at)

    def on_ended(
        self, now: int, instance: str, outcome: AttemptOutcome, took_us: int, reset_at_once: bool = False
    ) -> LogEvent | None:
        """Record the outcome of a request; return an event if the server was ejected.

        :param took_us: time from sending to the end, us
        :param reset_at_once: the connection was reset so soon that the server was likely saturated
        """
        state = self._release(now, instance, took_us)
        if state is None:
            return None
        if outcome is AttemptOutcome.MISDIRECTED:
            state.is_misdirected = True
            return None
        return self.health.on_ended(now, state, outcome, took_us, reset_at_once=reset_at_once)

    def on_ended_by_client(self, now: int, instance: str, took_us: int) -> None:
        """Record that a request ended for reasons of its client, which say nothing about the server."""
        self._release(now, instance, took_us)

    def is_attributable_timeout(self, instance: str, time_us: int) -> bool:
        """Return whether a missing response after some time counts as the server's failure."""
        state = self.server_states.get(instance)
        return state is None or self.health.is_attributable_timeout(state, time_us)

    def _release(self, now: int, instance: str, took_us: int) -> ServerState | None:
        """Remove an open request from a server's state; return the state, or None if it is not listed."""
        state = self.server_states.get(instance)
        if state is None:
            return None
        state.open_requests = max(0, state.open_requests - 1)
        if now - took_us in state.sent_times:
            state.sent_times.remove(now - took_us)
        del state.sent_times[: max(0, len(state.sent_times) - state.open_requests)]
        return state


def trial_rank(instance: str) -> bytes:
    """Return the rank of a server among the candidates, the same at every ingress; the lowest come first."""
    return blake2b(instance.encode(), digest_size=8, person=b"trial").digest()
