"""One candidacy: which machines are asked, for which epoch, and with which replies it is won.

First come pre-votes (requests of epoch 0), so that a machine which hears nobody, for which nobody would vote,
or which the newest replica set does not name, raises no epoch anywhere. Then its own vote is synced, and only
then others are asked for theirs: an epoch has one candidate.

Only a machine that holds a copy stands. Its copy has everything that was ever acknowledged if the newest
replica set names it. So no state is fetched, and witnesses report only what they accepted.

All times are microseconds of this machine's steady clock.
"""

from __future__ import annotations

from enum import Enum, auto

from vetchusher.distribution.stamps import stamp_tuple
from vetchusher.distribution.wire_pb2 import ControlMessage, ReplicaSet, VoteReply, VoteRequest

from .durable_state import DurableState
from .messages import Output, Send, Timing
from .state import has_quorum, newest_replica_set, state_stamp, voters


class Stage(Enum):
    """How far a candidacy is."""

    PRE_VOTE = auto()
    PERSISTING_OWN_VOTE = auto()  # of its own promise
    REQUESTING_VOTES = auto()


class Candidate:
    """Owner of the replies to one candidacy, bounded by the voters known; `Replica` drops it when it times
    out.
    """

    def __init__(
        self,
        timing: Timing,
        durable: DurableState,
        own_ip: str,
        unanswered_elections: int,
        now: int,
    ) -> None:
        """Prepare a candidacy; `request_pre_votes` begins it.

        :param unanswered_elections: candidacies in a row that lacked replies; each waits longer for them
        """
        self.timing = timing
        self.durable = durable
        self.own_ip = own_ip
        self.released_epoch = 0  # of a primary that handed its lease over to this machine
        # Answers may take longer than was thought: each try waits longer for them.
        self.pre_vote_timeout_us = min(
            timing.pre_vote_timeout_us << min(unanswered_elections, 8), timing.vote_timeout_us
        )
        self.stage = Stage.PRE_VOTE
        self.stage_began_at = now
        self.epoch = 0
        self.highest_epoch_seen = durable.voted_epoch  # of any vote
        self.pre_votes: dict[str, VoteReply] = {}
        self.votes: dict[str, VoteReply] = {}
        self.unanswered: set[str] = set()
        self.requested: set[str] = set()

    def request_pre_votes(self) -> list[Output]:
        """Ask all voters known whether they would vote for this machine."""
        return self.request_from_voters(self.durable.replica_set)

    def request_from_voters(self, replica_set: ReplicaSet) -> list[Output]:
        """Send the request of this stage to the voters of a replica set that were not asked yet."""
        new = [ip for ip in sorted(voters(replica_set)) if ip != self.own_ip and ip not in self.requested]
        self.requested.update(new)
        self.unanswered.update(new)
        request = VoteRequest(epoch=self.epoch, released=self.released_epoch)
        return [Send(ip, ControlMessage(ask=request)) for ip in new]

    def timed_out(self, now: int) -> bool:
        """Return whether the stage is over. Safety: a vote counts no longer than any reply
        (`Timing.answer_valid_us`), so neither does a candidacy.
        """
        if self.stage is Stage.PRE_VOTE:
            return now >= self.stage_began_at + (
                self.pre_vote_timeout_us if self.unanswered else self.timing.pre_vote_timeout_us
            )
        return (
            self.stage is Stage.REQUESTING_VOTES and now >= self.stage_began_at + self.timing.vote_timeout_us
        )

    def on_reply(self, sender: str, reply: VoteReply) -> list[Output]:
        """Take a reply; its replica set may name voters that this machine did not know, who are asked
        next.
        """
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
        """Return the favourable replies of this stage."""
        return self.pre_votes if self.stage is Stage.PRE_VOTE else self.votes

    def newest_replica_set(self, replies: dict[str, VoteReply]) -> ReplicaSet:
        """Return the newest replica set of this machine and of the replies."""
        return newest_replica_set([self.durable.replica_set, *(a.record for a in replies.values())])

    def has_quorum(self, replies: dict[str, VoteReply]) -> bool:
        """Return whether a majority of each electorate of the newest replica set replied, and it names this
        copy.

        The voters of an older set are met on the way there: a change of voters names both electorates.
        """
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
        """Return whether the pre-votes suffice."""
        return self.stage is Stage.PRE_VOTE and self.has_quorum(self.pre_votes)

    def is_lost(self) -> bool:
        """Return whether every voter asked has answered, and too few voted for this machine."""
        if self.stage is not Stage.REQUESTING_VOTES or self.unanswered:
            return False
        return not self.has_quorum(self.votes)

    def may_yield_to(self, other: str) -> bool:
        """Return whether this candidacy gives way to another machine's that began at the same time.

        Of two that still collect pre-votes the one of the lower address goes on.  Each knows that of the
        other as its request comes, so one of them does whichever arrives first.
        """
        return self.stage is Stage.PRE_VOTE and other < self.own_ip

    def copy_further_on(self) -> str:
        """Return a machine of the newest replica set whose copy is newer than this one's; empty: there is
        none.
        """
        copies = self.newest_replica_set(self.pre_votes).copies
        newer = [
            (stamp_tuple(reply.stamp), ip)
            for ip, reply in self.pre_votes.items()
            if reply.copy and ip in copies and stamp_tuple(reply.stamp) > state_stamp(self.durable.state)
        ]
        return max(newer)[1] if newer else ""

    def choose_epoch(self, now: int) -> None:
        """Vote for this machine in an epoch higher than any known vote."""
        self.epoch = max(self.highest_epoch_seen, self.durable.voted_epoch) + 1
        self.durable.record_vote(self.epoch, self.own_ip)
        self.stage, self.stage_began_at = Stage.PERSISTING_OWN_VOTE, now

    def request_votes_when_synced(self, now: int) -> list[Output]:
        """Ask the others for their votes as soon as this machine's own is on disk."""
        if self.stage is not Stage.PERSISTING_OWN_VOTE or self.durable.synced_voted_epoch < self.epoch:
            return []
        self.stage, self.stage_began_at = Stage.REQUESTING_VOTES, now
        self.requested = set()
        return self.request_from_voters(self.durable.replica_set)

    def is_elected(self) -> bool:
        """Return whether the votes suffice."""
        return self.stage is Stage.REQUESTING_VOTES and self.has_quorum(self.votes)
