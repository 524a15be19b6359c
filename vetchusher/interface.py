"""Interface of the decision policy: settings, events and actions.

All times are integer microseconds.  A worker is an opaque integer; a request is an opaque integer that is
never used twice.  These types hold no logic.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """What a second execution of a request would do."""

    SAFE = 0  # nothing: it may be repeated at will
    KEYED = 1  # it is dropped by the workers of one group while they remember the key
    UNSAFE = 2  # harm: it must not be repeated


class Scope(IntEnum):
    """Which group of workers drops the repeats of a keyed request."""

    ALL = 0  # all workers
    ZONE = 1  # those of one zone
    CELL = 2  # those of one cell


class Outcome(IntEnum):
    """How an attempt or a counter call ended."""

    OK = 200
    ERROR = 502
    REJECTED = 429  # the worker or the counter rejected it for load
    TIMEOUT = 408
    CONNECT_FAILED = 521
    RESET = 520
    CANCELLED = 444  # the gateway cancelled it, or the client left
    OBSOLETE = 409  # not sent, as the request had ended, expired or used up its attempts


class WorkerState(IntEnum):
    """Lifecycle state of a worker in the fleet list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2  # finishes its requests, and takes no new ones


class FleetKind(IntEnum):
    """What a fleet list contains."""

    DELTA = 0  # changed workers only
    FULL = 1  # all workers
    CACHED = 2  # all workers, from a cache that may be old
    FAILED = 3  # nothing: the list could not be fetched


@dataclass(slots=True, frozen=True)
class RequestClass:
    """How requests of one class are handled, and what their answers are worth."""

    effect: Effect
    scope: Scope
    target: int  # latency target
    deadline: int  # time after which the client has no use for an answer
    key_lifetime: int  # how long workers remember the key of a keyed request
    value: float  # value of an answer within the latency target
    late_value_ratio: float  # part of that value that a later answer earns
    stream: bool = False  # the response is streamed
    name: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """Quota and hard limit of one plan, per customer over all gateways; 0: no such limit."""

    rate: float  # units per second
    burst: float  # units
    open_limit: int  # open requests
    price: float  # factor of the value of its requests
    over_value: float  # part of a request's value earned beyond the quota
    over_cost: float  # part of a request's value paid beyond the quota
    hard_rate: float  # units per second
    hard_burst: float  # units
    hard_slack: float  # units over the hard limit that are tolerated
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway."""

    index: int  # number of this gateway, counted from 0
    gateways: int  # gateways of the deployment
    zone: int  # zone of this gateway, as an index into `zones`
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    load_fields: tuple[str, ...] = ()  # names of the values in load reports, in order
    subscribe: bool = False  # the fleet list comes only when asked for
    counter: bool = False  # there is a counter service
    counter_timeout: int = 50_000  # of a call to the counter service
    post_paid: bool = False  # the final units of a request are known only when it ends
    max_units: float = 1.0  # units of one request at most
    max_attempts: int = 1  # per request
    may_duplicate: bool = False  # two attempts of a request may be in flight at once
    may_cancel: bool = False  # attempts in flight can be cancelled
    retry_after: bool = False  # rejections may carry a Retry-After
    max_retry_after: int = 0  # longest Retry-After
    cold_capacity_ratio: float = 1.0  # part of its capacity that a worker has at its start
    warm_up_time: int = 0  # time until a started worker has its full capacity
    overload_multiple: float = 1.0  # multiple of its present capacity at which a worker fails
    overload_window: int = 1_000_000  # window over which that load is measured
    resubscribe_within: int = (
        10_000_000  # a failed subscription to the fleet list must be repeated within this
    )
    idle_timeout: int = 15_000_000  # an idle connection to a worker closes after this
    tick: int = 1_000  # granularity of timers
    connect_timeout: int = 250_000  # a connection not established within this has failed
    max_open_requests: int = 20_000  # requests that a gateway may hold open
    peers: bool = False  # gateways may send one another datagrams
    peer_datagrams_per_s: float = 0.0  # datagrams per second that each gateway takes in; 0: no limit
    zones: tuple[str, ...] = ()  # their names
    worker_kinds: tuple[str, ...] = ()  # names of the workers' kinds


# ---- Events -------------------------------------------------------------------------


@dataclass(slots=True)
class WorkerEntry:
    """One worker in a fleet list."""

    worker: int
    state: WorkerState
    zone: int = 0  # index into the settings' `zones`
    cell: int = 0  # number of its cell, a group of workers
    kind: int = 0  # index into the settings' `worker_kinds`
    size: float = 1.0  # capacity relative to others
    started_at: int = 0  # 0: long ago


@dataclass(slots=True)
class FleetChanged:
    """A fleet list arrived, or the attempt to fetch it failed."""

    kind: FleetKind
    version: int
    entries: list[WorkerEntry] = field(default_factory=list)


@dataclass(slots=True)
class RequestArrived:
    """A client sent a request."""

    request: int
    class_id: int
    plan_id: int
    customer: int
    remaining_us: int  # time until its deadline
    units: float  # units of quota that it uses, or an estimate of them
    gateways: float  # gateways through which this customer's requests may arrive
    first_gateway: float = 0.0  # number of the first of these gateways
    flags: int = 0  # options of the client, which the policy ignores


@dataclass(slots=True)
class ResponseStarted:
    """The response of a streamed request started, so that the request cannot be repeated."""

    request: int
    attempt: int
    worker: int
    latency: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt at a worker ended; the request itself may go on."""

    request: int
    attempt: int
    worker: int
    outcome: int  # see `Outcome`
    latency: int
    request_ended: bool  # the client has its final answer or has left
    final_units: float = 0  # units that the request finally used; 0: not reported
    metered: int = 0  # units measured by the worker; 0: not reported
    load: tuple[float, ...] = ()  # values of the worker's load report, if any


