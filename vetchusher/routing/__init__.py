"""Routing: a request's way from its head to its answer.

Route and tenant, allowed regions, server, attempts, and what an attempt's outcome claims.  Others use the
names below, and the header names of `headers`.  Nothing here does I/O.
"""

from .choice import Choice
from .claims import Claim, Seen
from .request import AttemptBudget, Ground, Head, Request, TenantQuotas, judge
from .routes import RouteTable

__all__ = [
    "AttemptBudget",
    "Choice",
    "Claim",
    "Ground",
    "Head",
    "Request",
    "RouteTable",
    "Seen",
    "TenantQuotas",
    "judge",
]
