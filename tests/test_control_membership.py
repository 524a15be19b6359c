"""Which machines should vote next, and whether every further loss would be borne: tables of both."""

from testtools import TestCase

from vetchusher.control import PersistentState
from vetchusher.control.state import copy_state, first_state
from vetchusher.control.target_members import MembershipView, next_members, voters_for
from vetchusher.distribution.wire_pb2 import ReplicaSet
from vetchusher.emulator.control.closure import Moment, unbearable

ZONES = {ip: "east" if ip in "abcdx" else "west" for ip in "abcdewxy"}


def voters(members, size=3, gone="", gone_for_long="", spares="", keep=""):
    roster = MembershipView(
        members, gone, gone_for_long, spares, members[0], frozenset(members[0] + keep), ZONES
    )
    return "".join(sorted(next_members(roster, size)))


class SeatsTest(TestCase):
    def test_voters_for_each_number_of_losses(self):
        self.assertEqual([3, 3, 5, 7], [voters_for(losses) for losses in range(4)])

    def test_the_voters_that_there_should_be(self):
        for told, wanted in (
            ({"members": "abe"}, "abe"),  # nothing to be done
            ({"members": "abe", "spares": "x"}, "abe"),  # a learner waits for a seat
            ({"members": "abe", "gone": "b"}, "abe"),  # nobody to take it
            ({"members": "abe", "gone": "b", "spares": "wx"}, "aex"),  # of the same zone first
            ({"members": "abe", "gone": "be", "spares": "wx"}, "awx"),  # two seats in one step
            ({"members": "abe", "gone": "be", "spares": "w"}, "aew"),  # the most urgent first
            ({"members": "abe", "size": 5, "spares": "x"}, "abe"),  # never an even set
            ({"members": "abe", "size": 5, "spares": "wx"}, "abewx"),
            ({"members": "abce", "gone": "c"}, "abe"),  # made even by an earlier release
            ({"members": "abce", "keep": "b"}, "abc"),
            ({"members": "abc", "keep": "b", "spares": "xw"}, "abw"),  # a second zone
            ({"members": "abc", "keep": "bc", "spares": "w"}, "abw"),
            ({"members": "abcew", "size": 5, "gone": "ew", "gone_for_long": "ew"}, "abc"),
            ({"members": "abcew", "size": 5, "gone": "e", "gone_for_long": "e"}, "abcew"),
        ):
            self.assertEqual(wanted, voters(**told), told)


def disk(members, copies, holds, seq=1, previous=""):
    record = ReplicaSet(epoch=1, number=1, members=members, copies=copies, previous_members=previous)
    state = copy_state(first_state(), (1, seq))
    return PersistentState(1, state, members[0], record, has_copy=holds)


class ClosureTest(TestCase):
    def test_which_further_losses_are_borne(self):
        def fault(disks, spent="", catching_up="", tolerated=1, seq=1):
            found = unbearable(Moment(disks, frozenset(spent), frozenset(catching_up), tolerated, (1, seq)))
            return "" if found is None else found

        def three(seqs, members="abe", copies="ab", previous=""):
            return {ip: disk(members, copies, ip in copies, seq, previous) for ip, seq in seqs.items()}

        whole = {"a": 1, "b": 1, "e": 1}
        self.assertEqual("", fault(three(whole)))
        self.assertIn(
            "no copy", fault(three({"a": 1, "b": 0, "e": 1}))
        )  # b is behind: without a nobody may stand
        one_lost = {"a": 1, "e": 1}
        self.assertEqual("", fault(three(one_lost), spent="b"))  # no more than that is tolerated
        self.assertIn("no majority", fault(three(one_lost)))
        four = three({**whole, "x": 1}, members="abex", copies="ab")
        del four["b"]
        self.assertIn("no majority", fault(four))  # the dead one is a voter yet
        joint = three({"a": 1, "e": 1, "x": 1}, members="aex", copies="ae", previous="abe")
        self.assertEqual("", fault(joint, spent="b", catching_up="x"))
        self.assertIn("no majority", fault(joint, catching_up="x"))
