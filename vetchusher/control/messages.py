"""Inputs and outputs of the control state's state machine, its settings, and what a disk holds of it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from returns.result import Result

from vetchusher.distribution.wire_pb2 import ControlMessage, ControlState, ReplicaSet, RolloutState
from vetchusher.errors import Error
from vetchusher.events import LogEvent


@dataclass(slots=True, frozen=True)
class Timing:
    """Durations of the control state's protocol, all in microseconds of a machine's own steady clock.

    :param renewal_interval_us: between two renewals of the leader lease
    :param lease_duration_us: for how long a voter that granted a lease votes for nobody else
    :param answer_valid_us: for how long a primary or candidate counts a reply, from the sending of the
        request; the rest of the lease is what two steady clocks may drift apart in that time
    :param other_zone_timeout_us: how long a write waits for a copy in another zone, or until one is sent
        there
    :param write_timeout_us: a copy in the primary's zone that has not synced a write for so long, plus 1 us a
        byte of configuration that was sent to it, is replaced
    :param ejection_us: for how long a late copy is not chosen again
    :param own_disk_timeout_us: like `write_timeout_us`, of the primary's own disk: it hands leadership over
    :param copy_retention_us: for how long a machine that was replaced keeps its copy
    :param contact_timeout_us: a machine heard from within it is reachable
    :param first_answer_us: so long after an epoch's begin a reachable member may be one that hears nothing
    :param pause_threshold_us: a process that ran nothing for so long was paused; ticks come ten times as
        often
    :param majority_timeout_us: a primary that heard no majority for so long renews nobody's lease until it
        does
    :param lease_regain_us: how long a primary whose lease lapsed renews on before it gives up its epoch
    :param election_back_off_us: after a vote, no other candidate is encouraged for so long
    :param election_jitter_us: longest random pause before a candidacy
    :param leaving_election_delay_us: how much longer than others a machine that shuts down waits to stand
    :param pre_vote_timeout_us: for the replies to pre-vote requests; it doubles with each failed election
    :param vote_timeout_us: for the replies to vote requests
    :param order_timeout_us: within which an order is answered
    :param resend_delay_us: before a write is sent again; it doubles
    :param max_resend_delay_us: bound of that delay
    :param persist_retry_us: before a write that the disk refused is tried again
    :param recovery_interval_us: between two requests of an amnesiac
    :param bootstrap_delay_us: how long amnesiacs look for anybody who remembers before they begin anew
    :param join_interval_us: between two requests of a learner
    :param learner_timeout_us: a learner that has not asked for so long is forgotten
    :param removal_timeout_us: members unheard for so long are removed where that lets the rest bear one loss
        more
    :param replacement_timeout_us: a member unheard for so long gives its seat to a learner that is ready
    :param learner_discovery_us: after an epoch's begin a leaving voter stays for so long: learners make
        themselves known to the new primary
    """

    renewal_interval_us: int = 250_000
    lease_duration_us: int = 1_500_000
    answer_valid_us: int = 1_350_000
    other_zone_timeout_us: int = 2_000_000
    write_timeout_us: int = 700_000
    ejection_us: int = 2_000_000
    own_disk_timeout_us: int = 1_200_000
    copy_retention_us: int = 5_000_000
    contact_timeout_us: int = 1_000_000
    first_answer_us: int = 300_000
    pause_threshold_us: int = 500_000
    majority_timeout_us: int = 700_000
    lease_regain_us: int = 300_000
    election_back_off_us: int = 400_000
    election_jitter_us: int = 200_000
    leaving_election_delay_us: int = 600_000
    pre_vote_timeout_us: int = 300_000
    vote_timeout_us: int = 1_000_000
    order_timeout_us: int = 3_000_000
    resend_delay_us: int = 500_000
    max_resend_delay_us: int = 4_000_000
    persist_retry_us: int = 500_000
    recovery_interval_us: int = 300_000
    bootstrap_delay_us: int = 10_000_000
    join_interval_us: int = 500_000
    learner_timeout_us: int = 5_000_000
    removal_timeout_us: int = 15_000_000
    replacement_timeout_us: int = 1_000_000
    learner_discovery_us: int = 1_500_000


@dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """What a replica is told at its start.

    :param own_ip: this machine's address, by which the others know it
    :param seeds: addresses of machines to ask; at the very first start they are the members
    :param first_start: the system has never run
    :param losses: how many machines may be lost at a time
    """

    own_ip: str
    zone: str
    seeds: Sequence[str]
    first_start: bool
    timing: Timing = field(default_factory=Timing)
    losses: int = 1


@dataclass(slots=True, frozen=True)
class PersistentState:
    """What a disk holds of the control state.

    :param voted_epoch: the highest epoch that this machine voted for
    :param state: its copy; empty at a witness
    :param voted_for: address of the candidate that got that vote
    :param replica_set: the highest accepted; one without members is of a disk of the first format
    :param has_copy: `state` is a complete copy
    """

    voted_epoch: int
    state: ControlState
    voted_for: str = ""
    replica_set: ReplicaSet = field(default_factory=ReplicaSet)
    has_copy: bool = True


# -- inputs ----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed: about every 50 ms."""


