"""Load shedding by priority: while a service has no room for urgent requests, less urgent ones give way.

For each service and each level of urgency there is a pressure, the probability with which a request of that
level is rejected at once.  It rises with each more urgent request that found no room, and falls with each
that did.  So nothing is shed while the urgent ones are served, and at the balance one urgent request in
twenty or so still finds no room.

A pressure never exceeds `MAX_PRESSURE`: of the least urgent requests so many are admitted, and have the same
chances as all others from then on, that no kind of request and no tenant starves.

Each region is apart: urgent requests that may go to one region only, and find that full, take nothing from
those that are served in another.

Source: overload control by priority in WeChat (DAGOR, Zhou and others 2018); here one probability for each
level in place of a threshold.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Route, Tenant

Urgency = tuple[int, int]  # the lower, the more urgent

RISE = 0.08  # of the pressure, for a more urgent request that found no room
FALL = 0.004  # for one that did
MAX_PRESSURE = 0.6
HALF_LIFE_US = 2_000_000  # of a pressure, while no more urgent request comes
FORGET_US = 10_000_000  # after which a level without requests is forgotten
MAX_LEVELS = 16  # of a service; further ones are neither shed nor counted
MIN_PRESSURE = 0.02  # below it nothing gives way
LOGGED_PRESSURE = 0.05  # from it on shedding is logged as begun, until it falls below `MIN_PRESSURE`


class Pool(NamedTuple):
    """The servers of a service in one region."""

    service: str
    region: str


def urgency_of(route: Route, tenant: Tenant | None) -> Urgency:
    """Return the urgency of a request: by the tenant's priority, where it has one, then by the route's."""
    first = route.priority if tenant is None or tenant.priority is None else tenant.priority
    return first, route.priority


@dataclass(slots=True)
class Level:
    """One level of urgency at one service.

    :param pressure: probability of rejection as of `pressure_at` (us)
    :param seen_at: us, of the last request
    """

    pressure: float = 0.0
    pressure_at: int = 0
    seen_at: int = 0
    logged: bool = False  # that it is shed

    def pressure_now(self, now: int) -> float:
        """Return the pressure, less what has decayed since the last more urgent request."""
        if not self.pressure:
            return 0.0
        kept: float = 0.5 ** ((now - self.pressure_at) / HALF_LIFE_US)
        return self.pressure * kept

    def change_pressure(self, now: int, change: float) -> None:
        """Add to the pressure, within its bounds."""
        self.pressure = min(MAX_PRESSURE, max(0.0, self.pressure_now(now) + change))
        self.pressure_at = now


@dataclass(slots=True)
class PriorityShedder:
    """Owner of the levels of urgency that were seen lately, by service.

    All times are microseconds of one steady clock.
    """

    rng: random.Random
    services: dict[str, dict[Urgency, Level]] = field(default_factory=dict)

    def keep_services(self, names: set[str]) -> None:
        """Forget the services that a configuration no longer names."""
        self.services = {name: levels for name, levels in self.services.items() if name in names}

    def admit(self, now: int, service: str, urgency: Urgency) -> bool:
        """Return whether a request is admitted; it counts as seen either way."""
        level = self._level(now, service, urgency)
        if level is None:
            return True
        level.seen_at = now
        return not level.pressure or self.rng.random() >= level.pressure_now(now)

    def gives_way(self, now: int, service: str, urgency: Urgency) -> bool:
        """Return whether more urgent requests lack room, so that a request of this level leaves what is spare
        to them.
        """
        level = self.services.get(service, {}).get(urgency)
        return level is not None and level.pressure_now(now) > MIN_PRESSURE

    def on_ended(self, now: int, service: str, urgency: Urgency, *, lacked_room: bool) -> None:
        """Take whether a request found no room at any server that it was offered to."""
        change = RISE if lacked_room else -FALL
        for other, level in self.services.get(service, {}).items():
            if other > urgency and (lacked_room or level.pressure):
                level.change_pressure(now, change)

    def _level(self, now: int, service: str, urgency: Urgency) -> Level | None:
        levels = self.services.setdefault(service, {})
        level = levels.get(urgency)
        if level is not None:
            return level
        for old in [key for key, one in levels.items() if now >= one.seen_at + FORGET_US]:
            del levels[old]
        if len(levels) >= MAX_LEVELS:
            return None
        level = levels[urgency] = Level()
        return level


class RegionalShedders:
    """Owner of one shedder for each region that requests were sent to."""

    def __init__(self, rng: random.Random) -> None:
        """Begin with nothing to shed."""
        self.rng = rng
        self.regions: dict[str, PriorityShedder] = {}

    def _of(self, region: str) -> PriorityShedder:
        found = self.regions.get(region)
        if found is None:
            found = self.regions[region] = PriorityShedder(self.rng)
        return found

    def keep_services(self, names: set[str]) -> None:
        """Forget the services that a configuration no longer names."""
        for shedder in self.regions.values():
            shedder.keep_services(names)

    def admit(self, now: int, pool: Pool, urgency: Urgency) -> bool:
        """Return whether a request may go to a server of a pool."""
        return self._of(pool.region).admit(now, pool.service, urgency)

    def gives_way(self, now: int, pool: Pool, urgency: Urgency) -> bool:
        """Return whether more urgent requests lack room in a pool."""
        return self._of(pool.region).gives_way(now, pool.service, urgency)

    def on_ended(self, now: int, pool: Pool, urgency: Urgency, *, lacked_room: bool) -> None:
        """Take whether a request found no room in a pool."""
        self._of(pool.region).on_ended(now, pool.service, urgency, lacked_room=lacked_room)

    def levels(self) -> Iterator[tuple[Pool, Urgency, Level]]:
        """Return all levels that were seen lately."""
        for region, shedder in self.regions.items():
            for service, levels in shedder.services.items():
                for urgency, level in levels.items():
                    yield Pool(service, region), urgency, level

    def changes(self, now: int) -> list[LogEvent]:
        """Return an event for each level whose shedding has begun or ended since the last call."""
        events = []
        for pool, urgency, level in self.levels():
            pressure = level.pressure_now(now)
            if level.logged and pressure < MIN_PRESSURE:
                kind = Event.SHEDDING_ENDED
            elif not level.logged and pressure >= LOGGED_PRESSURE:
                kind = Event.SHEDDING_BEGAN
            else:
                continue
            level.logged = kind is Event.SHEDDING_BEGAN
            level_name = ".".join(map(str, urgency))
            facts: dict[str, object] = {"service": pool.service, "region": pool.region, "level": level_name}
            events.append(LogEvent(kind, facts | {"pressure": f"{pressure:.2f}"}))
        return events
