"""Metrics of a process in the Prometheus text format; loaded only where the command line asks for them.

`process_metrics` has the figures of every process, `edge_metrics` and `control_metrics` those of its parts,
`listener` the address at which they are read.  Gauges are read from their owners when they are fetched, so
they cost nothing in between; docs/operators/metrics.md lists all names.
"""
