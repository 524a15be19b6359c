"""Learns for how long a service's idle connections can be reused, from connections that were reset."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from vetchusher.net.links import MIN_IDLE_LIMIT_S, IdleLimit

MAX_ALIVE_IDLE_S = MIN_IDLE_LIMIT_S  # no server closes a connection that was idle for less than this
# After a reset of a connection that was not idle, resets of idle ones are ignored for this time.
RECENT_RESET_WINDOW_S = 10.0


class ConnectionTrust(IdleLimit):
    """The idle time up to which connections of one service are reused.

    Safety: a server may reset a connection for other reasons than its idle time, and may run the request all
    the same. If such resets lowered the limit, good connections would be closed for many seconds.
    """

    def __init__(self, most: float) -> None:
        """Begin with the longest idle time as the limit.

        :param most: maximum seconds for which an idle connection is kept
        """
        super().__init__(most)
        self.last_active_reset_at_s = -RECENT_RESET_WINDOW_S
        # The limit and its time before the most recent changes, and the time of the first of these.
        self.limit_before_lessons = (
            most,
            0.0,
            -RECENT_RESET_WINDOW_S,
        )

    def found_dead(self, now: float, idle: float) -> None:
        """Lower the limit after a connection that had been idle was reset.

        :param now: seconds
        :param idle: seconds for which the connection was idle
        """
        if idle < MAX_ALIVE_IDLE_S:
            self.reset_in_use(now, idle)
        elif now - self.last_active_reset_at_s >= RECENT_RESET_WINDOW_S:
            if now - self.limit_before_lessons[2] >= RECENT_RESET_WINDOW_S:
                self.limit_before_lessons = self.limit_s, self.limited_at, now
            super().found_dead(now, idle)

    def reset_in_use(self, now: float, idle: float) -> None:
        """Restore the limit from before the most recent resets: a connection that was alive was reset too.

        :param now: seconds
        :param idle: seconds for which the connection was idle
        """
        if idle < MAX_ALIVE_IDLE_S:
            self.last_active_reset_at_s = now
            limit, at, since = self.limit_before_lessons
            if now - since < RECENT_RESET_WINDOW_S:
                self.limit_s, self.limited_at = limit, at


class TrustByService:
    """Owns one `ConnectionTrust` for each service that listed servers offer."""

    def __init__(self, max_idle_s: float) -> None:
        """Begin without any service.

        :param max_idle_s: maximum seconds for which an idle connection is kept
        """
        self.max_idle_s = max_idle_s
        self.services: dict[str, ConnectionTrust] = {}

    def of(self, attempt: Any) -> IdleLimit:
        """Return the `ConnectionTrust` of an attempt's service."""
        service = attempt.send.server.service
        return self.services.get(service) or self.services.setdefault(
            service, ConnectionTrust(self.max_idle_s)
        )

    def keep(self, services: Collection[str]) -> None:
        """Drop all services except those named."""
        self.services = {name: trust for name, trust in self.services.items() if name in services}
