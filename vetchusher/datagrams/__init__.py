"""What all shared work between ingresses builds on: datagram envelope, lease clock, and send budget.

Beside the names below, other packages use the modules `parts`, which passes each message to the part of the
work that owns its topic, and `budget`.  Nothing in this package does I/O.
"""

from .envelope import KIND, Envelope, ReceivedMessage
from .messages import SendDatagram
from .pace import LeaseClock

__all__ = ["KIND", "Envelope", "LeaseClock", "ReceivedMessage", "SendDatagram"]
