"""Which attempts and rejections a request's effect class allows; no other module decides this."""

from __future__ import annotations

from vetchusher.interface import Effect, Scope
from vetchusher.state import Attempt, Job, Worker


def first_possibly_executed(job: Job) -> Attempt | None:
    """Return the first attempt that a worker may have executed, if any."""
    return next((a for a in job.attempts if not a.never_ran), None)


def may_send(now: int, job: Job, worker: Worker) -> bool:
    """Return whether an attempt at this worker cannot make an effect happen twice."""
    if job.finished or job.streaming or (job.in_flight and not job.may_duplicate):
        return False
    if job.attempts and any(a.worker is worker for a in job.attempts):
        return False  # harmless, but a worker that failed the request once is a poor choice
    executed = first_possibly_executed(job)
    if executed is None or job.spec.effect == Effect.SAFE:
        return True
    # Half the window: the repeat must arrive, queue and start while the workers remember the key.
    if job.spec.effect == Effect.UNSAFE or now - executed.sent_at >= job.spec.key_lifetime // 2:
        return False
    if job.spec.scope == Scope.ZONE:  # all attempts that may have run went to one group
        return executed.worker.zone == worker.zone
    return job.spec.scope == Scope.ALL or executed.worker.cell == worker.cell


def may_refuse(job: Job) -> bool:
    """Return whether the request may be rejected, which tells the client that a retry is harmless."""
    if job.spec.effect == Effect.SAFE or first_possibly_executed(job) is None:
        return True
    return job.spec.effect == Effect.KEYED and job.spec.scope == Scope.ALL
