"""Quotas over many ingresses: the daemon's while its counter is unavailable, and the system's own.

`Limits` is the face for the daemon's decision module, which reports what passed and what the counter and the
peers said, and asks how much of the others' use its own view may lack.  The system uses `tally` (an ingress's
side), `totals` (the holder's side), `windows` (their arithmetic) and `tries` (the retry budget).
Nothing here does I/O.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .calls import SYNC_SLICES, SYNC_US, CallLine, near
    from .guard import Limits
    from .health import CounterHealth, State
    from .promised import Promise, promise
    from .tuning import Tuning

# Loaded for whoever asks for them: the system starts without the daemon's half.
_PLACES = {
    "SYNC_SLICES": "calls",
    "SYNC_US": "calls",
    "CallLine": "calls",
    "near": "calls",
    "Limits": "guard",
    "CounterHealth": "health",
    "State": "health",
    "Promise": "promised",
    "promise": "promised",
    "Tuning": "tuning",
}

__all__ = [
    "SYNC_SLICES",
    "SYNC_US",
    "CallLine",
    "CounterHealth",
    "Limits",
    "Promise",
    "State",
    "Tuning",
    "near",
    "promise",
]


def __getattr__(name: str) -> Any:
    place = _PLACES.get(name)
    if place is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(f"{__name__}.{place}"), name)
