"""The leader lease of one epoch: when it is renewed, whether it is valid, and when it is lost for good.

A voter that accepts a renewal votes in no other epoch for `Timing.lease_duration_us`. The primary counts its
reply for the shorter `Timing.answer_valid_us`, measured from the time at which it sent the renewal. The
difference covers the drift between two steady clocks. All times are microseconds of this machine's own steady
clock.
"""

from __future__ import annotations

from .epoch import EpochContext
from .progress import ProgressTracker
from .reconfiguration import Reconfiguration
from .state import has_quorum


class LeaderLease:
    """The lease that a majority of each electorate grants the primary of one epoch."""

    def __init__(
        self,
        context: EpochContext,
        progress: ProgressTracker,
        reconfiguration: Reconfiguration,
    ) -> None:
        """Start an epoch without a lease; the first renewal is due immediately."""
        self.timing = context.timing
        self.peers = context.peers
        self.progress = progress
        self.reconfiguration = reconfiguration
        self.began_at = context.began_at
        self.last_renewal_at = context.began_at - context.timing.renewal_interval_us
        self.last_renewal_was_probe = False
        self.was_valid = False
        self.lapsed_at: int | None = None

    def is_valid(self, now: int) -> bool:
        """Return whether a majority of each electorate still grants the lease."""
        return now < self.reconfiguration.lease_expires_at(now)

    def is_lost(self, now: int) -> bool:
        """Return whether the lease expired and renewals did not regain it in time.

        This ends the epoch of a primary that receives messages while its own messages are lost.
        """
        if self.is_valid(now):
            self.lapsed_at, self.was_valid = None, True
            return False
        if self.lapsed_at is None:
            self.lapsed_at = now
        # The first replies of an epoch may take as long as a lease.
        grace_us = self.timing.lease_regain_us if self.was_valid else self.timing.lease_duration_us
        return now >= self.lapsed_at + grace_us

    def is_renewal_due(self, now: int) -> bool:
        """Return whether to renew the lease now: periodically, and when a majority is reachable again."""
        is_regained = self.last_renewal_was_probe and not self.has_no_majority_contact(now)
        return is_regained or now >= self.last_renewal_at + self.timing.renewal_interval_us

    def begin_renewal(self, now: int) -> int | None:
        """Start a renewal round and return its number, or None if only a probe may be sent."""
        self.last_renewal_at = now
        self.last_renewal_was_probe = self.has_no_majority_contact(now)
        return None if self.last_renewal_was_probe else self.progress.next_round(now)

    def has_no_majority_contact(self, now: int) -> bool:
        """Return whether no majority was heard from within `Timing.majority_timeout_us`.

        In that case a renewal could not regain the lease. Safety: if it were sent all the same, a primary
        whose messages arrive but which receives none would go on extending the leases that keep the other
        machines from electing another primary.
        """
        contacts = self.peers.last_contact_at
        since = now - self.timing.majority_timeout_us
        reachable = {
            ip
            for ip in self.reconfiguration.other_voters()
            if max(self.began_at, contacts.get(ip, 0)) > since
        }
        reachable.add(self.peers.own_ip)
        return not all(has_quorum(one, reachable) for one in self.reconfiguration.replica_sets())
