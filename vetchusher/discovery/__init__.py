"""Discovery: turns the platform's list of servers into rows, and assigns owners to cold servers.

Entry points: `reader.ServerListReader` and `reader.read_page` (the primary), `reader.decode_row` (an edge
node) and `server.Server`. Nothing here does I/O.
"""
