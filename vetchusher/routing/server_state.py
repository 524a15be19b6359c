"""State that an ingress keeps about one server."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from vetchusher.discovery.server import Server

# Token bucket depth of a cold server: requests that it may get at once. It is less than what the bucket
# gains in a second.
COLD_BURST_REQUESTS = 3.0


@dataclass(slots=True)
class ServerState:
    """State of one server as seen by this ingress; times are microseconds.

    :param open_limit: concurrency limit: requests that this ingress may have open at it; at least 1
    :param open_requests: requests that this ingress has open at it
    :param time_us: smoothed time from sending to the response, including the network; 0: not measured yet
    :param time_measured_at: when `time_us` last changed
    :param failures: consecutive failures
    :param failure_rate: smoothed ratio of failed attempts, as of `failure_rate_at`
    :param sent_times: send times of the requests that have no response yet, the oldest first
    :param preferred: it is in this ingress's subset
    :param ejection_us: length of its last ejection, halved by each successful response
    :param ejected_until: until then it gets no requests
    :param is_misdirected: it answered that another server has its address
    :param tokens: requests that it may get while it is cold, as of `tokens_at`
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
    is_misdirected: bool = False
    tokens: float = COLD_BURST_REQUESTS
    tokens_at: int = 0

    def is_saturated(self) -> bool:
        """Return whether this ingress has as many requests open at the server as its limit allows."""
        return self.open_requests + 1 > self.open_limit

    def is_unavailable(self, now: int, exclude: Collection[str]) -> bool:
        """Return whether the server must get no request now, however few are open.

        :param exclude: instances that the request must not be sent to
        """
        return now < self.ejected_until or self.is_misdirected or self.server.instance in exclude
