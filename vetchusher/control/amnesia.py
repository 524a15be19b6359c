"""A machine that came back with an empty disk: what it may have promised and accepted is asked of all others.

What it held is not: it is a witness until the primary has taught it.

It remembers once a majority of each electorate, itself not counted, who remember have answered: any majority
that counted it has another voter among those.  Or once all others have answered, whoever remembers.  It asks
only when every answer that it gave before has run out where it was counted (`lease_us` after its start): what
it took part in is decided by then, or given up.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from vetchusher.distribution.wire_pb2 import (
    ControlMessage,
    ControlState,
    RecoveryReply,
    RecoveryRequest,
    ReplicaSet,
)

from .messages import Output, PersistentState, Send, Timing
from .restore import bootstrap_state
from .state import first_replica_set, first_state, has_quorum, newest_replica_set, voters

MAX_CALLERS = 64


class AmnesiaRecovery:
    """It owns the answers: one a machine asked.  Asked are the seeds, the members that others name, and
    whoever calls."""

    def __init__(
        self,
        timing: Timing,
        own_ip: str,
        seeds: Sequence[str],
        rng: random.Random,
        now: int,
        imported_state: PersistentState | None = None,
    ) -> None:
        """:param floor: what an import brought: where nobody remembers, all begin from the highest"""
        self.imported_state = imported_state
        self.timing = timing
        self.own_ip = own_ip
        self.seeds = tuple(seeds)
        self.began_at = now
        self.first_request_at = now + timing.lease_duration_us
        self.last_request_at = now - timing.recovery_interval_us
        self.round = rng.randrange(1, 1 << 32)
        self.replies: dict[str, RecoveryReply] = {}
        self.callers: set[str] = set()  # who called; whoever does may remember

    def tick(self, now: int) -> list[Output]:
        if now < max(self.first_request_at, self.last_request_at + self.timing.recovery_interval_us):
            return []
        self.last_request_at = now
        message = ControlMessage(recovery_request=RecoveryRequest(round=self.round))
        return [Send(ip, message) for ip in sorted(self.contacts()) if not self.is_intact(ip)]

    def contacts(self) -> set[str]:
        return {*self.seeds, *self.callers, *voters(self.newest_replica_set() or ReplicaSet())} - {
            self.own_ip
        }

    def on_contact(self, sender: str) -> None:
        if len(self.callers) < MAX_CALLERS:
            self.callers.add(sender)

    def is_intact(self, ip: str) -> bool:
        return ip in self.replies and not self.replies[ip].amnesiac

    def on_reply(self, sender: str, reply: RecoveryReply) -> None:
        if reply.round == self.round and sender in self.contacts() and not self.is_intact(sender):
            self.replies[sender] = reply

    def newest_replica_set(self) -> ReplicaSet | None:
        """The newest that anybody who remembers told; None: nobody remembers yet."""
        replica_sets = [a.record for a in self.replies.values() if not a.amnesiac and a.record.members]
        return newest_replica_set(replica_sets) if replica_sets else None

    def recovered_state(self, now: int) -> PersistentState | None:
        """What this machine may go on with, as soon as enough have answered."""
        replica_set = self.newest_replica_set()
        if replica_set is None:
            return self.bootstrap(now)
        others = voters(replica_set) - {self.own_ip}
        intact = {ip for ip in others if self.is_intact(ip)}
        if not has_quorum(replica_set, intact) and not others <= self.replies.keys():
            return None
        newest_vote = max(self.replies.values(), key=lambda a: a.promised)
        return PersistentState(
            newest_vote.promised, ControlState(), newest_vote.owner, replica_set, has_copy=False
        )

    def bootstrap(self, now: int) -> PersistentState | None:
        """All seeds have forgotten too, and nobody else has called: the system begins anew.

        Danger: members that are not among the seeds may remember, and only be on their way back; so this
        waits long, and asks whoever calls.
        """
        all_replied = self.contacts() <= self.replies.keys()
        if (
            self.own_ip not in self.seeds
            or not all_replied
            or now < self.began_at + self.timing.bootstrap_delay_us
        ):
            return None
        imported = [a.floor for a in self.replies.values() if a.HasField("floor")]
        imported_states = imported + ([self.imported_state.state] if self.imported_state is not None else [])
        return bootstrap_state(imported_states, self.seeds) or PersistentState(
            0, first_state(), replica_set=first_replica_set(self.seeds)
        )
