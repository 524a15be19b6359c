"""Reads the settings of `vetchusher.limits`: deploy/limits.json, validated by deploy/limits.schema.json."""

from __future__ import annotations

import pathlib
from typing import Any

from vetchusher.limits import Tuning

from .document import read_document
from .errors import SettingsError

SCHEMA_FILE = "limits.schema.json"
MIN_KEY_BYTES = 16


def read_limits(path: str) -> Tuning:
    """Read and validate a limits file; absent fields have the defaults of `Tuning`.

    :raises SettingsError: with one line that names the file and the field
    """
    tree = read_document(path, SCHEMA_FILE)
    peers, counter = tree.get("peers", {}), tree.get("counter", {})
    given: dict[str, Any] = {}
    for section, name, field in (
        (peers, "speak_ms", "message_interval_us"),
        (peers, "heard_ms", "peer_timeout_us"),
        (peers, "newborn_ms", "startup_us"),
        (counter, "lost_ms", "lost_us"),
        (counter, "return_ms", "return_us"),
        (counter, "split_most_ms", "max_split_us"),
    ):
        if name in section:
            given[field] = int(section[name]) * 1000
    for name in ("suspect_units", "split_units"):
        if name in counter:
            given[name] = float(counter[name])
    tuning = Tuning(key=read_key(path, peers, "peers.key_file"), **given)
    if tuning.suspect_units > tuning.split_units:
        raise SettingsError(f"{path}: counter.suspect_units: {tuning.suspect_units:g} is above split_units")
    if tuning.peer_timeout_us < 2 * tuning.message_interval_us:
        raise SettingsError(
            f"{path}: peers.heard_ms: less than two times speak_ms would report every peer as silent"
        )
    return tuning


def read_key(path: str, tree: dict[str, Any], name: str) -> bytes | None:
    """Return the key in the key file that a settings file names, or None if it names none.

    :param path: of the settings file; a relative path of the key file is resolved against its directory
    :param tree: the object of the settings file that may have the field `key_file`
    :param name: path of that field in the settings file, for error messages
    :raises SettingsError: if the key file cannot be read, or is shorter than `MIN_KEY_BYTES`
    """
    if "key_file" not in tree:
        return None
    key_path = pathlib.Path(path).parent / str(tree["key_file"])
    try:
        key = key_path.read_bytes().strip()
    except OSError as err:
        raise SettingsError(f"{path}: {name}: {key_path}: {err.strerror}") from None
    if len(key) < MIN_KEY_BYTES:
        raise SettingsError(f"{path}: {name}: {key_path} holds {len(key)} bytes, {MIN_KEY_BYTES} at least")
    return key
