"""The ingress: real sockets round the decision module."""
