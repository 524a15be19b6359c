"""vetchusher: admission for a gateway whose service is sold by plan."""

from .policy import AdmissionPolicy

__version__ = "0.2.0"
__all__ = ["AdmissionPolicy"]
