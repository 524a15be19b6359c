"""Load shedding by priority: while a service has no room for urgent requests, less urgent ones give way.

For each service and each level of urgency there is a pressure, the probability with which a request of that
level is rejected at once.  It rises with each more urgent request that found no room, and falls with each
that did.  So nothing is shed while the urgent ones are served, and at the balance one urgent request in
twenty or so still finds no room.

A pressure never exceeds `MAX_PRESSURE`: of the least urgent requests so many are admitted, and have the same
chances as all others from then on, that no kind of request and no tenant starves.

Source: overload control by priority in WeChat (DAGOR, Zhou and others 2018); here one probability for each
level in place of a threshold.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from vetchusher.settings.configuration import Route, Tenant

Urgency = tuple[int, int]  # the lower, the more urgent

RISE = 0.08  # of the pressure, for a more urgent request that found no room
FALL = 0.004  # for one that did
MAX_PRESSURE = 0.6
HALF_LIFE_US = 2_000_000  # of a pressure, while no more urgent request comes
FORGET_US = 10_000_000  # after which a level without requests is forgotten
MAX_LEVELS = 16  # of a service; further ones are neither shed nor counted
MIN_PRESSURE = 0.02  # below it nothing gives way


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
