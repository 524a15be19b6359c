"""Quotas in virtual time: demand, ingresses, coordinators, checks and mutations.

`world` and `scenes` emulate the system's tenant quotas; `virtual` and `deployments` emulate the decisions
of the daemon, with its quota counter.
"""
