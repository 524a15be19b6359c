"""Mutations that remove one guard of the singleton roles each, to prove that the checks detect it."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from vetchusher.duties import candidate, lease, voter
from vetchusher.duties.messages import Message, Topic


def skip_recovery(self: voter.Voter, wall_s: int) -> bool:
    """Vote after a restart without recovering the state."""
    self.remembers = True
    return True


def accept_any_renewal(self: voter.Voter, now: int, who: voter.Process, message: Message) -> Message:
    """Accept a renewal without comparing its epoch."""
    self.promised, self.promised_to = max(self.promised, message.ballot), who
    self.term, self.term_holder, self.lease_until = message.ballot, who, now + self.timing.lease_us
    return Message(Topic.TAKEN, self.duty, message.ballot, message.number, who[1])


def accept_any_release(self: voter.Voter, now: int, who: voter.Process, message: Message) -> voter.Outgoing:
    """Accept a release from a process that does not hold the term."""
    self.lease_until = min(self.lease_until, now)
    if message.other > self.promised:
        self.promised, self.promised_to = (
            message.other,
            (lease.holder_of(message.other), lease.ANY_INCARNATION),
        )
    return []


def start_lease_at_answer(self: candidate.Candidate, now: int, member: int, message: Message) -> None:
    """Count the lease from the answer instead of from the request."""
    if message.number in self.term.sent:
        self.term.sent[message.number] = now
    ORIGINAL_RECEIVE_TAKEN(self, now, member, message)


ORIGINAL_RECEIVE_TAKEN = candidate.Candidate.receive_taken
LONG_LEASE = property(lambda self: int(self.lease_us * 1.05))
PLANTED: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "no silence after a restart": (
        (lease.Timing, "voter_wait_us", property(lambda self: 0)),
        (voter.Voter, "recall", skip_recovery),
    ),
    "no recall after a restart": ((voter.Voter, "recall", skip_recovery),),
    "no ballot check at a renewal": ((voter.Voter, "receive_take", accept_any_renewal),),
    "no margin at the holder": ((lease.Timing, "holder_lease_us", LONG_LEASE),),
    "no bound on drift": ((lease.Timing, "holder_lease_us", property(lambda self: self.lease_us)),),
    "lease counted from the answer": ((candidate.Candidate, "receive_taken", start_lease_at_answer),),
    "anybody's release ends a term": ((voter.Voter, "receive_free", accept_any_release),),
    "promises while another holds": ((voter.Voter, "held_by_other", lambda self, now, who: False),),
    "no target looks at tokens": (),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Apply one of `PLANTED` for the duration of the context."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, value in PLANTED.get(name, ()):
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield
