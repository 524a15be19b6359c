"""The system's errors: the closed list of error codes, and the HTTP status of each.

Functions that can fail return a `Result` whose failure is an `Error`; packages of the system exchange no
other kind of error.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ErrorCode(StrEnum):
    """Why something failed. The values appear in JSON responses and in messages between control nodes."""

    # a client's request
    MALFORMED_REQUEST = "unreadable"
    ROUTE_NOT_FOUND = "no_route"
    UNAUTHENTICATED = "no_key"
    QUOTA_EXCEEDED = "over_quota"
    BODY_TOO_LARGE = "body_too_long"
    CLIENT_TIMEOUT = "slow_client"
    STALE_CONFIGURATION = "not_fresh"  # the configuration here may be older than the one in force
    NO_SERVER_AVAILABLE = "no_server"  # there is no server or all are full; the request was not executed
    NO_REGION_ALLOWED = "no_region"  # route and tenant have no home region in common; not executed
    NOT_EXECUTED = "never_ran"  # servers were tried, and none executed the request
    MAYBE_EXECUTED = "may_have_run"
    DEADLINE_EXCEEDED = "out_of_time"  # the request may have been executed
    DRAINING = "leaving"
    # an operator's order
    INVALID_ORDER = "invalid"
    NOT_FOUND = "not_found"
    VERSION_CONFLICT = "conflict"  # another body was committed with the same version
    UNAVAILABLE = "not_settled"  # no primary, or no answer from it: the order may or may not be committed
    # settings, files, peers
    INVALID_SETTINGS = "bad_settings"
    STORAGE_ERROR = "bad_store"
    INVALID_MESSAGE = "bad_message"


# The statuses 408, 421, 429 and 503 promise that the request was not executed and never will be, so they
# belong only to codes for which that is certain.
HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.ROUTE_NOT_FOUND: 404,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.QUOTA_EXCEEDED: 429,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.CLIENT_TIMEOUT: 408,
    ErrorCode.STALE_CONFIGURATION: 503,
    ErrorCode.NO_SERVER_AVAILABLE: 503,
    ErrorCode.NO_REGION_ALLOWED: 503,
    ErrorCode.NOT_EXECUTED: 503,
    ErrorCode.MAYBE_EXECUTED: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.DRAINING: 503,
    ErrorCode.INVALID_ORDER: 400,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.VERSION_CONFLICT: 409,
    ErrorCode.UNAVAILABLE: 503,
    ErrorCode.INVALID_SETTINGS: 500,
    ErrorCode.STORAGE_ERROR: 500,
    ErrorCode.INVALID_MESSAGE: 400,
}


@dataclass(slots=True, frozen=True)
class Error:
    """One failure.

    :param code: the kind of failure
    :param text: one line that says what failed and where
    :param retry_after_us: microseconds after which the caller may retry; 0: not given
    """

    code: ErrorCode
    text: str = ""
    retry_after_us: int = 0

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return HTTP_STATUS[self.code]
