"""Load shedding by priority: while a service lacks capacity for urgent requests, less urgent ones are shed.

For each service and each urgency level there is a pressure: the probability with which a request of that
level is rejected at once. It rises with each more urgent request that found no capacity, and falls with each
that did. So nothing is shed while the more urgent requests are served, and in equilibrium about one urgent
request in twenty still finds no capacity.

A pressure never exceeds `MAX_PRESSURE`. So a part of the least urgent requests is always admitted and then
treated like all others, and no kind of request and no tenant starves.

Each region has its own pressures: urgent requests that are restricted to one saturated region cause no
shedding in other regions.

Source: overload control by priority in WeChat (DAGOR, Zhou and others 2018); here each level has a
probability instead of a threshold.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Route, Tenant

Urgency = tuple[int, int]  # lower values are more urgent

PRESSURE_RISE = 0.08  # added to the pressure for each more urgent request that found no capacity
PRESSURE_FALL = 0.004  # subtracted for each more urgent request that found capacity
MAX_PRESSURE = 0.6
PRESSURE_HALF_LIFE_US = 2_000_000  # of a pressure while no more urgent request arrives
# A level without requests for this long is dropped when a new level needs its place.
LEVEL_IDLE_TIMEOUT_US = 10_000_000
MAX_LEVELS_PER_SERVICE = 16  # levels beyond these are neither shed nor counted
MIN_EFFECTIVE_PRESSURE = 0.02  # below this pressure hedges and retries are not restricted
# Shedding is logged as begun at this pressure, and as ended below `MIN_EFFECTIVE_PRESSURE`.
LOGGED_PRESSURE = 0.05


class RegionPool(NamedTuple):
    """The servers of a service in one region."""

    service: str
    region: str


def urgency_of(route: Route, tenant: Tenant | None) -> Urgency:
    """Return the urgency of a request: the tenant's priority if it has one, then the route's priority."""
    primary = route.priority if tenant is None or tenant.priority is None else tenant.priority
    return primary, route.priority


@dataclass(slots=True)
class PriorityLevel:
    """One urgency level at one service.

    :param pressure: probability of rejection as of `pressure_at` (us)
    :param seen_at: time of the last request, us
    :param is_logged: its shedding was logged as begun, and not yet as ended
    """

    pressure: float = 0.0
    pressure_at: int = 0
    seen_at: int = 0
    is_logged: bool = False

    def pressure_now(self, now: int) -> float:
        """Return the pressure, decayed since the last more urgent request."""
        if not self.pressure:
            return 0.0
        decay: float = 0.5 ** ((now - self.pressure_at) / PRESSURE_HALF_LIFE_US)
        return self.pressure * decay

    def change_pressure(self, now: int, change: float) -> None:
        """Add `change` to the pressure, limited to 0..`MAX_PRESSURE`."""
        self.pressure = min(MAX_PRESSURE, max(0.0, self.pressure_now(now) + change))
        self.pressure_at = now


@dataclass(slots=True)
class PriorityShedder:
    """Owner of the urgency levels of one region that had requests recently, by service.

    All times are microseconds of one monotonic clock.
    """

    rng: random.Random
    services: dict[str, dict[Urgency, PriorityLevel]] = field(default_factory=dict)

    def keep_services(self, names: set[str]) -> None:
        """Drop the services that a new configuration no longer names."""
        self.services = {name: levels for name, levels in self.services.items() if name in names}

    def admit(self, now: int, service: str, urgency: Urgency) -> bool:
        """Return whether a request is admitted; either way it keeps its urgency level alive."""
        level = self._level(now, service, urgency)
        if level is None:
            return True
        level.seen_at = now
        return not level.pressure or self.rng.random() >= level.pressure_now(now)

    def is_shedding(self, now: int, service: str, urgency: Urgency) -> bool:
        """Return whether more urgent requests lack capacity.

        Requests of this level should then leave spare capacity and the reserve of the retry budget to them.
        """
        level = self.services.get(service, {}).get(urgency)
        return level is not None and level.pressure_now(now) > MIN_EFFECTIVE_PRESSURE

    def on_ended(self, now: int, service: str, urgency: Urgency, *, lacked_capacity: bool) -> None:
        """Adjust the pressure of less urgent levels when a request has ended.

        :param lacked_capacity: the request was rejected as saturated, or found no server with capacity
        """
        change = PRESSURE_RISE if lacked_capacity else -PRESSURE_FALL
        for other_urgency, level in self.services.get(service, {}).items():
            if other_urgency > urgency and (lacked_capacity or level.pressure):
                level.change_pressure(now, change)

    def _level(self, now: int, service: str, urgency: Urgency) -> PriorityLevel | None:
        """Return the level of an urgency, created if needed; None if the service has too many levels."""
        levels = self.services.setdefault(service, {})
        level = levels.get(urgency)
        if level is not None:
            return level
        for idle in [key for key, old in levels.items() if now >= old.seen_at + LEVEL_IDLE_TIMEOUT_US]:
            del levels[idle]
        if len(levels) >= MAX_LEVELS_PER_SERVICE:
            return None
        level = levels[urgency] = PriorityLevel()
        return level


class RegionalShedders:
    """Owner of one shedder for each region to which requests were sent."""

    def __init__(self, rng: random.Random) -> None:
        """Start without shedding."""
        self.rng = rng
        self.regions: dict[str, PriorityShedder] = {}

    def _shedder(self, region: str) -> PriorityShedder:
        """Return the shedder of a region, created if needed."""
        shedder = self.regions.get(region)
        if shedder is None:
            shedder = self.regions[region] = PriorityShedder(self.rng)
        return shedder

    def keep_services(self, names: set[str]) -> None:
        """Drop the services that a new configuration no longer names."""
        for shedder in self.regions.values():
            shedder.keep_services(names)

    def admit(self, now: int, pool: RegionPool, urgency: Urgency) -> bool:
        """Return whether a request may go to a server of a pool."""
        return self._shedder(pool.region).admit(now, pool.service, urgency)

    def is_shedding(self, now: int, pool: RegionPool, urgency: Urgency) -> bool:
        """Return whether more urgent requests lack capacity in a pool."""
        return self._shedder(pool.region).is_shedding(now, pool.service, urgency)

    def on_ended(self, now: int, pool: RegionPool, urgency: Urgency, *, lacked_capacity: bool) -> None:
        """Adjust the pressure of less urgent levels in a pool when a request has ended.

        :param lacked_capacity: the request found no capacity in this pool
        """
        self._shedder(pool.region).on_ended(now, pool.service, urgency, lacked_capacity=lacked_capacity)

    def levels(self) -> Iterator[tuple[RegionPool, Urgency, PriorityLevel]]:
        """Yield every level that had requests recently, with its pool and urgency."""
        for region, shedder in self.regions.items():
            for service, levels in shedder.services.items():
                for urgency, level in levels.items():
                    yield RegionPool(service, region), urgency, level

    def changes(self, now: int) -> list[LogEvent]:
        """Return an event for each level whose shedding has begun or ended since the last call."""
        events = []
        for pool, urgency, level in self.levels():
            pressure = level.pressure_now(now)
            if level.is_logged and pressure < MIN_EFFECTIVE_PRESSURE:
                event = Event.SHEDDING_ENDED
            elif not level.is_logged and pressure >= LOGGED_PRESSURE:
                event = Event.SHEDDING_BEGAN
            else:
                continue
            level.is_logged = event is Event.SHEDDING_BEGAN
            level_name = ".".join(map(str, urgency))
            facts: dict[str, object] = {"service": pool.service, "region": pool.region, "level": level_name}
            events.append(LogEvent(event, facts | {"pressure": f"{pressure:.2f}"}))
        return events
