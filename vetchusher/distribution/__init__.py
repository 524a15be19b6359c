"""What the processes tell one another: messages (wire.proto), and rows with stamps that readers pull."""
