"""Which headers are forwarded from a client to a server and back (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from collections.abc import Iterable

ATTEMPT_ID = "X-Vetchusher-Attempt-Id"
TIME_REMAINING = "X-Vetchusher-Time-Remaining"
TARGET_INSTANCE = "X-Vetchusher-Target-Instance"
SUBSCRIBER = "X-Vetchusher-Subscriber"
SEAL = "X-Vetchusher-Server-Seal"
NOT_EXECUTED = "X-Vetchusher-Not-Executed"

# Safety: of two values of one of these, a server may go by the other one.
DECIDING = frozenset({"host", "authorization", "content-length", ATTEMPT_ID.lower(), TIME_REMAINING.lower()})

_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "expect"}
)
_OURS = frozenset(name.lower() for name in (ATTEMPT_ID, TIME_REMAINING, TARGET_INSTANCE, SUBSCRIBER))
_REPLACED = _OURS | {"host", "content-length"}

Headers = list[tuple[str, str]]


def request_headers(headers: Iterable[tuple[str, str]], keyed: bool) -> Headers:
    """Return the headers that are forwarded to a server.

    All but those that concern one connection only, those that are set anew for each attempt, and, where
    requests bear keys, the key.
    """
    dropped = _REPLACED | {"authorization"} if keyed else _REPLACED
    return _end_to_end(headers, dropped)


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are sent back to the client; the length is stated anew."""
    return _end_to_end(headers, frozenset({"content-length"}))


def _end_to_end(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> Headers:
    kept: Headers = []
    named: set[str] = set()
    written: dict[
        str, str
    ] = {}  # as the first of each name is: a library may merge names that differ in case
    for name, value in headers:
        low = name.lower()
        if low == "connection":
            named.update(option.strip().lower() for option in value.split(","))
        if low not in _HOP_BY_HOP and low not in dropped and not low.startswith("proxy-"):
            kept.append((written.setdefault(low, name), value))
    # Safety: a client's Connection header must not remove the headers that decide.
    if named := named - _OURS - {SEAL.lower(), NOT_EXECUTED.lower(), "close", "keep-alive"}:
        kept = [(name, value) for name, value in kept if name.lower() not in named]
    return kept
