"""Load balancing: which server gets a request, by what this ingress has seen of each itself.

Two servers are drawn at random and the one with the lower expected cost is taken (power of two choices,
Mitzenmacher 2001), from this ingress's subset (`subsets`) unless that does badly.

`ServerSelector` owns one `ServerState` for each listed server; it goes when the list no longer names it.
What outcomes say of a server is `server_health`'s. All times are microseconds of one steady clock.
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
from .server_health import ServerHealth
from .server_state import COLD_BURST_REQUESTS, ServerState
from .subsets import Subsets

EVACUATION_END_LAG_US = 2_000_000  # after an evacuation: until the list says which of its servers are cold
OUTSIDE_FACTOR = 1.75  # usual times that the best of the subset may cost before others are considered
RANDOM_DRAWS = 6  # before all servers are looked at
SPREAD_RATIO = 0.5  # of the exposures that go to any server of a new version: each is to be seen at work


class NoServerReason(Enum):
    """Why no server can be chosen."""

    NO_REGION = auto()  # homes of route and tenant have no region in common
    NONE_LISTED = auto()  # none in the allowed regions, or all of them drain or are evacuated
    ALL_OUT = auto()  # ejected, misdirected, tried by this request, or cold and another ingress's
    FULL = auto()  # one at least would do, but for its open requests or its cold budget


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
        self.health = ServerHealth(region, self.usable_servers)
        self.services: Mapping[str, Service] = {}
        self.server_states: dict[str, ServerState] = {}
        self.usable: dict[
            str, dict[str, list[ServerState]]
        ] = {}  # by service and region: what may be used at all
        self.candidates: dict[str, dict[str, list[ServerState]]] = {}  # for exposures alone, best rank first
        self.directives: Mapping[str, Directive] = {}  # the newest roll-outs, by service
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
        self.services = self.health.services = services
        for state in self.server_states.values():
            state.open_limit = min(state.open_limit, self.health.max_open(state.server))

    def set_servers(self, servers: Iterable[Server]) -> None:
        """Take the complete list; what is known of a server stays as long as the list names its instance."""
        before, self.server_states = self.server_states, {}
        for server in servers:
            state = before.get(server.instance)
            if state is None:
                state = ServerState(server, self.zones.get(server.zone, ""), self.health.first_limit(server))
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

    def set_rollouts(self, directives: Mapping[str, Directive]) -> None:
        """Take the newest roll-outs, by service: they say which versions get requests."""
        if directives != self.directives:
            self.directives = directives
            self._update_usable()

    def _pool_of(self, state: ServerState, targets: Collection[str]) -> ServerPool:
        """Return what a server is used for.

        :param targets: services that have servers of the version that is rolled out
        """
        server = state.server
        if server.draining or server.zone in self.evacuated_zones:
            return ServerPool.UNUSED
        directive = self.directives.get(server.service)
        if directive is None:
            return ServerPool.STABLE
        return directive.pool_of(server.version, target_listed=server.service in targets)

    def _services_with_targets(self) -> set[str]:
        """Return the services that have servers of the version that is rolled out."""
        return {
            state.server.service
            for state in self.server_states.values()
            if (directive := self.directives.get(state.server.service)) is not None
            and state.server.version == directive.target_version
            and not state.server.draining
        }

    def _update_usable(self) -> None:
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
        far = sorted(regions, key=lambda name: self.health.mean_time(service, name)) if regions else []
        for states in ([near] if near else []) + [regions[name] for name in far]:
            if (found := self._choose_warm(now, states, exclude, loss_us)) is not None:
                return found.server
            if (found := self._choose_cold(now, states, exclude)) is not None:
                return found.server
        return None

    def choose_candidate(
        self, now: int, service: str, allowed: frozenset[str] | None, count: int
    ) -> Server | None:
        """Return a warm server of the version that is being rolled out; None: there is none with room.

        :param count: servers of each region on which the other exposures are put together
        """
        regions = self.candidates.get(service, {})
        for region in sorted(regions, key=lambda name: name != self.region):
            if allowed is not None and region not in allowed:
                continue
            fit = [s for s in regions[region] if not s.is_out(now, ()) and not self._is_cold(now, s)]
            spread = self.rng.random() < SPREAD_RATIO
            with_room = [state for state in (fit if spread else fit[:count]) if not state.is_full()]
            if spread and with_room:
                return self.rng.choice(with_room).server
            if with_room:
                return min(with_room, key=lambda state: (state.open_requests, self.rng.random())).server
        return None

    def load_of(self, service: str) -> tuple[int, int]:
        """Return how many requests are open from here at a service, and the slots of one of its servers."""
        states = self.usable_servers(service)
        return sum(state.open_requests for state in states), max(
            (s.server.capacity for s in states), default=1
        )

    def open_at_other_versions(self, service: str, version: str) -> int:
        """Return how many requests are open from here at servers of a service that have another version."""
        return sum(
            state.open_requests
            for state in self.server_states.values()
            if state.server.service == service and state.server.version != version
        )

    def region_of(self, server: Server) -> str:
        """Return the region of a server; empty: its zone is not known."""
        return self.zones.get(server.zone, "")

    def regions_of(self, service: str, allowed: frozenset[str] | None) -> list[str]:
        """Return the allowed regions that have usable servers of a service."""
        return [region for region in self.usable.get(service, {}) if allowed is None or region in allowed]

    def usable_servers(self, service: str) -> list[ServerState]:
        """Return the servers of a service that neither drain nor stand in an evacuated zone."""
        return [state for states in self.usable.get(service, {}).values() for state in states]

    def has_room(self, now: int, service: str, allowed: frozenset[str] | None) -> bool:
        """Return whether a warm server in the allowed regions could take a request now."""
        return any(
            self._is_usable_warm(now, state, ())
            for state in self.usable_servers(service)
            if allowed is None or state.region in allowed
        )

    def why_none(
        self, now: int, service: str, allowed: frozenset[str] | None, exclude: Collection[str] = ()
    ) -> NoServerReason:
        """Return why `choose` finds no server for the same question."""
        if allowed is not None and not allowed:
            return NoServerReason.NO_REGION
        states = [s for s in self.usable_servers(service) if allowed is None or s.region in allowed]
        if not states:
            return NoServerReason.NONE_LISTED
        in_service = [state for state in states if not state.is_out(now, exclude)]
        if any(not self._is_cold(now, state) or self._owns_budget(now, state) for state in in_service):
            return NoServerReason.FULL
        return NoServerReason.ALL_OUT

    def _choose_warm(
        self, now: int, states: list[ServerState], exclude: Collection[str], loss_us: int
    ) -> ServerState | None:
        """Return a server of the subset, unless one outside costs less and the subset costs too much."""

        def cost(state: ServerState) -> float:
            return self.health.expected_cost(now, state, loss_us)

        subset = [s for s in states if s.preferred]
        enough = OUTSIDE_FACTOR * self.health.mean_time(states[0].server.service, states[0].region)
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
        for state in states:
            if not self._owns_budget(now, state):
                continue
            usable = self._is_usable(now, state, exclude) and self._is_cold(now, state)
            if usable and self._tokens(now, state) >= 1.0:
                return state
        return None

    def _owns_budget(self, now: int, state: ServerState) -> bool:
        """Return whether this ingress may send to a server while that is cold."""
        server = state.server
        return now < self.cold_budget_until and server.cold_owner == self.node and now >= server.owned_from

    def _is_usable(self, now: int, state: ServerState, exclude: Collection[str]) -> bool:
        return not state.is_full() and not state.is_out(now, exclude)

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
        state = self._release(now, instance, took_us)
        if state is None:
            return None
        if outcome is AttemptOutcome.MISDIRECTED:
            state.is_misdirected = True
            return None
        return self.health.on_ended(now, state, outcome, took_us, reset_at_once=reset_at_once)

    def on_ended_by_client(self, now: int, instance: str, took_us: int) -> None:
        """Note that a request ended for reasons of its client, which say nothing of the server."""
        self._release(now, instance, took_us)

    def is_enough(self, instance: str, time_us: int) -> bool:
        """Return whether a server that has not answered after a time may be blamed for it."""
        state = self.server_states.get(instance)
        return state is None or self.health.is_enough(state, time_us)

    def _release(self, now: int, instance: str, took_us: int) -> ServerState | None:
        state = self.server_states.get(instance)
        if state is None:
            return None
        state.open_requests = max(0, state.open_requests - 1)
        if now - took_us in state.sent_times:
            state.sent_times.remove(now - took_us)
        del state.sent_times[: max(0, len(state.sent_times) - state.open_requests)]
        return state


def trial_rank(instance: str) -> bytes:
    """Return the rank of a server among those on trial, alike at every ingress: the lowest come first."""
    return blake2b(instance.encode(), digest_size=8, person=b"trial").digest()
