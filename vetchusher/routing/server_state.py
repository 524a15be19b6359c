"""What an ingress knows of one server."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from vetchusher.discovery.server import Server

COLD_BURST_REQUESTS = 3.0  # that a cold server may get at once: what it is allowed in a second is more


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

    def is_full(self) -> bool:
        """Return whether as many requests are open from here as it bears."""
        return self.open_requests + 1 > self.open_limit

    def is_out(self, now: int, exclude: Collection[str]) -> bool:
        """Return whether it gets no request now, however few are open.

        :param exclude: instances that a request must not go to
        """
        return now < self.ejected_until or self.is_misdirected or self.server.instance in exclude
