"""How long a service's idle connections can be relied on, learnt from those that were reset."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from vetchusher.net.links import TRUST_LEAST_S, Trust

ALIVE_S = TRUST_LEAST_S  # idle for less than this, no connection is dead of it
UNLUCKY_S = 10.0  # for so long after a connection that was alive was reset, resets say nothing of idle ones


class ConnectionTrust(Trust):
    """Safety: a server may reset a connection for other reasons than its rest, and run the request at that.
    Taken for a lesson, each of those would have connections closed that are well, for many seconds."""

    def __init__(self, most: float) -> None:
        super().__init__(most)
        self.unlucky_at = -UNLUCKY_S
        self.before = (most, 0.0, -UNLUCKY_S)  # limit and time of it before the lessons since then

    def lost(self, now: float, idle: float) -> None:
        if idle < ALIVE_S:
            self.reset_at_work(now, idle)
        elif now - self.unlucky_at >= UNLUCKY_S:
            if now - self.before[2] >= UNLUCKY_S:
                self.before = self.limit, self.at, now
            super().lost(now, idle)

    def reset_at_work(self, now: float, idle: float) -> None:
        """What was learnt a moment ago was none of it either."""
        if idle < ALIVE_S:
            self.unlucky_at = now
            limit, at, since = self.before
            if now - since < UNLUCKY_S:
                self.limit, self.at = limit, at


class TrustByService:
    """Owner of one for each service that servers on the list offer: `keep` drops the others.

    :param most: seconds for which an idle connection is kept at most
    """

    def __init__(self, most: float) -> None:
        self.most = most
        self.services: dict[str, ConnectionTrust] = {}

    def of(self, attempt: Any) -> Trust:
        service = attempt.send.server.service
        return self.services.get(service) or self.services.setdefault(service, ConnectionTrust(self.most))

    def keep(self, services: Collection[str]) -> None:
        self.services = {name: trust for name, trust in self.services.items() if name in services}
