"""What the ingresses of a tier have in common when they work together: the envelope of their messages, and
the clock by which leases are counted.  Nothing here does I/O."""

from .acts import Tell
from .envelope import KIND, Envelope, Letter
from .pace import Pace

__all__ = ["KIND", "Envelope", "Letter", "Pace", "Tell"]
