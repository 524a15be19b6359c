"""What both programs write alike, apart from the daemon's wire: the system starts without that."""

from __future__ import annotations

MOST_BODY = 64 * 1024  # of an answer that is held whole; a longer one is passed on as it comes


def seconds_text(span: int) -> str:
    """Microseconds as seconds with decimals, never below nothing."""
    return f"{max(0, span) / 1e6:.3f}"
