"""The outcome of an attempt, what it claims about the server, and what may follow.

Everything that decides whether a request may run again, or whether its client may be told that it never ran,
is read from these tables (RFC 9110, sections 9.2.2 and 15.6, and the servers' own markers).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from vetchusher.errors import ErrorCode


class Seen(StrEnum):
    NO_CONNECTION = "no_connection"  # refused, or not up in time
    NOT_WRITTEN = "not_written"  # lost before the request's last byte was written
    NOT_EXECUTED = "not_executed"  # the server says so
    MISDIRECTED = "misdirected"  # 421: another server has this address
    ANSWERED = "answered"  # whole and ours: any status that claims nothing else
    SERVER_ERROR = "server_error"  # the same with a 5xx
    RESET = "reset"  # lost after it was written, before a whole answer
    SILENT = "silent"  # its time went by
    GARBLED = "garbled"  # bytes that are no answer, or one that cannot be true
    CANCELLED = "cancelled"  # not wanted any more


class Claim(StrEnum):
    NEVER_RAN = "never_ran"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


CLAIM: dict[Seen, Claim] = {
    Seen.NO_CONNECTION: Claim.NEVER_RAN,
    Seen.NOT_WRITTEN: Claim.NEVER_RAN,
    Seen.NOT_EXECUTED: Claim.NEVER_RAN,
    Seen.MISDIRECTED: Claim.NEVER_RAN,
    Seen.ANSWERED: Claim.RAN,
    Seen.SERVER_ERROR: Claim.RAN,
    Seen.RESET: Claim.MAY_HAVE_RUN,
    Seen.SILENT: Claim.MAY_HAVE_RUN,
    Seen.GARBLED: Claim.MAY_HAVE_RUN,
    Seen.CANCELLED: Claim.MAY_HAVE_RUN,
}

# Whether what was seen has reached the server as a request, so that a next one counts as an extra try.
ARRIVED = frozenset(Seen) - {Seen.NO_CONNECTION, Seen.NOT_WRITTEN}


@dataclass(slots=True, frozen=True)
class Next:
    """:param again: another server may be tried
    :param otherwise: how it ends if that is not done; nothing: with the server's answer
    """

    again: bool
    otherwise: ErrorCode | None


_REFUSE, _FAIL, _ANSWER = ErrorCode.NOT_EXECUTED, ErrorCode.MAYBE_EXECUTED, None
# by claim, whether the answer is a failure, and whether the request is repeatable
NEXT: dict[tuple[Claim, bool, bool], Next] = {
    (Claim.NEVER_RAN, True, True): Next(True, _REFUSE),
    (Claim.NEVER_RAN, True, False): Next(True, _REFUSE),
    (Claim.MAY_HAVE_RUN, True, True): Next(True, _FAIL),
    (Claim.MAY_HAVE_RUN, True, False): Next(False, _FAIL),
    (Claim.RAN, True, True): Next(True, _ANSWER),
    (Claim.RAN, True, False): Next(False, _ANSWER),
    (Claim.RAN, False, True): Next(False, _ANSWER),
    (Claim.RAN, False, False): Next(False, _ANSWER),
}

# A client takes these for "not run, and never will be": a server's own is passed on only where it is true.
PROMISES = frozenset({408, 421, 429, 503})


def what_next(seen: Seen, repeatable: bool) -> Next:
    return NEXT[CLAIM[seen], seen is not Seen.ANSWERED, repeatable]


def seen_of(status: int, not_executed: bool, ours: bool, sealed: bool) -> Seen:
    """What a whole answer shows.

    :param ours: it bears our attempt's id, or none and nothing else was ever asked on its connection
    :param sealed: it bears the server's stamp
    """
    if not ours:
        return Seen.GARBLED
    if status == 421:
        return Seen.MISDIRECTED
    if not_executed:
        return Seen.NOT_EXECUTED
    # Danger: passed on, a promise that the server did not mark would promise what nobody knows; a good
    # answer without the stamp is no server's; nobody asked for another protocol.
    if status < 200 or status in PROMISES or (200 <= status < 300 and not sealed):
        return Seen.GARBLED
    return Seen.SERVER_ERROR if status >= 500 else Seen.ANSWERED
