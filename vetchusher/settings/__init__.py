"""Settings, each checked against its JSON Schema; what cannot be used is refused in one line with its place.

The system reads `node` (a process's settings file) and `configuration` (an operator's), by schemas compiled
to code (`compiled`); the daemon reads `limits` and `fleet` (deploy/*.json).  `SettingsError` is the daemon's.
"""

from .errors import SettingsError

__all__ = ["SettingsError"]
