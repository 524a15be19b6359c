"""What the control node tells ingresses about a roll-out, and which servers ingresses may use during it."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

from vetchusher.distribution import wire_pb2 as wire

KEY_PREFIX = "rollout/"  # of rows of the source `control`; the service's name follows


class ServerPool(Enum):
    """Which requests a server gets while its service is under a roll-out."""

    STABLE = auto()  # ordinary requests
    CANDIDATE = auto()  # only requests that are exposed to the new version
    UNUSED = auto()  # no requests


@dataclass(slots=True, frozen=True)
class Directive:
    """The state of a service's newest roll-out.

    :param number: number of the roll-out; a later roll-out has a higher number
    """

    service: str
    target_version: str
    state: wire.RolloutState
    number: int

    @property
    def is_exposing(self) -> bool:
        """Whether the new version gets a bounded share of the requests."""
        return self.state == wire.IN_PROGRESS

    @property
    def is_open(self) -> bool:
        """Whether the roll-out is neither completed nor reverted yet."""
        return self.state in (wire.IN_PROGRESS, wire.PROMOTING)

    def pool_of(self, version: str, *, target_listed: bool) -> ServerPool:
        """Return the pool to which a server belongs.

        Safety: a reverted version gets no requests, even if no other server is left. A promoted version gets
        all new requests, so that the requests at the old version end before its servers are stopped.

        :param version: the server's version
        :param target_listed: whether the service has servers of the new version
        """
        is_target = version == self.target_version
        if self.state == wire.REVERTED:
            return ServerPool.UNUSED if is_target else ServerPool.STABLE
        if self.state == wire.IN_PROGRESS:
            return ServerPool.CANDIDATE if is_target else ServerPool.STABLE
        return ServerPool.STABLE if is_target or not target_listed else ServerPool.UNUSED


def rollout_rows(rollouts: Iterable[wire.Rollout]) -> dict[str, bytes]:
    """Return the rows, by key, that are distributed to ingresses for these roll-outs."""
    return {
        f"{KEY_PREFIX}{rollout.service}": json.dumps(
            [rollout.target_version, int(rollout.state), rollout.number], separators=(",", ":")
        ).encode()
        for rollout in rollouts
    }


def directives_of(rows: Mapping[str, bytes]) -> dict[str, Directive]:
    """Return the directives in rows made by `rollout_rows`, by service; malformed rows are skipped."""
    directives = {}
    for key, value in rows.items():
        if not key.startswith(KEY_PREFIX):
            continue
        service = key.removeprefix(KEY_PREFIX)
        try:
            version, state, number = json.loads(value)
            if state in wire.RolloutState.values():
                valid_state = cast("wire.RolloutState", state)
                directives[service] = Directive(service, str(version), valid_state, int(number))
        except (ValueError, TypeError):
            continue
    return directives
