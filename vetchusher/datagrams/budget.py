"""The share of an ingress's incoming datagrams that all shared work together may use.

Duties and membership have one budget together; settings that would exceed it are rejected.
"""

from __future__ import annotations

from vetchusher.limits.guard import INBOX_RATIO

INBOX_SHARE = 1.0 - INBOX_RATIO  # of an ingress's incoming datagrams; quota counts may use the rest


def limit_per_s(inbox_per_s: float) -> float:
    """Return the datagrams a second that all shared work together may send to one ingress.

    :param inbox_per_s: how many an ingress can receive; 0 or less: not stated, and the result is infinity
    """
    return INBOX_SHARE * inbox_per_s if inbox_per_s > 0.0 else float("inf")
