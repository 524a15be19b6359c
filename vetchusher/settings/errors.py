"""What is wrong with a settings file."""


class SettingsError(Exception):
    """The settings cannot be used; the text is one plain line that names the file and the place in it."""
