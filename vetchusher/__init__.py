"""Vetchusher: a load balancer that admits requests by tenants' plans, and the control system around it."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .policy import AdmissionPolicy

__version__ = "0.2.0"
__all__ = ["AdmissionPolicy"]


def __getattr__(name: str) -> Any:
    """Import the admission policy on first use, so that processes that do not need it start without it."""
    if name == "AdmissionPolicy":
        from .policy import AdmissionPolicy

        return AdmissionPolicy
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
