"""Faults against the replicated control state: simulation, safety checks and searches; real processes."""
