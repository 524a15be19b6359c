"""Inputs, outputs, settings and persistent state of the replicated state machine of the control state."""

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
    :param lease_duration_us: time for which a voter that granted a lease votes for no other machine
    :param answer_valid_us: time for which a primary or candidate counts a reply, from the sending of the
        request; the rest of the lease allows for the drift between two steady clocks in that time
    :param other_zone_timeout_us: time for which a write waits for a copy in another zone, or for one to be
        established there
    :param write_timeout_us: a copy in the primary's zone is replaced if it has not synced a write after this
        time plus 1 us per byte of configuration data sent to it
    :param ejection_us: time for which a late copy is not chosen again
    :param own_disk_timeout_us: like `write_timeout_us`, for the primary's own disk; if that is late, the
        primary hands its leadership over
    :param copy_retention_us: time for which a machine that was replaced keeps its copy
    :param contact_timeout_us: a machine is reachable if a message from it was received within this time
    :param first_answer_us: for this time after the start of an epoch, a reachable member is not required to
        have answered a renewal; after it, one that has not may be one that receives no messages
    :param pause_threshold_us: a process that has processed no input for this time was paused; ticks occur ten
        times as often
    :param majority_timeout_us: a primary that has not heard from a majority for this time renews no lease
        until it hears from one again
    :param lease_regain_us: time for which a primary whose lease has expired keeps renewing before it steps
        down
    :param election_back_off_us: time after a vote for which no other candidate is favoured
    :param election_jitter_us: upper bound of the random delay before a candidacy
    :param leaving_election_delay_us: additional delay before a candidacy of a machine that is shutting down
    :param pre_vote_timeout_us: for the replies to pre-vote requests; doubles with each failed election
    :param vote_timeout_us: for the replies to vote requests
    :param order_timeout_us: within which an order is answered
    :param resend_delay_us: before a write is first resent; doubles with each resending
    :param max_resend_delay_us: upper bound of that delay
    :param persist_retry_us: before a write that the disk rejected is retried
    :param recovery_interval_us: between two requests of an amnesiac
    :param bootstrap_delay_us: time for which amnesiacs look for a machine with its memory intact before they
        start a new system
    :param join_interval_us: between two join requests of a learner
    :param learner_timeout_us: a learner that has sent no join request for this time is forgotten
    :param removal_timeout_us: members not heard from for this time are removed if the others can then
        tolerate one more loss
    :param replacement_timeout_us: a member not heard from for this time is replaced by a ready learner
    :param learner_discovery_us: for this time after the start of an epoch leaving voters stay, while learners
        make themselves known to the new primary
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
    """The settings of a replica.

    :param own_ip: this machine's address, by which the others know it
    :param zone: this machine's zone
    :param seeds: addresses of machines to contact; at the first start of the system they are its members
    :param first_start: the system has never run before
    :param timing: durations of the protocol
    :param losses: the number of machines that may be lost at the same time
    """

    own_ip: str
    zone: str
    seeds: Sequence[str]
    first_start: bool
    timing: Timing = field(default_factory=Timing)
    losses: int = 1


@dataclass(slots=True, frozen=True)
class PersistentState:
    """The data of a replica that is kept on disk.

    :param voted_epoch: the highest epoch in which this machine has voted
    :param state: this machine's copy of the control state; empty at a witness
    :param voted_for: address of the candidate that got that vote
    :param replica_set: the newest accepted replica set; without members on a disk of the first format
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
    """A timer tick, about every 50 ms."""


@dataclass(slots=True, frozen=True)
class Received:
    """A message was received.

    :param sender: address of the sending machine
    :param zone: zone of the sending machine
    """

    sender: str
    zone: str
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persisted:
    """The outcome of a `Persist`.

    :param token: that of the `Persist`
    :param synced: whether the contents are on the disk; False: the disk rejected them
    """

    token: int
    synced: bool


@dataclass(slots=True, frozen=True)
class ReplaceOrder:
    """Replace the configuration.

    :param body: the validated configuration, as the operator sent it
    """

    version: int
    body: bytes


@dataclass(slots=True, frozen=True)
class RetrieveOrder:
    """Read the committed configuration."""


@dataclass(slots=True, frozen=True)
class EvacuationOrder:
    """Begin or end the evacuation of a zone.

    :param on: whether the evacuation begins
    :param previous_order: number of the zone's last order when this one was forwarded; None: not forwarded
    """

    zone: str
    on: bool
    previous_order: int | None = None


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """Start the roll-out of a version of a service."""

    service: str
    target_version: str
    duration_ms: int


@dataclass(slots=True, frozen=True)
class RolloutDecision:
    """Advance a roll-out to its next state.

    :param number: number of the roll-out that the decision is about; a newer roll-out is left unchanged
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
    """An order of an operator was received.

    :param order_id: chosen by the caller, and returned in `Completed`
    """

    order_id: int
    order: Order


@dataclass(slots=True, frozen=True)
class CopyRepaired:
    """The copy on this machine's disk was found damaged.

    :param state: an intact copy with the stamp of this machine's copy; None: write the contents in memory to
        the disk again
    """

    state: ControlState | None


@dataclass(slots=True, frozen=True)
class ShutDown:
    """The process is about to shut down gracefully; a primary hands its leadership over."""


Input = Tick | Received | Persisted | Submitted | CopyRepaired | ShutDown


# -- outputs ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message, which may be lost.

    :param to: address of the receiver
    """

    to: str
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persist:
    """Sync the contents to disk and answer with `Persisted`; at most one `Persist` is unanswered."""

    token: int
    contents: PersistentState


@dataclass(slots=True, frozen=True)
class Completed:
    """The answer to an order.

    :param order_id: that of the `Submitted`
    :param outcome: the configuration's bytes as sent for `RetrieveOrder`, a serialised roll-out for
        `RetrieveRolloutOrder`, otherwise empty. After the error UNAVAILABLE the order may still be committed
        later
    """

    order_id: int
    outcome: Result[bytes, Error]


@dataclass(slots=True, frozen=True)
class Committed:
    """`Replica.committed` has advanced to this state."""

    state: ControlState


Output = Send | Persist | Completed | Committed | LogEvent
