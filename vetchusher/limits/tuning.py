"""Parameters of quota enforcement that operators may set, with their defaults."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tuning:
    """Parameters described in deploy/limits.schema.json.  Times are in microseconds."""

    key: bytes | None = None  # authenticates messages between gateways; None: they are not authenticated
    message_interval_us: int = 100_000
    peer_timeout_us: int = 400_000
    startup_us: int = 1_500_000
    lost_us: int = 300_000
    return_us: int = 1_000_000
    suspect_units: float = 6.0
    split_units: float = 12.0
    max_split_us: int = 20_000_000
