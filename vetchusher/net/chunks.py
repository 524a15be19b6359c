"""Finds the end of a chunked body, so that no bytes beyond it reach the HTTP parser.

The parser rejects bytes that are not HTTP together with the answer before them, and a server may write such
bytes in one segment with its last chunk. Format: RFC 9112, section 7.1. Whether the chunks are well formed
is up to the parser: in a body that cannot be read here, no end is found.
"""

from __future__ import annotations

MAX_LINE_BYTES = 4096  # longest chunk header or trailer field


class ChunkScanner:
    """Scans one body in the order in which its bytes come."""

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.partial_line = b""  # start of an incomplete line
        self.remaining = 0  # remaining bytes of the current chunk, including the line end after it
        self.is_in_trailer = False
        self.is_unreadable = False

    def find_end(self, data: bytes) -> int | None:
        """Scan the next bytes of the body and return how many of them belong to it, if it ends there.

        :returns: None if the body does not end in `data`, or if its chunks cannot be parsed
        """
        at = 0
        while at < len(data) and not self.is_unreadable:
            if self.remaining:
                consumed = min(self.remaining, len(data) - at)
                self.remaining -= consumed
                at += consumed
                continue
            newline = data.find(b"\n", at)
            if newline < 0:
                self.partial_line += data[at:]
                self.is_unreadable = len(self.partial_line) > MAX_LINE_BYTES
                return None
            line, self.partial_line = self.partial_line + data[at : newline + 1], b""
            at = newline + 1
            if self.is_in_trailer:
                if not line.strip():
                    return at
            else:
                self._begin_chunk(line)
        return None

    def _begin_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size or size.translate(None, b"0123456789abcdefABCDEF"):
            self.is_unreadable = True
            return
        length = int(size, 16)
        if length:
            self.remaining = length + len(b"\r\n")
        else:
            self.is_in_trailer = True
