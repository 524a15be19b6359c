"""Messages between the processes (wire.proto), and sources: rows with stamps that subscribers pull."""
