"""One candidacy: who may be asked, which epoch, whose promises.

First only questions (epoch 0): a machine that hears nobody, that nobody would vote for, or that the newest
record does not name, raises no promise anywhere.  Then its own promise is synced, and only then others are
asked: an epoch has one candidate.

Only a machine that holds a copy stands.  Its copy has all that was ever acknowledged if the newest record
names it: so no state is fetched, and witnesses tell what they accepted only.
"""

from __future__ import annotations

from enum import Enum, auto

from vetchusher.distribution.wire_pb2 import ControlMessage, ReplicaSet, VoteReply, VoteRequest

from .durable_state import DurableState
from .messages import Output, Send, Timing
from .state import has_quorum, newest_replica_set, stamp_tuple, state_stamp, voters


class Stage(Enum):
    PRE_VOTE = auto()
    PERSISTING_OWN_VOTE = auto()  # of its own promise
    REQUESTING_VOTES = auto()


class Candidate:
    """It owns what others answered; bounded by the members known.  `Replica` drops it when its time is
    over."""

    def __init__(
        self,
        timing: Timing,
        durable: DurableState,
        own_ip: str,
        failed_elections: int,
        now: int,
        released_epoch: int = 0,
    ) -> None:
        """:param released: an epoch whose primary has handed over to this machine"""
        self.timing = timing
        self.durable = durable
        self.own_ip = own_ip
        self.released_epoch = released_epoch
        # Answers may take longer than was thought: each try waits longer for them.
        self.pre_vote_timeout_us = min(
            timing.pre_vote_timeout_us << min(failed_elections, 8), timing.vote_timeout_us
        )
        self.stage = Stage.PRE_VOTE
        self.stage_began_at = now  # of the stage
        self.epoch = 0
        self.highest_epoch_seen = durable.voted_epoch  # that anybody promised
        self.pre_votes: dict[str, VoteReply] = {}
        self.votes: dict[str, VoteReply] = {}
        self.unanswered: set[str] = set()
        self.requested: set[str] = set()

    def request_pre_votes(self) -> list[Output]:
        """Asks all members what they would say."""
        return self.request_from_voters(self.durable.replica_set)

    def request_from_voters(self, replica_set: ReplicaSet) -> list[Output]:
        new = [ip for ip in sorted(voters(replica_set)) if ip != self.own_ip and ip not in self.requested]
        self.requested.update(new)
        self.unanswered.update(new)
        request = VoteRequest(epoch=self.epoch, released=self.released_epoch)
        return [Send(ip, ControlMessage(ask=request)) for ip in new]

    def timed_out(self, now: int) -> bool:
        """Danger: a promise counts no longer than any answer (`primary`), so neither does a candidacy."""
        if self.stage is Stage.PRE_VOTE:
            return now >= self.stage_began_at + (
                self.pre_vote_timeout_us if self.unanswered else self.timing.pre_vote_timeout_us
            )
        return (
            self.stage is Stage.REQUESTING_VOTES and now >= self.stage_began_at + self.timing.vote_timeout_us
        )

    def on_reply(self, sender: str, reply: VoteReply) -> list[Output]:
        self.highest_epoch_seen = max(self.highest_epoch_seen, reply.promised)
        if sender not in self.requested or reply.epoch != self.epoch:
            return []
        self.unanswered.discard(sender)
        if self.stage is Stage.PRE_VOTE and not reply.amnesiac and not reply.wait_ms:
            self.pre_votes[sender] = reply
        elif self.stage is Stage.REQUESTING_VOTES and reply.granted:
            self.votes[sender] = reply
        else:
            return []
        return self.request_from_voters(
            self.newest_replica_set(self.replies())
        )  # it may name members that this machine did not know

    def replies(self) -> dict[str, VoteReply]:
        return self.pre_votes if self.stage is Stage.PRE_VOTE else self.votes

    def newest_replica_set(self, replies: dict[str, VoteReply]) -> ReplicaSet:
        return newest_replica_set([self.durable.replica_set, *(a.record for a in replies.values())])

    def has_quorum(self, replies: dict[str, VoteReply]) -> bool:
        """Whether a majority of each electorate of the newest record answered, and it names this machine's
        copy.  An older record's voters are met on the way there: a change of voters names both sets."""
        replica_set = self.newest_replica_set(replies)
        if (
            not self.durable.has_copy
            or self.own_ip not in replica_set.copies
            or self.own_ip not in replica_set.members
        ):
            return False
        if not has_quorum(replica_set, {self.own_ip, *replies}):
            return False
        # Of the first start, or of disks of the first format, on which a majority of copies was enough.
        return replica_set.number > 0 or all(
            stamp_tuple(a.stamp) <= state_stamp(self.durable.state) for a in replies.values() if a.copy
        )

    def may_request_votes(self) -> bool:
        return self.stage is Stage.PRE_VOTE and self.has_quorum(self.pre_votes)

    def choose_epoch(self, now: int) -> None:
        """Promises itself an epoch that nobody is known to have promised."""
        self.epoch = max(self.highest_epoch_seen, self.durable.voted_epoch) + 1
        self.durable.record_vote(self.epoch, self.own_ip)
        self.stage, self.stage_began_at = Stage.PERSISTING_OWN_VOTE, now

    def request_votes_when_synced(self, now: int) -> list[Output]:
        """Its own promise is on disk: now the others."""
        if self.stage is not Stage.PERSISTING_OWN_VOTE or self.durable.synced_voted_epoch < self.epoch:
            return []
        self.stage, self.stage_began_at = Stage.REQUESTING_VOTES, now
        self.requested = set()
        return self.request_from_voters(self.durable.replica_set)

    def is_elected(self) -> bool:
        return self.stage is Stage.REQUESTING_VOTES and self.has_quorum(self.votes)
