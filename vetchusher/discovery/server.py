"""The record of one server, from the platform's list."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ColdTimeId:
    """Identifies one cold time of a server, so that two of equal length are told apart.

    :param epoch: epoch of the reader of the list
    :param ends_at: when it ends, in microseconds of that reader's steady clock
    """

    epoch: int
    ends_at: int


@dataclass(slots=True, frozen=True)
class Server:
    """One server.

    :param instance: id of this incarnation of the server
    :param address: `ip:port`
    :param cold_until: microseconds of the reader's steady clock; 0 or in the past: the server is warm
    :param cold_owner: node name of the only ingress that may send to it while it is cold; empty: none
    :param owned_from: microseconds of the reader's steady clock from which that ingress may send
    :param cold_id: the cold time that `cold_until` ends; None: the server is not listed as cold
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
    cold_id: ColdTimeId | None = None
