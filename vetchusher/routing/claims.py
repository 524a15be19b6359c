"""The outcome of an attempt, what it claims about the server, and what may follow.

Everything that decides whether a request may run again, or whether its client may be told that it never ran,
is read from these tables (RFC 9110, sections 9.2.2 and 15.6, and the servers' own markers).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from vetchusher.errors import ErrorCode


class AttemptOutcome(StrEnum):
    """What was seen of an attempt."""

    NO_CONNECTION = "no_connection"  # refused, or not up in time
    NOT_WRITTEN = "not_written"  # lost before the request's last byte was written
    NOT_EXECUTED = "not_executed"  # the server says so
    MISDIRECTED = "misdirected"  # 421: another server has this address
    ANSWERED = "answered"  # whole and ours: any status that claims nothing else
    SERVER_ERROR = "server_error"  # the same with a 5xx
    RESET = "reset"  # lost after it was written, before a whole answer
    TIMED_OUT = "silent"  # its time went by
    GARBLED = "garbled"  # bytes that are no answer, or one that cannot be true
    CANCELLED = "cancelled"  # not wanted any more


class Claim(StrEnum):
    """What follows from an outcome for the request: it ran, it may have run, it never ran."""

    NEVER_RAN = "never_ran"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


CLAIM_OF: dict[AttemptOutcome, Claim] = {
    AttemptOutcome.NO_CONNECTION: Claim.NEVER_RAN,
    AttemptOutcome.NOT_WRITTEN: Claim.NEVER_RAN,
    AttemptOutcome.NOT_EXECUTED: Claim.NEVER_RAN,
    AttemptOutcome.MISDIRECTED: Claim.NEVER_RAN,
    AttemptOutcome.ANSWERED: Claim.RAN,
    AttemptOutcome.SERVER_ERROR: Claim.RAN,
    AttemptOutcome.RESET: Claim.MAY_HAVE_RUN,
    AttemptOutcome.TIMED_OUT: Claim.MAY_HAVE_RUN,
    AttemptOutcome.GARBLED: Claim.MAY_HAVE_RUN,
    AttemptOutcome.CANCELLED: Claim.MAY_HAVE_RUN,
}

# Whether what was seen has reached the server as a request, so that a next one counts as an extra try.
DELIVERED = frozenset(AttemptOutcome) - {AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_WRITTEN}


@dataclass(slots=True, frozen=True)
class NextStep:
    """What may follow an attempt.

    :param may_retry: another server may be tried
    :param otherwise: the error where that is not done; None: the server's response is forwarded
    """

    may_retry: bool
    otherwise: ErrorCode | None


_REFUSE, _FAIL, _ANSWER = ErrorCode.NOT_EXECUTED, ErrorCode.MAYBE_EXECUTED, None
# by claim, whether the answer is a failure, and whether the request is repeatable
NEXT: dict[tuple[Claim, bool, bool], NextStep] = {
    (Claim.NEVER_RAN, True, True): NextStep(True, _REFUSE),
    (Claim.NEVER_RAN, True, False): NextStep(True, _REFUSE),
    (Claim.MAY_HAVE_RUN, True, True): NextStep(True, _FAIL),
    (Claim.MAY_HAVE_RUN, True, False): NextStep(False, _FAIL),
    (Claim.RAN, True, True): NextStep(True, _ANSWER),
    (Claim.RAN, True, False): NextStep(False, _ANSWER),
    (Claim.RAN, False, True): NextStep(False, _ANSWER),
    (Claim.RAN, False, False): NextStep(False, _ANSWER),
}

# A client takes these for "not run, and never will be": a server's own is passed on only where it is true.
PROMISES = frozenset({408, 421, 429, 503})


def next_step(outcome: AttemptOutcome, repeatable: bool) -> NextStep:
    """Return what may follow an attempt."""
    return NEXT[CLAIM_OF[outcome], outcome is not AttemptOutcome.ANSWERED, repeatable]


def outcome_of(status: int, not_executed: bool, ours: bool, sealed: bool) -> AttemptOutcome:
    """Return the outcome of a complete response.

    :param ours: it bears our attempt's id, or none and nothing else was ever sent on its connection
    :param sealed: it bears the server's stamp
    """
    if not ours:
        return AttemptOutcome.GARBLED
    if status == 421:
        return AttemptOutcome.MISDIRECTED
    if not_executed:
        return AttemptOutcome.NOT_EXECUTED
    # Safety: passed on, a promise that the server did not mark would promise what nobody knows; a good
    # answer without the stamp is no server's; nobody asked for another protocol.
    if status < 200 or status in PROMISES or (200 <= status < 300 and not sealed):
        return AttemptOutcome.GARBLED
    return AttemptOutcome.SERVER_ERROR if status >= 500 else AttemptOutcome.ANSWERED
