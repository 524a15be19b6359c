"""One machine's voice: to whom it gave a lease, and for how long it promises whom nothing."""

from __future__ import annotations

from .durable_state import DurableState
from .messages import Timing


class Voter:
    """It owns the lease that it gave, and the silence after a start.

    After a start it is silent to all but the owner of the promise on its disk.  A lease counts only once its
    epoch and its owner are on this disk; so one that may still run was given to that owner, or to one whose
    epoch a majority has left since.
    """

    def __init__(self, timing: Timing, durable: DurableState, no_votes_until: int, now: int) -> None:
        self.timing = timing
        self.durable = durable
        # Danger: the process before this one may have given a lease a moment ago.
        self.no_votes_until = no_votes_until
        self.leaseholder = ""
        self.lease_expires_at = now
        self.deferred_to = ""
        self.deferred_until = now  # another candidate was promised something: let it be

    def vote_delay(self, now: int, candidate: str, released: int = 0) -> int:
        """For how long (us) it promises that candidate nothing.

        :param released: the primary of that epoch has given its lease up
        """
        # Danger: the lease that runs here is of the epoch promised, or of an earlier one: of no later.
        if released and released >= self.durable.voted_epoch:
            return 0
        delay = 0 if self.has_voted_for(candidate) else self.no_votes_until - now
        if self.leaseholder != candidate:
            delay = max(delay, self.lease_expires_at - now)
        return max(0, delay)

    def has_voted_for(self, candidate: str) -> bool:
        return bool(self.durable.voted_epoch) and self.durable.voted_for == candidate

    def election_back_off(self, now: int, candidate: str) -> int:
        """How long another candidate is let be, if this is not the one."""
        return max(0, self.deferred_until - now) if self.deferred_to != candidate else 0

    def defer_to(self, now: int, candidate: str) -> None:
        self.leaseholder = ""
        self.deferred_to, self.deferred_until = candidate, now + self.timing.election_back_off_us

    def grant_lease(self, now: int, primary: str) -> None:
        self.leaseholder, self.lease_expires_at = primary, now + self.timing.lease_duration_us

    def expire_lease(self, now: int) -> None:
        if self.leaseholder and now >= self.lease_expires_at:
            self.leaseholder = ""
