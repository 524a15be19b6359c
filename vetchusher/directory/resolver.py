"""Answers clients' questions for ingresses, and says when a region can no longer answer for itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from vetchusher.events import Event, LogEvent

from .naming import ListedIngress, Resolution, Scope, choose_ingresses


class Resolver:
    """Owner of what was answered lately: the scope of the last answer for each region that has ingresses."""

    def __init__(self) -> None:
        """Begin without an answer."""
        self.counts: Counter[Scope] = Counter()  # answers since the start
        self.scopes: dict[str, Scope] = {}  # by the client's region: of the last answer

    def resolve(
        self, ingresses: Iterable[ListedIngress], region: str, zone: str
    ) -> tuple[Resolution, list[LogEvent]]:
        """Return the answer to a client, and an event where its region's answers have another scope now."""
        listed = list(ingresses)
        found = choose_ingresses(listed, region, zone)
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
