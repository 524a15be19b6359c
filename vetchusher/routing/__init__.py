"""Routing: the way of a request from its head to its response.

Route and tenant, allowed regions, server, attempts, and what an attempt's outcome claims.  Others use the
names below, and the header names of `headers`.  Nothing here does I/O.
"""

from .actions import RequestHead
from .admission import admit_request
from .claims import AttemptOutcome, Claim
from .context import AttemptBudget, RoutingContext, TenantQuotas
from .request import Request
from .routes import RouteTable
from .server_selection import ServerSelector

__all__ = [
    "AttemptBudget",
    "AttemptOutcome",
    "Claim",
    "Request",
    "RequestHead",
    "RouteTable",
    "RoutingContext",
    "ServerSelector",
    "TenantQuotas",
    "admit_request",
]
