"""Types of the HTTP API: calls of operators and of clients' resolvers, results, and guarded outcomes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result

from vetchusher.errors import Error, ErrorCode

# -- calls ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class ReplaceConfiguration:
    """Replace the configuration.

    :param body: the configuration as the operator sent it; not validated yet
    """

    body: bytes


@dataclass(slots=True, frozen=True)
class RetrieveConfiguration:
    """Read the configuration that is in force."""


@dataclass(slots=True, frozen=True)
class InitiateEvacuation:
    """Begin to evacuate a zone."""

    zone: str


@dataclass(slots=True, frozen=True)
class TerminateEvacuation:
    """End the evacuation of a zone."""

    zone: str


@dataclass(slots=True, frozen=True)
class ResolveAddresses:
    """Resolve ingresses for a client; any field may be empty if the client does not give it.

    :param name: the host that the client wants to send requests to
    :param region: of the client
    :param zone: of the client
    """

    name: str
    region: str
    zone: str


@dataclass(slots=True, frozen=True)
class InitiateRollout:
    """Begin to roll out a version of a service.

    :param duration_ms: milliseconds within which it is either promoted or reverted
    """

    service: str
    target_version: str
    duration_ms: int


@dataclass(slots=True, frozen=True)
class RetrieveRollout:
    """Read the state of a service's newest roll-out."""

    service: str


ApiCall = (
    ReplaceConfiguration
    | RetrieveConfiguration
    | InitiateEvacuation
    | TerminateEvacuation
    | InitiateRollout
    | RetrieveRollout
    | ResolveAddresses
)

# -- results: the fields of those that are encoded as JSON keep their names in the response body ---


@dataclass(slots=True, frozen=True)
class ConfigurationReplaced:
    """The configuration is committed, or one with a higher version is."""


@dataclass(slots=True, frozen=True)
class ConfigurationRetrieved:
    """The configuration in force.

    :param body: the configuration as the operator sent it
    """

    body: bytes


@dataclass(slots=True, frozen=True)
class EvacuationSet:
    """The evacuation of a zone has begun (`on`) or ended."""

    zone: str
    on: bool


@dataclass(slots=True, frozen=True)
class AddressesResolved:
    """Ingresses for a client.

    :param addresses: in the form `host:port`
    :param ttl_s: seconds for which the client may cache them
    """

    addresses: tuple[str, ...]
    ttl_s: float


@dataclass(slots=True, frozen=True)
class RolloutInitiated:
    """The roll-out is committed; it may have ended already."""


@dataclass(slots=True, frozen=True)
class RolloutRetrieved:
    """A service's newest roll-out.

    :param state: `in_progress`, `completed` or `reverted`
    """

    state: str
    target_version: str


ApiResult = (
    ConfigurationReplaced
    | ConfigurationRetrieved
    | EvacuationSet
    | RolloutInitiated
    | RolloutRetrieved
    | AddressesResolved
)

# -- outcomes --------------------------------------------------------------------------------------

STALE_OUTCOME = Error(ErrorCode.UNAVAILABLE, "what this was drawn from may be overtaken")


@dataclass(slots=True, frozen=True)
class GuardedOutcome:
    """An outcome that depends on state which may become stale: a read, or a final rejection.

    An acknowledgement needs no guard: a change that is synced on enough disks stays committed.

    :param still_valid: returns whether that state is still valid; called right before the response is sent
    """

    outcome: Result[Any, Error]
    still_valid: Callable[[], bool]

    def checked_at_send(self) -> Result[Any, Error]:
        """Return the outcome to send now; UNAVAILABLE if it is final and its state is no longer valid.

        Safety: a machine may be paused between the decision and its answer, and another one may become leader
        meanwhile.
        """
        is_final = (
            not isinstance(self.outcome, Failure) or self.outcome.failure().code is not ErrorCode.UNAVAILABLE
        )
        return Failure(STALE_OUTCOME) if is_final and not self.still_valid() else self.outcome


# A call may be cancelled at any time, when its caller disconnects; its change may then be committed or not.
ExecuteCall = Callable[[Any], Awaitable[Result[Any, Error] | GuardedOutcome]]
RejectionHook = Callable[[ApiCall, Error], None]
