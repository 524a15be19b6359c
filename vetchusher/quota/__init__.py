"""Quotas of tenants over all ingresses, and the retry budget of the whole system.

`coordinator` runs at the control node that leads, `local_quota` at each ingress; `windows` is the arithmetic
that both share.  `retry_budget` needs no coordinator.  Pure: no I/O, no clock; times are microseconds.
"""
