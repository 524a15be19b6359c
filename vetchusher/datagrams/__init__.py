"""What cooperating ingresses share: the envelope of their datagrams, the clock of leases, the send budget.

Others use the names below, `parts.Parts`, which hands each message to the part of the work that owns its
topic, and `budget.room`.  Nothing here does I/O.
"""

from .envelope import KIND, Envelope, ReceivedMessage
from .messages import SendDatagram
from .pace import Pace

__all__ = ["KIND", "Envelope", "Pace", "ReceivedMessage", "SendDatagram"]
