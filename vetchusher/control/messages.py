"""What the control state's machine takes, what it returns, and what a disk holds of it."""

from __future__ import annotations

from dataclasses import dataclass, field

from returns.result import Result

from vetchusher.distribution.wire_pb2 import ControlMessage, ControlState, ReplicaSet
from vetchusher.events import LogEvent
from vetchusher.kinds import Fault


@dataclass(slots=True, frozen=True)
class Timing:
    """All in us of the machine's own steady clock.

    :param lease_us: for how long a voter that agreed to a renewal promises no other epoch
    :param held_us: for how long a primary or a candidate counts any answer, from the sending of the question.
        The rest of the lease is what two steady clocks may drift apart in that time
    :param other_zone_us: how long a write waits for a copy in another zone, or until one there is taught
    :param late_us: a copy in the primary's zone that has not synced a write for so long, and a microsecond
        for each byte of the configuration that was sent to it, is replaced
    :param rest_us: for how long a late one is not chosen again
    :param yield_us: like `late_us`, of the primary's own disk and the whole configuration: it hands over
    :param drop_copy_us: for how long one that was replaced keeps its copy
    :param heard_us: who was heard within it is up
    :param answer_us: so long after an epoch's begin a member that was heard may be one that hears nothing
    :param stopped_us: a machine that ran nothing for so long stood still; ticks come ten times as often
    :param unheard_us: a primary that has heard no majority for so long renews nobody's lease until it does
    :param regain_us: how long a primary whose lease ran out goes on asking before it gives up its epoch
    :param leaving_pause_us: how much longer than others a machine that is leaving waits before it stands
    :param candidate_backoff_us: after a promise, no other candidate is encouraged for so long
    :param anew_us: when nobody remembers anything at all: how long to look for somebody before beginning anew
    :param drop_us: members unheard for so long are left out where that lets the others bear one loss more
    :param settle_us: after the begin of an epoch a leaving voter stays for so long: learners make themselves
        known to the new primary
    :param replace_us: a member unheard for so long gives its seat to a learner that is ready
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
class PersistentState:
    """What a disk holds.

    :param promised: the highest epoch that this machine promised
    :param state: its copy; empty at a witness
    :param owner: ip of the candidate to whom that epoch was promised
    :param record: the highest accepted; one without members: of a disk of the first format
    :param copy: `state` is a whole copy
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
    sender: str  # ip
    zone: str
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persisted:
    """The outcome of a `Persist`; `ok`: it is synced."""

    token: int
    synced: bool


@dataclass(slots=True, frozen=True)
class ReplaceOrder:
    """:param body: a configuration that was checked whole, as the operator sent it"""

    version: int
    body: bytes


@dataclass(slots=True, frozen=True)
class RetrieveOrder:
    pass


@dataclass(slots=True, frozen=True)
class EvacuationOrder:
    """:param after: number of the zone's last order when this one was passed on; None: it never was"""

    zone: str
    on: bool
    previous_order: int | None = None


Order = ReplaceOrder | RetrieveOrder | EvacuationOrder


@dataclass(slots=True, frozen=True)
class Submitted:
    """:param number: the caller's; it comes back in `Completed`"""

    order_id: int
    order: Order


@dataclass(slots=True, frozen=True)
class CopyRepaired:
    """:param state: the copy that belongs to the stamp that this machine holds, which its own was not; None:
    all that is held, as it is, is to be written again"""

    state: ControlState | None


@dataclass(slots=True, frozen=True)
class ShutDown:
    """The process is about to end in order: if it leads, another is to lead at once."""


Input = Tick | Received | Persisted | Submitted | CopyRepaired | ShutDown


# -- outputs ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class Send:
    to: str  # ip
    message: ControlMessage


@dataclass(slots=True, frozen=True)
class Persist:
    """To be synced, in order, and answered by `Persisted`.  There is never more than one unanswered."""

    token: int
    contents: PersistentState


@dataclass(slots=True, frozen=True)
class Completed:
    """:param outcome: for `Retrieve` the configuration's bytes as sent; else nothing.  NOT_SETTLED: it may
    come to be in force or not"""

    order_id: int
    outcome: Result[bytes, Fault]


@dataclass(slots=True, frozen=True)
class Committed:
    """`Replica.committed` has grown to this."""

    state: ControlState


Output = Send | Persist | Completed | Committed | LogEvent
