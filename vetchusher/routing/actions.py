"""Input and output types of a request's state machine: the request head, and the actions for its caller.

All times are microseconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from vetchusher.discovery.server import Server
from vetchusher.errors import Error

from .headers import Headers


@dataclass(slots=True, frozen=True)
class RequestHead:
    """Head of a client's request.

    :param target: raw path and query string
    :param arrived_at: time of arrival, us
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    arrived_at: int


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to a server, on a connection to that instance.

    :param number: number of the attempt within its request, from 0
    :param connect_timeout_us: time-out for establishing the connection, us
    :param deadline: time at which the attempt times out, us
    :param requires_trusted_connection: the request is not repeatable: only a connection known to be alive
        may be used
    """

    number: int
    server: Server
    headers: Headers
    connect_timeout_us: int
    deadline: int
    requires_trusted_connection: bool


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Close the connection of an attempt; no outcome is expected for it."""

    number: int


@dataclass(slots=True, frozen=True)
class ForwardResponse:
    """Forward the response of an attempt to the client."""

    number: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer the request with an error of this ingress."""

    error: Error


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call the request's `on_hedge_timer` at the time `at` (us)."""

    at: int


Action = SendAttempt | CancelAttempt | ForwardResponse | Reject | WakeAt
