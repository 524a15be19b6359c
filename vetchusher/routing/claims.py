"""Outcomes of attempts, what each claims about execution at the server, and which next step it allows.

These tables alone decide whether a request may be executed again, and whether its client may be told that it
was never executed (RFC 9110, sections 9.2.2 and 15.6, and the servers' own marker headers).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from vetchusher.errors import ErrorCode


class AttemptOutcome(StrEnum):
    """Outcome of an attempt; the value is a metric label."""

    NO_CONNECTION = "no_connection"  # connection refused, or not established within the time-out
    NOT_WRITTEN = "not_written"  # connection lost before the request's first byte was written
    NOT_EXECUTED = "not_executed"  # the server states that it did not execute the request
    MISDIRECTED = "misdirected"  # status 421: another server has this address now
    ANSWERED = "answered"  # a complete response to this attempt, with a status that none of the others covers
    SERVER_ERROR = "server_error"  # a complete response to this attempt, with a 5xx status
    RESET = "reset"  # connection lost after writing had started, before a complete response
    TIMED_OUT = "silent"  # no complete response within the deadline
    GARBLED = "garbled"  # not a valid HTTP response, or one that cannot be right
    CANCELLED = "cancelled"  # cancelled by this ingress, as its response is no longer needed


class Claim(StrEnum):
    """Whether the request was executed at the server, as far as an outcome shows."""

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

# Outcomes after which the request may have reached a server, so that one more attempt counts as a retry.
DELIVERED_OUTCOMES = frozenset(AttemptOutcome) - {AttemptOutcome.NO_CONNECTION, AttemptOutcome.NOT_WRITTEN}


@dataclass(slots=True, frozen=True)
class NextStep:
    """What an attempt's outcome allows next.

    :param may_retry: the request may be sent to another server
    :param error_otherwise: the error to send if there is no retry; None: forward the server's response
    """

    may_retry: bool
    error_otherwise: ErrorCode | None


_NOT_EXECUTED, _MAYBE_EXECUTED, _FORWARD_RESPONSE = ErrorCode.NOT_EXECUTED, ErrorCode.MAYBE_EXECUTED, None
# Key: the claim, whether the attempt failed, whether the request is repeatable.
NEXT_STEPS: dict[tuple[Claim, bool, bool], NextStep] = {
    (Claim.NEVER_RAN, True, True): NextStep(True, _NOT_EXECUTED),
    (Claim.NEVER_RAN, True, False): NextStep(True, _NOT_EXECUTED),
    (Claim.MAY_HAVE_RUN, True, True): NextStep(True, _MAYBE_EXECUTED),
    (Claim.MAY_HAVE_RUN, True, False): NextStep(False, _MAYBE_EXECUTED),
    (Claim.RAN, True, True): NextStep(True, _FORWARD_RESPONSE),
    (Claim.RAN, True, False): NextStep(False, _FORWARD_RESPONSE),
    (Claim.RAN, False, True): NextStep(False, _FORWARD_RESPONSE),
    (Claim.RAN, False, False): NextStep(False, _FORWARD_RESPONSE),
}

# Statuses by which a client concludes that its request was not and will not be executed. A server's response
# with one of them is forwarded only if the server marked the request as not executed.
UNEXECUTED_STATUSES = frozenset({408, 421, 429, 503})


def next_step(outcome: AttemptOutcome, repeatable: bool) -> NextStep:
    """Return what an attempt's outcome allows next."""
    return NEXT_STEPS[CLAIM_OF[outcome], outcome is not AttemptOutcome.ANSWERED, repeatable]


def outcome_of(status: int, not_executed: bool, ours: bool, sealed: bool) -> AttemptOutcome:
    """Return the outcome of a complete response.

    :param not_executed: it has the header by which a server states that it did not execute the request
    :param ours: it has this attempt's id, or no id and nothing else was ever sent on its connection
    :param sealed: it has the server's seal header
    """
    if not ours:
        return AttemptOutcome.GARBLED
    if status == 421:
        return AttemptOutcome.MISDIRECTED
    if not_executed:
        return AttemptOutcome.NOT_EXECUTED
    # Safety: three kinds of response cannot be forwarded: 1xx, as no protocol upgrade was requested; a status
    # that means "not executed" without the server's marker, as nobody knows whether that is true; and a
    # successful response without the seal, which did not come from a server of the service.
    if status < 200 or status in UNEXECUTED_STATUSES or (200 <= status < 300 and not sealed):
        return AttemptOutcome.GARBLED
    return AttemptOutcome.SERVER_ERROR if status >= 500 else AttemptOutcome.ANSWERED
