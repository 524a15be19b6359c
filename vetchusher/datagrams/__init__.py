"""What the ingresses of a tier have in common when they work together: the envelope of their messages, and
the clock by which leases are counted.  Nothing here does I/O."""

from .envelope import KIND, Envelope, Letter
from .messages import Tell
from .pace import Pace

__all__ = ["KIND", "Envelope", "Letter", "Pace", "Tell"]
