"""Reasons for which an ingress refuses unexecuted requests, and monitoring of unexpected refusals.

A refusal is unexpected if a server of the service has spare capacity.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from vetchusher.errors import ErrorCode
from vetchusher.events import Event, LogEvent

from .server_selection import NoServerReason

CHECK_PERIOD_US = 5_000_000  # refusals are compared with all requests over this period
MIN_REQUESTS_PER_PERIOD = 50  # a period with fewer requests is not reported
# Ratio of a period's requests that may be refused, without a report, despite spare capacity.
MAX_REFUSAL_RATIO = 0.02


class RefusalReason(StrEnum):
    """Why a request is refused; the value is a key of the log event."""

    NO_REGION = "no_region"
    NO_SERVER = "no_server"
    SERVERS_OUT = "servers_out"
    FULL = "full"
    GAVE_WAY = "gave_way"
    OUT_OF_TIME = "out_of_time"


REFUSALS: dict[RefusalReason, tuple[ErrorCode, str]] = {
    RefusalReason.NO_REGION: (ErrorCode.NO_REGION_ALLOWED, "route and tenant have no home in common"),
    RefusalReason.NO_SERVER: (ErrorCode.NO_SERVER_AVAILABLE, "no server is known"),
    RefusalReason.SERVERS_OUT: (
        ErrorCode.NO_SERVER_AVAILABLE,
        "no server is fit",
    ),
    RefusalReason.FULL: (ErrorCode.NO_SERVER_AVAILABLE, "no server has room"),
    RefusalReason.GAVE_WAY: (ErrorCode.NO_SERVER_AVAILABLE, "more urgent requests need the room"),
    RefusalReason.OUT_OF_TIME: (ErrorCode.NO_SERVER_AVAILABLE, "its time is over"),
}
REFUSAL_REASON_OF = {
    NoServerReason.NO_REGION: RefusalReason.NO_REGION,
    NoServerReason.NONE_LISTED: RefusalReason.NO_SERVER,
    NoServerReason.ALL_OUT: RefusalReason.SERVERS_OUT,
    NoServerReason.FULL: RefusalReason.FULL,
}


class RefusalMonitor:
    """Counts the requests of one period, and those refused while their service had spare capacity."""

    def __init__(self) -> None:
        """Start the first period."""
        self.began_at = 0
        self.requests = 0
        self.refused: Counter[RefusalReason] = Counter()

    def on_request(self) -> None:
        """Count an admitted request."""
        self.requests += 1

    def on_refused(self, reason: RefusalReason) -> None:
        """Count a request that was refused while a server of its service had spare capacity."""
        self.refused[reason] += 1

    def check(self, now: int) -> list[LogEvent]:
        """Return an event if a period has ended with too many refusals, and start the next period.

        :param now: time, us
        """
        if now < self.began_at + CHECK_PERIOD_US:
            return []
        requests, refused = self.requests, self.refused
        self.began_at, self.requests, self.refused = now, 0, Counter()
        if requests < MIN_REQUESTS_PER_PERIOD or refused.total() <= MAX_REFUSAL_RATIO * requests:
            return []
        facts: dict[str, object] = {"requests": requests}
        facts |= {str(reason): count for reason, count in sorted(refused.items())}
        return [LogEvent(Event.REFUSING_WITH_ROOM, facts)]
