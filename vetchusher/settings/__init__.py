"""Our own settings: JSON files under deploy/, each checked against the JSON Schema beside it."""

from .errors import SettingsError

__all__ = ["SettingsError"]
