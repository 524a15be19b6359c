"""How a measured figure grows with one driver: a straight line with its error, and the exponent."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

FLAT, BELOW, LINEAR = 0.1, 0.7, 1.2  # exponents up to which growth is called so
MARGIN = 0.05  # of the largest value: smaller changes are called flat


@dataclass(frozen=True, slots=True)
class Fit:
    """`base + slope * size`, by least squares.

    :param error: largest distance of a measured value from the line, as a part of the largest value
    :param exponent: of what grows above the smallest size
    """

    base: float
    slope: float
    error: float
    exponent: float
    growth: str

    def at(self, size: float) -> float:
        return self.base + self.slope * size


def line(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Base and slope by least squares."""
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    return mean_value - slope * mean_size, slope


def exponent_of(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Of the steps from the smallest size: the slope of their logarithms by the sizes'."""
    grown = [(s - sizes[0], v - values[0]) for s, v in zip(sizes, values, strict=True)][1:]
    grown = [(s, v) for s, v in grown if v > 0]
    if len(grown) < 2:
        return 0.0
    return line([math.log(s) for s, _ in grown], [math.log(v) for _, v in grown])[1]


def growth_of(sizes: Sequence[float], values: Sequence[float], exponent: float) -> str:
    top = max(abs(value) for value in values)
    if not top or max(values) - min(values) <= MARGIN * top or exponent < FLAT:
        return "flat"
    if exponent < BELOW:
        return "below linear"
    return "linear" if exponent <= LINEAR else "worse than linear"


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """:param sizes: at least two, growing"""
    base, slope = line(sizes, values)
    top = max(abs(value) for value in values) or 1.0
    pairs = list(zip(sizes, values, strict=True))
    error = max(abs(value - base - slope * size) for size, value in pairs) / top
    exponent = exponent_of(sizes, values)
    return Fit(base, slope, error, exponent, growth_of(sizes, values, exponent))
