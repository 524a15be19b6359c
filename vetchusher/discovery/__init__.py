"""Discovery: the platform's list of servers as rows, and which ingress owns a cold server's budget.

Others use `reader.Reader` and `reader.read_page` (the primary), `reader.read_row` (an edge node) and
`server.Server`.  Nothing here does I/O.
"""
