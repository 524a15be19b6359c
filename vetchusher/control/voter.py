"""The voting rules of one machine: which machine holds its lease, and when it may grant its next vote.

All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from .durable_state import DurableState
from .messages import Timing


class Voter:
    """Keeps track of the lease that this machine has granted and of the vote delay after a start.

    After a start, and until the delay ends, the machine votes only for the candidate of the vote on its disk.
    This is sufficient because a lease counts only once its epoch and its holder are on this disk: a lease
    that may still be valid was granted either to that candidate, or to a machine whose epoch a majority has
    since left.
    """

    def __init__(self, timing: Timing, durable: DurableState, no_votes_until: int, now: int) -> None:
        """Create a voter that has granted no lease.

        :param no_votes_until: end of the vote delay, during which a lease granted by the previous process may
            still be valid
        """
        self.timing = timing
        self.durable = durable
        self.no_votes_until = no_votes_until
        self.leaseholder = ""  # empty: no lease is granted
        self.lease_expires_at = now
        self.deferred_to = ""
        self.deferred_until = now

    def vote_delay(self, now: int, candidate: str, released_epoch: int = 0) -> int:
        """Return for how many microseconds this machine will grant the candidate no vote; 0: it may vote now.

        :param released_epoch: epoch whose primary has handed its lease over to the candidate; 0: none
        """
        # Safety: a lease granted here belongs to the epoch voted for or to an earlier one, never to a later
        # one. Therefore the handover of that epoch or a later one ends every lease that could be valid here.
        if released_epoch and released_epoch >= self.durable.voted_epoch:
            return 0
        delay = 0 if self.has_voted_for(candidate) else self.no_votes_until - now
        if self.leaseholder != candidate:
            delay = max(delay, self.lease_expires_at - now)
        return max(0, delay)

    def has_voted_for(self, candidate: str) -> bool:
        """Return whether this machine's current vote is for the candidate."""
        return bool(self.durable.voted_epoch) and self.durable.voted_for == candidate

    def election_back_off(self, now: int, candidate: str) -> int:
        """Return for how many microseconds this machine favours another candidate; 0: it does not."""
        return max(0, self.deferred_until - now) if self.deferred_to != candidate else 0

    def defer_to(self, now: int, candidate: str) -> None:
        """Favour a candidate for `Timing.election_back_off_us`, and end the lease granted before."""
        self.leaseholder = ""
        self.deferred_to, self.deferred_until = candidate, now + self.timing.election_back_off_us

    def grant_lease(self, now: int, primary: str) -> None:
        """Grant a primary a lease of `Timing.lease_duration_us`."""
        self.leaseholder, self.lease_expires_at = primary, now + self.timing.lease_duration_us

    def expire_lease(self, now: int) -> None:
        """Forget the holder of a lease that has expired."""
        if self.leaseholder and now >= self.lease_expires_at:
            self.leaseholder = ""
