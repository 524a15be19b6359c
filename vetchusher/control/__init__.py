"""The replicated control state: the configuration, evacuations and roll-outs that operators have ordered.

Each control node runs one `Replica` (a deterministic state machine without I/O) and one `Store` (which does
the disk I/O in a thread of its own). The modules, by subject:

- the state machine of a node: `replica`, built on `roles` and `follower`
- votes and the leader lease: `election`, `voter`, `leader_lease`
- writes and orders at the primary: `primary`, `replication`, `order_queue`, `orders`
- membership changes: `reconfiguration`, `target_members`, `progress`
- data on disk: `durable_state`, `store`, `repair`, `archive`
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
