"""What the collectors of both roles share."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from vetchusher.directory.naming import Scope

NEVER_S = -1.0  # told in place of an age, or a count, that there is not


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(name, text, value=value)


def directory_answers(counts: Mapping[Scope, int]) -> Metric:
    """Return the answers of the directory, by where the named ingresses stand."""
    family = CounterMetricFamily(
        "vetchusher_directory_answers",
        "Answers to clients that asked for ingresses, by the scope of those named.",
        labels=["scope"],
    )
    for scope, count in sorted(counts.items()):
        family.add_metric([scope.value], count)
    return family
