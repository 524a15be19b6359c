"""SWIM-style cluster membership by probes and gossip, and the retry back-off of calls to service discovery.

`Backoff` is the only name that other packages import from here.  The module `work` connects the protocol to
the program's events and actions, and is loaded only where membership is switched on; `rules` holds the
protocol's timing.  Nothing in this package does I/O.
"""

from .backoff import Backoff

__all__ = ["Backoff"]
