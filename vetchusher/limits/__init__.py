"""What keeps quotas true while the counter is not: its state, the peers' counts, and what is promised.

Nothing here does I/O.  `Limits` is the face: the decision module tells it what passed, what the counter and
the peers said, and asks it how much of the others' use its own view may lack.
"""

from .calls import SYNC_SLICES, SYNC_US, CallLine, near
from .guard import Limits
from .health import CounterHealth, State
from .promise import Promise, promise
from .tuning import Tuning

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
