"""Subsetting of worker instances, slow start, and load shedding at one gateway; the package does no I/O."""

from . import slowstart
from .shedding import USAGE_WEIGHT, LoadShedder
from .subset import max_holders, round_of, subset, subset_width

__all__ = [
    "USAGE_WEIGHT",
    "LoadShedder",
    "max_holders",
    "round_of",
    "slowstart",
    "subset",
    "subset_width",
]
