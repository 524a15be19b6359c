"""Routing of requests at an ingress, from the request head to the response.

The package finds the route and the tenant, restricts the regions, selects servers, decides on retries and
hedges, and classifies attempt outcomes. Other packages use the names exported here and the header names in
`headers`. Nothing in this package does I/O.
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
