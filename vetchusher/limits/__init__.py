"""Quota enforcement at one gateway instance while the external counter service is slow, failing or lossy.

`Limits` is the entry point for the decision module, which reports admitted commands, counter answers and
peer datagrams to it, and asks how much of the other gateways' usage its own view may lack.  The package does
no I/O.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .calls import PUSH_INTERVAL_US, PUSH_SLICES, CounterCallQueue, near_limit
    from .guard import Limits
    from .health import CounterHealth, State
    from .promised import OvershootBound, overshoot_bound
    from .tuning import Tuning

# Submodules are imported on first access, because most processes need only some of them.
_SUBMODULES = {
    "PUSH_SLICES": "calls",
    "PUSH_INTERVAL_US": "calls",
    "CounterCallQueue": "calls",
    "near_limit": "calls",
    "Limits": "guard",
    "CounterHealth": "health",
    "State": "health",
    "OvershootBound": "promised",
    "overshoot_bound": "promised",
    "Tuning": "tuning",
}

__all__ = [
    "PUSH_INTERVAL_US",
    "PUSH_SLICES",
    "CounterCallQueue",
    "CounterHealth",
    "Limits",
    "OvershootBound",
    "State",
    "Tuning",
    "near_limit",
    "overshoot_bound",
]


def __getattr__(name: str) -> Any:
    """Import an exported name from its submodule on first access.

    :raises AttributeError: if the package does not export the name
    """
    submodule = _SUBMODULES.get(name)
    if submodule is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from importlib import import_module

    return getattr(import_module(f"{__name__}.{submodule}"), name)
