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

    def __init__(self, timing: Timing, memory: DurableState, silent_until: int, now: int) -> None:
        self.timing = timing
        self.memory = memory
        # Danger: the process before this one may have given a lease a moment ago.
        self.silent_until = silent_until
        self.lease_to = ""
        self.lease_until = now
        self.kind_to = ""
        self.kind_until = now  # another candidate was promised something: let it be

    def wait(self, now: int, candidate: str, released: int = 0) -> int:
        """For how long (us) it promises that candidate nothing.

        :param released: the primary of that epoch has given its lease up
        """
        # Danger: the lease that runs here is of the epoch promised, or of an earlier one: of no later.
        if released and released >= self.memory.promised:
            return 0
        wait = 0 if self.owned_by(candidate) else self.silent_until - now
        if self.lease_to != candidate:
            wait = max(wait, self.lease_until - now)
        return max(0, wait)

    def owned_by(self, candidate: str) -> bool:
        return bool(self.memory.promised) and self.memory.owner == candidate

    def patience(self, now: int, candidate: str) -> int:
        """How long another candidate is let be, if this is not the one."""
        return max(0, self.kind_until - now) if self.kind_to != candidate else 0

    def kind(self, now: int, candidate: str) -> None:
        self.lease_to = ""
        self.kind_to, self.kind_until = candidate, now + self.timing.candidate_backoff_us

    def lease(self, now: int, primary: str) -> None:
        self.lease_to, self.lease_until = primary, now + self.timing.lease_us

    def tick(self, now: int) -> None:
        if self.lease_to and now >= self.lease_until:
            self.lease_to = ""
