"""Load balancing: which server gets a request, by what this ingress has seen of each itself.

Two servers are drawn at random and the one with the lower expected cost is taken (power of two choices,
Mitzenmacher 2001), from this ingress's subset (`subsets`) unless that does badly.  Servers that fail rest
(outlier detection).

`Choice` owns one `ServerState` for each server of the newest list, and one smoothed time for each service and
region; both go when the list no longer names them.  All times are us on one steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from vetchusher.discovery.server import Server
from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Service

from .claims import Seen
from .subsets import Subsets

COLD_BURST = 3.0  # requests that a cold server may get at once: what it is allowed in a second is more
REOPENED_LAG_US = 2_000_000  # after an evacuation ends: until the list says which of its servers are cold
SMOOTH = 0.15  # weight of the newest time
FORGET_US = 5_000_000  # half of what sets a server's time apart from its service's is forgotten in this time
FIRST_TIME_US = 50_000  # before anything was seen
REMOTE_REGION_US = 60_000  # added to the time of a region not yet tried
OUTSIDE_FACTOR = 1.75  # usual times that the best of the subset may cost before others are considered
HUNG_TIMES = 3.0  # usual times without an answer: what was given up after that counts as a failure
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in the smoothed failure rate
FAILURE_TIMES = 2.0  # a failure counts as that many usual times at least: quick failures must not attract
SHRINK, GROW = (
    0.7,
    0.2,
)  # of the bound on requests out: when the server was full; for as many answers as are out
QUEUE_PART = 0.5  # of the capacity: what a server queues beyond it, as far as is counted on
FAILURES_IN_ROW = 3
REST_US, MOST_REST_US = 400_000, 8_000_000
RANDOM_DRAWS = 6  # before all servers are looked at

_FULL = frozenset({Seen.NOT_EXECUTED})
_FAILED = frozenset({Seen.RESET, Seen.GARBLED, Seen.SILENT, Seen.SERVER_ERROR})


@dataclass(slots=True)
class ServerState:
    """What is known of one server.

    :param bound: requests that may be out there from here at once; at least 1
    :param time_us: smoothed time from sending to the answer, the way included; 0: none yet
    :param failures: in a row
    :param failure_rate: smoothed, as of `failure_rate_at`
    :param waiting: when each request without a response yet was sent (us), the oldest first
    :param preferred: it is in this ingress's subset
    """

    server: Server
    region: str
    bound: float
    out: int = 0
    time_us: float = 0.0
    timed_at: int = 0
    failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: int = 0
    waiting: list[int] = field(default_factory=list)
    preferred: bool = True
    rest_us: int = 0
    rest_until: int = 0
    dropped: bool = False  # it answered that another server has its address
    tokens: float = COLD_BURST
    tokens_at: int = 0


class Choice:
    """:param node: this ingress's name, by which rows name the owner of a cold server's budget
    :param zones: the region of each zone
    """

    def __init__(self, rng: random.Random, node: str, region: str, zones: Mapping[str, str]) -> None:
        self.rng = rng
        self.node = node
        self.region = region
        self.zones = zones
        self.subsets = Subsets(node)
        self.services: Mapping[str, Service] = {}
        self.standings: dict[str, ServerState] = {}
        self.places: dict[
            str, dict[str, list[ServerState]]
        ] = {}  # by service and region: what may be used at all
        self.means: dict[tuple[str, str], float] = {}  # smoothed times (us) by service and region
        self.closed: frozenset[str] = frozenset()  # zones under evacuation
        self.kept_until = 0  # us: until then this ingress may use the cold budgets that it owns
        self.reopened: dict[
            str, int
        ] = {}  # by zone: when its last evacuation ended; as many as there are zones

    def knows(self, instance: object) -> bool:
        return instance in self.standings

    def configure(self, services: Mapping[str, Service]) -> None:
        self.services = services
        for standing in self.standings.values():
            standing.bound = min(standing.bound, self._most(standing.server))

    def servers(self, servers: Iterable[Server]) -> None:
        """Take the whole list; what is known of a server stays as long as the list names its instance."""
        before, self.standings = self.standings, {}
        for server in servers:
            standing = before.get(server.instance)
            if standing is None:
                standing = ServerState(server, self.zones.get(server.zone, ""), self._first_bound(server))
            standing.server = server
            self.standings[server.instance] = standing
        self.subsets.keep(self.standings)
        self._place()

    def ingresses(self, zones: Mapping[str, str]) -> None:
        """The zones of those of this region that may be serving, by node name."""
        if self.subsets.ingresses(zones):
            self._place()

    def evacuated(self, zones: frozenset[str], now: int) -> None:
        for zone in self.closed - zones:
            self.reopened[zone] = now
        self.closed = zones
        self._place()

    def _place(self) -> None:
        self.places = {}
        for standing in self.standings.values():
            server = standing.server
            if not server.draining and server.zone not in self.closed:
                regions = self.places.setdefault(server.service, {})
                regions.setdefault(standing.region, []).append(standing)
        for regions in self.places.values():
            for some in regions.values():
                for standing in some:
                    server = standing.server
                    standing.preferred = self.subsets.holds(server.instance, server.zone, len(some))
        self.means = {key: m for key, m in self.means.items() if key[1] in self.places.get(key[0], {})}

    def choose(
        self,
        now: int,
        service: str,
        allowed: frozenset[str] | None,
        exclude: Collection[str] = (),
        loss_us: int = 0,
    ) -> Server | None:
        """A server with room: warm ones of the own region, then its cold ones owned here, then those of the
        region whose answers come soonest.

        :param allowed: regions; none named at all: every region
        :param exclude: instances that this request has been sent to
        :param loss_us: what a failure costs, as a time: what may run once only is lost with it
        """
        regions = {
            name: found
            for name, found in self.places.get(service, {}).items()
            if allowed is None or name in allowed
        }
        near = regions.pop(self.region, None)
        far = sorted(regions, key=lambda name: self._mean(service, name)) if regions else []
        for some in ([near] if near else []) + [regions[name] for name in far]:
            if (found := self._warm(now, some, exclude, loss_us)) is not None:
                return found.server
            if (found := self._cold(now, some, exclude)) is not None:
                return found.server
        return None

    def _warm(
        self, now: int, some: list[ServerState], exclude: Collection[str], loss_us: int
    ) -> ServerState | None:
        """A server of the subset, unless one outside costs less and the subset costs too much."""

        def cost(standing: ServerState) -> float:
            return self._cost(now, standing, loss_us)

        subset = [s for s in some if s.preferred]
        enough = OUTSIDE_FACTOR * self._mean(some[0].server.service, some[0].region)
        found = self._pair(now, subset, exclude, cost)
        if found is not None and cost(found) > enough:
            fit = [s for s in subset if self._fit(now, s, exclude)]
            found = min(fit, key=lambda s: (cost(s), self.rng.random()))
        if len(subset) < len(some) and (found is None or cost(found) > enough):
            other = self._pair(now, [s for s in some if not s.preferred], exclude, cost)
            if other is not None and (found is None or cost(other) < cost(found)):
                return other
        return found

    def _pair(
        self,
        now: int,
        some: list[ServerState],
        exclude: Collection[str],
        cost: Callable[[ServerState], float],
    ) -> ServerState | None:
        """Two at random among the usable ones, and the one that should answer sooner."""
        first: ServerState | None = None
        for _ in range(RANDOM_DRAWS if len(some) > RANDOM_DRAWS else 0):
            drawn = some[int(self.rng.random() * len(some))]
            if drawn is not first and self._fit(now, drawn, exclude):
                if first is not None:
                    return min(first, drawn, key=cost)
                first = drawn
        fit = [s for s in some if self._fit(now, s, exclude)]
        if len(fit) > 1:
            fit = self.rng.sample(fit, 2)
        return min(fit, key=cost, default=None)

    def _fit(self, now: int, standing: ServerState, exclude: Collection[str]) -> bool:
        return self._usable(now, standing, exclude) and not self._is_cold(now, standing)

    def _cold(self, now: int, some: list[ServerState], exclude: Collection[str]) -> ServerState | None:
        """A cold server whose budget this ingress owns and that may have one more request now.

        Danger: only the named owner may send, and only at the allowed rate, which is meant for all ingresses
        together.  An ingress that is out of touch may have lost the ownership.
        """
        if now >= self.kept_until:
            return None
        for standing in some:
            server = standing.server
            if server.cold_owner != self.node or now < server.owned_from:
                continue
            usable = self._usable(now, standing, exclude) and self._is_cold(now, standing)
            if usable and self._tokens(now, standing) >= 1.0:
                return standing
        return None

    def _usable(self, now: int, standing: ServerState, exclude: Collection[str]) -> bool:
        return (
            standing.out + 1 <= standing.bound
            and now >= standing.rest_until
            and not standing.dropped
            and standing.server.instance not in exclude
        )

    def _is_cold(self, now: int, standing: ServerState) -> bool:
        server = standing.server
        if now < server.cold_until:
            return True
        if (opened := self.reopened.get(server.zone)) is None:
            return False
        service = self.services.get(server.service)
        return now < opened + int((service.cold_s if service else 0.0) * 1e6) + REOPENED_LAG_US

    def _tokens(self, now: int, standing: ServerState) -> float:
        service = self.services.get(standing.server.service)
        rate = service.cold_rate_s if service else 0.0
        return min(COLD_BURST, standing.tokens + rate * max(0, now - standing.tokens_at) / 1e6)

    def _mean(self, service: str, region: str) -> float:
        known = self.means.get((service, region))
        if known is not None:
            return known
        near = self.means.get((service, self.region), FIRST_TIME_US)
        return near if region == self.region else near + REMOTE_REGION_US

    def _cost(self, now: int, standing: ServerState, loss_us: int = 0) -> float:
        """Expected time of a request sent now: one smoothed time for each request out and for itself, plus
        what a failure would lose.

        A request that has waited longer than the smoothed time raises it.
        """
        mean = self._mean(standing.server.service, standing.region)
        apart = standing.time_us - mean if standing.time_us else 0.0
        kept: float = 0.5 ** ((now - standing.timed_at) / FORGET_US)
        time = max(0.0, mean + apart * kept)
        if standing.waiting:
            time = max(time, now - standing.waiting[0])
        return (standing.out + 1) * time + self._failure_rate(now, standing) * max(float(loss_us), mean)

    def _failure_rate(self, now: int, standing: ServerState) -> float:
        kept: float = 0.5 ** ((now - standing.failure_rate_at) / FORGET_US) if standing.failure_rate else 0.0
        return standing.failure_rate * kept

    def sent(self, now: int, instance: str) -> None:
        """A request goes there; `ended` is owed for it."""
        standing = self.standings.get(instance)
        if standing is None:
            return
        standing.out += 1
        standing.waiting.append(now)
        if self._is_cold(now, standing):
            standing.tokens, standing.tokens_at = self._tokens(now, standing) - 1.0, now

    def answering(self, instance: str, sent_at: int) -> None:
        """The head of its answer has come: the rest takes as long as its client reads."""
        standing = self.standings.get(instance)
        if standing is not None and sent_at in standing.waiting:
            standing.waiting.remove(sent_at)

    def ended(
        self, now: int, instance: str, seen: Seen, took_us: int, prompt: bool = False
    ) -> LogEvent | None:
        """What came of it.

        :param took_us: from sending to the end
        :param prompt: a reset that came so soon that the server was likely full
        """
        standing = self.standings.get(instance)
        if standing is None:
            return None
        standing.out = max(0, standing.out - 1)
        if now - took_us in standing.waiting:
            standing.waiting.remove(now - took_us)
        del standing.waiting[: max(0, len(standing.waiting) - standing.out)]
        self._learn(now, standing, seen, took_us)
        if seen is Seen.MISDIRECTED:
            standing.dropped = True
        elif seen in _FULL or (prompt and seen is Seen.RESET):
            standing.bound = max(1.0, min(standing.bound, standing.out + 1.0) * SHRINK)
            if seen in _FULL:
                standing.failures = 0
                return None
            return self._failed(now, standing, 1)
        elif seen is Seen.NO_CONNECTION:
            self._time(now, standing, took_us, failed=True)
            return self._failed(now, standing, FAILURES_IN_ROW)
        elif seen in _FAILED:
            self._time(now, standing, took_us, failed=True)
            return self._failed(now, standing, 1)
        elif seen is Seen.ANSWERED:
            self._time(now, standing, took_us, failed=False)
            standing.failures, standing.rest_us = 0, standing.rest_us // 2
            if standing.out + 2 > standing.bound:  # it was the bound that kept more away
                most = self._most(standing.server)
                standing.bound = min(most, standing.bound + GROW / standing.bound)
        return None

    def _learn(self, now: int, standing: ServerState, seen: Seen, took_us: int) -> None:
        """Its health, by how this request ended.

        Danger: a server that hangs would never be blamed for what was given up in favour of a second copy.
        """
        mean = self._mean(standing.server.service, standing.region)
        hung = seen is Seen.CANCELLED and took_us > HUNG_TIMES * mean
        if hung or seen is Seen.ANSWERED or seen is Seen.NO_CONNECTION or seen in _FAILED:
            before, failed = self._failure_rate(now, standing), float(seen is not Seen.ANSWERED)
            standing.failure_rate, standing.failure_rate_at = before + FAILURE_WEIGHT * (failed - before), now

    def _time(self, now: int, standing: ServerState, took_us: int, failed: bool) -> None:
        key = (standing.server.service, standing.region)
        mean = self._mean(*key)
        took = max(float(took_us), FAILURE_TIMES * mean) if failed else float(took_us)
        before = standing.time_us or took
        standing.time_us = before + SMOOTH * (took - before)
        standing.timed_at = now
        if not failed:
            self.means[key] = took if key not in self.means else mean + SMOOTH / 2 * (took - mean)

    def _failed(self, now: int, standing: ServerState, weight: int) -> LogEvent | None:
        """Rest it after failures in a row, longer each time.

        Danger: what looks like many bad servers may be a bad path from here, or a bad kind of request; with
        more than half of a service resting, the others would fall over.
        """
        standing.failures += weight
        service = standing.server.service
        if standing.failures < FAILURES_IN_ROW or now < standing.rest_until:
            return None
        peers = [s for found in self.places.get(service, {}).values() for s in found]
        resting = sum(1 for s in peers if now < s.rest_until)
        if 2 * (resting + 1) > len(peers):
            return None
        standing.rest_us = min(MOST_REST_US, 2 * standing.rest_us or REST_US)
        standing.rest_until = now + standing.rest_us
        standing.failures = FAILURES_IN_ROW - 1  # the next failure rests it again
        return LogEvent(
            Event.SERVER_EJECTED, {"instance": standing.server.instance, "for_ms": standing.rest_us // 1000}
        )

    def _most(self, server: Server) -> float:
        service = self.services.get(server.service)
        most = server.capacity + max(1.0, QUEUE_PART * server.capacity)
        return max(1.0, min(most, service.connection_cap) if service and service.connection_cap > 0 else most)

    def _first_bound(self, server: Server) -> float:
        return max(1.0, min(float(server.capacity), self._most(server)))
