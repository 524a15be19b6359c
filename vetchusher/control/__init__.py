"""The replicated control state: what operators ordered, and which machines hold copies of it.

Each control node runs one `Replica` (a pure state machine) and one `Store` (in a thread of its own). Modules:
`replica` and its layers `roles` and `follower`; `election`, `voter`, `leader_lease`; `primary`,
`replication`, `order_queue`, `orders`; `reconfiguration`, `target_members`, `progress`; `durable_state`,
`store`, `repair`, `archive`.
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
    ReplicaSettings,
    RetrieveOrder,
    RetrieveRolloutOrder,
    RolloutDecision,
    RolloutOrder,
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
    "ReplicaSettings",
    "RetrieveOrder",
    "RetrieveRolloutOrder",
    "RolloutDecision",
    "RolloutOrder",
    "Send",
    "ShutDown",
    "Store",
    "Submitted",
    "Tick",
    "Timing",
]
