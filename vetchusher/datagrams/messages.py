"""The output that all parts of the shared work have in common."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a datagram to one ingress of the cluster, by its number."""

    to: int
    data: bytes
