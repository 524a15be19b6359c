"""What a request's state machine is given and what it returns: the head, and actions for the caller.

All times are microseconds of one steady clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from vetchusher.discovery.server import Server
from vetchusher.errors import Error

from .headers import Headers


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The head of a client's request.

    :param target: raw path and query
    :param arrived_at: us
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    arrived_at: int


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to a server, on a connection of that instance.

    :param deadline: us
    :param trusted: it may run only once, so nothing but a connection that is surely alive will do
    """

    number: int
    server: Server
    headers: Headers
    connect_us: int
    deadline: int
    trusted: bool


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Close the connection of an attempt; no outcome is expected for it."""

    number: int


@dataclass(slots=True, frozen=True)
class ForwardResponse:
    """Forward the response of an attempt."""

    number: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer by this ingress itself."""

    error: Error


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `on_late` at that time (us)."""

    at: int


Action = SendAttempt | CancelAttempt | ForwardResponse | Reject | WakeAt
