"""Duties: singleton roles, each held by one ingress of the cluster at a time under a lease.

A majority of voters grants the leases (PaxosLease), or etcd does.  Each term of a lease has a fencing token
that only grows: the ballot, or the revision of the etcd key.  Beside the names below, the daemon uses the
modules `work` and `engine_work`.  Nothing in this package does I/O; clock and random numbers are passed in.
"""

from .duties import Duties
from .lease import Timing, holder_of
from .plan import Duty, Plan

__all__ = ["Duties", "Duty", "Plan", "Timing", "holder_of"]
