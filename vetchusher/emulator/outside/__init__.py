"""Stand-ins for outside systems, by their published protocols: counter, etcd, platform API, backend servers.

The models do no I/O; `sockets` and the classes named `...Server` or `...StandIn` serve them on loopback.
"""
