"""The address at which metrics are served: `PORT/PATH` on the command line and in the deploy file."""

from __future__ import annotations

import re
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from vetchusher.errors import Error, ErrorCode

_ADDRESS = re.compile(r"([0-9]{1,5})/([A-Za-z0-9_./-]{1,100})", re.ASCII)
MAX_PORT = 65_535


@dataclass(slots=True, frozen=True)
class MetricsAddress:
    """A port on this machine's address, and a path that begins with a slash."""

    port: int
    path: str


def parse_address(text: str) -> Result[MetricsAddress, Error]:
    """Parse an address such as `9464/metrics`; return an `INVALID_SETTINGS` error for any other text."""
    found = _ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found[1]) <= MAX_PORT:
        return Failure(Error(ErrorCode.INVALID_SETTINGS, f"--metrics: {text[:100]!r} is not PORT/PATH"))
    return Success(MetricsAddress(int(found[1]), f"/{found[2]}"))
