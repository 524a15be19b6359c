"""What the parts of a primary share: the epoch, its begin, and the machine that leads it."""

from __future__ import annotations

from dataclasses import dataclass

from .durable_state import DurableState
from .messages import Timing
from .progress import PeerTable


@dataclass(slots=True)
class EpochContext:
    """One epoch at its primary.

    :param losses: how many machines may be lost at a time
    :param began_at: microseconds of this machine's steady clock
    """

    timing: Timing
    durable: DurableState
    peers: PeerTable
    epoch: int
    losses: int
    began_at: int
