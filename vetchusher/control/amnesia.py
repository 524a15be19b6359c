"""Recovery of an amnesiac, a machine that started with a lost disk: it learns its votes from the others.

The others report what this machine may have voted for and accepted. Its copy is not recovered: the machine is
a witness until the primary has sent it a copy.

A machine is intact if it has not lost its votes. Recovery is complete once a majority of each electorate, not
counting this machine, is intact and has replied: any majority in which this machine took part includes at
least one of those voters. Recovery is also complete once all other voters have replied, intact or not.

The first request is sent `Timing.lease_duration_us` after the start. By then every reply that this machine
gave before has expired wherever it was counted, so whatever it contributed to has been decided or abandoned.

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
from .state import has_quorum, initial_replica_set, initial_state, newest_replica_set, voters

MAX_KNOWN_SENDERS = 64  # machines remembered because they sent a message


class AmnesiaRecovery:
    """The recovery of one amnesiac, and the replies to its requests.

    It asks the seeds, the voters that the replies name, and the machines from which it receives messages.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        rng: random.Random,
        now: int,
        imported_state: PersistentState | None = None,
    ) -> None:
        """Start a recovery; the first requests are sent after `Timing.lease_duration_us`.

        :param imported_state: the state from an import; if no machine is intact, the system starts from the
            newest imported state of all amnesiacs
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
        self.known_senders: set[str] = set()  # senders of messages; they may be intact

    def tick(self, now: int) -> list[Output]:
        """Return the requests that are due, to the machines that have not yet replied as intact."""
        if now < max(self.first_request_at, self.last_request_at + self.timing.recovery_interval_us):
            return []
        self.last_request_at = now
        message = ControlMessage(recovery_request=RecoveryRequest(round=self.round))
        return [Send(ip, message) for ip in sorted(self.contacts()) if not self.is_intact(ip)]

    def contacts(self) -> set[str]:
        """Return the addresses of the machines to ask."""
        return {*self.seeds, *self.known_senders, *voters(self.newest_replica_set() or ReplicaSet())} - {
            self.own_ip
        }

    def on_contact(self, sender: str) -> None:
        """Remember the sender of a message as possibly intact; at most `MAX_KNOWN_SENDERS` are kept."""
        if len(self.known_senders) < MAX_KNOWN_SENDERS:
            self.known_senders.add(sender)

    def is_intact(self, ip: str) -> bool:
        """Return whether a machine has replied and has not lost its votes."""
        return ip in self.replies and not self.replies[ip].amnesiac

    def on_reply(self, sender: str, reply: RecoveryReply) -> None:
        """Record a reply to a request of this recovery; the reply of an intact machine is final."""
        if reply.round == self.round and sender in self.contacts() and not self.is_intact(sender):
            self.replies[sender] = reply

    def newest_replica_set(self) -> ReplicaSet | None:
        """Return the newest replica set that an intact machine reported; None if none has replied."""
        replica_sets = [
            reply.record for reply in self.replies.values() if not reply.amnesiac and reply.record.members
        ]
        return newest_replica_set(replica_sets) if replica_sets else None

    def recovered_state(self, now: int) -> PersistentState | None:
        """Return the state with which this machine continues; None until enough machines have replied."""
        replica_set = self.newest_replica_set()
        if replica_set is None:
            return self.bootstrap(now)
        others = voters(replica_set) - {self.own_ip}
        intact = {ip for ip in others if self.is_intact(ip)}
        if not has_quorum(replica_set, intact) and not others <= self.replies.keys():
            return None
        newest_vote = max(self.replies.values(), key=lambda reply: reply.promised)
        return PersistentState(
            newest_vote.promised, ControlState(), newest_vote.owner, replica_set, has_copy=False
        )

    def bootstrap(self, now: int) -> PersistentState | None:
        """Return the first state of a new system if all machines have lost their disks; None otherwise.

        All seeds, and all machines that sent messages, must have replied that they are amnesiacs. Safety:
        voters that are not seeds may be intact and return later. Starting anew would lose their state, so
        this waits for `Timing.bootstrap_delay_us` and also asks every machine that sends a message.
        """
        all_replied = self.contacts() <= self.replies.keys()
        if (
            self.own_ip not in self.seeds
            or not all_replied
            or now < self.began_at + self.timing.bootstrap_delay_us
        ):
            return None
        imported = [reply.floor for reply in self.replies.values() if reply.HasField("floor")]
        imported_states = imported + ([self.imported_state.state] if self.imported_state is not None else [])
        return bootstrap_state(imported_states, self.seeds) or PersistentState(
            0, initial_state(), replica_set=initial_replica_set(self.seeds)
        )
