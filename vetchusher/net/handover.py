"""State that a process leaves to its successor in `$TMPDIR`: excluded servers and voter state.

Each file has a version and is written as a whole, to a temporary name that is then renamed. A missing,
damaged or foreign file is ignored with one log line: the process starts without that state rather than not
at all.
"""

from __future__ import annotations

import logging
import os
import pathlib
from typing import Any

import orjson

log = logging.getLogger("vetchusher")

FORMAT_VERSION = 1
EXCLUSIONS, VOTES = "exclusions", "votes"


def state_path(name: str, kind: str = EXCLUSIONS) -> pathlib.Path | None:
    """Return the path of a state file of the node `name`, or None if `$TMPDIR` is not set."""
    directory = os.environ.get("TMPDIR")
    return pathlib.Path(directory) / f"vetchusher-{name or 'node'}.{kind}.json" if directory else None


def write(path: pathlib.Path | None, kind: str, content: dict[str, Any]) -> None:
    """Write a state file; a failure is logged, and nothing is saved."""
    if path is None:
        return
    raw = orjson.dumps({"format": f"vetchusher-{kind}", "version": FORMAT_VERSION} | content)
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(raw)
        temporary.replace(path)
    except OSError as err:
        log.error("%s not saved for the next process: %s", kind, err.strerror)


def read(path: pathlib.Path | None, kind: str) -> dict[str, Any]:
    """Return the content of a state file; empty if there is no file.

    :raises OSError, ValueError: if the file cannot be read or is not a valid file of this kind and version
    """
    if path is None or not path.exists():
        return {}
    tree = orjson.loads(path.read_bytes())
    if not isinstance(tree, dict):
        raise ValueError("not a JSON object")
    if tree.get("format") != f"vetchusher-{kind}" or tree.get("version") != FORMAT_VERSION:
        raise ValueError(f"not vetchusher-{kind} version {FORMAT_VERSION}")
    return tree


def save_exclusions(path: pathlib.Path | None, servers: tuple[int, ...]) -> None:
    """Save the ids of the excluded servers."""
    write(path, EXCLUSIONS, {"excluded": list(servers)})


def load_exclusions(path: pathlib.Path | None) -> frozenset[int]:
    """Return the ids that an earlier process saved; empty if there is no usable file."""
    try:
        workers = read(path, EXCLUSIONS).get("excluded", [])
        if not all(isinstance(w, int) and w >= 0 for w in workers):
            raise ValueError("an id is not a number")
        return frozenset(workers)
    except (OSError, ValueError, TypeError) as err:
        log.warning("exclusions of %s ignored: %s", path.name if path else "", err)
        return frozenset()
