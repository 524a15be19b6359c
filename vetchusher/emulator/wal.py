"""How often a running process's sqlite has committed, from the log beside its file (sqlite.org/fileformat2,
"The Write-Ahead Log").

In WAL with `synchronous=FULL` each commit is one sync of the log; carrying the log over adds one or two for
each thousand kilobytes, which are not counted here.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

HEADER, FRAME_HEADER = 32, 24  # bytes
PAGE_AT, SALTS_AT = 8, 16  # of the header


def commits(log: bytes) -> tuple[bytes, int]:
    """The salts of a log, which change when it begins anew, and the commits in it."""
    if len(log) < HEADER:
        return b"", 0
    (page,) = struct.unpack_from(">I", log, PAGE_AT)
    salts, found = log[SALTS_AT : SALTS_AT + 8], 0
    for at in range(HEADER, len(log) - FRAME_HEADER - page + 1, FRAME_HEADER + page):
        _, pages, told = struct.unpack_from(">II8s", log, at)
        if told != salts:
            break  # left from before it began anew
        found += pages > 0  # the last frame of a commit
    return salts, found


@dataclass(slots=True)
class Commits:
    """Counts on over logs that begin anew; what was committed between the last look and that is not seen.  It
    owns a place for each log."""

    seen: dict[Path, tuple[bytes, int]] = field(default_factory=dict)
    total: int = 0

    def look(self, folders: Iterable[Path]) -> int:
        """Commits in all logs of the folders since the first look."""
        for path in (path for folder in folders for path in folder.glob("*-wal")):
            salts, now = commits(path.read_bytes())
            before = self.seen.get(path)
            if before is not None:
                self.total += now - before[1] if salts == before[0] else now
            self.seen[path] = salts, now
        return self.total
