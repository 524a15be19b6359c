"""The legal moves of a request's effect class stand here and nowhere else."""

from __future__ import annotations

from vetchusher.interface import Effect, Scope
from vetchusher.state import Attempt, Job, Worker


def may_have_run(job: Job) -> Attempt | None:
    return next((a for a in job.attempts if not a.never_ran), None)


def may_send(now: int, job: Job, worker: Worker) -> bool:
    """Danger: an effect that happens twice."""
    if job.over or job.streaming or (job.out and not job.may_duplicate):
        return False
    if job.attempts and any(a.worker is worker for a in job.attempts):
        return False  # not illegal, but a worker that failed it once is the wrong one
    first = may_have_run(job)
    if first is None or job.spec.effect == Effect.SAFE:
        return True
    # Half the window: the repeat must arrive, wait and start while the key is remembered.
    if job.spec.effect == Effect.UNSAFE or now - first.sent_at >= job.spec.repeat_window // 2:
        return False
    if job.spec.scope == Scope.ZONE:  # all that may have run are in the first one's group
        return first.worker.zone == worker.zone
    return job.spec.scope == Scope.ALL or first.worker.cell == worker.cell


def may_refuse(job: Job) -> bool:
    """A refusal says that trying again is harmless."""
    if job.spec.effect == Effect.SAFE or may_have_run(job) is None:
        return True
    return job.spec.effect == Effect.KEYED and job.spec.scope == Scope.ALL
