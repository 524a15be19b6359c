"""Recovery of a machine that came back with an empty disk: the others tell what it may have voted for and
accepted.

What it held is not recovered: it is a witness until the primary has sent it a copy.

It has recovered once a majority of each electorate, itself not counted, of machines with their memory intact
have replied: any majority that counted it has another voter among those. Or once all others have replied,
whoever is intact. It asks only when every answer that it gave before has expired where it was counted
(`Timing.lease_duration_us` after its start): what it took part in is decided by then, or given up.

Source: Viewstamped Replication Revisited (Liskov and Cowling 2012), section 4.3. All times are microseconds
of this machine's steady clock.
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

from .imported_state import bootstrap_state
from .messages import Output, PersistentState, ReplicaSettings, Send
from .state import first_replica_set, first_state, has_quorum, newest_replica_set, voters

MAX_CALLERS = 64


class AmnesiaRecovery:
    """Owner of the replies, one a machine asked: the seeds, the voters that others name, and whoever
    calls.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        rng: random.Random,
        now: int,
        imported_state: PersistentState | None = None,
    ) -> None:
        """Begin a recovery; the first requests leave a lease's duration later.

        :param imported_state: what an import brought: where nobody is intact, all begin from the highest
        """
        self.imported_state = imported_state
        self.timing = settings.timing
        self.own_ip = settings.own_ip
        self.seeds: Sequence[str] = tuple(settings.seeds)
        self.began_at = now
        self.first_request_at = now + settings.timing.lease_duration_us
        self.last_request_at = now - settings.timing.recovery_interval_us
        self.round = rng.randrange(1, 1 << 32)
        self.replies: dict[str, RecoveryReply] = {}
        self.callers: set[str] = set()  # who called; whoever does may remember

    def tick(self, now: int) -> list[Output]:
        """Return the requests that are due."""
        if now < max(self.first_request_at, self.last_request_at + self.timing.recovery_interval_us):
            return []
        self.last_request_at = now
        message = ControlMessage(recovery_request=RecoveryRequest(round=self.round))
        return [Send(ip, message) for ip in sorted(self.contacts()) if not self.is_intact(ip)]

    def contacts(self) -> set[str]:
        """Return the machines to ask."""
        return {*self.seeds, *self.callers, *voters(self.newest_replica_set() or ReplicaSet())} - {
            self.own_ip
        }

    def on_contact(self, sender: str) -> None:
        """Note a machine that called: whoever does may be intact."""
        if len(self.callers) < MAX_CALLERS:
            self.callers.add(sender)

    def is_intact(self, ip: str) -> bool:
        """Return whether a machine has replied that it remembers its votes."""
        return ip in self.replies and not self.replies[ip].amnesiac

    def on_reply(self, sender: str, reply: RecoveryReply) -> None:
        """Take a reply to this recovery's request."""
        if reply.round == self.round and sender in self.contacts() and not self.is_intact(sender):
            self.replies[sender] = reply

    def newest_replica_set(self) -> ReplicaSet | None:
        """Return the newest replica set that an intact machine told; None: none has replied yet."""
        replica_sets = [a.record for a in self.replies.values() if not a.amnesiac and a.record.members]
        return newest_replica_set(replica_sets) if replica_sets else None

    def recovered_state(self, now: int) -> PersistentState | None:
        """Return what this machine goes on with, as soon as enough have replied; None: not yet."""
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
        """Return the state of a system that begins anew: all seeds have lost their disks, and nobody else has
        called.

        Safety: voters that are not among the seeds may be intact and only be on their way back. So this waits
        long (`Timing.bootstrap_delay_us`) and asks whoever calls.
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
