"""The control state: epochs, primary, copies, forgetful machines, and the store on disk.

Owns: what the operator has ordered (configuration, evacuations), and who holds copies of it; every core
machine runs one `Member` (pure) and one `Store` (in a thread of its own).
"""

from .acts import (
    Committed,
    Done,
    Heard,
    Input,
    Kept,
    Mended,
    Order,
    Output,
    Replace,
    Retire,
    Retrieve,
    Save,
    Saved,
    SetEvacuation,
    Submitted,
    Tell,
    Tick,
    Timing,
)
from .member import Member
from .store import Store

__all__ = [
    "Committed",
    "Done",
    "Heard",
    "Input",
    "Kept",
    "Member",
    "Mended",
    "Order",
    "Output",
    "Replace",
    "Retire",
    "Retrieve",
    "Save",
    "Saved",
    "SetEvacuation",
    "Store",
    "Submitted",
    "Tell",
    "Tick",
    "Timing",
]
