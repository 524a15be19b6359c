"""What keeps quotas true: while a counter is not to be had, and inside the system.

Nothing here does I/O.  `Limits` is the face for the daemon's decision module, which tells it what passed,
what the counter and the peers said, and asks it how much of the others' use its own view may lack.  `tally`,
`totals` and `tries` are the system's: an ingress's quotas, the holder's, and the budget of extra tries.
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
