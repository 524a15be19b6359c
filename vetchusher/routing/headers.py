"""Header names, and filtering of the headers that are forwarded between client and server.

Hop-by-hop headers are removed according to RFC 9110, section 7.6.1.
"""

from __future__ import annotations

from collections.abc import Iterable

ATTEMPT_ID = "X-Vetchusher-Attempt-Id"
TIME_REMAINING = "X-Vetchusher-Time-Remaining"
TARGET_INSTANCE = "X-Vetchusher-Target-Instance"
SUBSCRIBER = "X-Vetchusher-Subscriber"
SEAL = "X-Vetchusher-Server-Seal"
NOT_EXECUTED = "X-Vetchusher-Not-Executed"

# Safety: headers (lower case) that must not be repeated: with two values a server might use the one that this
# ingress did not use.
SINGLE_VALUE_HEADERS = frozenset(
    {"host", "authorization", "content-length", ATTEMPT_ID.lower(), TIME_REMAINING.lower()}
)

_HOP_BY_HOP = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "expect"}
)
_OWN_HEADERS = frozenset(name.lower() for name in (ATTEMPT_ID, TIME_REMAINING, TARGET_INSTANCE, SUBSCRIBER))
_REPLACED = _OWN_HEADERS | {"host", "content-length"}

Headers = list[tuple[str, str]]


def request_headers(headers: Iterable[tuple[str, str]], keyed: bool) -> Headers:
    """Return the headers of a request that are forwarded to a server.

    Removes hop-by-hop headers and the headers that are set anew for each attempt.

    :param keyed: requests carry API keys; the Authorization header is removed, too
    """
    dropped = _REPLACED | {"authorization"} if keyed else _REPLACED
    return _end_to_end(headers, dropped)


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a response that are sent to the client; Content-Length is set anew later."""
    return _end_to_end(headers, frozenset({"content-length"}))


def _end_to_end(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> Headers:
    """Return the headers without hop-by-hop headers, and without those named in lower case in `dropped`."""
    forwarded: Headers = []
    hop_by_hop: set[str] = set()  # names listed in Connection headers, lower case
    # By lower-case name, the spelling of its first occurrence. It is used for all occurrences, as a library
    # may merge names that differ in case.
    first_spellings: dict[str, str] = {}
    for name, value in headers:
        lowered = name.lower()
        if lowered == "connection":
            hop_by_hop.update(option.strip().lower() for option in value.split(","))
        if lowered not in _HOP_BY_HOP and lowered not in dropped and not lowered.startswith("proxy-"):
            forwarded.append((first_spellings.setdefault(lowered, name), value))
    # Safety: a client's Connection header must not remove the headers that routing depends on.
    if hop_by_hop := hop_by_hop - _OWN_HEADERS - {SEAL.lower(), NOT_EXECUTED.lower(), "close", "keep-alive"}:
        forwarded = [(name, value) for name, value in forwarded if name.lower() not in hop_by_hop]
    return forwarded
