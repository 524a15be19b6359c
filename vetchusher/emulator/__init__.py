"""Stand-ins of the systems outside an ingress, scripted and fault-injecting: one set for tests,
rehearsals and experiments.

`counter`, `network` and `demand` are models free of I/O; `virtual` drives them, and the decision module, in
virtual time; `sockets` drives the same models on loopback.  Nothing here is imported by `serve`.
"""
