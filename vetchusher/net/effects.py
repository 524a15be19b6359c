"""The reducer's language: what may happen to an ingress, and what it may ask to have done.

Times are Unix microseconds on the ingress's monotonic clock.  Ids are integers.  Nothing here knows of
HTTP: any protocol that can make these events and carry out these effects can drive the reducer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from vetchusher import interface as api


@dataclass(slots=True)
class CommandArrived:
    command: int
    class_id: int
    plan_id: int
    customer: int
    expires_at: int
    units: float
    doors: float
    first_door: float
    flags: int


@dataclass(slots=True)
class AttemptOver:
    command: int
    attempt: int
    instance: int
    outcome: int
    latency: int
    answer: object = None  # passed on to the service client unopened
    settled: float = 0.0  # units that the command really counted, if the answer told; 0: it did not


@dataclass(slots=True)
class ClientLeft:
    command: int


@dataclass(slots=True)
class TimerDue:
    token: int


@dataclass(slots=True)
class NamesChanged:
    change: api.FleetChanged


@dataclass(slots=True)
class CounterReplied:
    name: int
    outcome: int
    latency: int
    total: float


@dataclass(slots=True)
class PeerSpoke:
    """A datagram of another ingress of the tier, by its number."""

    peer: int
    data: bytes


@dataclass(slots=True)
class NamesRead:
    """The whole name table has come, or has been waited for long enough."""


@dataclass(slots=True)
class StopAsked:
    pass


@dataclass(slots=True)
class Ends:
    """All commands taken are done with; the process ends now."""


@dataclass(slots=True)
class MaintenanceAsked:
    """An operator's call: take an instance out of service (`exclude`) or let it back in."""

    call: int
    worker: int
    exclude: bool


@dataclass(slots=True)
class VoteBegins:
    """No other process of this ingress votes any more; `memory`: what the one before it left, by duty."""

    memory: list[Any] | None


@dataclass(slots=True)
class VoteEnds:
    """This process is about to end: it votes no more."""


@dataclass(slots=True)
class WorkAsked:
    """An operator's call about duties: `move` one to another ingress, or `free` this one of them."""

    call: int
    verb: str
    name: str = ""
    to: int = 0
    free: bool = False


@dataclass(slots=True)
class ReportAnswered:
    """The sink's word on a delivered period: the highest period and token that it has seen."""

    period: int
    known: int
    token: int


@dataclass(slots=True)
class EngineAnswered:
    """The engine's answer to a call; nothing where there was none that can be used."""

    call: int
    tree: dict[str, Any] | None


Event = (
    CommandArrived
    | AttemptOver
    | ClientLeft
    | TimerDue
    | NamesChanged
    | NamesRead
    | PeerSpoke
    | CounterReplied
    | StopAsked
    | Ends
    | MaintenanceAsked
    | VoteBegins
    | VoteEnds
    | WorkAsked
    | ReportAnswered
    | EngineAnswered
)


@dataclass(slots=True)
class StartAttempt:
    command: int
    attempt: int
    instance: int
    expires_at: int


@dataclass(slots=True)
class AbandonAttempt:
    command: int
    attempt: int


@dataclass(slots=True)
class Serve:
    command: int
    answer: object


@dataclass(slots=True)
class Nack:
    command: int
    retry_after: int = 0


@dataclass(slots=True)
class Failure:
    command: int


@dataclass(slots=True)
class WakeAt:
    at: int
    token: int


@dataclass(slots=True)
class CallCounter:
    name: int
    amount: float
    lifetime: int
    expires_at: int


@dataclass(slots=True)
class TellPeer:
    """Send a datagram to one ingress of the tier, or to all of them."""

    data: bytes
    peer: int | None


@dataclass(slots=True)
class WriteLog:
    text: str
    facts: dict[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class Answered:
    """The yes or no to an operator's call."""

    call: int
    yes: bool
    why: str = ""


@dataclass(slots=True)
class DeliverReport:
    """Send one period's record to the sink."""

    period: int
    record: dict[str, Any]


@dataclass(slots=True)
class CallEngine:
    """Call the outside engine of leases; an answer after `expires_at` is none."""

    call: int
    path: str
    body: dict[str, Any]
    expires_at: int


@dataclass(slots=True)
class KeepMemory:
    """Keep what this voter remembers where the next process of this ingress finds it."""

    memory: list[Any]


@dataclass(slots=True)
class KeepExclusions:
    """Keep the instances excluded by hand where a process that follows this one finds them."""

    workers: tuple[int, ...]


Effect = (
    StartAttempt
    | AbandonAttempt
    | Serve
    | Nack
    | Failure
    | WakeAt
    | CallCounter
    | TellPeer
    | WriteLog
    | Answered
    | KeepExclusions
    | KeepMemory
    | DeliverReport
    | CallEngine
)
