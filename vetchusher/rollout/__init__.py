"""Roll-outs: a new version of a service gets a bounded share of its requests until a verdict.

An ingress draws exposures from its own budget (`exposure`) and counts what it sees of both versions
(`evidence`); the control node that leads merges the counts and decides (`verdict`).  Nothing here does I/O.
"""
