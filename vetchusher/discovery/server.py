"""One server as the system knows it, from the platform's list."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Server:
    """:param instance: the id of this life of it
    :param address: `ip:port`
    :param cold_until: us on the reader's own steady clock; 0 or in the past: warm
    :param cold_owner: node name of the one ingress that may send to it while it is cold; empty: none
    :param owned_from: us on the reader's own steady clock from which that owner may
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str = ""
    capacity: int = 1
    draining: bool = False
    cold_until: int = 0
    cold_owner: str = ""
    owned_from: int = 0
