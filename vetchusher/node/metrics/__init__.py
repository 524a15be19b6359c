"""Metrics of a process in the Prometheus text format; imported only if the command line enables them.

`process_metrics` has the metrics of every process, `edge_metrics` and `control_metrics` those of its parts,
and `listener` the endpoint that serves them. Gauges are read from their owners at each scrape, so they cost
nothing in between. docs/operators/metrics.md lists all names.
"""
