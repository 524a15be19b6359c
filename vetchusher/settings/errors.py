"""The exception for invalid settings files."""


class SettingsError(Exception):
    """A settings file is unreadable or invalid; the text is one line that names the file and the field."""
