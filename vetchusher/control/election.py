"""One candidacy: which machines are asked for votes, for which epoch, and which replies win the election.

A candidacy starts with pre-votes, which are requests for epoch 0. They keep a machine that receives no
replies, that nobody would vote for, or that the newest replica set does not name, from raising the epoch of
other machines. The candidate then syncs the vote for itself before it requests the votes of others, so that
each epoch has a single candidate.

Only a machine that holds a copy becomes a candidate. If the newest replica set names its copy, that copy
contains everything that was ever acknowledged. Therefore a candidate fetches no state, and witnesses report
only what they accepted.

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
    """The stages of a candidacy, in their order."""

    PRE_VOTE = auto()
    PERSISTING_OWN_VOTE = auto()  # the vote for itself is being synced
    REQUESTING_VOTES = auto()


class Candidate:
    """One candidacy and the replies to it, at most one for each known voter.

    `Replica` discards it when it times out.
    """

    def __init__(
        self,
        timing: Timing,
        durable: DurableState,
        own_ip: str,
        unanswered_elections: int,
        now: int,
    ) -> None:
        """Prepare a candidacy; `request_pre_votes` starts it.

        :param unanswered_elections: number of consecutive candidacies that lacked replies; each of them
            doubles the time to wait for pre-votes
        """
        self.timing = timing
        self.durable = durable
        self.own_ip = own_ip
        self.released_epoch = 0  # epoch of a primary that handed its lease over to this machine
        # Replies may be slower than the initial timeout allows, so it doubles with each unanswered election.
        self.pre_vote_timeout_us = min(
            timing.pre_vote_timeout_us << min(unanswered_elections, 8), timing.vote_timeout_us
        )
        self.stage = Stage.PRE_VOTE
        self.stage_began_at = now
        self.epoch = 0
        self.highest_epoch_seen = durable.voted_epoch  # the highest that any voter is known to have voted in
        self.pre_votes: dict[str, VoteReply] = {}
        self.votes: dict[str, VoteReply] = {}
        self.unanswered: set[str] = set()
        self.requested: set[str] = set()

    def request_pre_votes(self) -> list[Output]:
        """Ask all known voters whether they would vote for this machine."""
        return self.request_from_voters(self.durable.replica_set)

    def request_from_voters(self, replica_set: ReplicaSet) -> list[Output]:
        """Return requests of the current stage to those voters of a replica set that were not yet asked."""
        new = [ip for ip in sorted(voters(replica_set)) if ip != self.own_ip and ip not in self.requested]
        self.requested.update(new)
        self.unanswered.update(new)
        request = VoteRequest(epoch=self.epoch, released=self.released_epoch)
        return [Send(ip, ControlMessage(ask=request)) for ip in new]

    def timed_out(self, now: int) -> bool:
        """Return whether the current stage has timed out.

        Safety: a vote, like any reply, is valid for at most `Timing.answer_valid_us`, so the stage that
        collects votes has to end within that time.
        """
        if self.stage is Stage.PRE_VOTE:
            return now >= self.stage_began_at + (
                self.pre_vote_timeout_us if self.unanswered else self.timing.pre_vote_timeout_us
            )
        return (
            self.stage is Stage.REQUESTING_VOTES and now >= self.stage_began_at + self.timing.vote_timeout_us
        )

    def on_reply(self, sender: str, reply: VoteReply) -> list[Output]:
        """Record a reply and return requests to voters of its replica set that this machine did not know."""
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
        return self.request_from_voters(self.newest_replica_set(self.replies()))

    def replies(self) -> dict[str, VoteReply]:
        """Return the favourable replies of the current stage by voter."""
        return self.pre_votes if self.stage is Stage.PRE_VOTE else self.votes

    def newest_replica_set(self, replies: dict[str, VoteReply]) -> ReplicaSet:
        """Return the newest of this machine's replica set and those of the replies."""
        return newest_replica_set([self.durable.replica_set, *(reply.record for reply in replies.values())])

    def has_quorum(self, replies: dict[str, VoteReply]) -> bool:
        """Return whether the replies suffice for this machine to win.

        A majority of each electorate of the newest replica set must have replied, and that set must name this
        machine as a voter and as a holder of a copy. The electorate of an older set need not be checked: a
        replica set that changes the voters names the previous voters too.
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
        # A replica set with number 0 is that of the first start or of a disk of the first format. There a
        # write needed only a majority of the copies, so this copy must be as new as each copy that replied.
        return replica_set.number > 0 or all(
            stamp_tuple(reply.stamp) <= state_stamp(self.durable.state)
            for reply in replies.values()
            if reply.copy
        )

    def may_request_votes(self) -> bool:
        """Return whether the pre-votes suffice to request votes."""
        return self.stage is Stage.PRE_VOTE and self.has_quorum(self.pre_votes)

    def is_lost(self) -> bool:
        """Return whether all voters have replied and too few of them voted for this machine."""
        if self.stage is not Stage.REQUESTING_VOTES or self.unanswered:
            return False
        return not self.has_quorum(self.votes)

    def may_yield_to(self, other: str) -> bool:
        """Return whether this candidacy is abandoned in favour of a concurrent one of another machine.

        Of two candidates that still collect pre-votes, the one with the lower address continues. Each learns
        the other's address from its request, so exactly one continues whichever request arrives first.
        """
        return self.stage is Stage.PRE_VOTE and other < self.own_ip

    def replica_with_newer_copy(self) -> str:
        """Return the machine of the newest replica set with the newest copy, if newer than this one's.

        An empty string is returned if no machine has a newer copy.
        """
        copies = self.newest_replica_set(self.pre_votes).copies
        newer = [
            (stamp_tuple(reply.stamp), ip)
            for ip, reply in self.pre_votes.items()
            if reply.copy and ip in copies and stamp_tuple(reply.stamp) > state_stamp(self.durable.state)
        ]
        return max(newer)[1] if newer else ""

    def choose_epoch(self, now: int) -> None:
        """Vote for this machine in an epoch higher than that of any known vote."""
        self.epoch = max(self.highest_epoch_seen, self.durable.voted_epoch) + 1
        self.durable.record_vote(self.epoch, self.own_ip)
        self.stage, self.stage_began_at = Stage.PERSISTING_OWN_VOTE, now

    def request_votes_when_synced(self, now: int) -> list[Output]:
        """Request the votes of the others once this machine's vote for itself is on disk."""
        if self.stage is not Stage.PERSISTING_OWN_VOTE or self.durable.synced_voted_epoch < self.epoch:
            return []
        self.stage, self.stage_began_at = Stage.REQUESTING_VOTES, now
        self.requested = set()
        return self.request_from_voters(self.durable.replica_set)

    def is_elected(self) -> bool:
        """Return whether the votes suffice to become primary."""
        return self.stage is Stage.REQUESTING_VOTES and self.has_quorum(self.votes)
