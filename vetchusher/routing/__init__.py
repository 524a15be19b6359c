"""A request's way: route, key, homes, server, tries, and what was seen and what that claims."""

from .choice import Choice
from .claims import Claim, Seen
from .request import Budget, Ground, Head, Request, Tally, judge
from .routes import RouteTable

__all__ = ["Budget", "Choice", "Claim", "Ground", "Head", "Request", "RouteTable", "Seen", "Tally", "judge"]
