"""State of a gateway: plain records that vetchusher/policy/ reads and writes.

All times are integer microseconds.  A tenant is a customer on one plan.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import interface as api


def window_length(plan: api.Plan) -> int:
    """Return the length of a plan's window (us), or 0 for a plan without a rate.

    All gateways must agree on it, as counter names and peer messages number windows by it.
    """
    return max(1, int(plan.burst / plan.rate * 1e6)) if plan.rate > 0 else 0


@dataclass(slots=True)
class Window:
    """A tenant's count in one window: the last total read, and the units that it does not hold yet."""

    index: int
    total: float = 0.0  # last read from the counter, plus pushes that timed out
    unpushed: float = 0.0  # units admitted here and not yet pushed
    in_flight: float = 0.0  # admitted units in the pending call
    restoring: float = 0.0  # restored units in the pending call
    to_restore: float = 0.0  # own units that the counter lost, to be added again
    own: float = 0.0  # all units admitted here
    answered_at: int = -1  # time of the last good answer; -1: none
    peer_total: float = 0.0  # units that the other gateways report as admitted
    acked: float = 0.0  # own units that the counter has confirmed
    last_total: float = 0.0  # the last value read, which may only grow
    min_total: float = 0.0  # after the counter lost counts: lower bound of the total
    fresh: bool = True  # False: a read of the total is due

    def adjust(self, units: float) -> None:
        """Add units to the local count and to those to push; negative ones take units back."""
        self.own += units
        self.unpushed += units

    def count(self) -> float:
        """Return the units known to have been admitted by all gateways.

        The counter's view and the peers' view may both lack units, but neither holds one twice: the larger
        is the better.
        """
        return max(self.total + self.in_flight + self.unpushed, self.peer_total + self.own)


@dataclass(slots=True)
class Tenant:
    """A customer on one plan, as known to one gateway."""

    key: int  # customer << 16 | plan number
    plan: api.Plan
    gateways: float  # gateways through which its requests arrive
    window_us: int  # length of a window (us); 0: the plan has no rate
    cur: Window  # the window of the last request or call
    prev: Window  # the window before it
    seen_at: int  # time of its last request
    bucket: float  # units in this gateway's part of the hard limit's token bucket
    bucket_at: int  # time of the last refill
    sparse: bool  # its quota allows too few requests per gateway to judge by local traffic
    share: float  # part of its traffic that arrives here, learned from totals
    unused: float = 0.0  # units of quota left unused, by the totals
    unused_at: int = 0  # time of the last refill of `unused`
    deducted: float = 0.0  # counts of both windows already deducted from `unused`
    has_total: bool = False  # `unused` was set by a first total
    total_at: int = -1  # time of the last good answer for `cur`; -1: none
    unconfirmed_since: int = -1  # time of the oldest own units without a good answer since; -1: none
    queued: int = 0  # the call queue that it stands in; 0: none
    seen_recently: bool = False  # its last request came less than a window before
    in_flight: int = 0  # attempts at workers
    read_due: bool = False  # the ended window must be read once more
    own_since_total: float = 0.0  # own units since the last total that held all gateways' units
    assumed_others: float = 0.0  # units that others are assumed to have admitted since then, off `unused`
    assumed_since: int = 0  # time of that total
    first_gateway: float = 0.0  # number of the first gateway of its set
    peers: list[int] = field(default_factory=list)  # the other gateways of its set, computed at first use


@dataclass(slots=True)
class WorkerKind:
    """Latency of the workers of one kind: each of hundreds of gateways sees too few answers per worker."""

    slowness: float = 1.0  # EWMA of latency relative to the mean of the request's class


@dataclass(slots=True)
class Worker:
    """A worker, as known to one gateway."""

    id: int
    zone: int
    cell: int
    kind: WorkerKind
    limit: float  # requests that this gateway may have in flight there; below 1, pauses
    ready: bool = True
    started_at: int = 0  # 0: long ago
    in_flight: int = 0  # attempts from this gateway
    slowness: float = 1.0  # EWMA of latency relative to its kind's
    limit_lowered_at: int = 0
    last_ended_at: int = 0
    others: float = 0.0  # requests in flight from other gateways, by the last load report
    reported_at: int = -(1 << 60)  # time of the last load report
    failures: int = 0  # consecutive failures
    ejected_until: int = 0
    ejects: int = 0  # ejections that each followed soon after the one before
    preferred: bool = True  # in this gateway's subset of the workers, before any widening of it
    on_trial: bool = False  # ejected, and limited to one request at a time until one is served
    connected_until: int = 0  # an idle connection from here stays open until then
    connected: bool = False  # listed in `Fleet.connected`
    refused_connects: int = 0  # consecutive refused connects
    connect_retry_at: int = 0  # back-off of new connections ends
    rejections: int = 0  # consecutive prompt rejections
    rejected_until: int = 0  # back-off after rejections ends
    cold_until: int = 0  # slow start ends
    next_cold_send: int = 0  # next request allowed during slow start


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a worker."""

    worker: Worker
    sent_at: int
    in_flight: bool = True
    never_ran: bool = False  # the worker cannot have executed it
    late_checked: bool = False  # load shedding has counted it as late or in time


@dataclass(slots=True)
class Job:
    """A request and its attempts; vetchusher/policy/moves.py says which further ones are allowed."""

    id: int
    class_id: int
    spec: api.RequestClass
    tenant: Tenant
    units: float
    deadline: int  # time
    may_duplicate: bool  # two attempts may be in flight at once
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts
    finished: bool = False  # it has its final answer, or its client left
    streaming: bool = False  # its response has started
    reserved_in: Window | None = None  # window in which its units were counted before the decision
    shed_draw: float = 1.0  # random draw compared with the shed share, made once before any wait
    counted: bool = True  # its units count against the quota


LOG_INTERVAL_US = 1_000_000  # between two log lines of one kind


class ThrottledLog:
    """Limits each kind of log line to one per LOG_INTERVAL_US, so that a fault cannot flood the log."""

    def __init__(self) -> None:
        """Start with no line logged."""
        self.last_logged_at: dict[str, int] = {}

    def add(self, now: int, actions: api.Actions, kind: str, text: str) -> None:
        """Append a log action to `actions`, unless a line of this kind was logged a moment ago."""
        if now - self.last_logged_at.get(kind, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self.last_logged_at[kind] = now
            actions.append(api.Log(text))


MASK64 = (1 << 64) - 1


def mix64(value: int) -> int:
    """Return a fixed bijective 64-bit hash of `value`.

    Counter names are built with it, so it must agree between gateways and runs.
    """
    value = (value + 0x9E3779B97F4A7C15) & MASK64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK64
    return value ^ (value >> 31)
