"""Who of the ingresses serves: each keeps a view by probes and gossip; and how often discovery is asked.

Others use `Backoff` from here; `work.MembersWork`, loaded only where membership is switched on, is the
protocol's face, `rules.Rules` its timing.  Nothing here does I/O.
"""

from .backoff import Backoff

__all__ = ["Backoff"]
