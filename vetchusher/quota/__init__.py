"""Quotas of tenants over all ingresses, and the retry budget of the whole system.

`coordinator` runs at the control node that is the primary, `local_quota` at each ingress; `windows` holds the
arithmetic that both share. `retry_budget` needs no coordinator. The package does no I/O and reads no clock;
times are microseconds.
"""