@dataclass(slots=True)
class ClientDisconnected:
    """The client of a request closed its connection."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` expired."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A health probe of a worker ended."""

    worker: int
    outcome: int  # see `Outcome`
    latency: int
    load: tuple[float, ...] = ()  # values of the worker's load report, if any


@dataclass(slots=True)
class PeerMessage:
    """A datagram from another gateway arrived."""

    sender: int  # number of the gateway it came from
    data: bytes


@dataclass(slots=True)
class LiveGatewaysChanged:
    """The set of gateways believed to be alive changed.

    The view may be wrong; before the first one, all gateways count as alive.
    """

    live_gateways: tuple[int, ...]  # their numbers


@dataclass(slots=True)
class CounterAnswered:
    """A call to the counter service ended."""

    name: int  # of the counter
    outcome: int  # see `Outcome`
    latency: int
    total: float  # value of the counter after the call


Event = (
    FleetChanged
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | LiveGatewaysChanged
    | CounterAnswered
)


# ---- Actions ------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start an attempt of a request at a worker."""

    request: int
    worker: int
    timeout: int = 0  # 0: until the client leaves


@dataclass(slots=True)
class Refuse:
    """Reject a request with an answer saying that a retry is harmless."""

    request: int
    retry_after: int = 0  # advised time before a retry; 0: none


@dataclass(slots=True)
class Fail:
    """End a request with an error, as a worker may have executed it."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for `TimerFired` with this token after a delay."""

    delay: int
    token: int


@dataclass(slots=True)
class Count:
    """Add to a named number of the counter service and get its total back."""

    name: int
    amount: float  # units; 0 only reads
    lifetime: int  # time after which the service may forget the number


@dataclass(slots=True)
class SubscribeFleet:
    """Subscribe to the fleet list, or end the subscription."""

    on: bool = True


@dataclass(slots=True)
class FetchFleet:
    """Ask for the whole fleet list once."""

    pass


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str
    facts: dict[str, object] = field(default_factory=dict)  # the same as fields for structured logs


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram of at most 256 bytes to one gateway of the cluster, or to all of them."""

    data: bytes
    peer: int | None = None  # number of the gateway; None: all


@dataclass(slots=True)
class DeliverReport:
    """Send the fleet's report of one period to its sink."""

    period: int
    record: dict[str, object]


@dataclass(slots=True)
class CallLeaseEngine:
    """Call an external lease engine, whose answer must arrive within `timeout` (us)."""

    call: int
    path: str
    body: dict[str, object]
    timeout: int


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Count
    | SubscribeFleet
    | FetchFleet
    | Log
    | SendDatagram
    | DeliverReport
    | CallLeaseEngine
)
Actions = list[Action]
