"""What the work that ingresses share asks to have done, beside what is its own."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a datagram to one ingress of the tier."""

    to: int
    data: bytes
