"""Stand-ins for outside systems, by their published protocols: counter, etcd, platform's list, servers.

Models are free of I/O; `sockets`, and the classes that end in Server or StandIn, serve them on loopback.
"""
