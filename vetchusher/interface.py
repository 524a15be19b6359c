"""The whole interface of the decision module: settings, events and actions.

Times are integer microseconds.  A worker is an opaque integer, a request an opaque
integer that is never used twice.  Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """What a second execution of a request would do."""

    SAFE = 0  # nothing: repeat at will
    KEYED = 1  # dropped by the workers of one group while they remember the key
    UNSAFE = 2  # harm


class Scope(IntEnum):
    """Which workers drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt or a counter call ended."""

    OK = 200
    ERROR = 502
    FULL = 429
    TIMEOUT = 408
    CONNECT_FAILED = 521
    RESET = 520
    CANCELLED = 444
    MOOT = 409


class WorkerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class FleetKind(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True, frozen=True)
class RequestClass:
    effect: Effect
    scope: Scope
    aim: int
    deadline: int
    repeat_window: int
    worth: float
    late_share: float
    stream: bool = False
    name: str = ""


@dataclass(slots=True, frozen=True)
class Plan:
    """Quota and ceiling of one plan, per customer over all gateways; 0 means "no such limit"."""

    rate: float
    burst: float
    open_limit: int
    price: float
    over_worth: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    index: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    load_fields: tuple[str, ...] = ()
    subscribe: bool = False  # the fleet list comes only when asked for
    counter: bool = False
    counter_timeout: int = 50_000
    post_paid: bool = False
    most_units: float = 1.0
    max_attempts: int = 1
    may_duplicate: bool = False
    may_cancel: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    cold_from: float = 1.0
    cold_time: int = 0
    fall_multiple: float = 1.0
    fall_time: int = 1_000_000
    ask_within: int = 10_000_000
    connection_idle: int = 15_000_000  # an idle connection to a worker closes after this
    tick: int = 1_000
    connect_limit: int = 250_000  # a connection not up by then has failed
    open_cap: int = 20_000  # requests that a gateway may hold open
    peers: bool = False  # gateways may send one another datagrams
    peer_in_per_s: float = 0.0  # of which each takes in so many a second; 0: no such limit
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()


# ---- events -------------------------------------------------------------------------


@dataclass(slots=True)
class WorkerEntry:
    worker: int
    state: WorkerState
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    started_at: int = 0  # 0: long ago


@dataclass(slots=True)
class FleetChanged:
    kind: FleetKind
    version: int
    entries: list[WorkerEntry] = field(default_factory=list)


@dataclass(slots=True)
class RequestArrived:
    request: int
    class_id: int
    plan_id: int
    customer: int
    time_left: int
    units: float
    doors: float  # gateways through which this customer may arrive
    first_door: float = 0.0
    flags: int = 0


@dataclass(slots=True)
class AnswerBegan:
    request: int
    attempt: int
    worker: int
    latency: int


@dataclass(slots=True)
class AttemptEnded:
    request: int
    attempt: int
    worker: int
    outcome: int
    latency: int
    request_over: bool
    settled: float = 0  # units that the request really counted; 0: none told
    metered: int = 0  # 0: none told
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class ClientGone:
    request: int


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ProbeEnded:
    worker: int
    outcome: int
    latency: int
    load: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(slots=True)
class TierSeen:
    """Which gateways are taken to serve, by number; a view that may be wrong.  Without it all are."""

    living: tuple[int, ...]


@dataclass(slots=True)
class CounterAnswered:
    name: int
    outcome: int
    latency: int
    total: float


Event = (
    FleetChanged
    | RequestArrived
    | AnswerBegan
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | TierSeen
    | CounterAnswered
)


# ---- actions ------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    request: int
    worker: int
    timeout: int = 0  # 0: until the client leaves


@dataclass(slots=True)
class Refuse:
    request: int
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    delay: int
    token: int


@dataclass(slots=True)
class Count:
    """Add to a named number of the counter service and get its total back."""

    name: int
    amount: float
    lifetime: int


@dataclass(slots=True)
class SubscribeFleet:
    on: bool = True


@dataclass(slots=True)
class FetchFleet:
    pass


@dataclass(slots=True)
class Log:
    text: str
    facts: dict[str, object] = field(default_factory=dict)  # the same in figures


@dataclass(slots=True)
class Say:
    """Send a datagram of at most 256 bytes to one gateway of the cluster, or to all of them."""

    data: bytes
    peer: int | None = None


@dataclass(slots=True)
class Deliver:
    """Send the fleet's report of one period to its sink."""

    period: int
    record: dict[str, object]


@dataclass(slots=True)
class AskEngine:
    """Call an outside engine of leases; its answer must be there within `patience` (us)."""

    call: int
    path: str
    body: dict[str, object]
    patience: int


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
    | Say
    | Deliver
    | AskEngine
)
Actions = list[Action]
