"""A request's way: route, key, homes, server, tries, and what was seen and what that claims."""
