"""Answers clients' questions for ingresses, and says when a region can no longer answer for itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from vetchusher.distribution.source import Source
from vetchusher.events import Event, LogEvent

from .homes import HomeIndex
from .naming import Client, ListedIngress, Resolution, Scope, choose_ingresses

TTL_S = 2.0  # for which a client may cache an answer
BRIEF_TTL_S = 0.5  # the same for an answer that is wrong as soon as an ingress of the region serves again
BRIEF_SCOPES = frozenset({Scope.LEAVING, Scope.ANY_REGION})


class Resolver:
    """Owner of what was answered lately: the scope of the last answer for each region that has ingresses."""

    def __init__(self, control: Source) -> None:
        """Begin without an answer.

        :param control: source of the configuration's rows: routes say where they have their homes
        """
        self.homes = HomeIndex(control)
        self.counts: Counter[Scope] = Counter()  # answers since the start
        self.scopes: dict[str, Scope] = {}  # by the client's region: of the last answer

    def resolve(
        self, ingresses: Iterable[ListedIngress], host: str, region: str, zone: str
    ) -> tuple[Resolution, list[LogEvent]]:
        """Return the answer to a client, and an event where its region's answers have another scope now."""
        listed = list(ingresses)
        found = choose_ingresses(listed, Client(region, zone, self.homes.homes_of(host)))
        self.counts[found.scope] += 1
        if all(one.region != region for one in listed):
            return found, []  # callers choose what they say: only known regions are kept
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
    """Return for how long (seconds) a client may cache an answer of a scope.

    :param max_s: longest that clients heed
    """
    return min(BRIEF_TTL_S if scope in BRIEF_SCOPES else TTL_S, max_s)
