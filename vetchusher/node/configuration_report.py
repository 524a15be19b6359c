"""Reports on a configuration for operators: its size, and tenants whose requests no region may serve."""

from __future__ import annotations

from vetchusher.events import Event, LogEvent
from vetchusher.settings.configuration import Configuration
from vetchusher.settings.homes import disjoint_homes


def describe_configuration(configuration: Configuration) -> str:
    """Return a line with a configuration's size, and one for each set of tenants that no region may serve."""
    parts = f"{len(configuration.routes)} routes, {len(configuration.services)} services, "
    lines = [f"r{configuration.version}: {parts}{len(configuration.tenants)} tenants"]
    lines += [f"no region may serve {each.describe()}" for each in disjoint_homes(configuration)]
    return "\n".join(lines)


def warnings_of(configuration: Configuration) -> list[LogEvent]:
    """Return one event if no region may serve the requests of some tenants, else none."""
    found = disjoint_homes(configuration)
    if not found:
        return []
    tenants = sum(len(each.tenants) for each in found)
    facts = {"version": configuration.version, "tenants": tenants, "first": found[0].describe()}
    return [LogEvent(Event.HOMES_DISJOINT, facts)]
