"""Metric families that the collectors of edge and control nodes share."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from vetchusher.directory.naming import Scope

NOT_AVAILABLE = -1.0  # value of a gauge whose age or count does not exist


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(name, text, value=value)


def directory_answers(counts: Mapping[Scope, int]) -> Metric:
    """Return the counter of the directory's answers, by the scope of the ingresses named in them."""
    family = CounterMetricFamily(
        "vetchusher_directory_answers",
        "Answers to clients that asked for ingresses, by the scope of those named.",
        labels=["scope"],
    )
    for scope, count in sorted(counts.items()):
        family.add_metric([scope.value], count)
    return family
