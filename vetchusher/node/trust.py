"""How long a service's idle connections can be relied on, learned from those that were reset."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from vetchusher.net.links import TRUST_LEAST_S, Trust

MAX_ALIVE_IDLE_S = TRUST_LEAST_S  # idle for less than this, no connection is dead of it
RESET_MEMORY_S = (
    10.0  # for so long after a connection that was alive was reset, resets say nothing of idle ones
)


class ConnectionTrust(Trust):
    """The idle time up to which connections of one service are used again.

    Safety: a server may reset a connection for other reasons than its idle time, and run the request at that.
    Taken for a lesson, each of those would have good connections closed for many seconds.
    """

    def __init__(self, most: float) -> None:
        """Begin with trust in the longest idle time.

        :param most: seconds for which an idle connection is kept at most
        """
        super().__init__(most)
        self.last_reset_at_work = -RESET_MEMORY_S
        self.learned_before = (
            most,
            0.0,
            -RESET_MEMORY_S,
        )  # limit and time of it before the lessons since then

    def lost(self, now: float, idle: float) -> None:
        """Learn from a connection that was reset after it was idle.

        :param now: seconds
        :param idle: seconds for which it was idle
        """
        if idle < MAX_ALIVE_IDLE_S:
            self.reset_at_work(now, idle)
        elif now - self.last_reset_at_work >= RESET_MEMORY_S:
            if now - self.learned_before[2] >= RESET_MEMORY_S:
                self.learned_before = self.limit, self.at, now
            super().lost(now, idle)

    def reset_at_work(self, now: float, idle: float) -> None:
        """Take back what was learned a moment ago: a connection that was alive was reset too."""
        if idle < MAX_ALIVE_IDLE_S:
            self.last_reset_at_work = now
            limit, at, since = self.learned_before
            if now - since < RESET_MEMORY_S:
                self.limit, self.at = limit, at


class TrustByService:
    """Owner of one `ConnectionTrust` for each service that listed servers offer."""

    def __init__(self, most: float) -> None:
        """Begin without a lesson.

        :param most: seconds for which an idle connection is kept at most
        """
        self.most = most
        self.services: dict[str, ConnectionTrust] = {}

    def of(self, attempt: Any) -> Trust:
        """Return the trust in connections of an attempt's service."""
        service = attempt.send.server.service
        return self.services.get(service) or self.services.setdefault(service, ConnectionTrust(self.most))

    def keep(self, services: Collection[str]) -> None:
        """Forget the services that are not named."""
        self.services = {name: trust for name, trust in self.services.items() if name in services}
