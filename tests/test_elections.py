"""Elections: candidates that ask at the same time, lost elections, and how soon another machine leads."""

from __future__ import annotations

import random

import testtools

from benchmarks.elections import Case, time_without_primary
from vetchusher.control import PersistentState, Received, Replica, ReplicaSettings, Send, Tick, Timing
from vetchusher.control.durable_state import DurableState
from vetchusher.control.election import Candidate, Stage
from vetchusher.control.messages import Output, Persist, Persisted
from vetchusher.control.state import first_state
from vetchusher.distribution.wire_pb2 import ControlMessage, ReplicaSet, Stamp, VoteReply, VoteRequest
from vetchusher.emulator.fleet_world import MS, SECOND

TIMING = Timing()
START = 10 * SECOND
COPIES_ON_1_AND_2 = ReplicaSet(members=["1", "2", "3"], copies=["1", "2"], number=3)


def contents(has_copy: bool = True) -> PersistentState:
    """What the disk of a machine holds whose primary is gone."""
    return PersistentState(5, first_state(), "3", COPIES_ON_1_AND_2, has_copy)


def replica(own_ip: str, has_copy: bool = True) -> Replica:
    """A machine long after its start, without a primary."""
    settings = ReplicaSettings(own_ip, "east", "123", False)
    return Replica(settings, contents(has_copy), random.Random(1), 0)


def pre_vote_request(sender: str) -> Received:
    return Received(sender, "east", ControlMessage(ask=VoteRequest(epoch=0)))


def requests(outputs: list[Output]) -> list[tuple[str, int]]:
    """Receivers and epochs of the vote requests among outputs."""
    sent = [one for one in outputs if isinstance(one, Send)]
    return [(one.to, one.message.ask.epoch) for one in sent if one.message.WhichOneof("kind") == "ask"]


def until_candidate(member: Replica, now: int = START) -> int:
    """Tick until the machine asks for pre-votes; return when it does."""
    while member.candidate is None:
        member.handle(now, Tick())
        now += 50 * MS
    return now


class SimultaneousCandidates(testtools.TestCase):
    def test_of_two_the_one_of_the_higher_address_gives_way_once(self) -> None:
        member = replica("2")
        now = until_candidate(member)
        member.handle(now, pre_vote_request("1"))
        self.assertIsNone(member.candidate)
        until = now + TIMING.election_back_off_us
        while now < until:
            member.handle(now, Tick())
            self.assertIsNone(member.candidate)
            now += 50 * MS
        now = until_candidate(member, now)
        member.handle(now, pre_vote_request("1"))  # it may be one that hears no answers
        self.assertIsNotNone(member.candidate)

    def test_the_one_of_the_lower_address_goes_on(self) -> None:
        member = replica("1")
        now = until_candidate(member)
        member.handle(now, pre_vote_request("2"))
        self.assertIsNotNone(member.candidate)

    def test_nobody_gives_way_to_a_machine_without_a_copy(self) -> None:
        member = replica("2")
        now = until_candidate(member)
        member.handle(now, pre_vote_request("3"))
        self.assertIsNotNone(member.candidate)

    def test_a_witness_favours_whoever_asks(self) -> None:
        """It cannot stand: were it to favour the first alone, that one could be the one that gave way."""
        member = replica("3", has_copy=False)
        for sender in ("2", "1"):
            outputs = member.handle(START, pre_vote_request(sender))
            [reply] = [one.message.granted for one in outputs if isinstance(one, Send)]
            self.assertEqual(0, reply.wait_ms)

    def test_a_candidate_gives_way_to_a_copy_that_is_further_on(self) -> None:
        member = replica("1")
        now = until_candidate(member)
        reply = VoteReply(epoch=0, record=COPIES_ON_1_AND_2, stamp=Stamp(epoch=5, seq=9), copy=True)
        outputs = member.handle(now, Received("2", "east", ControlMessage(granted=reply)))
        self.assertIsNone(member.candidate)
        self.assertEqual([], requests(outputs))
        self.assertEqual(5, member.durable.voted_epoch)

    def test_one_that_has_voted_for_itself_encourages_nobody_else(self) -> None:
        member = replica("1")
        now = until_candidate(member)
        reply = VoteReply(epoch=0, record=COPIES_ON_1_AND_2, stamp=first_state().stamp, copy=True)
        member.handle(now, Received("2", "east", ControlMessage(granted=reply)))
        self.assertIs(Stage.PERSISTING_OWN_VOTE, member.candidate and member.candidate.stage)
        outputs = member.handle(now, pre_vote_request("2"))
        [answer] = [
            one.message.granted
            for one in outputs
            if isinstance(one, Send) and one.message.WhichOneof("kind") == "granted"
        ]
        self.assertTrue(answer.wait_ms > 0)


class LostElections(testtools.TestCase):
    def test_a_candidacy_is_over_as_the_last_voter_refuses(self) -> None:
        durable = DurableState(TIMING, contents(), on_disk=True)
        candidate = Candidate(TIMING, durable, "1", 0, now=0)
        candidate.choose_epoch(0)
        for save in durable.persist_changes(0):
            durable.on_persisted(0, save.token, synced=True)
        candidate.request_votes_when_synced(0)
        refusal = VoteReply(epoch=candidate.epoch, promised=candidate.epoch)
        candidate.on_reply("2", refusal)
        self.assertFalse(candidate.is_lost())
        candidate.on_reply("3", refusal)
        self.assertTrue(candidate.is_lost())

    def test_pauses_grow_with_lost_elections_and_are_as_before_under_a_primary(self) -> None:
        member = replica("1")
        bounds = []
        for lost in range(6):
            member.lost_elections = lost
            bounds.append(member.election_jitter_us() // TIMING.election_jitter_us)
        self.assertEqual([1, 2, 4, 8, 8, 8], bounds)
        member.voter.grant_lease(START, "2")
        member.handle(START, Tick())
        self.assertEqual(TIMING.election_jitter_us, member.election_jitter_us())

    def test_a_refused_candidate_counts_a_lost_election_at_once(self) -> None:
        member = replica("1")
        now = until_candidate(member)
        reply = VoteReply(epoch=0, record=COPIES_ON_1_AND_2, stamp=first_state().stamp, copy=True)
        [save] = [
            one
            for one in member.handle(now, Received("2", "east", ControlMessage(granted=reply)))
            if isinstance(one, Persist)
        ]
        member.handle(now, Persisted(save.token, True))
        refusal = VoteReply(epoch=6, promised=6)
        for sender in ("2", "3"):
            member.handle(now, Received(sender, "east", ControlMessage(granted=refusal)))
        member.handle(now, Tick())
        self.assertIsNone(member.candidate)
        self.assertEqual(1, member.lost_elections)


class TimeWithoutPrimary(testtools.TestCase):
    """In virtual time; `benchmarks.elections` has the table of many more."""

    def test_slow_links_cost_no_further_rounds(self) -> None:
        case = Case(5, delay_ms=150, disk_ms=10, trouble="cut off")
        self.assertTrue(max(time_without_primary(case, seed) for seed in range(1, 21)) < 4.0)

    def test_fast_links(self) -> None:
        case = Case(3, delay_ms=1, disk_ms=10, trouble="killed")
        self.assertTrue(max(time_without_primary(case, seed) for seed in range(1, 11)) < 1.8)
