"""Days of control troubles for the users' bench: drawn from a seed, played, and what became of them."""
