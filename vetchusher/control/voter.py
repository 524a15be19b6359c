"""The voting rules of one machine: to whom it granted a lease or a vote, and for how long it votes for
nobody.

All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from .durable_state import DurableState
from .messages import Timing


class Voter:
    """Owner of the lease that this machine granted, and of the silence after a start.

    After a start it votes for nobody but the machine for which the vote on its disk was cast.  A lease counts
    only once its epoch and its holder are on this disk; so a lease that may still run was granted to that
    machine, or to one whose epoch a majority has left since.
    """

    def __init__(self, timing: Timing, durable: DurableState, no_votes_until: int, now: int) -> None:
        """:param no_votes_until: the process before this one may have granted a lease a moment ago"""
        self.timing = timing
        self.durable = durable
        self.no_votes_until = no_votes_until
        self.leaseholder = ""  # empty: no lease is granted
        self.lease_expires_at = now
        self.deferred_to = ""
        self.deferred_until = now

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """Return for how long (us) this machine grants that candidate no vote.

        :param released_epoch: epoch whose primary has handed its lease over; 0: none
        """
        # Safety: a lease that runs here is of the epoch voted for or of an earlier one, never of a later one.
        if released_epoch and released_epoch >= self.durable.voted_epoch:
            return 0
        delay = 0 if self.has_voted_for(candidate) else self.no_votes_until - now
        if self.leaseholder != candidate:
            delay = max(delay, self.lease_expires_at - now)
        return max(0, delay)

    def has_voted_for(self, candidate: str) -> bool:
        """Return whether the vote on this disk was cast for that candidate."""
        return bool(self.durable.voted_epoch) and self.durable.voted_for == candidate

    def election_back_off(self, now: int, candidate: str) -> int:
        """Return how long (us) a candidate waits because another one was deferred to."""
        return max(0, self.deferred_until - now) if self.deferred_to != candidate else 0

    def defer_to(self, now: int, candidate: str) -> None:
        """Leave the field to a candidate for a while; any lease granted before is over."""
        self.leaseholder = ""
        self.deferred_to, self.deferred_until = candidate, now + self.timing.election_back_off_us

    def grant_lease(self, now: int, primary: str) -> None:
        """Grant a primary a lease from now on."""
        self.leaseholder, self.lease_expires_at = primary, now + self.timing.lease_duration_us

    def expire_lease(self, now: int) -> None:
        """Forget the holder of a lease that has run out."""
        if self.leaseholder and now >= self.lease_expires_at:
            self.leaseholder = ""
