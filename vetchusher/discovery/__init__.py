"""The platform's list of servers: its one reader, what is gone, drained or cold, and whose a cold one is."""
