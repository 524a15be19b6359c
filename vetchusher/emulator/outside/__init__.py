"""Stand-ins for outside systems, by their published protocols."""