@dataclass(slots=True, frozen=True)
class Received:
    """A message has arrived.

    :param sender: address of the machine that wrote it
    :param zone: of that machine
    """

    sender: str
    zone: str
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persisted:
    """The outcome of a `Persist`.

    :param synced: it is on the disk; else the disk refused it
    """

    token: int
    synced: bool


@dataclass(slots=True, frozen=True)
class ReplaceOrder:
    """Replace the configuration.

    :param body: a configuration whose content was checked, as the operator sent it
    """

    version: int
    body: bytes


@dataclass(slots=True, frozen=True)
class RetrieveOrder:
    """Read the committed configuration."""


@dataclass(slots=True, frozen=True)
class EvacuationOrder:
    """Begin or end the evacuation of a zone.

    :param previous_order: number of the zone's last order when this one was forwarded; None: it never was
    """

    zone: str
    on: bool
    previous_order: int | None = None


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """Begin to roll out a version of a service."""

    service: str
    target_version: str
    duration_ms: int


@dataclass(slots=True, frozen=True)
class RolloutDecision:
    """Take a roll-out on to its next state.

    :param number: of the roll-out that it was decided for; another one by now is left as it is
    """

    service: str
    number: int
    state: RolloutState


@dataclass(slots=True, frozen=True)
class RetrieveRolloutOrder:
    """Read the newest roll-out of a service, as an encoded message."""

    service: str


ReadOrder = RetrieveOrder | RetrieveRolloutOrder
Order = ReplaceOrder | ReadOrder | EvacuationOrder | RolloutOrder | RolloutDecision


@dataclass(slots=True, frozen=True)
class Submitted:
    """An operator's order has arrived.

    :param order_id: chosen by the caller; it comes back in `Completed`
    """

    order_id: int
    order: Order


@dataclass(slots=True, frozen=True)
class CopyRepaired:
    """The copy on this disk was found damaged.

    :param state: the copy that belongs to the stamp held here; None: write all that is held once more
    """

    state: ControlState | None


@dataclass(slots=True, frozen=True)
class ShutDown:
    """The process is about to end in order: if it leads, another machine is to lead at once."""


Input = Tick | Received | Persisted | Submitted | CopyRepaired | ShutDown


# -- outputs ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message; it may be lost.

    :param to: address of the receiver
    """

    to: str
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persist:
    """Sync these contents and answer with `Persisted`.  There is never more than one unanswered."""

    token: int
    contents: PersistentState


@dataclass(slots=True, frozen=True)
class Completed:
    """The answer to an order.

    :param outcome: for `RetrieveOrder` the configuration's bytes as sent; else empty.  NOT_SETTLED: the order
        may be committed later, or never
    """

    order_id: int
    outcome: Result[bytes, Error]


@dataclass(slots=True, frozen=True)
class Committed:
    """`Replica.committed` has advanced to this state."""

    state: ControlState


Output = Send | Persist | Completed | Committed | LogEvent
