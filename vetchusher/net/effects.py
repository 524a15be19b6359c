"""Events that the reducer applies and effects that it returns.

Times are Unix microseconds on the monotonic clock of `runtime.Clock`; latencies are in microseconds. Ids are
integers. Nothing here depends on HTTP: any protocol that can produce these events and carry out these
effects can drive the reducer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from vetchusher import interface as api


@dataclass(slots=True)
class RequestReceived:
    """A valid request has been read completely.

    `expires_at` is the time by which it must be answered; the customer's requests arrive through `gateways`
    gateways, numbered from `first_gateway`.
    """

    request_id: int
    class_id: int
    plan_id: int
    customer: int
    expires_at: int
    units: float
    gateways: float
    first_gateway: float
    flags: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended, with one of `interface.Outcome`."""

    request_id: int
    attempt: int
    server: int
    outcome: int
    latency: int
    answer: object = None  # passed on to the client unchanged
    final_units: float = 0.0  # units actually consumed, if the answer states them; else 0


@dataclass(slots=True)
class ClientDisconnected:
    """The client of an open request has closed its connection."""

    request_id: int


@dataclass(slots=True)
class TimerDue:
    """A timer set by `StartTimer` has fired."""

    token: int


@dataclass(slots=True)
class ServerListChanged:
    """Discovery reported a whole server list or a change to it."""

    change: api.FleetChanged


@dataclass(slots=True)
class CounterReplied:
    """A call to the quota counter has ended; `total` is 0 unless its outcome is OK."""

    name: int
    outcome: int
    latency: int
    total: float


@dataclass(slots=True)
class PeerMessageReceived:
    """A datagram has come from another load balancer of the site, identified by its number."""

    peer: int
    data: bytes


@dataclass(slots=True)
class ServerListLoaded:
    """The first whole server list has come, or the time to wait for it is over."""


@dataclass(slots=True)
class StopRequested:
    """The process was asked to shut down: it still serves, but is no longer ready."""

    pass


@dataclass(slots=True)
class ProcessEnding:
    """All accepted requests are finished; the process ends now."""


@dataclass(slots=True)
class MaintenanceRequested:
    """An operator takes a server out of service (`exclude`) or lets it back in."""

    call: int
    server: int
    exclude: bool


@dataclass(slots=True)
class VotingStarted:
    """This process has the voting lock; `voter_state` is what the previous process saved, by role."""

    voter_state: list[Any] | None


@dataclass(slots=True)
class VotingStopped:
    """This process is about to end and no longer votes."""


@dataclass(slots=True)
class RoleChangeRequested:
    """An operator moves a role to another peer (`move`) or keeps this process free of roles (`free`)."""

    call: int
    operation: str
    name: str = ""
    target_peer: int = 0
    free: bool = False


@dataclass(slots=True)
class ReportAcknowledged:
    """The receiver of reports answered one; it holds `latest_period`, reported under `token`."""

    period: int
    latest_period: int
    token: int


@dataclass(slots=True)
class LeaseEngineAnswered:
    """The lease engine's answer to a call; None if there was no usable one."""

    call: int
    answer: dict[str, Any] | None


Event = (
    RequestReceived
    | AttemptEnded
    | ClientDisconnected
    | TimerDue
    | ServerListChanged
    | ServerListLoaded
    | PeerMessageReceived
    | CounterReplied
    | StopRequested
    | ProcessEnding
    | MaintenanceRequested
    | VotingStarted
    | VotingStopped
    | RoleChangeRequested
    | ReportAcknowledged
    | LeaseEngineAnswered
)


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a server; the attempt ends at `expires_at` at the latest."""

    request_id: int
    attempt: int
    server: int
    expires_at: int


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt that is no longer needed."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SendAnswer:
    """Pass a server's answer on to the client."""

    request_id: int
    answer: object


@dataclass(slots=True)
class SendRejection:
    """Answer a request that was not started; `retry_after` in microseconds, 0 for no Retry-After."""

    request_id: int
    retry_after: int = 0


@dataclass(slots=True)
class SendFailure:
    """Answer a request that failed and may have run."""

    request_id: int


@dataclass(slots=True)
class StartTimer:
    """Submit `TimerDue` with this token at `due_at`."""

    due_at: int
    token: int


@dataclass(slots=True)
class CallCounter:
    """Add `amount` to counter `name`, which the counter service keeps for `ttl_us` after that."""

    name: int
    amount: float
    ttl_us: int
    expires_at: int


@dataclass(slots=True)
class SendToPeer:
    """Send a datagram to one load balancer of the site, or to all of them if `peer` is None."""

    data: bytes
    peer: int | None


@dataclass(slots=True)
class WriteLog:
    """Write a log line, with `facts` as further fields."""

    text: str
    facts: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class OperatorAnswer:
    """The answer to an operator's call: accepted, or refused with a reason."""

    call: int
    accepted: bool
    reason: str = ""


@dataclass(slots=True)
class DeliverReport:
    """Send one period's record to the sink."""

    period: int
    record: dict[str, Any]


@dataclass(slots=True)
class CallLeaseEngine:
    """Call the external lease engine; an answer after `expires_at` is ignored."""

    call: int
    path: str
    body: dict[str, Any]
    expires_at: int


@dataclass(slots=True)
class SaveVoterState:
    """Save the voter state for the next process of this load balancer."""

    voter_state: list[Any]


@dataclass(slots=True)
class SaveExclusions:
    """Save the ids of the servers excluded by operators for the next process."""

    servers: tuple[int, ...]


Effect = (
    StartAttempt
    | CancelAttempt
    | SendAnswer
    | SendRejection
    | SendFailure
    | StartTimer
    | CallCounter
    | SendToPeer
    | WriteLog
    | OperatorAnswer
    | SaveExclusions
    | SaveVoterState
    | DeliverReport
    | CallLeaseEngine
)
