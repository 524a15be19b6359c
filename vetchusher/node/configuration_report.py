"""What an operator is told of a configuration: its size, and what of it can work nowhere."""

from __future__ import annotations

from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.homes import disjoint_homes


def describe_configuration(configuration: Configuration) -> str:
    """Return a line on a configuration, and one more for tenants that some routes exclude."""
    parts = f"{len(configuration.routes)} routes, {len(configuration.services)} services, "
    lines = [f"r{configuration.version}: {parts}{len(configuration.tenants)} tenants"]
    lines += [f"no region may serve {each.describe()}" for each in disjoint_homes(configuration)]
    return "\n".join(lines)


def warnings_of(configuration: Configuration) -> list[LogEvent]:
    """Return one event if requests of some tenants can run nowhere."""
    found = disjoint_homes(configuration)
    if not found:
        return []
    tenants = sum(len(each.tenants) for each in found)
    facts = {"version": configuration.version, "tenants": tenants, "first": found[0].describe()}
    return [LogEvent(Event.HOMES_DISJOINT, facts)]
