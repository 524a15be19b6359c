"""The settings of `vetchusher.limits`: deploy/limits.json, by deploy/limits.schema.json."""

from __future__ import annotations

import pathlib
from typing import Any

from vetchusher.limits import Tuning

from .document import read_document
from .errors import SettingsError

SCHEMA = "limits.schema.json"
LEAST_KEY = 16  # bytes


def read_limits(path: str) -> Tuning:
    """:raises SettingsError: with one line that names the file and the place"""
    tree = read_document(path, SCHEMA)
    peers, counter = tree.get("peers", {}), tree.get("counter", {})
    given: dict[str, Any] = {}
    for section, name, field in (
        (peers, "speak_ms", "speak_us"),
        (peers, "heard_ms", "heard_us"),
        (peers, "newborn_ms", "newborn_us"),
        (counter, "lost_ms", "lost_us"),
        (counter, "return_ms", "return_us"),
        (counter, "split_most_ms", "split_most_us"),
    ):
        if name in section:
            given[field] = int(section[name]) * 1000
    for name in ("suspect_units", "split_units"):
        if name in counter:
            given[name] = float(counter[name])
    tuning = Tuning(key=read_key(path, peers, "peers.key_file"), **given)
    if tuning.suspect_units > tuning.split_units:
        raise SettingsError(f"{path}: counter.suspect_units: {tuning.suspect_units:g} is above split_units")
    if tuning.heard_us < 2 * tuning.speak_us:
        raise SettingsError(f"{path}: peers.heard_ms: less than two times speak_ms calls every peer silent")
    return tuning


def read_key(path: str, tree: dict[str, Any], name: str) -> bytes | None:
    """The key in the file that a document names.

    :param tree: the object of the document that holds the file's name
    :param name: the place of the file's name in the document
    """
    if "key_file" not in tree:
        return None
    place = pathlib.Path(path).parent / str(tree["key_file"])
    try:
        key = place.read_bytes().strip()
    except OSError as err:
        raise SettingsError(f"{path}: {name}: {place}: {err.strerror}") from None
    if len(key) < LEAST_KEY:
        raise SettingsError(f"{path}: {name}: {place} holds {len(key)} bytes, {LEAST_KEY} at least")
    return key
