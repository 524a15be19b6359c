"""Quotas in virtual time: demand, ingresses, holders of totals, the judge, and mutations.

`world` and `scenes` emulate the system's quotas, `virtual` and `deployments` the daemon's beside its counter.
"""
