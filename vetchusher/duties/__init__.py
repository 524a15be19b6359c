"""Work that one ingress of the tier does at a time: leases by a majority of voters, each term with a token
that only grows.  Nothing here does I/O; clock and random numbers are handed in."""

from .duties import Duties
from .lease import Timing, holder_of
from .plan import Duty, Plan

__all__ = ["Duties", "Duty", "Plan", "Timing", "holder_of"]
