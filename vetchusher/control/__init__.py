"""The control state: epochs, primary, copies, machines that lost their disk, and the store on disk.

Owns: what the operator has ordered (configuration, evacuations), and who holds copies of it; every core
machine runs one `Replica` (pure) and one `Store` (in a thread of its own).
"""

from .messages import (
    Committed,
    Completed,
    CopyRepaired,
    EvacuationOrder,
    Input,
    Order,
    Output,
    Persist,
    Persisted,
    PersistentState,
    Received,
    ReplaceOrder,
    RetrieveOrder,
    Send,
    ShutDown,
    Submitted,
    Tick,
    Timing,
)
from .replica import Replica
from .store import Store

__all__ = [
    "Committed",
    "Completed",
    "CopyRepaired",
    "EvacuationOrder",
    "Input",
    "Order",
    "Output",
    "Persist",
    "Persisted",
    "PersistentState",
    "Received",
    "ReplaceOrder",
    "Replica",
    "RetrieveOrder",
    "Send",
    "ShutDown",
    "Store",
    "Submitted",
    "Tick",
    "Timing",
]
