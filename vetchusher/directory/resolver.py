"""Resolves ingresses for clients, and reports when a region's clients get ingresses of another scope."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from vetchusher.distribution.source import Source
from vetchusher.events import Event, LogEvent

from .homes import HomeIndex
from .naming import Client, ListedIngress, Resolution, Scope, choose_ingresses

TTL_S = 2.0  # how long a client may cache an answer
SHORT_TTL_S = 0.5  # used if the answer becomes wrong once an ingress of the client's region serves again
SHORT_TTL_SCOPES = frozenset({Scope.LEAVING, Scope.ANY_REGION})


class Resolver:
    """Owner of the scope of the last answer for each region that has ingresses, and of counts of answers."""

    def __init__(self, control: Source) -> None:
        """Begin without an answer.

        :param control: source of the configuration's rows, which contain the homes of routes
        """
        self.homes = HomeIndex(control)
        self.counts: Counter[Scope] = Counter()  # answers since the start, by scope
        self.scopes: dict[str, Scope] = {}  # scope of the last answer, by the client's region

    def resolve(
        self, ingresses: Iterable[ListedIngress], host: str, region: str, zone: str
    ) -> tuple[Resolution, list[LogEvent]]:
        """Return the answer to a client, and a list of events.

        The list has one event if the scope has changed for the client's region, otherwise none.
        """
        listed = list(ingresses)
        found = choose_ingresses(listed, Client(region, zone, self.homes.homes_of(host)))
        self.counts[found.scope] += 1
        if all(one.region != region for one in listed):
            return found, []  # the region is the caller's text: storing unknown ones would have no bound
        before = self.scopes.get(region, Scope.OWN_REGION)
        self.scopes[region] = found.scope
        if found.scope is before:
            return found, []
        facts = {
            "region": region,
            "scope": found.scope,
            "before": before,
            "serving": found.serving,
            "leaving": found.leaving,
            "named": len(found.addresses),
        }
        return found, [LogEvent(Event.DIRECTORY_SCOPE_CHANGED, facts)]


def ttl_s(scope: Scope, max_s: float) -> float:
    """Return for how many seconds a client may cache an answer of a scope.

    :param max_s: upper limit in seconds, from the settings
    """
    return min(SHORT_TTL_S if scope in SHORT_TTL_SCOPES else TTL_S, max_s)
