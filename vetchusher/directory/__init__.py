"""The directory: which ingresses serve, which of them are named to a client, and who watches whom.

Others use `presence.Presence` (a control node's record of heartbeats), `naming.named` with
`naming.serving_ingresses` (an answer from rows), and `neighbours.neighbours`.  Nothing here does I/O.
"""
