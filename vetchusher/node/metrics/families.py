"""What the collectors of both roles share."""

from __future__ import annotations

from prometheus_client.core import GaugeMetricFamily, Metric

NEVER_S = -1.0  # told in place of an age, or a count, that there is not


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(name, text, value=value)
