"""The daemon's quotas while its counter is unavailable.

`Limits` is the face for the decision module, which reports what was admitted and what the counter and the
peers said, and asks how much of the others' use its own view may lack.  Nothing here does I/O.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .calls import SYNC_SLICES, SYNC_US, CallLine, near
    from .guard import Limits
    from .health import CounterHealth, State
    from .promised import Promise, promise
    from .tuning import Tuning

# Loaded when they are first asked for: most processes need a part of them.
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
