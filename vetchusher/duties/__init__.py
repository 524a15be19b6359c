"""Duties: work that one ingress of the cluster does at a time, under a lease granted by a majority of voters.

Each term has a fencing token that only grows (PaxosLease; or the revision of a key, where etcd holds the
leases).  `work.Work` and `engine_work.EngineWork` are what the daemon's process uses beside the names below.
Nothing here does I/O; clock and random numbers are handed in.
"""

from .duties import Duties
from .lease import Timing, holder_of
from .plan import Duty, Plan

__all__ = ["Duties", "Duty", "Plan", "Timing", "holder_of"]
