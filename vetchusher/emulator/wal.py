"""Count the SQLite commits of a running process from its write-ahead log.

The format is described at sqlite.org/fileformat2, "The Write-Ahead Log".  In WAL mode with `synchronous=FULL`
each commit syncs the log once; checkpoints add one or two syncs per 1000 kB, which are not counted.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

HEADER, FRAME_HEADER = 32, 24  # bytes
PAGE_AT, SALTS_AT = 8, 16  # offsets in the header


def commits(log: bytes) -> tuple[bytes, int]:
    """Return the salts of a log, which change when it is reset, and the number of commits in it."""
    if len(log) < HEADER:
        return b"", 0
    (page_bytes,) = struct.unpack_from(">I", log, PAGE_AT)
    salts, commit_count = log[SALTS_AT : SALTS_AT + 8], 0
    for at in range(HEADER, len(log) - FRAME_HEADER - page_bytes + 1, FRAME_HEADER + page_bytes):
        _, pages, frame_salts = struct.unpack_from(">II8s", log, at)
        if frame_salts != salts:
            break  # a frame from before the reset
        commit_count += pages > 0  # the last frame of a commit
    return salts, commit_count


@dataclass(slots=True)
class Commits:
    """Counts commits across resets of logs; those between the last look and a reset are missed."""

    seen: dict[Path, tuple[bytes, int]] = field(default_factory=dict)
    total: int = 0

    def look(self, folders: Iterable[Path]) -> int:
        """Return the number of commits in all logs of the folders since the first call."""
        for path in (path for folder in folders for path in folder.glob("*-wal")):
            salts, count = commits(path.read_bytes())
            previous = self.seen.get(path)
            if previous is not None:
                self.total += count - previous[1] if salts == previous[0] else count
            self.seen[path] = salts, count
        return self.total
