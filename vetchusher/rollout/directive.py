"""What ingresses are told of a roll-out, and which servers it lets them use."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

from vetchusher.distribution import wire_pb2 as wire

ROLLOUT = "rollout/"  # before the service, in the keys of rows of the source `control`


class ServerPool(Enum):
    """What a service under a roll-out uses a server for."""

    STABLE = auto()  # requests as usual
    CANDIDATE = auto()  # exposures alone
    UNUSED = auto()  # nothing


@dataclass(slots=True, frozen=True)
class Directive:
    """The state of a service's newest roll-out.

    :param number: of the roll-out; a later one has a higher number
    """

    service: str
    target_version: str
    state: wire.RolloutState
    number: int

    @property
    def is_exposing(self) -> bool:
        """Whether a bounded share of the requests goes to the new version."""
        return self.state == wire.IN_PROGRESS

    @property
    def is_open(self) -> bool:
        """Whether its end is not decided."""
        return self.state in (wire.IN_PROGRESS, wire.PROMOTING)

    def pool_of(self, version: str, *, target_listed: bool) -> ServerPool:
        """Return what a server is used for.

        Safety: a reverted version gets nothing, whatever else is there.  A promoted one gets all new
        requests, so that those at the old version end before its servers are stopped.

        :param version: of the server
        :param target_listed: the service has servers of the new version
        """
        is_target = version == self.target_version
        if self.state == wire.REVERTED:
            return ServerPool.UNUSED if is_target else ServerPool.STABLE
        if self.state == wire.IN_PROGRESS:
            return ServerPool.CANDIDATE if is_target else ServerPool.STABLE
        return ServerPool.STABLE if is_target or not target_listed else ServerPool.UNUSED


def rollout_rows(rollouts: Iterable[wire.Rollout]) -> dict[str, bytes]:
    """Return the rows that tell ingresses of roll-outs."""
    return {
        f"{ROLLOUT}{one.service}": json.dumps(
            [one.target_version, int(one.state), one.number], separators=(",", ":")
        ).encode()
        for one in rollouts
    }


def directives_of(rows: Mapping[str, bytes]) -> dict[str, Directive]:
    """Return the roll-outs that rows tell of, by service; a row that cannot be read is left out."""
    found = {}
    for key, value in rows.items():
        if not key.startswith(ROLLOUT):
            continue
        service = key.removeprefix(ROLLOUT)
        try:
            version, state, number = json.loads(value)
            if state in wire.RolloutState.values():
                known = cast("wire.RolloutState", state)
                found[service] = Directive(service, str(version), known, int(number))
        except (ValueError, TypeError):
            continue
    return found
