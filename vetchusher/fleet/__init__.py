"""Which instances an ingress uses where there are many of both, and what it sheds.  Nothing here does I/O."""

from . import slowstart
from .shedding import SHED_SPAN, Shedding
from .subset import holders, subset, turn, widen

__all__ = ["SHED_SPAN", "Shedding", "holders", "slowstart", "subset", "turn", "widen"]
