"""vetchusher: admission for a gateway whose service is sold by plan."""

from .policy import AdmissionPolicy

__all__ = ["AdmissionPolicy"]
