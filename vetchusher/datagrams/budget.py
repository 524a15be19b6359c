"""The part of an ingress's incoming datagrams that all shared work together may use.

One budget for duties and membership: settings that would exceed it are refused.
"""

from __future__ import annotations

from vetchusher.limits.guard import INBOX_PART

SHARE = 1.0 - INBOX_PART  # of what an ingress takes in: the counts of quotas may make the rest


def room(inbox_per_s: float) -> float:
    """Datagrams a second that all shared work together may send to one ingress; none stated: no bound."""
    return SHARE * inbox_per_s if inbox_per_s > 0.0 else float("inf")
