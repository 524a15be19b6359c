"""Lock that decides which process of one load balancer votes, and the state that it leaves to the next.

During an upgrade, two processes have the same number. The newer one does not know which votes the older one
gives, so it votes only when it has the lock, which the kernel releases however the older process ends. The
saved voter state is read once and removed before it is used: a copy that stays behind would be out of date.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import pathlib
from typing import Any

from . import effects as fx
from . import handover
from .runtime import Runtime

log = logging.getLogger("vetchusher")

LOCK_RETRY_S = 0.05


class VotingLock:
    """Owner of the lock's descriptor, open until the process ends, and of the file with the voter state."""

    def __init__(self, runtime: Runtime, name: str, digest: int, fallback: str) -> None:
        """Determine the paths; `open` takes the lock.

        :param digest: digest of the plan of roles; voter state saved under another plan is ignored
        :param fallback: the file to lock where `$TMPDIR` is not set; no state is saved then
        """
        self.runtime, self.digest = runtime, digest
        self.state_path = handover.state_path(name, handover.VOTES)
        lock_path = handover.state_path(name, "voting")
        self.lock_path = lock_path if lock_path is not None else pathlib.Path(fallback)
        self.descriptor = -1
        self.is_locked = False
        runtime.effect_handlers[fx.SaveVoterState] = lambda e: self.save_state(e.voter_state)

    def open(self) -> None:
        """Start trying to take the lock.

        :raises OSError: if the lock file cannot be opened
        """
        flags = os.O_RDWR | os.O_CREAT if self.state_path is not None else os.O_RDONLY
        self.descriptor = os.open(self.lock_path, flags | os.O_CLOEXEC, 0o600)
        self.try_lock()

    def try_lock(self) -> None:
        """Take the lock and start voting, or retry after `LOCK_RETRY_S`."""
        if self.descriptor < 0:
            return
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.runtime.loop.call_later(LOCK_RETRY_S, self.try_lock)
            return
        self.is_locked = True
        self.runtime.feed(fx.VotingStarted(self.take_over_state()))

    def take_over_state(self) -> list[Any] | None:
        """Read and remove the state saved by the previous process, by role; None if there is no usable
        state.
        """
        try:
            content = handover.read(self.state_path, handover.VOTES)
            if self.state_path is not None and content:
                self.state_path.unlink()
            if not content or content.get("digest") != self.digest:
                return None
            return [read_voter_state(item) for item in content["memory"]]
        except (OSError, ValueError, KeyError, TypeError) as err:
            log.warning("voter state of the previous process ignored: %s", err)
            with contextlib.suppress(OSError):
                if self.state_path is not None:
                    self.state_path.unlink()
            return None

    def save_state(self, voter_state: list[Any]) -> None:
        """Save the voter state for the next process, if this one has the lock."""
        content = {"digest": self.digest, "memory": voter_state}
        if self.is_locked:
            handover.write(self.state_path, handover.VOTES, content)

    def close(self) -> None:
        """Stop voting: save the voter state, then release the lock."""
        if self.is_locked:
            self.runtime.feed(fx.VotingStopped())
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def read_voter_state(item: Any) -> Any:
    """Parse the saved state of one role.

    The remaining time of a term is not reduced by the file's age: assuming that it lasts longer is harmless.

    :raises ValueError, TypeError: if it has another form
    """
    if item is None:
        return None
    promised_ballot, promised_to, term_ballot, term_holder, remaining = item
    if not all(
        isinstance(n, int) for n in (promised_ballot, term_ballot, remaining, *promised_to, *term_holder)
    ):
        raise ValueError("not all fields are integers")
    return promised_ballot, tuple(promised_to), term_ballot, tuple(term_holder), remaining
