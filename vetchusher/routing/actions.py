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
    """:param target: raw path and query
    :param arrived_at: us
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    arrived_at: int


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send it there, on a connection of that instance.

    :param trusted: it may run once only, so nothing but a connection that is surely alive will do
    """

    number: int
    server: Server
    headers: Headers
    connect_us: int
    deadline: int
    trusted: bool


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Close the connection of that attempt; no outcome is expected for it."""

    number: int


@dataclass(slots=True, frozen=True)
class ForwardResponse:
    """Pass that attempt's answer on."""

    number: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer by this ingress itself."""

    error: Error


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `late` then (us)."""

    at: int


Action = SendAttempt | CancelAttempt | ForwardResponse | Reject | WakeAt
