"""Roll-outs: until a verdict, a new version of a service gets a bounded share of the service's requests.

Each ingress spends its own budget of exposures (`exposure`) and counts the answers of both versions
(`evidence`). The leading control node merges these counts and decides (`verdict`, `supervisor`). Nothing in
this package does I/O.
"""
