"""vetchusher: admission for a gateway whose service is sold by plan, and the system round it."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .policy import AdmissionPolicy

__version__ = "0.2.0"
__all__ = ["AdmissionPolicy"]


def __getattr__(name: str) -> Any:
    """Load the decision module for whoever asks for it: processes of the system start without it."""
    if name == "AdmissionPolicy":
        from .policy import AdmissionPolicy

        return AdmissionPolicy
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
