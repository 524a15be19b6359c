"""Limits and formats used by both programs, separate so that either starts without the other's modules."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # longest body held in memory; a longer answer is streamed


def seconds_text(span_us: int) -> str:
    """Format microseconds as seconds with three decimals; a negative span gives 0."""
    return f"{max(0, span_us) / 1e6:.3f}"
