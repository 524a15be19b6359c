"""The directory: tracks which ingresses serve, resolves them for clients, and chooses their neighbours.

Entry points: `presence.Presence` (a control node's record of heartbeats), `resolver.Resolver` with
`naming.listed_ingresses` (an answer from rows), and `neighbours.choose_neighbours`. Nothing here does I/O.
"""
