"""The directory: which ingresses serve, which of them are named to a client, and who watches whom.

Others use `presence.Presence` (a control node's record of heartbeats), `resolver.Resolver` with
`naming.listed_ingresses` (an answer from rows), and `neighbours.choose_neighbours`.  Nothing here does I/O.
"""
