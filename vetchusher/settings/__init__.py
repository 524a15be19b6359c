"""Reads and validates settings against JSON Schemas; an error is one line that names the offending field.

Load-balancer processes read `node` (a process's settings file) and `configuration` (the operator's), with
validators generated from the schemas (`compiled`). The ingress daemon reads `limits` and `fleet`
(deploy/*.json) and reports failures as `SettingsError`.
"""

from .errors import SettingsError

__all__ = ["SettingsError"]
