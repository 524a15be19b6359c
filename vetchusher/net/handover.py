"""What one process of an ingress leaves to the next in `$TMPDIR`: the instances excluded by hand.

The file is versioned and written whole (to a new name, then renamed). A missing, torn or foreign file is
ignored with one log line: the ingress starts with nothing excluded rather than not at all.
"""

from __future__ import annotations

import logging
import os
import pathlib

import orjson

log = logging.getLogger("vetchusher")

FORMAT, VERSION = "vetchusher-exclusions", 1


def place(name: str) -> pathlib.Path | None:
    """Where the node of that name keeps its exclusions; None where `$TMPDIR` is not set."""
    folder = os.environ.get("TMPDIR")
    return pathlib.Path(folder) / f"vetchusher-{name or 'node'}.exclusions.json" if folder else None


def keep(path: pathlib.Path | None, workers: tuple[int, ...]) -> None:
    if path is None:
        return
    raw = orjson.dumps({"format": FORMAT, "version": VERSION, "excluded": list(workers)})
    fresh = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        fresh.write_bytes(raw)
        fresh.replace(path)
    except OSError as err:
        log.error("exclusions not kept for the next process: %s", err.strerror)


def take(path: pathlib.Path | None) -> frozenset[int]:
    """The exclusions an earlier process left; nothing where there is no usable file."""
    if path is None or not path.exists():
        return frozenset()
    try:
        tree = orjson.loads(path.read_bytes())
        if tree.get("format") != FORMAT or tree.get("version") != VERSION:
            raise ValueError(f"not {FORMAT} version {VERSION}")
        workers = tree["excluded"]
        if not all(isinstance(w, int) and w >= 0 for w in workers):
            raise ValueError("an id is not a number")
        return frozenset(workers)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as err:
        log.warning("exclusions of %s ignored: %s", path.name, err)
        return frozenset()
