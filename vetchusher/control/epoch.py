"""The context that the components of a primary share during one epoch."""

from __future__ import annotations

from dataclasses import dataclass

from .durable_state import DurableState
from .messages import Timing
from .progress import PeerTable


@dataclass(slots=True)
class EpochContext:
    """The epoch, its start, and the durable state and peer table of the machine that is its primary.

    :param losses: the number of machines that may be lost at the same time
    :param began_at: start of the epoch, in microseconds of this machine's steady clock
    """

    timing: Timing
    durable: DurableState
    peers: PeerTable
    epoch: int
    losses: int
    began_at: int
