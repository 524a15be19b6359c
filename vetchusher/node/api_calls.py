"""Calls of operators and clients' resolvers as types, their results, and outcomes that may become stale."""

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

    :param body: as the operator sent it; not checked yet
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
    """Name ingresses for a client.

    :param name: the host that the client wants; it may be empty, as may its region and zone
    """

    name: str
    region: str
    zone: str


@dataclass(slots=True, frozen=True)
class InitiateRollout:
    """Begin to roll out a version of a service.

    :param duration_ms: within which it is to be decided
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

# -- results.  Fields of those that are answered as JSON are names on the wire. --------------------


@dataclass(slots=True, frozen=True)
class ConfigurationReplaced:
    """The configuration is in force, or a higher version is."""


@dataclass(slots=True, frozen=True)
class ConfigurationRetrieved:
    """The configuration in force.

    :param body: as it was sent
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

    :param addresses: `host:port` each
    :param ttl_s: seconds for which the client may use them
    """

    addresses: tuple[str, ...]
    ttl_s: float


@dataclass(slots=True, frozen=True)
class RolloutInitiated:
    """The roll-out is under way, or was."""


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
    """An outcome that is drawn from state which may become stale: a read, or a rejection for good.

    An acknowledgement needs no guard: what is synced on enough disks stays so.

    :param still_valid: whether the state still holds; asked right before the bytes leave
    """

    outcome: Result[Any, Error]
    still_valid: Callable[[], bool]

    def checked_at_send(self) -> Result[Any, Error]:
        """Return the outcome as it may leave at this moment.

        Safety: a machine may be paused between the decision and its answer, and be followed by another leader
        meanwhile.
        """
        is_final = (
            not isinstance(self.outcome, Failure) or self.outcome.failure().code is not ErrorCode.UNAVAILABLE
        )
        return Failure(STALE_OUTCOME) if is_final and not self.still_valid() else self.outcome


# It may be cancelled at any time, as its caller may leave: what it began may then be committed or not.
ExecuteCall = Callable[[Any], Awaitable[Result[Any, Error] | GuardedOutcome]]
RejectionHook = Callable[[ApiCall, Error], None]
