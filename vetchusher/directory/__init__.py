"""Which ingresses serve, and whom the directory names to a client."""
