"""Why an ingress refuses requests that have run nowhere, and a watch on refusals while servers are free."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from vetchusher.errors import ErrorCode
from vetchusher.events import Event, LogEvent

from .server_selection import NoServerReason

PERIOD_US = 5_000_000  # over which refusals are compared with all requests
MIN_REQUESTS = 50  # of a period: of fewer nothing is said
MAX_RATIO = 0.02  # of the requests of a period that may be refused while servers are free


class RefusalReason(StrEnum):
    """Why a request is refused; the value is what the log says."""

    NO_REGION = "no_region"
    NO_SERVER = "no_server"
    SERVERS_OUT = "servers_out"
    FULL = "full"
    GAVE_WAY = "gave_way"
    OUT_OF_TIME = "out_of_time"


REFUSALS: dict[RefusalReason, tuple[ErrorCode, str]] = {
    RefusalReason.NO_REGION: (ErrorCode.NO_REGION_ALLOWED, "route and tenant have no home in common"),
    RefusalReason.NO_SERVER: (ErrorCode.NO_SERVER_AVAILABLE, "no server is known"),
    RefusalReason.SERVERS_OUT: (ErrorCode.NO_SERVER_AVAILABLE, "no server is fit"),
    RefusalReason.FULL: (ErrorCode.NO_SERVER_AVAILABLE, "no server has room"),
    RefusalReason.GAVE_WAY: (ErrorCode.NO_SERVER_AVAILABLE, "more urgent requests need the room"),
    RefusalReason.OUT_OF_TIME: (ErrorCode.NO_SERVER_AVAILABLE, "its time is over"),
}
REASON_OF = {
    NoServerReason.NO_REGION: RefusalReason.NO_REGION,
    NoServerReason.NONE_LISTED: RefusalReason.NO_SERVER,
    NoServerReason.ALL_OUT: RefusalReason.SERVERS_OUT,
    NoServerReason.FULL: RefusalReason.FULL,
}


class RefusalMonitor:
    """Owner of the counts of one period: requests, and refusals while the service had free servers."""

    def __init__(self) -> None:
        """Begin a period."""
        self.began_at = 0
        self.requests = 0
        self.refused: Counter[RefusalReason] = Counter()

    def on_request(self) -> None:
        """Count an admitted request."""
        self.requests += 1

    def on_refused(self, reason: RefusalReason) -> None:
        """Count one that was refused while a server of its service was free."""
        self.refused[reason] += 1

    def check(self, now: int) -> list[LogEvent]:
        """At the end of a period, return an event if too many were refused, and begin the next.

        :param now: us
        """
        if now < self.began_at + PERIOD_US:
            return []
        requests, refused = self.requests, self.refused
        self.began_at, self.requests, self.refused = now, 0, Counter()
        if requests < MIN_REQUESTS or refused.total() <= MAX_RATIO * requests:
            return []
        facts: dict[str, object] = {"requests": requests}
        facts |= {str(reason): count for reason, count in sorted(refused.items())}
        return [LogEvent(Event.REFUSING_WITH_ROOM, facts)]
