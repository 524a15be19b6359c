"""The load balancer process: HTTP/1.1 sockets, timers and files around the admission policy."""
