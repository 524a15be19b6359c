"""Test beds: stand-ins for outside systems, virtual time, checks, searches, mutations, and real processes.

`control`, `system`, `quota`, `membership` and `duties` emulate one subsystem each; `outside` has stand-ins.
They share `fleet_world` (a cluster in virtual time), `explorer` (all interleavings), `network`, `paths` and
`cuts` (faults between processes), `processes` and `rig` (real processes), `faults` and `wal`.
No part of either program imports this package.
"""
